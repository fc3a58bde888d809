#include "currantfall/Quotas/QuotaKeeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Currantfall::Quotas {

namespace {

// A VM holds the permits that its requests need in this time, and up to one more.
constexpr absl::Duration stockTime = absl::Milliseconds(500);
constexpr double maxExtraStock = 1.0;
// What a VM keeps back when the agent of a zone collects permits.
constexpr absl::Duration reserveTime = absl::Milliseconds(500);
// Tenants with fewer requests per second need no attention until the next request.
constexpr double minActiveDemand = 0.02;
// Interval between two requests to a VM, while requests of callers wait and otherwise.
constexpr absl::Duration urgentInterval = absl::Milliseconds(30);
constexpr absl::Duration calmInterval = absl::Milliseconds(200);
// A request without an answer may be repeated after this time.
constexpr absl::Duration answerTimeout = absl::Milliseconds(400);
// Later grants are ignored. They would be old, because their age counts from the request.
constexpr absl::Duration maxGrantDelay = absl::Seconds(2);
// An agent answers its zone after this time at the latest.
constexpr absl::Duration maxPendingTime = absl::Milliseconds(120);
// A VM without permits to spare is asked again after this time.
constexpr absl::Duration exhaustedTime = absl::Milliseconds(300);
// Of the VMs that are asked at once, some have less than their part.
constexpr double collectFactor = 2.0;
// What other zones asked for is collected in the own zone for this time.
constexpr absl::Duration outsideNeedTime = absl::Milliseconds(500);
// Permits that a VM has got may be collected again for this time.
constexpr absl::Duration receiverTime = absl::Seconds(5);
constexpr double minNeed = 0.05;
constexpr double minGrant = 0.01;
// An agent with fewer permits keeps them together.
constexpr double minPart = 2.0;

} // namespace

QuotaKeeper::QuotaKeeper(Common::VmName self, Common::ZoneName zone, QuotaTolerance tolerance,
                         std::uint64_t firstNumber)
    : self(std::move(self)), zone(std::move(zone)), tolerance(tolerance), reachable({ this->self }),
      nextNumber(std::max<std::uint64_t>(firstNumber, 1))
{ }

void QuotaKeeper::setTerms(const std::vector<QuotaTerms> &terms, Common::Instant now)
{
    std::set<Common::TenantName> limited;
    for (const QuotaTerms &each : terms) {
        limited.insert(each.tenant);
        const auto [found, added]
                = this->quotas.try_emplace(each.tenant, each, this->tolerance, now);
        if (added) {
            found->second.setShare(this->accrualShare.inForce(), now);
        } else if (found->second.terms() != each) {
            found->second.setTerms(each, now);
        }
    }
    std::erase_if(this->quotas, [&](const auto &quota) { return !limited.contains(quota.first); });
    std::erase_if(this->active, [&](const auto &tenant) { return !limited.contains(tenant); });
    this->updateOverdraft();
}

void QuotaKeeper::setPlan(QuotaPlan newPlan, bool known, Common::Instant now)
{
    this->plan = std::move(newPlan);
    const double before = this->accrualShare.inForce();
    this->accrualShare.update(this->plan.shareOf(this->self), known, now);
    if (this->accrualShare.inForce() != before) {
        for (auto &[tenant, quota] : this->quotas) {
            quota.setShare(this->accrualShare.inForce(), now);
        }
    }
    this->updateOverdraft();
}

void QuotaKeeper::updateOverdraft()
{
    const double perHolder
            = UsedTolerance::extraForOverdraft * this->tolerance.extra
              / static_cast<double>(std::max<std::size_t>(this->plan.holderCount(), 1));
    const double overdraft
            = this->accrualShare.inForce() > 0.0 ? std::min(perHolder, 1.0 - minGrant) : 0.0;
    for (auto &[tenant, quota] : this->quotas) {
        quota.setOverdraft(overdraft);
    }
}

