#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Membership/Member.h"

#include "DelayEstimator.h"

namespace Currantfall::Membership {

/// What is known about one other VM.
struct MemberRecord
{
    Member member;
    /// Copy of `member` in the latest view; null if `member` has changed since.
    std::shared_ptr<const Member> snapshot;

    bool listed = false;
    bool listedLeaving = false;
    /// From the latest list that has the VM. It depends on the reader, so that no digest or Hello
    /// of another VM replaces it.
    std::optional<PeerEndpoint> peerEndpoint;
    bool reportedLeaving = false;
    /// Incarnation to which a control link is up; 0 without a link.
    Common::Incarnation linkedIncarnation = 0;
    /// Start of the present incarnation's knowledge; Unknown becomes Suspect relative to it.
    Common::Instant knownSince;
    std::uint64_t lastSequence = 0;
    /// Longest interval on the way of the latest news; zero for direct heartbeats.
    absl::Duration newsInterval = absl::ZeroDuration();
    DelayEstimator delay;
    /// Arrival of the latest digest that this VM sent itself.
    Common::Instant lastDigest = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    /// False from the end of a pause of this process until the member is heard again.
    bool heardSincePause = true;
    /// Live in the own zone before the pause, so that its heartbeat ends the pause.
    bool awaitedAfterPause = false;

    bool heard() const { return this->member.lastHeard.sinceOrigin() > -absl::InfiniteDuration(); }
    bool alive() const
    {
        return this->member.state == MemberState::Live
               || this->member.state == MemberState::Leaving;
    }
    bool linked() const { return this->linkedIncarnation != 0; }
};

} // namespace Currantfall::Membership
