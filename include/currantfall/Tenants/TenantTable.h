#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Tenants {

/// A customer whose callers prove with a key that they belong to it.
struct Tenant
{
    Common::TenantName name;
    /// Callers send one of these. Never written to a log or a metric; VMs pass them to each other
    /// only inside the operator's configuration.
    std::vector<std::string> keys;
    /// Takes precedence over the rank of a route.
    std::optional<Common::RankIndex> rank;
    /// Regions whose servers may handle its requests; all regions if empty.
    std::vector<Common::RegionName> allowedRegions;
    /// Requests per second over all VMs; 0 means no limit.
    double requestsPerSecond = 0.0;
    /// Requests beyond the rate that may come at once.
    double burst = 0.0;

    friend bool operator==(const Tenant &left, const Tenant &right) = default;
};

/// The tenants of one version of the configuration. Immutable.
class TenantTable
{
public:
    TenantTable() = default;
    /// If two tenants have the same key, it belongs to neither, because it proves nothing.
    explicit TenantTable(std::vector<Tenant> tenants);

    bool empty() const { return this->tenants.empty(); }
    std::size_t size() const { return this->tenants.size(); }
    const std::vector<Tenant> &all() const { return this->tenants; }
    /// Returns nullptr if no tenant has the key. The time does not depend on how much of a key is
    /// right.
    const Tenant *findByKey(std::string_view key) const;
    /// Returns nullptr if there is no such tenant.
    const Tenant *find(const Common::TenantName &name) const;

    friend bool operator==(const TenantTable &left, const TenantTable &right)
    {
        return left.tenants == right.tenants;
    }

private:
    /// Place of a key among the tenants.
    struct KeyPlace
    {
        std::size_t tenant = 0;
        std::size_t key = 0;
        bool ambiguous = false;
    };

    std::vector<Tenant> tenants;
    /// By a hash with a secret of this process, so that callers can't choose keys that collide.
    absl::flat_hash_map<std::uint64_t, std::vector<KeyPlace>> keyPlaces;
    absl::flat_hash_map<std::string, std::size_t> byName;
};

/// Whether a caller may use a route.
enum class Access {
    Granted,
    Denied, ///< The route needs a key, and the caller has none that is valid.
};

struct AccessDecision
{
    Access access = Access::Granted;
    /// The tenant whose key the caller sent, if it is valid.
    const Tenant *tenant = nullptr;

    friend bool operator==(const AccessDecision &left, const AccessDecision &right) = default;
};

/// Decides about a request with `key`, which is empty if the caller sent none. Without tenants all
/// routes are public.
AccessDecision decideAccess(const TenantTable &tenants, bool publicRoute, std::string_view key);

} // namespace Currantfall::Tenants
