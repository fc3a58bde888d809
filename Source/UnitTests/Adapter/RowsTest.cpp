#include <catch2/catch.hpp>

#include "platform/Directory.h"
#include "platform/OperatorRows.h"
#include "platform/ServerRows.h"
#include "platform/StoreCalls.h"

using namespace Currantfall;

namespace {

const std::string goodServer
        = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"a","version":"v1",)"
          R"("slots":3,"state":"ready","cold_remaining_ms":1500,"seq":4,"born":1700000000123})";

std::string with(const std::string &text, const std::string &from, const std::string &to)
{
    std::string result = text;
    const auto position = result.find(from);
    REQUIRE(position != std::string::npos);
    return result.replace(position, from.size(), to);
}

const std::string goodConfiguration
        = R"({"version":"r12","services":[{"name":"s1","health_path":"/health","max_conns":360,)"
          R"("cold_per_s":1.9}],"limits":{"max_header_bytes":16384,"max_body_bytes":1000,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"virtual_hosts":[{"host":"h.example",)"
          R"("paths":[{"name":"r1","prefix":"/a/","kind":"unsafe","timeout_ms":1200,)"
          R"("target_latency_ms":800,"priority":1,"service":"s1","max_attempts":2,)"
          R"("allowed_regions":["west"]},{"name":"r2","prefix":"/b/","kind":"safe",)"
          R"("traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":0}]}]}]})";

} // namespace

TEST_CASE("A backend server's row is decoded")
{
    const auto server = Adapter::readServer("i-1", goodServer);
    REQUIRE(server);
    CHECK(server->name.value() == "i-1");
    CHECK(server->service.value() == "huvo11a");
    CHECK(server->address == "10.128.0.9");
    CHECK(server->port == 8080);
    CHECK(server->slots == 3);
    CHECK_FALSE(server->draining);
    CHECK(server->coldFor == absl::Milliseconds(1500));
    CHECK(absl::ToUnixMillis(server->startTime) == 1700000000123);
    CHECK(Adapter::readServer("i-1", with(goodServer, "\"ready\"", "\"draining\""))->draining);
}

// Guards against rows of another writer that end the process or name a server to use.
TEST_CASE("A row that is not a backend server's is refused")
{
    const auto [from, to] = GENERATE(table<std::string, std::string>(
            { { "\"service\":\"huvo11a\",", "" },
              { "\"service\":\"huvo11a\"", "\"service\":7" },
              { "huvo11a", std::string(201, 's') },
              { "\"zone\":\"a\"", "\"zone\":\"" + std::string(65536, 'z') + "\"" },
              { "\"ready\"", "\"resting\"" },
              { "10.128.0.9:8080", "10.128.0.9" },
              { "10.128.0.9:8080", "somewhere:80" },
              { "10.128.0.9:8080", "10.128.0.9:99999" },
              { "\"slots\":3", "\"slots\":0" },
              { "\"slots\":3", "\"slots\":\"3\"" },
              { "\"slots\":3", "\"slots\":-3" },
              { "\"slots\":3", "\"slots\":4294967299" },
              { "\"slots\":3", "\"slots\":18446744073709551615" },
              { "\"slots\":3", "\"slots\":1e30" },
              { "\"slots\":3", "\"slots\":65536" },
              { "\"slots\":3", "\"slots\":NaN" },
              { "10.128.0.9:8080", "10.128.0.9:0" },
              { "10.128.0.9:8080", "10.128.0.9:-1" },
              { "10.128.0.9:8080", "10.128.0.9:73616" },
              { "10.128.0.9:8080", "0.0.0.0:8080" },
              { "10.128.0.9:8080", "224.0.0.1:8080" },
              { "10.128.0.9:8080", "255.255.255.255:8080" },
              { "\"cold_remaining_ms\":1500", "\"cold_remaining_ms\":1e300" },
              { "\"cold_remaining_ms\":1500", "\"cold_remaining_ms\":1e999" },
              { "\"born\":1700000000123", "\"born\":18446744073709551615" },
              { "\"born\":1700000000123", "\"born\":-1" },
              { "\"seq\":4", "\"seq\":" + std::string(65536, '[') },
              { "\"seq\":4", "\"seq\":" + std::string(100, '[') + std::string(100, ']') },
              { "\"cold_remaining_ms\":1500", "\"cold_remaining_ms\":null" },
              { "\"version\":\"v1\",", "" },
              { "\"version\":\"v1\"", "\"version\":1" },
              { "\"seq\":4,", "" },
              { "\"seq\":4", "\"seq\":\"4\"" },
              { "\"seq\":4", "\"seq\":4.5" },
              { "\"seq\":4", "\"seq\":-4" },
              { "\"born\":1700000000123", "\"born\":\"x\"" },
              { "{", "" },
              { "{", "\xff\xfe{" } }));
    const auto server = Adapter::readServer("i-1", with(goodServer, from, to));
    REQUIRE_FALSE(server);
    CHECK(server.error().code() == make_error_code(Common::ErrorCode::InvalidInput));
    CHECK(server.error().peer() == "i-1");
}

