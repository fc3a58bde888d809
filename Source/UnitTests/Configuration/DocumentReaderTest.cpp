#include "currantfall/Configuration/DocumentReader.h"

#include <algorithm>
#include <set>

#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "Documents.h"

namespace Currantfall::Configuration {

namespace {

const std::string base = R"(version: 1
environment: trial
tenants: [{name: bellringer, weight: 2}, {name: kamloops}]
ranks:
  - {name: urgent, floor: 0.0}
  - {name: archive, floor: 0.05}
regions:
  - {name: mainland, availability_zones: [lm-a, lm-b]}
  - {name: island, availability_zones: [is-a]}
links:
  - {between: [mainland, island], capacity_mbit_per_s: 4000, shift_cap: 0.5}
shift: {interval_ms: 1000, max_step: 0.1, reserve: 0.15, slow_start_ms: 10000}
lookup: {ttl_ms: 2000}
client_blocks: [{cidr: 127.0.0.0/8, zone: lm-a}]
services:
  - name: bellbook
    rank: urgent
    deadline_ms: 3000
    body_limit_bytes: 65536
    routes:
      - {path: /bookings, methods: [POST], idempotent: false}
    backend_servers:
      - {name: bellbook-1, zone: lm-a, address: "127.11.1.1:9001", slots: 3}
      - {name: bellbook-2, zone: lm-b, address: "127.12.1.1:9001", slots: 3}
  - name: oldnews
    rank: archive
    deadline_ms: 9000
    body_limit_bytes: 0
    routes:
      - {path: /, methods: [GET, HEAD], idempotent: true}
    backend_servers:
      - {name: oldnews-1, zone: is-a, address: "127.13.1.1:9001", slots: 4}
)";

struct BrokenDocument
{
    std::string failure; // What would go wrong if the document was accepted.
    std::string from;
    std::string to;
    std::vector<std::string> diagnostics;
};

// One long list is easier to extend than a function for each case.
const std::vector<BrokenDocument> brokenDocuments = {
    { "a document of a later version is read as if it was this one",
      "version: 1",
      "version: 2",
      { "1:10: version: expected a whole number in 1..1" } },
    { "a misspelt limit is ignored",
      "deadline_ms: 3000",
      "deadline_msec: 3000",
      { "16:5: services[0].deadline_ms: expected the key to be present",
        "18:5: services[0].deadline_msec: expected one of the keys name, rank, deadline_ms, "
        "body_limit_bytes, routes, backend_servers" } },
    { "the second of two values wins silently",
      "rank: archive",
      "rank: archive\n    rank: urgent",
      { "27:5: services[1].rank: expected each key only once" } },
    { "two faults are reported one run after the other",
      "floor: 0.0}\n  - {name: archive, floor: 0.05",
      "floor: -1}\n  - {name: archive, floor: x",
      { "5:27: ranks[0].floor: expected a number in 0..1",
        "6:28: ranks[1].floor: expected a number in 0..1" } },
    { "a quoted number is taken as a number",
      "ttl_ms: 2000",
      "ttl_ms: '2000'",
      { "13:18: lookup.ttl_ms: expected a whole number in 100..60000" } },
    { "an octal number is taken as decimal",
      "ttl_ms: 2000",
      "ttl_ms: 0200",
      { "13:18: lookup.ttl_ms: expected a whole number in 100..60000" } },
    { "not-a-number passes range checks",
      "reserve: 0.15",
      "reserve: nan",
      { "12:52: shift.reserve: expected a number in 0..1" } },
    { "a tenant without weight divides by zero",
      "weight: 2",
      "weight: 0",
      { "3:38: tenants[0].weight: expected a number above 0 and up to 1000" } },
    { "floors promise more than the capacity",
      "floor: 0.0}\n  - {name: archive, floor: 0.05",
      "floor: 0.6}\n  - {name: archive, floor: 0.5",
      { "5:3: ranks: expected floors with a sum of at most 1" } },
    { "a key separator in a name breaks idempotency keys",
      "name: kamloops",
      "name: kam.loops",
      { "3:49: tenants[1].name: expected a name of 1 to 63 characters of a-z, 0-9 and '-' that "
        "does not start with '-'" } },
    { "a list is taken as text",
      "environment: trial",
      "environment: [trial]",
      { "2:14: environment: expected a name of 1 to 63 characters of a-z, 0-9 and '-' that does "
        "not start with '-'" } },
    { "text is taken as a list",
      "methods: [POST]",
      "methods: POST",
      { "21:36: services[0].routes[0].methods: expected a list with at least 1 element" } },
    { "a service has no route",
      "\n      - {path: /bookings, methods: [POST], idempotent: false}",
      " []",
      { "20:13: services[0].routes: expected a list with at least 1 element" } },
    { "a boolean word of YAML 1.1 is read as false",
      "idempotent: true",
      "idempotent: yes",
      { "30:53: services[1].routes[0].idempotent: expected true or false" } },
    { "an unknown method never matches",
      "[GET, HEAD]",
      "[GET, Head]",
      { "30:34: services[1].routes[0].methods[1]: expected one of GET, HEAD, POST, PUT, DELETE, "
        "OPTIONS, PATCH" } },
    { "which of two equal routes applies is arbitrary",
      "methods: [GET, HEAD]",
      "methods: [GET, GET]",
      { "30:34: services[1].routes[0].methods[1]: expected a unique pair of path and method; "
        "first used in line 30" } },
    { "a relative path never matches",
      "path: /bookings",
      "path: bookings",
      { "21:16: services[0].routes[0].path: expected a path that starts with '/' and has no query, "
        "empty segment or '/' at the end" } },
    { "a deadline of zero refuses everything",
      "deadline_ms: 9000",
      "deadline_ms: 0",
      { "27:18: services[1].deadline_ms: expected a whole number in 1..600000" } },
    { "a body does not fit into a frame",
      "body_limit_bytes: 65536",
      "body_limit_bytes: 16777217",
      { "19:23: services[0].body_limit_bytes: expected a whole number in 0..16777216" } },
    { "a service has an unknown rank",
      "rank: archive",
      "rank: bulk",
      { "6:12: ranks[1].name: expected a rank that a service has",
        "26:11: services[1].rank: expected the name of an existing rank" } },
    { "a backend server is in an unknown zone",
      "zone: lm-b",
      "zone: lm-c",
      { "8:49: regions[0].availability_zones[1]: expected an availability zone that a backend "
        "server is in",
        "24:34: services[0].backend_servers[1].zone: expected the name of an existing availability "
        "zone" } },
    { "an empty reference resolves to the first rank",
      "rank: urgent\n    deadline_ms: 3000",
      "rank: \"\"\n    deadline_ms: 3000",
      { "5:12: ranks[0].name: expected a rank that a service has",
        "17:11: services[0].rank: expected the name of an existing rank" } },
    { "client blocks point to an unknown zone",
      "/8, zone: lm-a",
      "/8, zone: lm-z",
      { "14:43: client_blocks[0].zone: expected the name of an existing availability zone" } },
    { "a drain by name hits two backend servers",
      "name: oldnews-1",
      "name: bellbook-1",
      { "32:16: services[1].backend_servers[0].name: expected a unique backend server; first used "
        "in line 23" } },
    { "one address serves two backend servers and overruns its slots",
      "127.13.1.1:9001",
      "127.11.1.1:9001",
      { "32:48: services[1].backend_servers[0].address: expected a unique address; first used in "
        "line 23" } },
    { "a host name blocks a thread in name resolution",
      "\"127.13.1.1:9001\"",
      "localhost:9001",
      { "32:48: services[1].backend_servers[0].address: expected an IPv4 address and port such as "
        "127.11.1.1:9000" } },
    { "a backend server without slots divides by zero",
      "slots: 4",
      "slots: 0",
      { "32:74: services[1].backend_servers[0].slots: expected a whole number in 1..1000" } },
    { "one zone counts for two regions",
      "availability_zones: [is-a]",
      "availability_zones: [is-a, lm-a]",
      { "9:47: regions[1].availability_zones[1]: expected a unique availability zone; first used "
        "in "
        "line 8" } },
    { "a region can't be reached",
      "links:\n  - {between: [mainland, island], capacity_mbit_per_s: 4000, shift_cap: 0.5}\n",
      "",
      { "8:12: regions[0].name: expected a region that a link ends at",
        "9:12: regions[1].name: expected a region that a link ends at" } },
    { "a link ends where it starts",
      "[mainland, island]",
      "[island, island]",
      { "8:12: regions[0].name: expected a region that a link ends at",
        "9:12: regions[1].name: expected a region that a link ends at",
        "11:24: links[0].between[1]: expected another region than the first one" } },
    { "a second link between the same regions doubles the cap",
      "shift_cap: 0.5}",
      "shift_cap: 0.5}\n  - {between: [island, mainland], capacity_mbit_per_s: 1, shift_cap: 0}",
      { "12:15: links[1].between: expected a unique pair of regions; first used in line 11" } },
    { "a network with host bits means another one than written",
      "127.0.0.0/8",
      "127.0.0.1/8",
      { "14:24: client_blocks[0].cidr: expected an IPv4 network such as 127.11.0.0/16 without bits "
        "behind the prefix" } },
    { "a rank has no port",
      "  - {name: archive, floor: 0.05}",
      "  - {name: archive, floor: 0}\n  - {name: r3, floor: 0}\n  - {name: r4, floor: 0}\n"
      "  - {name: r5, floor: 0}\n  - {name: r6, floor: 0}\n  - {name: r7, floor: 0}\n"
      "  - {name: r8, floor: 0}",
      { "5:3: ranks: expected a list of 1 to 7 elements",
        "7:12: ranks[2].name: expected a rank that a service has",
        "8:12: ranks[3].name: expected a rank that a service has",
        "9:12: ranks[4].name: expected a rank that a service has",
        "10:12: ranks[5].name: expected a rank that a service has",
        "11:12: ranks[6].name: expected a rank that a service has",
        "12:12: ranks[7].name: expected a rank that a service has" } },
    { "a service without backend servers hides behind its name",
      "\n      - {name: oldnews-1, zone: is-a, address: \"127.13.1.1:9001\", slots: 4}",
      " []",
      { "9:41: regions[1].availability_zones[0]: expected an availability zone that a backend "
        "server is in",
        "31:22: services[1].backend_servers: expected a list with at least 1 element" } },
    { "an alias expands to a huge document",
      "availability_zones: [is-a]",
      "availability_zones: [&z is-a, *z]",
      { "9:50: document: expected a value instead of an alias",
        "9:50: regions[1].availability_zones[1]: expected a name of 1 to 63 characters of a-z, 0-9 "
        "and '-' that does not start with '-'" } },
    { "a tag changes the type of a value",
      "slots: 4",
      "slots: !!str 4",
      { "32:74: document: expected a value without a tag" } },
    { "what follows a second document marker is ignored",
      "environment: trial",
      "environment: trial\n---\nversion: 1",
      { "3:1: document: expected a single document" } },
    { "invalid YAML ends the program",
      "lookup: {ttl_ms: 2000}",
      "lookup: {ttl_ms: 2000",
      { "14:14: document: expected valid YAML: end of map flow not found" } },
    { "deep nesting overflows the stack",
      "environment: trial",
      "environment: [[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]",
      { "2:29: document: expected valid YAML: nesting of at most 16 levels" } },
};

std::string lines(const std::vector<Diagnostic> &diagnostics)
{
    return absl::StrJoin(diagnostics, "\n", [](std::string *out, const Diagnostic &diagnostic) {
        out->append(diagnostic.toString());
    });
}

// Follows every reference of an accepted document.
void checkReferences(const Environment &environment)
{
    std::set<std::string> serverNames;
    std::set<std::string> regionNames;
    for (const Region &region : environment.regions) {
        RC_ASSERT(regionNames.insert(region.name.value()).second);
    }
    for (const Service &service : environment.services) {
        RC_ASSERT(service.rank < environment.ranks.size());
        RC_ASSERT(!service.backendServers.empty());
        for (const BackendServer &server : service.backendServers) {
            RC_ASSERT(environment.regionOf(server.zone) != nullptr);
            RC_ASSERT(server.slots > 0U);
            RC_ASSERT(serverNames.insert(server.name.value()).second);
        }
    }
    for (const ClientBlock &block : environment.clientBlocks) {
        RC_ASSERT(environment.regionOf(block.zone) != nullptr);
    }
    for (const Link &link : environment.links) {
        RC_ASSERT(regionNames.count(link.first.value()) == 1U);
        RC_ASSERT(regionNames.count(link.second.value()) == 1U);
    }
}

// Values that fit into many places of a document, so that mutations also stay valid YAML.
std::string randomPiece(const std::string &text)
{
    const auto tokens = std::vector<std::string> {
        "",
        "lm-a",
        "ok-b",
        "urgent",
        "slotview",
        "0",
        "-1",
        "1e9",
        "[",
        "]",
        "{",
        "}",
        ":",
        "\n",
        "  ",
        "- ",
        "&a",
        "*a",
        "\"",
        "\"\"",
        "'",
        "!x",
        std::string(1, '\0'),
        "\xff",
    };
    if (*rc::gen::arbitrary<bool>()) {
        return *rc::gen::elementOf(tokens);
    }
    const auto start = *rc::gen::inRange<std::size_t>(0, text.size());
    return text.substr(start, *rc::gen::inRange<std::size_t>(0, 60));
}

// Replaces a whole value or key, or a few characters anywhere.
void mutate(std::string &text, const std::string &piece)
{
    const std::string separators = " \n{}[],:\"";
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>()) {
        const std::size_t before = text.find_last_of(separators, position);
        const std::size_t start = before == std::string::npos ? 0 : before + 1;
        const std::size_t end = std::min(text.find_first_of(separators, start), text.size());
        text.replace(start, end - start, piece);
        return;
    }
    text.replace(position, *rc::gen::inRange<std::size_t>(0, 12), piece);
}

} // namespace

