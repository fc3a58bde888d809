#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "currantfall/Common/Time.h"
#include "currantfall/Quotas/AccrualShare.h"
#include "currantfall/Quotas/QuotaMessages.h"
#include "currantfall/Quotas/QuotaPlan.h"
#include "currantfall/Quotas/TenantQuota.h"

namespace Currantfall::Quotas {

/// Keeps the limits of tenants over all VMs. A request needs a permit. Permits accrue on some VMs,
/// each of which has a fixed part of every limit, and VMs with more requests get them from others:
/// first from the agent of their zone, which gets them from its zone and from other zones. Giving a
/// permit away removes it here before it can be used elsewhere, so that lost messages, cuts and
/// ends of processes can only make permits fewer.
///
/// Without network and clock: the owner passes times and messages. Not thread-safe.
class QuotaKeeper
{
public:
    /// `firstNumber`: request numbers of this run of the process are at least this, and higher than
    /// those of earlier runs.
    QuotaKeeper(Common::VmName self, Common::ZoneName zone, QuotaTolerance tolerance,
                std::uint64_t firstNumber);

    /// Sets the limits; other tenants have none.
    void setTerms(const std::vector<QuotaTerms> &terms, Common::Instant now);
    /// Sets the registered VMs. `known`: see AccrualShare.
    void setPlan(QuotaPlan plan, bool known, Common::Instant now);
    /// Sets the VMs to which messages can be sent, as far as this VM knows.
    void setReachable(std::set<Common::VmName> vms);

    bool hasLimits() const { return !this->quotas.empty(); }
    /// The part of the tenant's limit that this VM keeps; nullptr if it has no limit.
    TenantQuota *find(const Common::TenantName &tenant);
    /// Records a request of the tenant, which then needs attention for some seconds.
    void onRequest(TenantQuota &quota, Common::Instant now);

    void onMessage(const Common::VmName &from, const PermitRequest &request, Common::Instant now);
    void onMessage(const Common::VmName &from, const PermitGrant &grant, Common::Instant now);
    /// Asks other VMs for permits and answers those that wait for an answer.
    void advance(Common::Instant now);
    /// Returns the messages that are to be sent.
    std::vector<QuotaMessage> takeMessages();
    /// VMs to which this VM needs a link.
    std::vector<Common::VmName> wantedLinks() const;

    /// Fraction of every limit that accrues on this VM.
    double share() const { return this->accrualShare.inForce(); }

private:
    struct SentRequest
    {
        Common::VmName to;
        Common::Instant sentAt;
        std::vector<PermitNeed> needs;
        bool forZone = false;
    };
    /// When another VM may be asked again after it had nothing to spare.
    struct Exhausted
    {
        Common::Instant until;
        /// It had nothing even for requests that waited.
        bool urgent = false;
    };
    /// What was asked of another VM.
    struct PeerState
    {
        std::uint64_t unanswered = 0; ///< Number of the latest request if it is unanswered, else 0.
        Common::Instant askedAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
        /// Tenants of which the VM had no permits to spare.
        std::map<Common::TenantName, Exhausted> exhausted;
    };
    /// A request of a VM of this zone that is answered when permits have been collected.
    struct PendingRequest
    {
        Common::VmName from;
        PermitRequest request;
        Common::Instant receivedAt;
    };

    /// What the agent of another zone asked for and did not get in full.
    struct OutsideNeed
    {
        PermitNeed need;
        Common::Instant until;
    };

    bool isAgent() const;
    void updateOverdraft();
    /// What this VM needs now. For an agent, this includes what its zone waits for.
    std::vector<PermitNeed> needs(Common::Instant now);
    /// VMs of the zone that may have permits to spare: those on which permits accrue, and those
    /// that have got some lately and may not need them any more.
    std::vector<Common::VmName> sourcesInZone(Common::Instant now);
    /// As the agent of the zone, asks the other VMs of the zone and the agents of the other zones.
    void collect(const std::vector<PermitNeed> &missing, Common::Instant now);
    void ask(const Common::VmName &peer, bool forZone, const std::vector<PermitNeed> &needs,
             Common::Instant now);
    void answerPending(Common::Instant now);
    /// Permits that may be given on the need.
    double spare(TenantQuota &quota, const PermitNeed &need, bool forZone, Common::Instant now);
    bool satisfies(const PermitRequest &request, Common::Instant now);
    void answer(const Common::VmName &to, const PermitRequest &request, Common::Instant now);

    Common::VmName self;
    Common::ZoneName zone;
    QuotaTolerance tolerance;
    QuotaPlan plan;
    AccrualShare accrualShare;
    std::set<Common::VmName> reachable;
    std::map<Common::TenantName, TenantQuota> quotas;
    /// Tenants whose requests came here, or at another VM of the zone, lately.
    std::set<Common::TenantName> active;
    std::uint64_t nextNumber;
    std::map<std::uint64_t, SentRequest> sentRequests;
    std::map<Common::VmName, PeerState> peers;
    /// In the order of their arrival; one of each VM.
    std::vector<PendingRequest> pending;
    std::map<Common::TenantName, OutsideNeed> outsideNeeds;
    /// VMs of the zone to which this VM gave permits, and when it last did.
    std::map<Common::VmName, Common::Instant> receivers;
    std::vector<QuotaMessage> outbox;
};

} // namespace Currantfall::Quotas
