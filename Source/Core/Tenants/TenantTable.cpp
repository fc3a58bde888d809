#include "currantfall/Tenants/TenantTable.h"

#include <random>
#include <utility>

#include <xxhash.h>

namespace Currantfall::Tenants {

namespace {

std::uint64_t processSecret()
{
    static const std::uint64_t secret = [] {
        std::random_device source;
        return (std::uint64_t { source() } << 32U) | source();
    }();
    return secret;
}

std::uint64_t hashOf(std::string_view key)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), processSecret());
}

/// Compares without ending at the first difference.
bool equalInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        difference |= static_cast<unsigned char>(left[index])
                      ^ static_cast<unsigned char>(right[index]);
    }
    return difference == 0;
}

} // namespace

TenantTable::TenantTable(std::vector<Tenant> list) : tenants(std::move(list))
{
    for (std::size_t index = 0; index < this->tenants.size(); ++index) {
        const Tenant &tenant = this->tenants[index];
        this->byName.emplace(tenant.name.value(), index);
        for (std::size_t number = 0; number < tenant.keys.size(); ++number) {
            const std::string &key = tenant.keys[number];
            std::vector<KeyPlace> &places = this->keyPlaces[hashOf(key)];
            bool known = false;
            for (KeyPlace &place : places) {
                if (this->tenants[place.tenant].keys[place.key] == key) {
                    place.ambiguous = place.ambiguous || place.tenant != index;
                    known = true;
                }
            }
            if (!known) {
                places.push_back({ index, number, false });
            }
        }
    }
}

const Tenant *TenantTable::findByKey(std::string_view key) const
{
    const auto places = this->keyPlaces.find(hashOf(key));
    if (key.empty() || places == this->keyPlaces.end()) {
        return nullptr;
    }
    for (const KeyPlace &place : places->second) {
        const Tenant &tenant = this->tenants[place.tenant];
        if (equalInConstantTime(tenant.keys[place.key], key)) {
            return place.ambiguous ? nullptr : &tenant;
        }
    }
    return nullptr;
}

const Tenant *TenantTable::find(const Common::TenantName &name) const
{
    const auto found = this->byName.find(name.value());
    return found == this->byName.end() ? nullptr : &this->tenants[found->second];
}

AccessDecision decideAccess(const TenantTable &tenants, bool publicRoute, std::string_view key)
{
    const Tenant *tenant = tenants.findByKey(key);
    const bool granted = tenants.empty() || publicRoute || tenant != nullptr;
    return { granted ? Access::Granted : Access::Denied, tenant };
}

} // namespace Currantfall::Tenants
