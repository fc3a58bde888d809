#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "currantfall/Quotas/QuotaKeeper.h"
#include "currantfall/Tenants/TenantTable.h"

#include "Asio.h"
#include "CallerState.h"
#include "EntrySettings.h"

namespace Currantfall::Entry {

struct QuotaAdmission
{
    bool admitted = false;
    /// Unset if the tenant has no limit.
    std::optional<Quotas::Permit> permit;
    /// When the caller of a refused request should come back.
    absl::Duration retryAfter;
};

/// Admits requests of tenants as far as their limits over all VMs allow. A request waits for a
/// moment if other VMs may have permits. Runs on the entry thread.
class QuotaGate
{
public:
    explicit QuotaGate(const EntrySettings &settings);

    /// Takes the limits of the configuration in force.
    void setTenants(const Tenants::TenantTable &tenants, Common::Instant now);
    /// Returns whether the request may go on. It does not wait beyond `deadline`, nor once its
    /// caller has closed the connection.
    boost::asio::awaitable<QuotaAdmission> enter(const Common::TenantName &tenant,
                                                 SharedCaller caller, Common::Instant deadline);
    void giveBack(const Common::TenantName &tenant, const Quotas::Permit &permit);

    Quotas::QuotaKeeper &keeper() { return this->quotaKeeper; }
    /// Lets waiting requests go on as far as there are permits.
    void wakeWaiting();
    /// Sets what is called when a request begins to wait, so that permits are asked for at once.
    void setOnWaiting(std::function<void()> callback) { this->onWaiting = std::move(callback); }

private:
    struct Waiter
    {
        SharedCaller caller;
        std::optional<Quotas::Permit> permit;
    };
    using SharedWaiter = std::shared_ptr<Waiter>;

    /// Gives the permits of the tenant to its waiting requests in their order.
    void serve(const Common::TenantName &tenant, std::deque<SharedWaiter> &queue);

    Quotas::QuotaKeeper quotaKeeper;
    std::map<Common::TenantName, std::deque<SharedWaiter>> waiting;
    std::function<void()> onWaiting;
};

} // namespace Currantfall::Entry
