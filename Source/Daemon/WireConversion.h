#pragma once

#include <memory>

#include "currantfall/Common/Outcome.h"
#include "currantfall/Execution/Records.h"
#include "currantfall/Membership/Member.h"
#include "currantfall/Peering/FrameCodec.h"

#include "Request.h"

namespace Currantfall::Daemon {

/// Conversions between the library's values and the messages on peer links.

Peering::Wire::ForwardReplyT toWire(const std::string &attempt, const Common::Answer &answer);
Common::Answer fromWire(Peering::Wire::ForwardReplyT &reply);

Peering::Wire::ForwardRequestT toWire(const std::string &attempt, const Request &request,
                                      bool toIssuer, std::uint64_t credit, Common::Instant now);
/// `idempotent` and `rank` come from the receiver's document.
SharedRequest fromWire(Peering::Wire::ForwardRequestT &message, Common::RankIndex rank,
                       bool idempotent, Common::Instant now);

Peering::Wire::HeartbeatT toWire(const Membership::Heartbeat &heartbeat);
Membership::Heartbeat fromWire(const Peering::Wire::HeartbeatT &message);

Peering::Wire::MemberDigestT toWire(const Membership::Digest &digest);
Membership::Digest fromWire(const Peering::Wire::MemberDigestT &message);

Peering::Wire::KeyRecordT toWire(const Execution::KeyRecord &record);
Common::Result<Execution::KeyRecord> fromWire(Peering::Wire::KeyRecordT &message);

} // namespace Currantfall::Daemon
