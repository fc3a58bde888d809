#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "currantfall/Common/Time.h"
#include "currantfall/Configuration/Environment.h"
#include "currantfall/Placement/PlacementMember.h"

namespace Currantfall::Placement {

/// How long a new owner waits for the previous one to stop.
inline constexpr absl::Duration ownershipLease = absl::Seconds(2);

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

    /// Computes owners for a document and member view. `members` lists this VM as well, and every
    /// member that is not known to be dead; members that are suspect or leaving own nothing.
    /// Returns what has changed for this VM since the last call.
    std::vector<OwnershipChange> update(Common::Instant now,
                                        const Configuration::Environment &environment,
                                        const std::vector<MemberHeard> &members);

    /// Waits that have ended by `now`.
    std::vector<OwnershipChange> advance(Common::Instant now);

    /// The previous owner runs nothing on the server any more. Ignored unless `vm` with this
    /// incarnation is the owner that is waited for.
    std::vector<OwnershipChange> applyRelease(Common::Instant now,
                                              const Common::BackendServerName &backendServer,
                                              const Common::VmName &vm,
                                              Common::Incarnation incarnation);

    /// The daemon was paused for longer than the lease: every owned server waits a lease again.
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
    struct Server
    {
        Common::ServiceName service;
        std::size_t slots = 0;
        std::size_t position = 0;
        std::optional<Common::VmName> owner;
        Common::Incarnation ownerIncarnation = 0;
        /// The previous owner, while its lease is waited out.
        std::optional<Common::VmName> previousOwner;
        Common::Incarnation previousIncarnation = 0;
        Common::Instant waitEnds;
        OwnershipState state = OwnershipState::NotOwned;
    };
    using Servers = std::map<Common::BackendServerName, Server>;

    void changeOwner(Common::Instant now, Server &server, const MemberHeard *owner,
                     const absl::flat_hash_map<Common::VmName, const MemberHeard *> &byName);
    void removeMissing(const Configuration::Environment &environment,
                       std::vector<OwnershipChange> &changes);
    const std::vector<const Servers::value_type *>
    inDocumentOrder(const Common::ServiceName &service) const;

    Common::VmName self;
    Common::Instant firstOwnership;
    Servers servers;
    /// Last time each member was heard, also after it is gone from the list.
    absl::flat_hash_map<Common::VmName, Common::Instant> lastHeard;
};

} // namespace Currantfall::Placement
