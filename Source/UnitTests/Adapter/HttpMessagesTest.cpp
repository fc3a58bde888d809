#include "platform/HttpMessages.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace Currantfall;
namespace http = boost::beast::http;

namespace {

Adapter::HttpRequest request()
{
    Adapter::HttpRequest result(http::verb::post, "/a/b?c=d", 11);
    result.set("Host", "h.example");
    result.set("Request-Id", "9c41");
    result.set("Cookie", "other=1; Affinity-Key=17; last=2");
    result.set("Deadline-Ms", "3000");
    result.set("Connection", "keep-alive, X-Hop");
    result.set("X-Hop", "1");
    result.set("X-Kept", "2");
    result.set("Expect-Instance", "forged");
    result.set("TE", "trailers");
    result.body() = "body";
    result.prepare_payload();
    return result;
}

Adapter::HttpResponse response(unsigned status)
{
    Adapter::HttpResponse result;
    result.version(11);
    result.result(status);
    result.set("Request-Id", "9c41");
    return result;
}

} // namespace

TEST_CASE("A caller's headers are decoded")
{
    const Adapter::CallerRequest caller = Adapter::readCaller(request());
    CHECK(caller.id == "9c41");
    CHECK(caller.object == "17");
    CHECK(caller.deadline == absl::Seconds(3));
    Adapter::HttpRequest bare(http::verb::get, "/", 11);
    bare.set("Deadline-Ms", "-5");
    bare.set("Cookie", "Affinity-Keys=1");
    CHECK_FALSE(Adapter::readCaller(bare).deadline);
    CHECK(Adapter::readCaller(bare).object.empty());
}

// Guards against requests that run at another server or longer than their caller waits.
TEST_CASE("A forwarded request names its server and the time that is left")
{
    const auto forwarded = Adapter::backendRequest(request(), absl::Milliseconds(1234),
                                                   Common::BackendServerName("i-1"));
    CHECK(forwarded.target() == "/a/b?c=d");
    CHECK(forwarded.method() == http::verb::post);
    CHECK(forwarded.body() == "body");
    CHECK(forwarded["Content-Length"] == "4");
    CHECK(forwarded["Deadline-Ms"] == "1234");
    CHECK(forwarded["Expect-Instance"] == "i-1");
    CHECK(forwarded.count("Expect-Instance") == 1);
    CHECK(forwarded["Request-Id"] == "9c41");
    CHECK(forwarded["Cookie"] == "other=1; Affinity-Key=17; last=2");
    CHECK(forwarded["X-Kept"] == "2");
    for (const char *hop : { "Connection", "X-Hop", "TE" }) {
        CHECK(forwarded.count(hop) == 0);
    }
    const auto late = Adapter::backendRequest(request(), absl::Milliseconds(-3),
                                              Common::BackendServerName("i-1"));
    CHECK(late["Deadline-Ms"] == "1");
}

// Guards against "not run" that is not true, and against bodies that are not the server's.
TEST_CASE("What a response says of its request is decoded")
{
    Adapter::HttpResponse shed = response(503);
    shed.set("Not-Executed", "1");
    shed.set("Server-Load", "3,9,3");
    const auto refused = Adapter::readBackend(shed);
    CHECK(refused.notExecuted);
    CHECK(refused.load == Steering::LoadReport { 3, 9, 3 });
    CHECK_FALSE(Adapter::readBackend(response(503)).notExecuted);
    CHECK(Adapter::readBackend(response(503)).serverError);
    CHECK(Adapter::readBackend(response(421)).misdirected);
    CHECK(Adapter::readBackend(response(421)).notExecuted);

    Adapter::HttpResponse good = response(200);
    CHECK_FALSE(Adapter::readBackend(good).genuine);
    good.set("Server-Seal", "3e1b");
    CHECK(Adapter::readBackend(good).genuine);
    good.set("Content-Encoding", "gzip");
    CHECK_FALSE(Adapter::readBackend(good).genuine);
    good.set("Server-Load", "3,x,3");
    CHECK_FALSE(Adapter::readBackend(good).load);

    Adapter::HttpResponse health = response(200);
    health.set("Instance-Id", "i-1");
    health.set("Cold-Ms", "700");
    CHECK(Adapter::readBackend(health).server.value() == "i-1");
    CHECK(Adapter::readBackend(health).coldFor == absl::Milliseconds(700));
}

// Guards against numbers of another process that overflow when they are converted or added up.
TEST_CASE("Headers with numbers out of range are ignored")
{
    for (const char *load :
         { "nan,0,3", "1,inf,3", "4294967297,0,3", "1e30,0,3", "3000000,0,3", "-1,0,3" }) {
        INFO(load);
        Adapter::HttpResponse odd = response(200);
        odd.set("Server-Load", load);
        CHECK_FALSE(Adapter::readBackend(odd).load);
    }
    for (const char *cold : { "nan", "inf", "1e300", "1e12" }) {
        INFO(cold);
        Adapter::HttpResponse odd = response(200);
        odd.set("Cold-Ms", cold);
        CHECK_FALSE(Adapter::readBackend(odd).coldFor);
    }
    Adapter::HttpRequest patient = request();
    patient.set("Deadline-Ms", "1e300");
    CHECK(Adapter::readCaller(patient).deadline == absl::Hours(24));
    for (const char *deadline : { "nan", "inf" }) {
        patient.set("Deadline-Ms", deadline);
        CHECK_FALSE(Adapter::readCaller(patient).deadline);
    }
}

