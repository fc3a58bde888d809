#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "currantfall/Membership/SpreadPlan.h"
#include "currantfall/Peering/PeerTransport.h"

namespace Currantfall::Entry {

/// How parts of the daemon send messages to the other entry VMs.
struct PeerChannel
{
    using MessageForDuty = std::function<Peering::Wire::BodyUnion(Membership::SpreadDuty)>;

    /// To whom messages are sent that all VMs, or those of the region, are to get.
    std::function<const Membership::SpreadPlan &()> plan;
    /// Messages to peers without a link are lost.
    std::function<void(const std::vector<Common::VmName> &peers, Peering::Wire::BodyUnion body)>
            send;
    std::function<void(const std::vector<Membership::SpreadTarget> &targets,
                       const MessageForDuty &message)>
            spread;
    /// Whether the peer reads compressed values.
    std::function<bool(const Common::VmName &peer)> readsCompressedValues;
};

template<typename Message>
Peering::Wire::BodyUnion toBody(Message message)
{
    Peering::Wire::BodyUnion result;
    result.Set(std::move(message));
    return result;
}

/// A message with the duty of its receivers.
template<typename Message>
PeerChannel::MessageForDuty withDuty(Message message)
{
    return [message = std::move(message)](Membership::SpreadDuty duty) {
        Message copy = message;
        copy.duty = static_cast<std::uint8_t>(duty);
        return toBody(std::move(copy));
    };
}

} // namespace Currantfall::Entry
