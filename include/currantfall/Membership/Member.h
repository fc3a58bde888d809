#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"

namespace Currantfall::Membership {

/// Slots that a VM owns for one service, and its queue length.
struct ServiceLoad
{
    Common::ServiceName service;
    std::uint32_t freeSlots = 0;
    std::uint32_t totalSlots = 0;
    std::uint32_t queued = 0;

    friend bool operator==(const ServiceLoad &left, const ServiceLoad &right) = default;
};

enum class MemberState {
    Live,
    Leaving, ///< Live, but must get no new work.
    Suspect, ///< Not heard within the suspicion time.
    Unknown, ///< Listed or connected, but not heard yet in this incarnation.
};

std::string toString(MemberState state);

/// Where a VM is and which run of its process is meant.
struct Identity
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    Common::Incarnation incarnation = 0;
    std::string address;
    std::uint16_t portBase = 0;

    friend bool operator==(const Identity &left, const Identity &right) = default;
};

/// Address and port at which a daemon accepts peer links.
struct PeerEndpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const PeerEndpoint &left, const PeerEndpoint &right) = default;
};

/// One row of the platform's VM list.
struct ListedVm
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    std::string address;
    std::uint16_t portBase = 0;
    bool leaving = false;
    /// If peers reach the VM elsewhere than at its address and peer port.
    std::optional<PeerEndpoint> peerEndpoint = std::nullopt;

    friend bool operator==(const ListedVm &left, const ListedVm &right) = default;
};

/// What a VM says about itself with every heartbeat and digest.
struct ReportedState
{
    bool leaving = false;
    Common::Revision revision = 0;
    std::string keyPrefix;
    std::vector<ServiceLoad> loads;

    friend bool operator==(const ReportedState &left, const ReportedState &right) = default;
};

struct Heartbeat
{
    Common::VmName vm;
    Common::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    /// Monotonic clock of the sender.
    absl::Duration sentAt = absl::ZeroDuration();
    ReportedState reported;

    friend bool operator==(const Heartbeat &left, const Heartbeat &right) = default;
};

struct DigestEntry
{
    Identity identity;
    ReportedState reported;
    /// Time since the member was last heard, at the sender of the digest.
    absl::Duration age = absl::ZeroDuration();

    friend bool operator==(const DigestEntry &left, const DigestEntry &right) = default;
};

/// News of the members of one zone. A full digest has all of them. A brief one has only those that
/// have changed since the sender's latest full digest or were not heard lately; all others are at
/// most `restAge` old. Loads and revisions are renewed by full digests only, but for whether there
/// is a revision at all.
struct Digest
{
    /// Monotonic clock of the sender.
    absl::Duration sentAt = absl::ZeroDuration();
    /// Longest interval between digests on the way from the entries' zone.
    absl::Duration interval = absl::ZeroDuration();
    std::vector<DigestEntry> entries;
    Common::ZoneName zone;
    /// Number of the sender's latest full digest of the zone; 0 if it sends no brief ones.
    std::uint64_t base = 0;
    bool brief = false;
    /// Largest age of the members of the base that are not in `entries`.
    absl::Duration restAge = absl::ZeroDuration();

    friend bool operator==(const Digest &left, const Digest &right) = default;
};

/// A member as seen by this VM.
struct Member
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    std::string address;
    std::uint16_t portBase = 0;
    Common::Incarnation incarnation = 0; ///< 0 if not known yet.
    Common::Revision revision = 0;
    MemberState state = MemberState::Unknown;
    std::string keyPrefix;
    std::vector<ServiceLoad> loads;
    /// By this VM's clock and never later than the truth; Instant::fromOrigin(-infinite) if the
    /// member was never heard.
    Common::Instant lastHeard = Common::Instant::fromOrigin(-absl::InfiniteDuration());

    friend bool operator==(const Member &left, const Member &right) = default;
};

/// Immutable snapshot of the member table. Own VM is included and always Live or Leaving.
class MemberView
{
public:
    MemberView(std::uint64_t version, std::uint64_t topologyVersion,
               std::vector<std::shared_ptr<const Member>> sortedMembers);

    /// Differs between any two different snapshots of one table.
    std::uint64_t version() const { return this->versionCounter; }
    /// Changes only when a member is added, removed, restarted, moved or changes state; results
    /// that depend on nothing else can be cached by it.
    std::uint64_t topologyVersion() const { return this->topologyCounter; }

    /// Sorted by name; no element is null.
    const std::vector<std::shared_ptr<const Member>> &members() const { return this->sorted; }

    /// nullptr if there is no such member.
    const Member *find(const Common::VmName &vm) const;

    /// Members of the zone in any state, sorted by name.
    std::vector<std::shared_ptr<const Member>> inZone(const Common::ZoneName &zone) const;

private:
    std::uint64_t versionCounter;
    std::uint64_t topologyCounter;
    std::vector<std::shared_ptr<const Member>> sorted;
};

} // namespace Currantfall::Membership