// Guards against notices of a server that are lost because a header comes twice.
TEST_CASE("What a response says of its server is decoded")
{
    Adapter::HttpResponse refusal = response(503);
    refusal.insert("Server-Leaving", "1");
    refusal.insert("server-leaving", "x");
    refusal.insert("Retry-After", "2");
    refusal.insert("retry-after", "0.5");
    const auto decoded = Adapter::readBackend(refusal);
    CHECK(decoded.notice.unavailable);
    CHECK(decoded.notice.leaving == std::vector<std::string> { "1", "x" });
    CHECK(decoded.notice.retryAfter == std::vector<std::string> { "2", "0.5" });
    const auto plain = Adapter::readBackend(response(429));
    CHECK_FALSE(plain.notice.unavailable);
    CHECK(plain.notice.leaving.empty());
    CHECK(plain.notice.retryAfter.empty());
}

TEST_CASE("A response is returned without hop-by-hop headers")
{
    Adapter::HttpResponse good = response(203);
    good.set("Server-Seal", "3e1b");
    good.set("Connection", "close");
    good.set("Keep-Alive", "timeout=5");
    good.body() = "bytes";
    const auto returned = Adapter::callerResponse(good);
    CHECK(returned.result_int() == 203);
    CHECK(returned["Server-Seal"] == "3e1b");
    CHECK(returned.count("Connection") == 0);
    CHECK(returned.count("Keep-Alive") == 0);
    CHECK(returned.body() == "bytes");
    good.set("Retry-After", "3600");
    CHECK(Adapter::callerResponse(good)["Retry-After"] == "3600");
    CHECK(Adapter::callerResponse(good, absl::Milliseconds(500))["Retry-After"] == "0.500");
}

// Guards against statuses that promise more than is known.
TEST_CASE("Only failures that are proven not to have run get a status that says so")
{
    using Adapter::Failure;
    const auto statusOf = [](Failure failure) {
        return Adapter::failureResponse(failure, "9c41", absl::Milliseconds(250), "reason");
    };
    CHECK(statusOf(Failure::NotRun).result_int() == 503);
    CHECK(statusOf(Failure::NotRun)["Retry-After"] == "0.250");
    CHECK(statusOf(Failure::NotRun)["Request-Id"] == "9c41");
    CHECK(statusOf(Failure::OverQuota).result_int() == 429);
    CHECK(statusOf(Failure::OverQuota)["Retry-After"] == "0.250");
    CHECK(statusOf(Failure::OutcomeUnknown).result_int() == 502);
    CHECK(statusOf(Failure::OutcomeUnknown).count("Retry-After") == 0);
    CHECK(statusOf(Failure::TimedOut).result_int() == 504);
    CHECK(statusOf(Failure::NoRoute).result_int() == 404);
    CHECK(statusOf(Failure::BodyTooLarge).result_int() == 413);
    CHECK(statusOf(Failure::HeaderTooLarge).result_int() == 431);
    CHECK(statusOf(Failure::Malformed).result_int() == 400);
    CHECK(statusOf(Failure::HeaderTimeout).result_int() == 408);
}

// Guards against keys that reach a server or a log through a header that is read twice.
TEST_CASE("The key of a tenant is read from one Authorization header only")
{
    const auto keyOf = [](const std::vector<std::string> &headers) {
        Adapter::HttpRequest request(http::verb::get, "/", 11);
        for (const std::string &header : headers) {
            request.insert("Authorization", header);
        }
        return Adapter::readCaller(request).key;
    };
    CHECK(keyOf({ "Token rytapjs" }) == "rytapjs");
    CHECK(keyOf({ "token   rytapjs " }) == "rytapjs");
    CHECK(keyOf({}).empty());
    CHECK(keyOf({ "Token" }).empty());
    CHECK(keyOf({ "Tokenrytapjs" }).empty());
    CHECK(keyOf({ "Bearer rytapjs" }).empty());
    CHECK(keyOf({ "Token rytapjs", "Token other" }).empty());
}

// Guards against servers that see a key, or a tenant that the caller names itself (UNASKED).
TEST_CASE("A server gets the name of the tenant and never the key")
{
    Adapter::HttpRequest sent = request();
    sent.set("Authorization", "Token rytapjs");
    sent.insert("Tenant", "forged");
    sent.insert("tenant", "forged-again");
    const Common::BackendServerName server("i-1");
    const Common::TenantName tenant("sese880");
    const auto forwarded = Adapter::backendRequest(sent, absl::Seconds(1), server, &tenant);
    CHECK(forwarded.count("Authorization") == 0);
    CHECK(forwarded.count("Tenant") == 1);
    CHECK(forwarded["Tenant"] == "sese880");
    const Common::TenantName none;
    const auto open = Adapter::backendRequest(sent, absl::Seconds(1), server, &none);
    CHECK(open.count("Authorization") == 0);
    CHECK(open.count("Tenant") == 0);
    // A deployment without tenants passes all headers on.
    const auto plain = Adapter::backendRequest(sent, absl::Seconds(1), server);
    CHECK(plain["Authorization"] == "Token rytapjs");
    CHECK(plain.count("Tenant") == 2);
}

// Guards against reports of servers with a fourth figure that are thrown away.
TEST_CASE("A load report has three or four figures")
{
    const auto loadOf = [](const std::string &value) {
        Adapter::HttpResponse sent = response(200);
        sent.set("Server-Load", value);
        return Adapter::readBackend(sent).load;
    };
    CHECK(loadOf("3,9,4") == Steering::LoadReport { 3, 9, 4, 100 });
    CHECK(loadOf("3,9,4,250") == Steering::LoadReport { 3, 9, 4, 250 });
    for (const std::string bad :
         { "", "3,9", "3,9,4,", "3,9,4,x", "3,9,4,-1", "3,9,4,1,2", "3,9,4,1e300" }) {
        CHECK_FALSE(loadOf(bad));
    }
}
