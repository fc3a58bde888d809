#include "EnvironmentReader.h"

#include <algorithm>

#include "Definitions.h"
#include "ServiceReader.h"
#include "currantfall/Configuration/Ipv4Network.h"

namespace Currantfall::Configuration {

namespace {

// Ranks have the ports P+1 to P+7 of an entry VM; P+8 is the port of the peers.
constexpr std::size_t maxRanks = 7;
constexpr NumberRange fraction { 0.0, 1.0, false };
constexpr NumberRange weightRange { 0.0, 1000.0, true };
constexpr NumberRange capacityRange { 0.0, 1'000'000.0, true };
// Absorbs the rounding of decimal fractions that add up to 1.
constexpr double floorTolerance = 1e-9;
constexpr std::uint64_t minTtlMs = 100;
constexpr std::uint64_t maxIntervalMs = 60'000;
constexpr std::uint64_t maxSlowStartMs = 600'000;

Tenant readTenant(const Cursor &cursor, Definitions &definitions)
{
    const MapCursor map(cursor, { "name", "weight" });
    Tenant tenant;
    tenant.name = Common::TenantName(map.name("name"));
    if (const auto name = map.optional("name")) {
        definitions.tenants.define(*name, tenant.name.value());
    }
    if (const auto weight = map.optional("weight")) {
        tenant.weight = weight->number(weightRange).value_or(1.0);
    }
    return tenant;
}

Rank readRank(const Cursor &cursor, Definitions &definitions)
{
    const MapCursor map(cursor, { "name", "floor" });
    Rank rank;
    rank.name = Common::RankName(map.name("name"));
    // Positions in the table must be the positions in the list, also without a readable name.
    definitions.ranks.define(map.optional("name").value_or(cursor), rank.name.value());
    rank.floor = map.number("floor", fraction);
    return rank;
}

std::vector<Rank> readRanks(const MapCursor &map, Definitions &definitions)
{
    std::vector<Rank> ranks;
    double floors = 0.0;
    for (const Cursor &cursor : map.items("ranks", 1, maxRanks)) {
        ranks.push_back(readRank(cursor, definitions));
        floors += ranks.back().floor;
    }
    if (floors > 1.0 + floorTolerance) {
        map.optional("ranks")->fail("floors with a sum of at most 1");
    }
    return ranks;
}

Region readRegion(const Cursor &cursor, Definitions &definitions)
{
    const MapCursor map(cursor, { "name", "availability_zones" });
    Region region;
    region.name = Common::RegionName(map.name("name"));
    if (const auto name = map.optional("name")) {
        definitions.regions.define(*name, region.name.value());
    }
    for (const Cursor &zone : map.items("availability_zones", 1)) {
        region.zones.emplace_back(zone.name().value_or(""));
        definitions.zones.define(zone, region.zones.back().value());
    }
    return region;
}

void readLinkEnds(const Cursor &between, Link &link, Definitions &definitions)
{
    const std::vector<Cursor> ends = between.items(2, 2);
    std::vector<std::string> names;
    for (const Cursor &end : ends) {
        names.push_back(end.text().value_or(""));
        definitions.regions.resolve(end, names.back());
    }
    if (names.size() != 2) {
        return;
    }
    if (names[0] == names[1]) {
        ends[1].fail("another region than the first one");
        return;
    }
    definitions.regions.use(names[0]);
    definitions.regions.use(names[1]);
    link.first = Common::RegionName(names[0]);
    link.second = Common::RegionName(names[1]);
    const auto [least, greatest] = std::minmax(names[0], names[1]);
    definitions.links.define(between, least + " " + greatest);
}

Link readLink(const Cursor &cursor, Definitions &definitions)
{
    const MapCursor map(cursor, { "between", "capacity_mbit_per_s", "shift_cap" });
    Link link;
    if (const auto between = map.required("between")) {
        readLinkEnds(*between, link, definitions);
    }
    link.capacity = map.number("capacity_mbit_per_s", capacityRange);
    link.shiftCap = map.number("shift_cap", fraction);
    return link;
}

ShiftPolicy readShift(const Cursor &cursor)
{
    const MapCursor map(cursor, { "interval_ms", "max_step", "reserve", "slow_start_ms" });
    ShiftPolicy shift;
    shift.interval = absl::Milliseconds(map.integer("interval_ms", 1, maxIntervalMs));
    shift.maxStep = map.number("max_step", fraction);
    shift.reserve = map.number("reserve", fraction);
    shift.slowStart = absl::Milliseconds(map.integer("slow_start_ms", 0, maxSlowStartMs));
    return shift;
}

absl::Duration readLookupTtl(const Cursor &cursor)
{
    const MapCursor map(cursor, { "ttl_ms" });
    return absl::Milliseconds(map.integer("ttl_ms", minTtlMs, maxIntervalMs));
}

ClientBlock readClientBlock(const Cursor &cursor, Definitions &definitions)
{
    const MapCursor map(cursor, { "cidr", "zone" });
    ClientBlock block;
    block.cidr = map.text("cidr");
    if (const auto cidr = map.optional("cidr")) {
        if (!Ipv4Network::parse(block.cidr)) {
            cidr->fail("an IPv4 network such as 127.11.0.0/16 without bits behind the prefix");
        }
        definitions.clientBlocks.define(*cidr, block.cidr);
    }
    block.zone = Common::ZoneName(map.text("zone"));
    if (const auto zone = map.optional("zone")) {
        definitions.zones.resolve(*zone, block.zone.value());
    }
    return block;
}

void checkReachability(const Definitions &definitions)
{
    definitions.ranks.failUnused("a rank that a service has");
    definitions.zones.failUnused("an availability zone that a backend server is in");
    if (definitions.regions.size() > 1) {
        definitions.regions.failUnused("a region that a link ends at");
    }
}

// An absent list is the same as an empty one.
std::vector<Cursor> optionalItems(const MapCursor &map, const std::string &key)
{
    const auto found = map.optional(key);
    return found ? found->items(0) : std::vector<Cursor>();
}

} // namespace

// Sections are read so that definitions come before references to them, in whatever order the
// document has them.
Environment readEnvironment(const Cursor &root)
{
    const MapCursor map(root, { "version", "environment", "tenants", "ranks", "regions", "links",
                                "shift", "lookup", "client_blocks", "services" });
    Definitions definitions;
    Environment environment;
    if (!map.valid()) {
        return environment;
    }
    map.integer("version", 1, 1);
    environment.name = map.name("environment");
    for (const Cursor &tenant : map.items("tenants", 1)) {
        environment.tenants.push_back(readTenant(tenant, definitions));
    }
    environment.ranks = readRanks(map, definitions);
    for (const Cursor &region : map.items("regions", 1)) {
        environment.regions.push_back(readRegion(region, definitions));
    }
    for (const Cursor &link : optionalItems(map, "links")) {
        environment.links.push_back(readLink(link, definitions));
    }
    if (const auto shift = map.optional("shift")) {
        environment.shift = readShift(*shift);
    }
    if (const auto lookup = map.optional("lookup")) {
        environment.lookupTtl = readLookupTtl(*lookup);
    }
    for (const Cursor &block : optionalItems(map, "client_blocks")) {
        environment.clientBlocks.push_back(readClientBlock(block, definitions));
    }
    for (const Cursor &service : map.items("services", 1)) {
        environment.services.push_back(readService(service, definitions));
    }
    checkReachability(definitions);
    return environment;
}

} // namespace Currantfall::Configuration
