#pragma once

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "currantfall/Common/Log.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Common/TimerService.h"
#include "currantfall/Configuration/Environment.h"
#include "currantfall/Drain/DrainTarget.h"
#include "currantfall/Execution/IdempotencyKey.h"
#include "currantfall/Membership/Member.h"
#include "currantfall/Peering/FrameCodec.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

namespace Currantfall::Daemon {

/// State that all parts of the steering thread share. Only that thread uses it.
struct SteeringContext
{
    using Send = std::function<bool(const Common::VmName &, Peering::LinkClass,
                                    std::unique_ptr<Peering::Wire::MessageT>)>;

    explicit SteeringContext(Telemetry::MetricsRegistry &registry) : metrics(registry) { }

    Execution::VmRun self;
    Common::ZoneName zone;
    Common::RegionName region;

    /// Time of the event that is being handled.
    Common::Instant now;
    Common::TimerService timers;
    Telemetry::MetricsRegistry &metrics;
    Common::Log log = Common::Log::forComponent("steering");
    std::mt19937_64 random;

    /// Configuration in force; null before the first one.
    std::shared_ptr<const Configuration::Environment> environment;
    Common::Revision revision = 0;
    std::vector<Drain::DrainTarget> drains;
    std::shared_ptr<const Membership::MemberView> members;
    /// Second attempts for slow idempotent requests of the first rank.
    bool hedging = true;
    /// This VM is shutting down or is being drained.
    bool leaving = false;

    /// False proves that no byte of the message was sent.
    Send send;

    template<typename Body>
    bool sendControl(const Common::VmName &peer, Body body)
    {
        return this->sendOn(peer, Peering::LinkClass::Control, std::move(body));
    }

    template<typename Body>
    bool sendOn(const Common::VmName &peer, Peering::LinkClass linkClass, Body body)
    {
        auto message = std::make_unique<Peering::Wire::MessageT>();
        message->body.Set(std::move(body));
        return this->send(peer, linkClass, std::move(message));
    }
};

} // namespace Currantfall::Daemon
