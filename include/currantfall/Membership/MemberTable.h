#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Membership/Member.h"

namespace Currantfall::Membership {

struct MembershipSettings
{
    absl::Duration heartbeatBase = absl::Milliseconds(250);
    int suspectIntervals = 4;
    /// Budget for heartbeats sent and received.
    double bytesPerSecond = 20'000;
    /// Budget for digests sent.
    double digestBytesPerSecond = 20'000;
    /// Bytes of one heartbeat frame: 352 measured with the loads of four services, and 52 for TCP
    /// and IP headers.
    std::size_t frameBytes = 404;
    /// Bytes of one member in a digest; 337 measured with the loads of four services.
    std::size_t digestEntryBytes = 340;
    /// Sends brief digests between full ones. Every daemon must carry all fields of Digest, or
    /// members of other zones become suspect.
    bool briefDigests = false;
    /// Members per digest message; larger zones are sent in turns.
    std::size_t maxDigestEntries = 512;
    /// A longer gap between calls is a pause of this process.
    absl::Duration lease = absl::Seconds(2);
    /// Silent members that the platform does not list are removed after this time. It exceeds the
    /// lease because owners wait one lease from the last heartbeat of their predecessor.
    absl::Duration removeAfter = absl::Seconds(30);
    /// Peers requested by requestPeer() are dropped after this time without another request.
    absl::Duration requestedPeerIdle = absl::Seconds(30);
};

/// Where the daemon of a member is; its peer port follows from the port base, unless the platform
/// lists another peer address.
struct Endpoint
{
    Common::VmName vm;
    std::string address;
    std::uint16_t portBase = 0;
    std::optional<PeerEndpoint> peerEndpoint = std::nullopt;

    friend auto operator<=>(const Endpoint &left, const Endpoint &right) = default;
};

struct OutgoingHeartbeat
{
    std::vector<Common::VmName> to;
    Heartbeat heartbeat;
};

struct OutgoingDigest
{
    std::vector<Common::VmName> to;
    Digest digest;
};

/// Messages to be sent over control links.
struct Outgoing
{
    std::optional<OutgoingHeartbeat> heartbeat;
    std::vector<OutgoingDigest> digests;
};

/// Which VMs exist and which are alive. A state machine without sockets, threads and clock: the
/// owner passes the time and events. Not thread-safe.
class MemberTable
{
public:
    static Common::Result<MemberTable> create(Common::Instant now, Identity self,
                                              MembershipSettings settings);
    ~MemberTable();
    MemberTable(MemberTable &&other) noexcept;
    MemberTable &operator=(MemberTable &&other) noexcept;

    void applyPlatformList(Common::Instant now, const std::vector<ListedVm> &list);
    void applyHeartbeat(Common::Instant now, const Heartbeat &heartbeat);
    void applyDigest(Common::Instant now, const Common::VmName &from, const Digest &digest);
    /// Established and lost control links. Only established links get heartbeats and digests.
    void applyLinkUp(Common::Instant now, const Identity &peer);
    void applyLinkDown(Common::Instant now, const Common::VmName &vm,
                       Common::Incarnation incarnation);

    /// What the next heartbeats and digests say about this VM.
    void setOwnState(Common::Instant now, ReportedState state);

    /// Adds `vm` to peersToConnect() until it has not been requested for `requestedPeerIdle`.
    void requestPeer(Common::Instant now, const Common::VmName &vm);

    /// Returns the messages that are due and ages members, at most twice per heartbeat base.
    Outgoing advance(Common::Instant now);

    /// When advance() has work next.
    Common::Instant nextDue() const;

    std::shared_ptr<const MemberView> view() const;
    absl::Duration heartbeatInterval() const;
    absl::Duration digestInterval() const;

    /// Members to which links are to be kept: the own zone; if this VM is one of the zone's two
    /// digest partners towards another zone, the two of that zone; and requested peers.
    std::vector<Endpoint> peersToConnect() const;

    /// Set while this process must not trust its view after a pause: from a call that comes later
    /// than the lease until every member of the own zone that was live before (any member, if there
    /// was none) has been heard again, at most for another lease. The value is the time of the last
    /// call before the pause.
    std::optional<Common::Instant> pausedSince() const;

private:
    class State;

    explicit MemberTable(std::unique_ptr<State> state);

    std::unique_ptr<State> state;
};

} // namespace Currantfall::Membership