TEST_CASE("The documents of both users are accepted with the sizes of the design page")
{
    for (const std::string name : { "bellringer", "velamar" }) {
        const auto environment = parseEnvironment(exampleText(name));
        INFO(name << "\n" << (environment ? "" : lines(environment.error())));
        REQUIRE(environment);
        REQUIRE(environment->regions.size() == 3);
        REQUIRE(environment->links.size() == 3);
        REQUIRE(environment->services.size() == 4);
        for (const Service &service : environment->services) {
            REQUIRE(service.backendServers.size() == 12);
        }
    }
}

TEST_CASE("Every field of a document arrives in the environment")
{
    const auto environment = parseEnvironment(base);
    REQUIRE(environment);
    REQUIRE(environment->name == "trial");
    REQUIRE(environment->tenants.at(1).weight == 1.0);
    REQUIRE(environment->ranks.at(1).floor == 0.05);
    REQUIRE(environment->links.at(0).capacity == 4000);
    REQUIRE(environment->links.at(0).shiftCap == 0.5);
    REQUIRE(environment->shift == ShiftPolicy {});
    REQUIRE(environment->lookupTtl == absl::Seconds(2));
    REQUIRE(environment->clientBlocks.at(0).cidr == "127.0.0.0/8");
    const Service &service = environment->services.at(1);
    REQUIRE(service.rank == 1);
    REQUIRE(service.deadline == absl::Seconds(9));
    REQUIRE(service.routes.at(0).methods == std::vector<std::string> { "GET", "HEAD" });
    REQUIRE(service.routes.at(0).idempotent);
    REQUIRE(service.backendServers.at(0).address == "127.13.1.1:9001");
    REQUIRE(service.backendServers.at(0).slots == 4);
}