void QuotaKeeper::setReachable(std::set<Common::VmName> vms)
{
    this->reachable = std::move(vms);
    this->reachable.insert(this->self);
    std::erase_if(this->peers,
                  [this](const auto &peer) { return !this->reachable.contains(peer.first); });
}

TenantQuota *QuotaKeeper::find(const Common::TenantName &tenant)
{
    const auto found = this->quotas.find(tenant);
    return found == this->quotas.end() ? nullptr : &found->second;
}

void QuotaKeeper::onRequest(TenantQuota &quota, Common::Instant now)
{
    quota.recordDemand(1.0, now);
    this->active.insert(quota.terms().tenant);
}

bool QuotaKeeper::isAgent() const
{
    return this->plan.agent(this->zone, this->reachable) == this->self;
}

std::vector<Common::VmName> QuotaKeeper::wantedLinks() const
{
    std::vector<Common::VmName> links;
    if (!this->hasLimits() || !this->isAgent()) {
        return links;
    }
    for (const Common::ZoneName &each : this->plan.zones()) {
        const auto agent = this->plan.agent(each, this->reachable);
        if (each != this->zone && agent) {
            links.push_back(*agent);
        }
    }
    return links;
}

std::vector<PermitNeed> QuotaKeeper::needs(Common::Instant now)
{
    std::map<Common::TenantName, PermitNeed> zoneNeeds;
    for (const PendingRequest &each : this->pending) {
        for (const PermitNeed &need : each.request.needs) {
            PermitNeed &sum = zoneNeeds[need.tenant];
            sum.wanted += need.wanted;
            sum.waiting += need.waiting;
        }
    }
    std::vector<PermitNeed> result;
    for (auto tenant = this->active.begin(); tenant != this->active.end();) {
        TenantQuota &quota = this->quotas.at(*tenant);
        const double demand = quota.demand(now);
        const auto zoneNeed = zoneNeeds.find(*tenant);
        if (demand < minActiveDemand && quota.waiting == 0 && zoneNeed == zoneNeeds.end()) {
            tenant = this->active.erase(tenant);
            continue;
        }
        double waiting = quota.neededForWaiting();
        const double expected = demand * absl::ToDoubleSeconds(stockTime);
        double stock = expected + std::min(expected, maxExtraStock) + waiting;
        if (zoneNeed != zoneNeeds.end()) {
            waiting += zoneNeed->second.waiting;
            stock += zoneNeed->second.wanted;
        }
        const double available = quota.available(now);
        if (stock - available > minNeed) {
            result.push_back({ *tenant, stock - available, std::max(waiting - available, 0.0) });
        }
        ++tenant;
    }
    return result;
}

void QuotaKeeper::ask(const Common::VmName &peer, bool forZone,
                      const std::vector<PermitNeed> &needs, Common::Instant now)
{
    PeerState &state = this->peers[peer];
    if (state.unanswered != 0 && now - state.askedAt < answerTimeout) {
        return;
    }
    std::vector<PermitNeed> asked;
    bool urgent = false;
    for (const PermitNeed &need : needs) {
        const auto exhausted = state.exhausted.find(need.tenant);
        const bool urgentNeed = need.waiting > 0.0;
        if (exhausted == state.exhausted.end() || exhausted->second.until <= now
            || (urgentNeed && !exhausted->second.urgent)) {
            asked.push_back(need);
            urgent = urgent || urgentNeed;
        }
    }
    if (asked.empty() || now - state.askedAt < (urgent ? urgentInterval : calmInterval)) {
        return;
    }
    const std::uint64_t number = this->nextNumber++;
    state.unanswered = number;
    state.askedAt = now;
    this->outbox.push_back({ peer, PermitRequest { number, forZone, asked } });
    this->sentRequests.emplace(number, SentRequest { peer, now, std::move(asked), forZone });
}

