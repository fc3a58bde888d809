#include "currantfall/Configuration/Differences.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Currantfall::Configuration {

namespace {

using Path = std::vector<std::string>;

// An environment as a map from paths to values. Items of lists have an entry of their own without a
// value, which tells an added or removed item from a changed one.
class FlatEnvironment
{
public:
    explicit FlatEnvironment(const Environment &environment)
    {
        this->values[{ "environment" }] = environment.name;
        this->addTenantsAndRanks(environment);
        this->addRegionsAndLinks(environment);
        this->addPolicies(environment);
        for (const Service &service : environment.services) {
            this->addService(service, environment);
        }
    }

    const std::map<Path, std::string> &entries() const { return this->values; }

private:
    void addItem(const Path &item, const std::vector<std::pair<std::string, std::string>> &fields)
    {
        this->values[item] = "";
        for (const auto &[key, value] : fields) {
            Path path = item;
            path.push_back(key);
            this->values[std::move(path)] = value;
        }
    }

    static std::string milliseconds(absl::Duration duration)
    {
        return absl::StrCat(absl::ToInt64Milliseconds(duration));
    }

    void addTenantsAndRanks(const Environment &environment)
    {
        for (const Tenant &tenant : environment.tenants) {
            this->addItem({ "tenants", tenant.name.value() },
                          { { "weight", absl::StrCat(tenant.weight) } });
        }
        for (std::size_t index = 0; index < environment.ranks.size(); ++index) {
            const Rank &rank = environment.ranks[index];
            this->addItem({ "ranks", rank.name.value() },
                          { { "position", absl::StrCat(index + 1) },
                            { "floor", absl::StrCat(rank.floor) } });
        }
    }

    void addRegionsAndLinks(const Environment &environment)
    {
        for (const Region &region : environment.regions) {
            this->addItem({ "regions", region.name.value() }, {});
            for (const Common::ZoneName &zone : region.zones) {
                this->addItem(
                        { "regions", region.name.value(), "availability_zones", zone.value() }, {});
            }
        }
        for (const Link &link : environment.links) {
            const auto [first, second] = std::minmax(link.first, link.second);
            this->addItem({ "links", absl::StrCat(first.value(), "/", second.value()) },
                          { { "capacity_mbit_per_s", absl::StrCat(link.capacity) },
                            { "shift_cap", absl::StrCat(link.shiftCap) } });
        }
    }

    void addPolicies(const Environment &environment)
    {
        const ShiftPolicy &shift = environment.shift;
        this->addItem({ "shift" }, { { "interval_ms", milliseconds(shift.interval) },
                                     { "max_step", absl::StrCat(shift.maxStep) },
                                     { "reserve", absl::StrCat(shift.reserve) },
                                     { "slow_start_ms", milliseconds(shift.slowStart) } });
        this->addItem({ "lookup" }, { { "ttl_ms", milliseconds(environment.lookupTtl) } });
        for (const ClientBlock &block : environment.clientBlocks) {
            this->addItem({ "client_blocks", block.cidr }, { { "zone", block.zone.value() } });
        }
    }

    void addService(const Service &service, const Environment &environment)
    {
        const Path item { "services", service.name.value() };
        this->addItem(item, { { "rank", environment.ranks.at(service.rank).name.value() },
                              { "deadline_ms", milliseconds(service.deadline) },
                              { "body_limit_bytes", absl::StrCat(service.bodyLimit) } });
        for (const Route &route : service.routes) {
            for (const std::string &method : route.methods) {
                this->addItem({ item[0], item[1], "routes", method + " " + route.path },
                              { { "idempotent", route.idempotent ? "true" : "false" } });
            }
        }
        for (const BackendServer &server : service.backendServers) {
            this->addItem({ item[0], item[1], "backend_servers", server.name.value() },
                          { { "zone", server.zone.value() },
                            { "address", server.address },
                            { "slots", absl::StrCat(server.slots) } });
        }
    }

    std::map<Path, std::string> values;
};

bool isBelow(const Path &path, const Path &item)
{
    return path.size() > item.size() && std::equal(item.begin(), item.end(), path.begin());
}

// Paths in `side` that `other` does not have, without those below another one of them.
std::vector<Path> onlyIn(const FlatEnvironment &side, const FlatEnvironment &other)
{
    std::vector<Path> paths;
    for (const auto &[path, value] : side.entries()) {
        const bool covered = !paths.empty() && isBelow(path, paths.back());
        if (!covered && other.entries().count(path) == 0) {
            paths.push_back(path);
        }
    }
    return paths;
}

} // namespace

std::vector<std::string> describeDifferences(const Environment &before, const Environment &after)
{
    const FlatEnvironment left(before);
    const FlatEnvironment right(after);
    std::map<Path, std::string> lines;
    for (const Path &path : onlyIn(left, right)) {
        lines[path] = "removed";
    }
    for (const Path &path : onlyIn(right, left)) {
        lines[path] = "added";
    }
    for (const auto &[path, value] : left.entries()) {
        const auto found = right.entries().find(path);
        if (found != right.entries().end() && found->second != value) {
            lines[path] = absl::StrCat(value, " -> ", found->second);
        }
    }
    std::vector<std::string> text;
    text.reserve(lines.size());
    for (const auto &[path, change] : lines) {
        text.push_back(absl::StrCat(absl::StrJoin(path, "."), ": ", change));
    }
    return text;
}

} // namespace Currantfall::Configuration