// Guards against names that end the header in which they are sent and start another request.
TEST_CASE("A server whose name can't be sent in a header is refused")
{
    for (const std::string &name :
         { std::string(), std::string("i-1\r\nX-Other: 1"), std::string("i-1\n"),
           std::string("i\0001", 3), std::string(" i-1"), std::string("i-1 ") }) {
        CHECK_FALSE(Adapter::readServer(name, goodServer));
    }
    CHECK(Adapter::readServer(std::string(200, 'x'), goodServer));
}

// Guards against messages as long as the row.
TEST_CASE("Messages about a row quote only the start of its texts")
{
    const std::string state(65536, 's');
    const auto server = Adapter::readServer("i-1", with(goodServer, "ready", state));
    REQUIRE_FALSE(server);
    CHECK(server.error().detail().size() < 200);
    const auto configuration
            = Adapter::readConfiguration(with(goodConfiguration, "\"r12\"", "\"" + state + "\""));
    REQUIRE_FALSE(configuration);
    CHECK(configuration.error().detail().size() < 200);
}

TEST_CASE("A configuration is decoded")
{
    const auto configuration = Adapter::readConfiguration(goodConfiguration);
    REQUIRE(configuration);
    CHECK(configuration->version() == 12);
    CHECK(configuration->limits().bodyBytes == 1000);
    CHECK(configuration->limits().idleTimeout == absl::Seconds(15));
    const Steering::Route *route = configuration->match("h.example", "/a/1");
    REQUIRE(route != nullptr);
    CHECK_FALSE(route->idempotent);
    CHECK(route->timeout == absl::Milliseconds(1200));
    CHECK(route->targetLatency == absl::Milliseconds(800));
    CHECK(route->rank == 1);
    CHECK(route->maxAttempts == 2);
    CHECK(route->allowedRegions == std::vector { Common::RegionName("west") });
    const Steering::Route *split = configuration->match("h.example", "/b/1");
    REQUIRE(split != nullptr);
    CHECK(split->idempotent);
    // A part without weight gets no requests.
    CHECK(split->services.size() == 1);
    CHECK(split->timeout == absl::InfiniteDuration());
    CHECK(configuration->service(Common::ServiceName("s1"))->coldRequestsPerSecond == 1.9);
}