void QuotaKeeper::advance(Common::Instant now)
{
    if (!this->hasLimits()) {
        return;
    }
    if (this->accrualShare.advance(now)) {
        for (auto &[tenant, quota] : this->quotas) {
            quota.setShare(this->accrualShare.inForce(), now);
        }
        this->updateOverdraft();
    }
    std::erase_if(this->sentRequests,
                  [now](const auto &sent) { return now - sent.second.sentAt > maxGrantDelay; });
    this->answerPending(now);
    const std::vector<PermitNeed> missing = this->needs(now);
    const auto agent = this->plan.agent(this->zone, this->reachable);
    if (agent && *agent != this->self) {
        this->ask(*agent, false, missing, now);
    } else {
        this->collect(missing, now);
    }
}

std::vector<Common::VmName> QuotaKeeper::sourcesInZone(Common::Instant now)
{
    std::erase_if(this->receivers,
                  [now](const auto &receiver) { return now - receiver.second > receiverTime; });
    std::vector<Common::VmName> sources = this->plan.holders(this->zone);
    for (const auto &[vm, since] : this->receivers) {
        if (std::find(sources.begin(), sources.end(), vm) == sources.end()) {
            sources.push_back(vm);
        }
    }
    std::erase_if(sources, [this](const Common::VmName &vm) {
        return vm == this->self || !this->reachable.contains(vm);
    });
    return sources;
}

void QuotaKeeper::collect(const std::vector<PermitNeed> &missing, Common::Instant now)
{
    const std::vector<Common::VmName> ofZone = this->sourcesInZone(now);
    std::vector<Common::VmName> agents;
    for (const Common::ZoneName &each : this->plan.zones()) {
        const auto agent = this->plan.agent(each, this->reachable);
        if (each != this->zone && agent) {
            agents.push_back(*agent);
        }
    }
    std::vector<PermitNeed> parts = missing;
    for (PermitNeed &part : parts) {
        const double even
                = part.wanted * collectFactor / static_cast<double>(ofZone.size() + agents.size());
        part.wanted = std::min(part.wanted, std::max(even, 1.0));
        part.waiting = std::min(part.waiting, part.wanted);
    }
    for (const Common::VmName &vm : agents) {
        this->ask(vm, true, parts, now);
    }
    // Other zones get what the whole zone can spare.
    std::erase_if(this->outsideNeeds, [now](const auto &need) { return need.second.until < now; });
    for (const auto &outside : this->outsideNeeds) {
        const PermitNeed &need = outside.second.need;
        const auto own = std::find_if(parts.begin(), parts.end(), [&need](const PermitNeed &part) {
            return part.tenant == need.tenant;
        });
        if (own == parts.end()) {
            parts.push_back(need);
        } else {
            own->wanted = std::max(own->wanted, need.wanted);
            own->waiting = std::max(own->waiting, need.waiting);
        }
    }
    for (const Common::VmName &vm : ofZone) {
        this->ask(vm, true, parts, now);
    }
}

double QuotaKeeper::spare(TenantQuota &quota, const PermitNeed &need, bool forZone,
                          Common::Instant now)
{
    const double free = quota.available(now) - static_cast<double>(quota.waiting);
    if (forZone) {
        const double reserve = quota.demand(now) * absl::ToDoubleSeconds(reserveTime);
        // Requests that wait elsewhere go before those that may come here.
        const double given
                = std::max(std::min(need.wanted, free - reserve), std::min(need.waiting, free));
        return given < minGrant ? 0.0 : given;
    }
    if (free >= need.wanted) {
        return need.wanted;
    }
    // So many that some of the waiting requests get a whole permit: parts would expire unused.
    const double whole = need.waiting - std::ceil(std::max(need.waiting - free, 0.0));
    const double given = std::max(free >= minPart ? std::min(free, need.wanted) : 0.0, whole);
    return given < minGrant ? 0.0 : given;
}

