#include <cstdint>
#include <ctime>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <catch2/catch.hpp>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include "currantfall/Configuration/ClientBlockTable.h"
#include "currantfall/Configuration/DocumentReader.h"

// Prints the slopes of documents and client blocks; run with the tag [.benchmark].

namespace Currantfall::Configuration {

namespace {

constexpr std::uint32_t zoneCount = 55;
constexpr std::uint32_t zonesPerRegion = 4;
constexpr std::uint32_t lookupCount = 2'000'000;

double cpuSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return absl::ToDoubleSeconds(absl::DurationFromTimespec(time));
}

std::string zoneName(std::uint32_t zone)
{
    return absl::StrCat("zone-", zone % zoneCount);
}

/// Spreads the networks over the address space, as real blocks are.
std::uint32_t networkAddress(std::uint32_t index)
{
    constexpr std::uint32_t oddMultiplier = 7'368'787; // A bijection of 24-bit numbers.
    constexpr std::uint32_t networkMask = 0xffffff;
    return ((index * oddMultiplier) & networkMask) << 8U;
}

std::vector<ClientBlock> clientBlocks(std::uint32_t count)
{
    std::vector<ClientBlock> blocks;
    blocks.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        blocks.push_back({ Ipv4Network { networkAddress(index), 24 }.toString(),
                           Common::ZoneName(zoneName(index)) });
    }
    return blocks;
}

/// Regions of four zones each.
std::vector<Region> regions()
{
    std::vector<Region> result;
    for (std::uint32_t zone = 0; zone < zoneCount; ++zone) {
        if (zone % zonesPerRegion == 0) {
            result.push_back(
                    { Common::RegionName(absl::StrCat("region-", zone / zonesPerRegion)), {} });
        }
        result.back().zones.emplace_back(zoneName(zone));
    }
    return result;
}

std::string documentHead()
{
    std::string text = "version: 1\nenvironment: production\n"
                       "tenants: [{name: bellringer, weight: 2}]\n"
                       "ranks:\n  - {name: urgent, floor: 0.0}\nregions:\n";
    std::string links;
    std::string previous;
    for (const Region &region : regions()) {
        std::string names;
        for (const Common::ZoneName &zone : region.zones) {
            absl::StrAppend(&names, names.empty() ? "" : ", ", zone.value());
        }
        absl::StrAppend(&text, "  - {name: ", region.name.value(), ", availability_zones: [", names,
                        "]}\n");
        if (!previous.empty()) {
            absl::StrAppend(&links, "  - {between: [", previous, ", ", region.name.value(),
                            "], capacity_mbit_per_s: 4000, shift_cap: 0.5}\n");
        }
        previous = region.name.value();
    }
    absl::StrAppend(&text, "links:\n", links,
                    "shift: {interval_ms: 1000, max_step: 0.1, reserve: 0.15, "
                    "slow_start_ms: 10000}\nlookup: {ttl_ms: 2000}\n");
    return text;
}

/// One service per site.
std::string documentText(std::uint32_t blocks, std::uint32_t sites, std::uint32_t serversPerSite)
{
    std::string text = documentHead();
    absl::StrAppend(&text, "client_blocks:\n");
    for (const ClientBlock &block : clientBlocks(blocks)) {
        absl::StrAppend(&text, "  - {cidr: ", block.cidr, ", zone: ", block.zone.value(), "}\n");
    }
    absl::StrAppend(&text, "services:\n");
    // Zones without a backend server are an error, and so a document has servers in each of them.
    std::uint32_t zone = 0;
    for (std::uint32_t site = 0; site < sites; ++site) {
        absl::StrAppend(&text, "  - name: site-", site,
                        "\n    rank: urgent\n    deadline_ms: 1000\n    body_limit_bytes: 16384\n"
                        "    routes:\n      - {path: /, methods: [GET, HEAD], idempotent: true}\n"
                        "    backend_servers:\n");
        for (std::uint32_t server = 0; server < serversPerSite; ++server) {
            const std::string name = zoneName(zone++);
            absl::StrAppend(&text, "      - {name: site-", site, "-", name, "-", server,
                            ", zone: ", name, ", address: \"127.", site / 250, ".", site % 250, ".",
                            server + 1, ":9000\", slots: 3}\n");
        }
    }
    return text;
}

} // namespace

TEST_CASE("Cost of the client-block table by number of blocks", "[.benchmark]")
{
    for (const std::uint32_t count : { 10'000U, 100'000U, 1'000'000U, 2'200'000U }) {
        Environment environment;
        environment.regions = regions();
        environment.clientBlocks = clientBlocks(count);
        std::vector<ClientBlockTable::Block> blocks;
        blocks.reserve(count);
        for (std::uint32_t index = 0; index < count; ++index) {
            blocks.push_back(
                    { { networkAddress(index), 24 }, static_cast<ZoneIndex>(index % zoneCount) });
        }
        const double start = cpuSeconds();
        const auto created = ClientBlockTable::create(std::move(blocks));
        const double afterCreate = cpuSeconds();
        const auto table = ClientBlockTable::fromEnvironment(environment);
        const double afterBuild = cpuSeconds();
        REQUIRE(created);
        REQUIRE(table);
        std::uint32_t address = 1;
        std::uint64_t found = 0;
        const double beforeLookups = cpuSeconds();
        for (std::uint32_t index = 0; index < lookupCount; ++index) {
            address = address * 1'664'525U + 1'013'904'223U;
            found += table->lookup(address) ? 1 : 0;
        }
        const double lookups = cpuSeconds() - beforeLookups;
        const nlohmann::ordered_json line = {
            { "client_blocks", count },
            { "intervals", table->intervalCount() },
            { "table_bytes", table->byteSize() },
            { "create_ms", 1e3 * (afterCreate - start) },
            { "from_environment_ms", 1e3 * (afterBuild - afterCreate) },
            { "lookup_ns", 1e9 * lookups / lookupCount },
            { "lookups_found", found },
        };
        std::cout << line.dump() << std::endl;
    }
}

TEST_CASE("Cost of reading a document by its size", "[.benchmark]")
{
    struct Size
    {
        std::uint32_t blocks;
        std::uint32_t sites;
        std::uint32_t serversPerSite;
    };
    const std::vector<Size> sizes = { { 1'000, 5, 12 },   { 10'000, 5, 12 }, { 100'000, 5, 12 },
                                      { 150'000, 5, 12 }, { 100, 59, 12 },   { 100, 590, 12 } };
    for (const auto &[blocks, sites, serversPerSite] : sizes) {
        const std::string text = documentText(blocks, sites, serversPerSite);
        const std::size_t before = ::mallinfo2().uordblks;
        const double start = cpuSeconds();
        const auto environment = parseEnvironment(text);
        const double parse = cpuSeconds() - start;
        const std::size_t after = ::mallinfo2().uordblks;
        const double beforeHash = cpuSeconds();
        const std::string hash = contentHash(text);
        const double hashing = cpuSeconds() - beforeHash;
        const std::string fault
                = environment ? std::string() : environment.error().front().toString();
        INFO(fault);
        REQUIRE(environment);
        const nlohmann::ordered_json line = {
            { "client_blocks", blocks },
            { "sites", sites },
            { "backend_servers", sites * serversPerSite },
            { "document_bytes", text.size() },
            { "parse_ms", 1e3 * parse },
            { "hash_ms", 1e3 * hashing },
            { "environment_heap_bytes", after - before },
        };
        std::cout << line.dump() << std::endl;
    }
}

} // namespace Currantfall::Configuration