// Guards against numbers of a configuration that are cut to their field, and against times that do
// not fit into the timers of connections.
TEST_CASE("Numbers of a configuration that are out of range do not wrap around")
{
    const auto attempts = Adapter::readConfiguration(
            with(goodConfiguration, "\"max_attempts\":2", "\"max_attempts\":4294967297"));
    REQUIRE(attempts);
    CHECK(attempts->match("h.example", "/a/1")->maxAttempts == 1);
    const auto connections = Adapter::readConfiguration(
            with(goodConfiguration, "\"max_conns\":360", "\"max_conns\":4294967300"));
    REQUIRE(connections);
    CHECK(connections->service(Common::ServiceName("s1"))->maxConnections == 0);
    const auto idle = Adapter::readConfiguration(
            with(goodConfiguration, "\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":1e300"));
    REQUIRE(idle);
    CHECK(idle->limits().idleTimeout == absl::Hours(24));
}

// Guards against kinds that are not known and would be repeated.
TEST_CASE("Only safe routes may be repeated")
{
    const std::string kind = GENERATE("unsafe", "upload", "keyed", "SAFE", "");
    const auto configuration
            = Adapter::readConfiguration(with(goodConfiguration, "\"safe\"", "\"" + kind + "\""));
    REQUIRE(configuration);
    CHECK_FALSE(configuration->match("h.example", "/b/1")->idempotent);
}

// Guards against downloads that are never repeated, so that one failed server ends them.
TEST_CASE("Downloads may be repeated")
{
    const auto configuration
            = Adapter::readConfiguration(with(goodConfiguration, "\"safe\"", "\"download\""));
    REQUIRE(configuration);
    CHECK(configuration->match("h.example", "/b/1")->idempotent);
}

const std::string tenantList
        = R"("tenants":[{"name":"sese880","api_keys":["k1","k2"],"priority":1,"rate_per_s":393,)"
          R"("burst":40,"allowed_regions":["west"]},{"name":"open"}],"virtual_hosts")";

TEST_CASE("Tenants of a configuration are decoded")
{
    const auto without = Adapter::readConfiguration(goodConfiguration);
    REQUIRE(without);
    CHECK(without->tenants().empty());
    CHECK_FALSE(without->match("h.example", "/a/1")->publicAccess);
    const auto configuration = Adapter::readConfiguration(
            with(with(goodConfiguration, "\"virtual_hosts\"", tenantList),
                 "\"priority\":1,\"service\"", "\"public\":true,\"priority\":1,\"service\""));
    REQUIRE(configuration);
    CHECK(configuration->match("h.example", "/a/1")->publicAccess);
    CHECK(configuration->tenants().size() == 2);
    const Tenants::Tenant *tenant = configuration->tenants().findByKey("k2");
    REQUIRE(tenant != nullptr);
    CHECK(tenant->name == Common::TenantName("sese880"));
    CHECK(tenant->rank == 1U);
    CHECK(tenant->requestsPerSecond == 393.0);
    CHECK(tenant->burst == 40.0);
    CHECK(tenant->allowedRegions == std::vector { Common::RegionName("west") });
    CHECK_FALSE(configuration->tenants().find(Common::TenantName("open"))->rank);
}

// Guards against a configuration whose tenants can't be read, and that serves callers without keys.
TEST_CASE("A configuration with a malformed tenant is refused as a whole")
{
    const auto [from, to] = GENERATE(
            table<std::string, std::string>({ { "\"name\":\"sese880\",", "" },
                                              { "\"sese880\"", "7" },
                                              { "\"sese880\"", "\"a\\r\\nX: 1\"" },
                                              { "\"k1\"", "1" },
                                              { "[\"west\"]},{", "[1]},{" },
                                              { "{\"name\":\"open\"}", "\"open\"" },
                                              { "\"tenants\":[", "\"tenants\":{\"x\":[" } }));
    INFO(from << " -> " << to);
    CHECK_FALSE(Adapter::readConfiguration(
            with(with(goodConfiguration, "\"virtual_hosts\"", tenantList), from, to)));
}

// Guards against keys in messages of errors, which are logged.
TEST_CASE("Messages about a configuration do not contain keys")
{
    const auto refused = Adapter::readConfiguration(with(
            with(goodConfiguration, "\"virtual_hosts\"", tenantList), "\"k1\"", "[\"secret\"]"));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().toString().find("secret") == std::string::npos);
    CHECK(refused.error().toString().find("k2") == std::string::npos);
}

// Guards against a broken configuration that replaces a good one.
TEST_CASE("A configuration with a malformed part is refused as a whole")
{
    const auto [from, to] = GENERATE(table<std::string, std::string>(
            { { "\"r12\"", "12" },
              { "\"r12\"", "\"r\"" },
              { "\"r12\"", "\"r1x\"" },
              { "\"prefix\":\"/a/\",", "" },
              { "\"host\":\"h.example\",", "" },
              { "\"service\":\"s1\",\"max", "\"max" },
              { "\"weight\":90", "\"weight\":0" },
              { "\"weight\":90", "\"weight\":\"90\"" },
              { "\"allowed_regions\":[\"west\"]", "\"allowed_regions\":[1]" },
              { "\"services\":[{", "\"services\":{\"x\":[{" } }));
    CHECK_FALSE(Adapter::readConfiguration(with(goodConfiguration, from, to)));
    CHECK_FALSE(Adapter::readConfiguration("[]"));
    CHECK_FALSE(Adapter::readConfiguration("{\"version\":\"r1\"}"));
}

TEST_CASE("Evacuations are found by their keys")
{
    CHECK(Adapter::evacuatedZone("evacuate/a") == Common::ZoneName("a"));
    CHECK_FALSE(Adapter::evacuatedZone("evacuate/"));
    CHECK_FALSE(Adapter::evacuatedZone("config"));
}

// Guards against a row that could be read before and stays in force although its value can't be
// read any more.
TEST_CASE("Rows of the store are decoded, a value that can't be read is empty")
{
    const auto page = Adapter::readRows(
            R"({"rows":[{"table":"t","part":"","key":"a","value":"aGk=","ver":4},)"
            R"({"key":"b","ver":5,"deleted":true},{"key":"c","value":"%%","ver":6},"x",)"
            R"({"value":"aGk=","ver":7}],"ver":530,"has_more":true,"now_ms":1})",
            3, Common::Instant());
    REQUIRE(page);
    CHECK(page->position == Steering::StorePosition(3, 530));
    CHECK(page->hasMore);
    REQUIRE(page->rows.size() == 3);
    CHECK(page->rows[0].value == "hi");
    CHECK(page->rows[0].position == Steering::StorePosition(3, 4));
    CHECK(page->rows[1].deleted);
    CHECK(page->rows[2].key == "c");
    CHECK(page->rows[2].position == Steering::StorePosition(3, 6));
    CHECK(page->rows[2].value.empty());
    CHECK_FALSE(page->rows[2].deleted);
    CHECK(page->unreadable == 3);
    for (const char *bad : { "", "[]", "{\"ver\":1}", "{\"rows\":[]}", "{\"rows\":1,\"ver\":1}" }) {
        CHECK_FALSE(Adapter::readRows(bad, 3, Common::Instant()));
    }
}

// Guards against one row that makes the whole list unreadable, so that no VM can follow it.
TEST_CASE("A row with text that is not Unicode or a number too large leaves the others readable")
{
    const std::string oddRow = GENERATE(R"({"key":"\ud800","value":"aGk=","ver":5})",
                                        R"({"key":"\udc00\ud83d\ude00","value":"aGk=","ver":5})",
                                        "{\"key\":\"x\xff\",\"value\":\"aGk=\",\"ver\":5}",
                                        "{\"key\":\"x\xed\xa0\x80\",\"value\":\"aGk=\",\"ver\":5}",
                                        "{\"key\":\"x\x01\",\"value\":\"aGk=\",\"ver\":5}",
                                        R"({"key":"b","value":"\ud800","ver":5})",
                                        R"({"key":"b","value":"aGk=","ver":1e999})",
                                        R"({"key":"b","value":"aGk=","ver":18446744073709551616})",
                                        R"({"key":"b","value":1e999,"ver":5})");
    INFO(oddRow);
    const auto page = Adapter::readRows(
            R"({"rows":[{"key":"a\ud83d\ude00","value":"aGk=","ver":4},)" + oddRow
                    + R"(,{"key":"z\"[{","value":"aG8=","ver":6}],"ver":530})",
            3, Common::Instant());
    REQUIRE(page);
    REQUIRE(page->rows.size() >= 2);
    CHECK(page->rows.front().key == "a\xf0\x9f\x98\x80");
    CHECK(page->rows.front().value == "hi");
    CHECK(page->rows.back().key == "z\"[{");
    CHECK(page->rows.back().value == "ho");
    for (const Steering::RowChange &row : page->rows) {
        CHECK_FALSE((row.key == "b" && row.value == "hi"));
    }
}