bool QuotaKeeper::satisfies(const PermitRequest &request, Common::Instant now)
{
    return std::all_of(request.needs.begin(), request.needs.end(), [&](const PermitNeed &need) {
        TenantQuota *quota = this->find(need.tenant);
        return quota == nullptr || this->spare(*quota, need, false, now) >= need.waiting;
    });
}

void QuotaKeeper::answer(const Common::VmName &to, const PermitRequest &request,
                         Common::Instant now)
{
    PermitGrant grant;
    grant.number = request.number;
    for (const PermitNeed &need : request.needs) {
        TenantQuota *quota = this->find(need.tenant);
        const double count
                = quota == nullptr ? 0.0 : this->spare(*quota, need, request.forZone, now);
        if (quota != nullptr && request.forZone && count < need.wanted) {
            this->outsideNeeds[need.tenant] = { need, now + outsideNeedTime };
        }
        if (count <= 0.0) {
            continue;
        }
        TenantGrant &tenant = grant.tenants.emplace_back();
        tenant.tenant = need.tenant;
        for (const PermitLot &lot : quota->release(count, now)) {
            tenant.lots.push_back({ lot.count, now - lot.accruedAt });
        }
        if (!request.forZone) {
            this->receivers.insert_or_assign(to, now);
            // The requests of the zone need the permits of its agent.
            quota->recordDemand(count, now);
            this->active.insert(need.tenant);
        }
    }
    this->outbox.push_back({ to, std::move(grant) });
}

void QuotaKeeper::answerPending(Common::Instant now)
{
    for (auto each = this->pending.begin(); each != this->pending.end();) {
        if (now - each->receivedAt >= maxPendingTime || this->satisfies(each->request, now)) {
            this->answer(each->from, each->request, now);
            each = this->pending.erase(each);
        } else {
            ++each;
        }
    }
}

void QuotaKeeper::onMessage(const Common::VmName &from, const PermitRequest &request,
                            Common::Instant now)
{
    if (!request.forZone && this->isAgent() && !this->satisfies(request, now)) {
        for (const PermitNeed &need : request.needs) {
            if (this->quotas.contains(need.tenant)) {
                this->active.insert(need.tenant);
            }
        }
        std::erase_if(this->pending, [&from](const auto &each) { return each.from == from; });
        this->pending.push_back({ from, request, now });
        this->advance(now);
        return;
    }
    this->answer(from, request, now);
}

void QuotaKeeper::onMessage(const Common::VmName &from, const PermitGrant &grant,
                            Common::Instant now)
{
    const auto sent = this->sentRequests.find(grant.number);
    if (sent == this->sentRequests.end() || sent->second.to != from) {
        return;
    }
    const SentRequest request = std::move(sent->second);
    this->sentRequests.erase(sent);
    PeerState &peer = this->peers[from];
    if (peer.unanswered == grant.number) {
        peer.unanswered = 0;
    }
    std::map<Common::TenantName, double> received;
    for (const TenantGrant &each : grant.tenants) {
        TenantQuota *quota = this->find(each.tenant);
        if (quota == nullptr) {
            continue;
        }
        std::vector<PermitLot> lots;
        for (const GrantedLot &lot : each.lots) {
            // The grant was made after the request was sent.
            lots.push_back({ lot.count, request.sentAt - lot.age });
            received[each.tenant] += lot.count;
        }
        quota->add(lots, now);
    }
    for (const PermitNeed &need : request.needs) {
        const double count = received[need.tenant];
        if (request.forZone && count <= 0.0) {
            peer.exhausted[need.tenant] = { now + exhaustedTime, need.waiting > 0.0 };
        }
        TenantQuota *quota = this->find(need.tenant);
        if (!request.forZone && count + minGrant < need.waiting && quota != nullptr) {
            quota->recordShortage(now);
        }
    }
    this->answerPending(now);
}

std::vector<QuotaMessage> QuotaKeeper::takeMessages()
{
    return std::exchange(this->outbox, {});
}

} // namespace Currantfall::Quotas
