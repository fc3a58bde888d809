#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantfall/Membership/MemberTable.h"

#include "MemberRecord.h"

namespace Currantfall::Membership {

/// Share of the digest budget for full digests if brief ones are sent as well.
constexpr double fullDigestShare = 0.5;

/// Implementation of MemberTable: inputs and ageing are in MemberTableState.cpp, messages and
/// connections in MemberTableOutput.cpp, full and brief digests in MemberTableDigest.cpp.
class MemberTable::State
{
public:
    State(Common::Instant now, Identity self, MembershipSettings settings);

    void applyPlatformList(Common::Instant now, const std::vector<ListedVm> &list);
    void applyHeartbeat(Common::Instant now, const Heartbeat &heartbeat);
    void applyDigest(Common::Instant now, const Common::VmName &from, const Digest &digest);
    void applyLinkUp(Common::Instant now, const Identity &peer);
    void applyLinkDown(Common::Instant now, const Common::VmName &vm,
                       Common::Incarnation incarnation);
    void setOwnState(Common::Instant now, ReportedState state);
    void requestPeer(Common::Instant now, const Common::VmName &vm);

    Outgoing advance(Common::Instant now);
    Common::Instant nextDue() const;
    std::shared_ptr<const MemberView> view();
    absl::Duration heartbeatInterval() const;
    absl::Duration digestInterval() const { return this->currentDigestInterval; }
    std::vector<Endpoint> peersToConnect();
    std::optional<Common::Instant> pausedSince() const { return this->pauseStart; }

private:
    using Records = std::map<Common::VmName, MemberRecord>;
    /// Members other than this VM.
    using ZoneMembers = std::vector<MemberRecord *>;

    // Inputs and ageing.
    void observe(Common::Instant now);
    void endPause(Common::Instant now);
    MemberRecord *find(const Common::VmName &vm);
    MemberRecord &create(Common::Instant now, const Common::VmName &vm);
    void restart(Common::Instant now, MemberRecord &record, Common::Incarnation incarnation);
    void place(MemberRecord &record, const Common::ZoneName &zone, const Common::RegionName &region,
               const std::string &address, std::uint16_t portBase);
    void applyNews(Common::Instant now, MemberRecord &record, const ReportedState &reported,
                   Common::Instant heardAt, absl::Duration interval);
    /// A sign of life without other news.
    void applySign(Common::Instant now, MemberRecord &record, Common::Instant heardAt,
                   absl::Duration interval);
    void applyEntry(Common::Instant now, const DigestEntry &entry, absl::Duration delay,
                    absl::Duration interval);
    void updateState(Common::Instant now, MemberRecord &record);
    void age(Common::Instant now);
    absl::Duration suspectTime(const MemberRecord &record) const;
    void touch(MemberRecord &record);
    void touchTopology(MemberRecord &record);
    std::shared_ptr<const Member> ownMember() const;

    // Messages and connections.
    const std::map<Common::ZoneName, ZoneMembers> &zones();
    std::vector<Common::VmName> partnersOf(const Common::ZoneName &zone,
                                           const Common::ZoneName &towards);
    OutgoingHeartbeat makeHeartbeat(Common::Instant now);
    void addZoneDigests(Common::Instant now, std::vector<OutgoingDigest> &digests);
    void addRelays(Common::Instant now, std::vector<OutgoingDigest> &digests);
    std::vector<Common::VmName> digestRecipients(Common::Instant now, const Common::ZoneName &zone,
                                                 const ZoneMembers &members);
    std::vector<Common::VmName> linkedMates();
    std::vector<DigestEntry> entriesOf(Common::Instant now, const ZoneMembers &members);
    std::vector<DigestEntry> zoneEntries(Common::Instant now, const Common::ZoneName &zone);
    DigestEntry ownEntry() const;
    void scheduleDigest(Common::Instant now);

    // Full and brief digests.
    struct BaseMember
    {
        Common::Incarnation incarnation = 0;
        bool leaving = false;
        // A member without a revision accepts no requests. The revisions themselves are news that
        // travel on their own.
        bool hasRevision = false;
        std::string keyPrefix;
        // Routing to a member depends on whether it has slots. Their number changes too often to
        // start an entry each time.
        std::vector<Common::ServiceName> servicesWithSlots;

        static BaseMember create(const DigestEntry &entry);

        friend bool operator==(const BaseMember &left, const BaseMember &right) = default;
    };
    struct SentBase
    {
        std::uint64_t number = 0;
        std::map<Common::VmName, BaseMember> members;
        std::set<Common::VmName> recipients; // Over links that have been up since then.
        Common::Instant nextFull;
    };
    struct ReceivedBase
    {
        std::uint64_t number = 0;
        std::vector<std::pair<Common::VmName, Common::Incarnation>> members;
    };
    OutgoingDigest makeDigest(Common::Instant now, const Common::ZoneName &zone,
                              absl::Duration interval, std::vector<Common::VmName> to);
    bool makeBrief(const SentBase &base, OutgoingDigest &outgoing) const;
    void startBase(Common::Instant now, SentBase &base, OutgoingDigest &outgoing);
    void applyBase(Common::Instant now, const Common::VmName &from, const Digest &digest,
                   absl::Duration delay, absl::Duration interval);
    void forgetBases(const Common::VmName &vm);
    double bytesOf(const OutgoingDigest &outgoing) const;

    struct Relay
    {
        bool pending = false; // A digest of the zone has arrived since the last relay.
        absl::Duration interval = absl::ZeroDuration();
        Common::Instant notBefore;
    };

    const Identity self;
    const MembershipSettings settings;
    ReportedState own;
    std::uint64_t sequence = 0;

    Records records;
    std::map<Common::ZoneName, ZoneMembers> zoneIndex;
    bool zoneIndexValid = false;
    int ownZoneMates = 0; // Kept up to date because every heartbeat needs it.
    std::map<Common::ZoneName, Relay> relays;
    std::map<Common::ZoneName, std::size_t> entryCursors;
    std::uint64_t lastBase = 0;
    std::map<Common::ZoneName, SentBase> sentBases;
    std::map<std::pair<Common::VmName, Common::ZoneName>, ReceivedBase> receivedBases;
    std::map<Common::VmName, Common::Instant> requestedPeers;

    Common::Instant lastCall;
    Common::Instant nextHeartbeat;
    Common::Instant nextDigest;
    Common::Instant nextAgeing;
    absl::Duration currentDigestInterval;
    double digestBytes = 0; // Sent since the latest digest round.
    std::optional<Common::Instant> pauseStart;
    Common::Instant resumedAt;

    std::uint64_t version = 1;
    std::uint64_t topologyVersion = 1;
    std::shared_ptr<const MemberView> cachedView;
};

} // namespace Currantfall::Membership
