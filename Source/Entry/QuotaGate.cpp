#include "QuotaGate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <absl/time/clock.h>

namespace Currantfall::Entry {

namespace {

// Longer than it takes to collect permits from all zones.
constexpr absl::Duration maxWait = absl::Milliseconds(200);

std::uint64_t firstRequestNumber()
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(absl::ToUnixMicros(absl::Now()), 1));
}

} // namespace

QuotaGate::QuotaGate(const EntrySettings &settings)
    : quotaKeeper(settings.vm, settings.zone, settings.quotaTolerance, firstRequestNumber())
{ }

void QuotaGate::setTenants(const Tenants::TenantTable &tenants, Common::Instant now)
{
    std::vector<Quotas::QuotaTerms> terms;
    for (const Tenants::Tenant &tenant : tenants.all()) {
        if (tenant.requestsPerSecond > 0.0) {
            terms.push_back({ tenant.name, tenant.requestsPerSecond, tenant.burst });
        }
    }
    this->quotaKeeper.setTerms(terms, now);
    // Requests of a tenant that has no limit any more go on.
    this->wakeWaiting();
}

boost::asio::awaitable<QuotaAdmission>
QuotaGate::enter(const Common::TenantName &tenant, SharedCaller caller, Common::Instant deadline)
{
    const Common::Instant now = Common::monotonicNow();
    Quotas::TenantQuota *quota = this->quotaKeeper.find(tenant);
    if (quota == nullptr) {
        co_return QuotaAdmission { true, std::nullopt, absl::ZeroDuration() };
    }
    this->quotaKeeper.onRequest(*quota, now);
    if (quota->waiting == 0) {
        if (const auto permit = quota->take(now)) {
            co_return QuotaAdmission { true, permit, absl::ZeroDuration() };
        }
    }
    if (!quota->mayWait(maxWait, now)) {
        co_return QuotaAdmission { false, std::nullopt, quota->refuse(now) };
    }
    const Common::Instant until = std::min(deadline, now + maxWait);
    const auto waiter = std::make_shared<Waiter>(Waiter { caller, std::nullopt });
    this->waiting[tenant].push_back(waiter);
    ++quota->waiting;
    if (this->onWaiting) {
        this->onWaiting();
    }
    bool waits = true;
    while (waits && !caller->disconnected && Common::monotonicNow() < until) {
        co_await sleepFor(caller->wakeTimer, until - Common::monotonicNow());
        const auto queue = this->waiting.find(tenant);
        waits = queue != this->waiting.end()
                && std::find(queue->second.begin(), queue->second.end(), waiter)
                           != queue->second.end();
    }
    if (!waits) {
        co_return QuotaAdmission { true, waiter->permit, absl::ZeroDuration() };
    }
    std::erase(this->waiting[tenant], waiter);
    // The limit may be gone, or a new one.
    quota = this->quotaKeeper.find(tenant);
    if (quota == nullptr) {
        co_return QuotaAdmission { true, std::nullopt, absl::ZeroDuration() };
    }
    quota->waiting = this->waiting[tenant].size();
    quota->recordShortage(Common::monotonicNow());
    co_return QuotaAdmission { false, std::nullopt, quota->refuse(Common::monotonicNow()) };
}

void QuotaGate::giveBack(const Common::TenantName &tenant, const Quotas::Permit &permit)
{
    if (Quotas::TenantQuota *quota = this->quotaKeeper.find(tenant)) {
        quota->giveBack(permit, Common::monotonicNow());
    }
}

void QuotaGate::serve(const Common::TenantName &tenant, std::deque<SharedWaiter> &queue)
{
    Quotas::TenantQuota *quota = this->quotaKeeper.find(tenant);
    while (!queue.empty()) {
        const SharedWaiter &first = queue.front();
        if (quota != nullptr) {
            first->permit = quota->take(Common::monotonicNow());
            if (!first->permit) {
                return;
            }
        }
        first->caller->wakeTimer.cancel();
        queue.pop_front();
        if (quota != nullptr) {
            quota->waiting = queue.size();
        }
    }
}

void QuotaGate::wakeWaiting()
{
    for (auto queue = this->waiting.begin(); queue != this->waiting.end();) {
        this->serve(queue->first, queue->second);
        queue = queue->second.empty() ? this->waiting.erase(queue) : std::next(queue);
    }
}

} // namespace Currantfall::Entry