// Guards against an answer without a readable era that is taken for one of another era.
TEST_CASE("The store's era is decoded, anything else states no era")
{
    CHECK(Adapter::readEra("0") == 0U);
    CHECK(Adapter::readEra("17") == 17U);
    const std::string bad
            = GENERATE("", " 1", "1 ", "-1", "+1", "1.0", "0x1", "one", "18446744073709551616");
    CHECK_FALSE(Adapter::readEra(bad));
}

// Guards against entries of a restored store that are taken for newer ones.
TEST_CASE("The order of a server's entries is decoded")
{
    CHECK(Adapter::readServerOrder(goodServer) == Steering::WriterOrder(1700000000123, 4));
    CHECK(Adapter::readServerOrder(with(goodServer, ",\"born\":1700000000123", ""))
          == Steering::WriterOrder(0, 4));
    CHECK_FALSE(Adapter::readServerOrder(with(goodServer, "\"seq\":4", "\"seq\":\"4\"")));
    CHECK_FALSE(Adapter::readServerOrder(with(goodServer, ",\"seq\":4", "")));
    CHECK_FALSE(Adapter::readServerOrder(with(goodServer, "1700000000123", "\"x\"")));
    CHECK_FALSE(Adapter::readServerOrder("{"));
}

// Guards against the configuration of a restored store that is taken for a newer one.
TEST_CASE("The order of the operator's rows is that of configurations")
{
    CHECK(Adapter::readOperatorOrder("config", goodConfiguration) == Steering::WriterOrder(0, 12));
    CHECK_FALSE(Adapter::readOperatorOrder("config", with(goodConfiguration, "r12", "12")));
    CHECK_FALSE(Adapter::readOperatorOrder("config", "{"));
    CHECK_FALSE(Adapter::readOperatorOrder("evacuate/a", goodConfiguration));
}