TEST_CASE("A broken document gives every fault with its position, path and expectation")
{
    for (const BrokenDocument &broken : brokenDocuments) {
        INFO(broken.failure);
        const auto environment = parseEnvironment(replaced(base, broken.from, broken.to));
        REQUIRE_FALSE(environment);
        CHECK(lines(environment.error()) == absl::StrJoin(broken.diagnostics, "\n"));
    }
}

TEST_CASE("A document that is empty, no map or too long is refused without exhausting memory")
{
    const auto only = [](const std::string &text) { return lines(parseEnvironment(text).error()); };
    REQUIRE(only("") == "1:1: document: expected an environment document");
    REQUIRE(only("[]")
            == "1:1: document: expected a map with the keys version, environment, tenants, ranks, "
               "regions, links, shift, lookup, client_blocks, services");
    REQUIRE(only(std::string((16 << 20) + 1, 'a'))
            == "1:1: document: expected at most 16777216 bytes");
    std::string many = "[0";
    for (int count = 0; count < 1'000'000; ++count) {
        many += ",0";
    }
    REQUIRE(only(many) == "1:2000002: document: expected valid YAML: at most 1000000 values");
}

TEST_CASE("The content hash is the XXH3-128 of the text, so that all programs agree on names")
{
    // The published test value of XXH3-128 for empty input.
    REQUIRE(contentHash("") == "99aa06d3014798d86001c324468d497f");
    REQUIRE(contentHash("a") != contentHash("b"));
}

TEST_CASE("Random changes of a document never crash the reader or leave a dangling reference")
{
    const std::string original = exampleText("bellringer");
    rc::prop("mutated documents", [&original] {
        std::string text = original;
        const int changes = *rc::gen::inRange(1, 4);
        for (int change = 0; change < changes; ++change) {
            mutate(text, randomPiece(original));
        }
        const auto environment = parseEnvironment(text);
        RC_TAG(environment ? "accepted" : "refused");
        if (environment) {
            checkReferences(*environment);
            return;
        }
        RC_ASSERT(!environment.error().empty());
        for (const Diagnostic &diagnostic : environment.error()) {
            RC_ASSERT(diagnostic.line > 0U && diagnostic.column > 0U);
        }
    });
}

} // namespace Currantfall::Configuration
