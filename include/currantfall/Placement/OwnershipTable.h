#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "currantfall/Common/Time.h"
#include "currantfall/Configuration/Environment.h"
#include "currantfall/Placement/PlacementMember.h"

namespace Currantfall::Placement {

/// How long a new owner waits for the previous one to stop.
inline constexpr absl::Duration ownershipLease = absl::Seconds(2);

/// The daemon calls pause() after a longer gap. It is less than the lease by two heartbeat
/// intervals, because the next owner hears of the end of a pause that much later.
inline constexpr absl::Duration longestUnreportedPause = absl::Milliseconds(1500);

enum class OwnershipState {
    NotOwned,  ///< Another VM owns the server, or none does.
    Waiting,   ///< This VM is the owner and waits for the previous one's lease to end.
    Owned,     ///< This VM may start work on the server.
    Releasing, ///< Another VM is the owner now; work in flight finishes, none starts.
};

/// A backend server whose state at this VM has changed.
struct OwnershipChange
{
    Common::BackendServerName backendServer;
    OwnershipState state = OwnershipState::NotOwned;

    friend bool operator==(const OwnershipChange &left, const OwnershipChange &right) = default;
};

/// A member and when it was last heard, by the local clock.
struct MemberHeard
{
    PlacementMember member;
    Common::Instant lastHeard;

    friend bool operator==(const MemberHeard &left, const MemberHeard &right) = default;
};

/// Which entry VM owns each backend server, and on which ones this VM may start work.
class OwnershipTable
{
public:
    /// `self` becomes the owner of a server at the earliest one lease after `started`.
    OwnershipTable(Common::VmName self, Common::Instant started);

    /// Computes owners for a document and member view; called when either has changed. `members`
    /// lists this VM as well, and every member that is not known to be dead; members that are
    /// suspect or leaving own nothing. Returns what has changed for this VM since the last call.
    std::vector<OwnershipChange> update(Common::Instant now,
                                        const Configuration::Environment &environment,
                                        const std::vector<MemberHeard> &members);

    /// Waits that have ended by `now`.
    std::vector<OwnershipChange> advance(Common::Instant now);

    /// A previous owner runs nothing on the server any more. It may arrive up to one lease before
    /// this VM learns that the owner has changed.
    std::vector<OwnershipChange> applyRelease(Common::Instant now,
                                              const Common::BackendServerName &backendServer,
                                              const Common::VmName &vm,
                                              Common::Incarnation incarnation);

    /// The daemon was paused for longer than `longestUnreportedPause`: nothing is owned for another
    /// lease, within which the peers are heard again.
    std::vector<OwnershipChange> pause(Common::Instant now);

    /// The daemon finished its last request on a server in state Releasing and has sent the
    /// release to the new owner.
    void released(const Common::BackendServerName &backendServer);

    OwnershipState state(const Common::BackendServerName &backendServer) const;
    /// The owner in this VM's view; nothing if no member can own the server.
    std::optional<Common::VmName> owner(const Common::BackendServerName &backendServer) const;
    /// Servers of the service on which this VM may start work, in document order.
    std::vector<Common::BackendServerName> ownedOf(const Common::ServiceName &service) const;
    /// Owners of the service's servers with the number of their slots, in document order.
    std::vector<std::pair<Common::VmName, std::size_t>>
    ownersOf(const Common::ServiceName &service) const;
    /// When the next wait ends.
    Common::Instant nextDue() const;

private:
    /// A VM that may still start work on a server of which it is no longer the owner.
    struct Claim
    {
        Common::Incarnation incarnation = 0;
        Common::Instant learned;
        Common::Instant until;
    };
    /// A release that arrived before this VM learned that the owner has changed.
    struct EarlyRelease
    {
        Common::VmName vm;
        Common::Incarnation incarnation = 0;
        Common::Instant received;
    };
    struct Server
    {
        std::size_t slots = 0;
        std::optional<Common::VmName> owner;
        Common::Incarnation ownerIncarnation = 0;
        std::map<Common::VmName, Claim> claims;
        std::optional<EarlyRelease> earlyRelease;
        OwnershipState state = OwnershipState::NotOwned;
    };
    struct Known
    {
        Common::Instant lastHeard;
        Common::Incarnation incarnation = 0;
        bool live = false;
    };
    using Servers = std::map<Common::BackendServerName, Server>;

    void learn(const std::vector<MemberHeard> &members);
    void changeOwner(Common::Instant now, Server &server, const PlacementMember *owner);
    void addSilentClaim(Common::Instant now, Server &server, const PlacementMember &suspect);
    void extendClaims(Server &server);
    bool wasReleased(Common::Instant now, const Server &server) const;
    Common::Instant waitEnds(const Server &server) const;
    /// Recomputes the state from owner, claims and time.
    void assess(Common::Instant now, const Common::BackendServerName &name, Server &server,
                std::vector<OwnershipChange> &changes);

    Common::VmName self;
    /// No server becomes owned before.
    Common::Instant notBefore;
    Servers servers;
    absl::flat_hash_map<Common::ServiceName, std::vector<Common::BackendServerName>> byService;
    /// Also members that are no longer listed.
    absl::flat_hash_map<Common::VmName, Known> known;
};

} // namespace Currantfall::Placement