TEST_CASE("Statuses of the store are told apart")
{
    using Adapter::StoreAnswer;
    CHECK(Adapter::storeAnswer(200) == StoreAnswer::Done);
    CHECK(Adapter::storeAnswer(410) == StoreAnswer::HistoryGone);
    CHECK(Adapter::storeAnswer(412) == StoreAnswer::ConditionFailed);
    CHECK(Adapter::storeAnswer(429) == StoreAnswer::Refused);
    CHECK(Adapter::storeAnswer(503) == StoreAnswer::Refused);
    CHECK(Adapter::changesTarget("a b", 7, absl::Seconds(1))
          == "/rows-feed?table=a%20b&after=7&wait_ms=1000");
}

TEST_CASE("Questions to the directory are decoded")
{
    const auto question
            = Adapter::readDirectoryQuestion("/resolve?name=h.example&region=west&zone=a%2Db");
    REQUIRE(question);
    CHECK(question->host == "h.example");
    CHECK(question->region.value() == "west");
    CHECK(question->zone.value() == "a-b");
    CHECK(Adapter::readDirectoryQuestion("/resolve")->zone.empty());
    CHECK_FALSE(Adapter::readDirectoryQuestion("/other?zone=a"));
    CHECK(Adapter::directoryAnswer({ "1.2.3.4:5" }, absl::Seconds(1))
          == R"({"addresses":["1.2.3.4:5"],"ttl_s":1.0})");
}
