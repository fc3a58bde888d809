#pragma once

#include "PeerChannel.h"
#include "QuotaGate.h"

namespace Currantfall::Entry {

/// Exchanges permits for requests of tenants with the other entry VMs.
class QuotaSync
{
public:
    QuotaSync(QuotaGate &gate, PeerChannel peers);

    /// Asks for permits and lets requests go on.
    void advance(Common::Instant now);
    void onMessage(const Common::VmName &peer, const Peering::Wire::QuotaRequestT &message,
                   Common::Instant now);
    void onMessage(const Common::VmName &peer, const Peering::Wire::QuotaGrantT &message,
                   Common::Instant now);

private:
    void sendMessages();

    QuotaGate &gate;
    PeerChannel peers;
};

} // namespace Currantfall::Entry
