#include "currantfall/Steering/ServerNotices.h"

#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

using namespace Currantfall::Steering;
using namespace Currantfall::Common;

namespace {

constexpr absl::Duration drainTime = absl::Seconds(2);

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

/// Wall-clock time of a request that is sent at `at(milliseconds)`.
absl::Time wall(int milliseconds)
{
    return absl::FromUnixMillis(milliseconds);
}

ServerNotice leaving()
{
    return ServerNotice::read({ "1" }, {}, false);
}

ServerNotice pause(const std::string &seconds)
{
    return ServerNotice::read({}, { seconds }, true);
}

ServerIncarnation incarnation(const std::string &name, int startTime = 1)
{
    return { BackendServerName(name), absl::FromUnixMillis(startTime) };
}

BackendServer listed(const ServerIncarnation &server)
{
    BackendServer result;
    result.name = server.name;
    result.service = ServiceName("slotview");
    result.zone = ZoneName("a");
    result.startTime = server.startTime;
    return result;
}

} // namespace

// Guards against crashes and undefined pauses caused by invalid header values.
TEST_CASE("Every form of a pause header has a defined meaning")
{
    using Values = std::vector<std::string>;
    const auto [values, expected, malformed] = GENERATE(table<Values, absl::Duration, bool>({
            { {}, absl::ZeroDuration(), false },
            { { "3" }, absl::Seconds(3), false },
            { { "0" }, absl::ZeroDuration(), false },
            { { "0.25" }, absl::Milliseconds(250), false },
            { { " 2 " }, absl::Seconds(2), false },
            { { "2", "5", "1" }, absl::Seconds(5), false },
            { { "2, 5" }, absl::Seconds(5), false },
            { { "86400" }, absl::Hours(24), false },
            { { "99999999999999999999999" }, absl::InfiniteDuration(), false },
            { { std::string(400, '9') }, absl::InfiniteDuration(), false },
            { { "0." + std::string(400, '0') + "1" }, absl::ZeroDuration(), false },
            { { "-1" }, absl::ZeroDuration(), true },
            { { "" }, absl::ZeroDuration(), true },
            { { "soon" }, absl::ZeroDuration(), true },
            { { "1e3" }, absl::ZeroDuration(), true },
            { { "inf" }, absl::ZeroDuration(), true },
            { { "nan" }, absl::ZeroDuration(), true },
            { { "0x10" }, absl::ZeroDuration(), true },
            { { "4 s" }, absl::ZeroDuration(), true },
            { { "Fri, 31 Dec 1999 23:59:59 GMT" }, absl::ZeroDuration(), true },
            { { "soon", "4" }, absl::Seconds(4), true },
    }));
    INFO((values.empty() ? std::string("no value") : values.front()));
    const ServerNotice notice = ServerNotice::read({}, values, true);
    CHECK(notice.pause() == expected);
    CHECK(notice.malformed().empty() != malformed);
    CHECK_FALSE(notice.leaving());
}

// Guards against pauses that no server asked for: only a 503 response starts one.
TEST_CASE("A pause header of a response that is not a 503 is ignored")
{
    CHECK(ServerNotice::read({}, { "3" }, false) == ServerNotice());
}

// Guards against a header value whose meaning depends on the parser.
TEST_CASE("Every form of a leaving header has a defined meaning")
{
    using Values = std::vector<std::string>;
    const auto [values, expected, malformed] = GENERATE(table<Values, bool, bool>({
            { {}, false, false },
            { { "1" }, true, false },
            { { "1", "1" }, true, false },
            { { "0" }, false, false },
            { { "0", "1" }, true, false },
            { { "" }, true, true },
            { { "true" }, true, true },
    }));
    const ServerNotice notice = ServerNotice::read(values, {}, false);
    CHECK(notice.leaving() == expected);
    CHECK(notice.malformed().empty() != malformed);
}

// Guards against log lines as long as a server's headers, and against bytes that break the log.
TEST_CASE("Reported header values are short and printable")
{
    const std::string value = "\xff\n" + std::string(10000, 'x');
    const ServerNotice notice = ServerNotice::read({ value, value }, { value }, true);
    CHECK(notice.malformed().size() <= 64);
    CHECK(notice.malformed().find('\n') == std::string::npos);
    CHECK(notice.malformed().find('\xff') == std::string::npos);
    CHECK(notice.leaving());
}

// Guards against requests that reach a server after its drain time.
TEST_CASE("A leaving server is used as a last resort until its drain time is over")
{
    ServerNotices notices(drainTime);
    const ServerTable servers;
    const ServerIncarnation server = incarnation("s1");
    CHECK(notices.use(server, at(0)) == ServerUse::Unrestricted);
    CHECK(notices.apply(server, leaving(), wall(100), servers, at(100)).leavingStarted);
    CHECK(notices.use(server, at(100)) == ServerUse::LastResort);
    // Later notices do not prolong the drain time.
    CHECK(notices.apply(server, leaving(), wall(1500), servers, at(1500)) == NoticeEffect());
    CHECK(notices.use(server, at(2099)) == ServerUse::LastResort);
    CHECK(notices.use(server, at(2100)) == ServerUse::None);
    CHECK(notices.usableFrom(server, at(2100)) == Instant::infinite());
    CHECK(notices.use(incarnation("s2"), at(2100)) == ServerUse::Unrestricted);
    notices.setDrainTime(absl::Seconds(1));
    CHECK(notices.use(server, at(1100)) == ServerUse::None);
}

// Guards against requests during a pause, and against a shorter pause that ends a longer one.
TEST_CASE("A pausing server is not used until the longest pause ends")
{
    ServerNotices notices(drainTime);
    const ServerTable servers;
    const ServerIncarnation server = incarnation("s1");
    CHECK(notices.apply(server, pause("3"), wall(100), servers, at(100)).pauseStarted);
    CHECK(notices.apply(server, pause("1"), wall(200), servers, at(200)) == NoticeEffect());
    CHECK(notices.use(server, at(3099)) == ServerUse::None);
    CHECK(notices.usableFrom(server, at(1000)) == at(3100));
    CHECK(notices.nextChange(at(1000)) == at(3100));
    CHECK(notices.use(server, at(3100)) == ServerUse::Unrestricted);
    CHECK(notices.apply(server, ServerNotice(), wall(4000), servers, at(4000)) == NoticeEffect());
}

// Guards against a pause of hours that is not reported because a short one is in progress, and
// against a report for each request that was in flight.
TEST_CASE("A pause is reported at its start and when it becomes longer")
{
    ServerNotices notices(drainTime);
    const ServerTable servers;
    const ServerIncarnation server = incarnation("s1");
    CHECK(notices.apply(server, pause("3"), wall(0), servers, at(0))
          == NoticeEffect { false, true, false });
    CHECK(notices.apply(server, pause("3"), wall(50), servers, at(50)) == NoticeEffect());
    CHECK(notices.usableFrom(server, at(100)) == at(3050));
    CHECK(notices.apply(server, pause("7200"), wall(100), servers, at(100))
          == NoticeEffect { false, false, true });
    CHECK(notices.usableFrom(server, at(100)) == at(7200100));
}

// Guards against a server that is used between its pause and its end, because only the later notice
// counts.
TEST_CASE("A server that leaves while it pauses is not used any more")
{
    ServerNotices notices(drainTime);
    const ServerTable servers;
    const ServerIncarnation server = incarnation("s1");
    notices.apply(server, ServerNotice::read({ "1" }, { "1" }, true), wall(0), servers, at(0));
    CHECK(notices.use(server, at(500)) == ServerUse::None);
    CHECK(notices.usableFrom(server, at(500)) == at(1000));
    CHECK(notices.use(server, at(1000)) == ServerUse::LastResort);
    notices.apply(server, pause("5"), wall(1500), servers, at(1500));
    CHECK(notices.usableFrom(server, at(1500)) == Instant::infinite());
    CHECK(notices.use(server, at(7000)) == ServerUse::None);
}

// Guards against a burst at the end of a pause, which would make the server ask for the next one.
TEST_CASE("The first requests after a pause are sent at a limited rate")
{
    ServerNotices notices(drainTime);
    const ServerTable servers;
    const ServerIncarnation server = incarnation("s1");
    CHECK(notices.nextSendTime(server, at(-1), at(0)) == at(0));
    notices.apply(server, pause("1"), wall(0), servers, at(0));
    CHECK(notices.nextSendTime(server, at(0), at(1000)) == at(1000));
    CHECK(notices.nextSendTime(server, at(1000), at(1010)) > at(1010));
    int sent = 0;
    Instant last = at(0);
    for (int now = 1000; now < 2000; now += 5) {
        if (notices.nextSendTime(server, last, at(now)) <= at(now)) {
            last = at(now);
            ++sent;
        }
    }
    CHECK(sent == 10);
    CHECK(notices.nextSendTime(server, at(2999), at(3000)) == at(3000));
}

// Guards against a restarted server that gets no requests because of what its previous run said,
// and against late responses of that run.
TEST_CASE("A new incarnation under the same name starts without notices")
{
    ServerNotices notices(drainTime);
    const ServerIncarnation before = incarnation("s1", 1);
    const ServerIncarnation after = incarnation("s1", 10000);
    ServerTable servers;
    servers.put(listed(before), at(0));
    notices.apply(before, leaving(), wall(100), servers, at(100));
    notices.apply(before, pause("3600"), wall(100), servers, at(100));
    servers.put(listed(after), at(10000));
    CHECK(notices.use(after, at(10010)) == ServerUse::Unrestricted);
    CHECK(notices.nextSendTime(after, at(10009), at(10010)) == at(10010));
    CHECK(notices.apply(after, pause("1"), wall(10020), servers, at(10020)).pauseStarted);
    CHECK(notices.usableFrom(after, at(10020)) == at(11020));
    CHECK(notices.apply(before, pause("3600"), wall(100), servers, at(10030)) == NoticeEffect());
    CHECK(notices.usableFrom(after, at(10030)) == at(11020));
    CHECK(notices.use(after, at(11020)) == ServerUse::Unrestricted);

    servers.put(listed(incarnation("s1", 20000)), at(20000));
    notices.advance(servers, at(20040));
    CHECK(notices.size() == 0);
}

// Guards against requests to a server that started again and asked for a pause before its new entry
// was known, and against a pause of the previous run that lasts although the server was restarted
// because of it. The clock of the server may be some seconds ahead or behind.
TEST_CASE("A pause of a run that is not known yet holds for it")
{
    const int startTime = GENERATE(59000, 64000, 56000);
    ServerNotices notices(drainTime);
    ServerTable servers;
    const ServerIncarnation before = incarnation("s1", 1);
    const ServerIncarnation after = incarnation("s1", startTime);
    servers.put(listed(before), at(0));
    // The new run answers a request that was sent to the known one.
    CHECK(notices.apply(before, pause("3"), wall(60000), servers, at(60100)).pauseStarted);
    servers.put(listed(after), at(61000));
    CHECK(notices.use(after, at(61000)) == ServerUse::None);
    CHECK(notices.usableFrom(after, at(61000)) == at(63100));
    notices.advance(servers, at(61100));
    CHECK(notices.use(after, at(63099)) == ServerUse::None);
    CHECK(notices.summary(at(61100)).pausing == 1);
    CHECK(notices.use(after, at(63100)) == ServerUse::Unrestricted);
    // A pause that was asked for longer before is of the previous run.
    CHECK(notices.use(incarnation("s1", 66000), at(61100)) == ServerUse::Unrestricted);
}

// Guards against requests after the drain time to a server that started again and announced that it
// leaves while the store was away.
TEST_CASE("An announcement of a run that is not known yet holds for it")
{
    ServerNotices notices(drainTime);
    ServerTable servers;
    const ServerIncarnation before = incarnation("s1", 1);
    const ServerIncarnation after = incarnation("s1", 50000);
    servers.put(listed(before), at(0));
    CHECK(notices.apply(before, leaving(), wall(60000), servers, at(60100)).leavingStarted);
    servers.put(listed(after), at(61000));
    CHECK(notices.use(after, at(61000)) == ServerUse::LastResort);
    notices.advance(servers, at(61100));
    CHECK(notices.use(after, at(62099)) == ServerUse::LastResort);
    CHECK(notices.use(after, at(62100)) == ServerUse::None);
    // The announcement is known already.
    CHECK(notices.apply(after, leaving(), wall(61200), servers, at(61300)) == NoticeEffect());
    CHECK(notices.use(after, at(62100)) == ServerUse::None);
}

// Guards against a live server that gets no requests because its previous run left: the clock of
// the server may be some seconds behind.
TEST_CASE("An announcement that may be of the previous run does not hold for the new one")
{
    const int startTime = GENERATE(56000, 60000, 64000);
    ServerNotices notices(drainTime);
    ServerTable servers;
    const ServerIncarnation before = incarnation("s1", 1);
    const ServerIncarnation after = incarnation("s1", startTime);
    servers.put(listed(before), at(0));
    notices.apply(before, leaving(), wall(60000), servers, at(60100));
    servers.put(listed(after), at(63000));
    CHECK(notices.use(after, at(63000)) == ServerUse::Unrestricted);
    notices.advance(servers, at(63100));
    CHECK(notices.size() == 0);
    // If the new run leaves, its next response says so again.
    CHECK(notices.apply(after, leaving(), wall(63200), servers, at(63300)).leavingStarted);
    CHECK(notices.use(after, at(65300)) == ServerUse::None);
}

// Guards against notices that are ignored until a server's clock has passed the start of the run
// that it has replaced, and against late responses of that run.
TEST_CASE("A run that started at an earlier time by the clock of its server replaces the known one")
{
    ServerNotices notices(drainTime);
    ServerTable servers;
    const ServerIncarnation before = incarnation("s1", 3600000);
    const ServerIncarnation after = incarnation("s1", 1000);
    servers.put(listed(before), at(0));
    notices.apply(before, leaving(), wall(3700000), servers, at(100));
    servers.put(listed(after), at(9000));
    CHECK(notices.use(after, at(9000)) == ServerUse::Unrestricted);
    SECTION("while notices of the replaced run are known")
    {
        CHECK(notices.apply(after, pause("3"), wall(3709000), servers, at(9000)).pauseStarted);
    }
    SECTION("when notices of the replaced run have been discarded")
    {
        notices.advance(servers, at(9000));
        CHECK(notices.size() == 0);
        CHECK(notices.apply(after, pause("3"), wall(3709000), servers, at(9000)).pauseStarted);
    }
    CHECK(notices.apply(before, leaving(), wall(3709000), servers, at(9010)) == NoticeEffect());
    CHECK(notices.apply(before, pause("9"), wall(3709000), servers, at(9010)) == NoticeEffect());
    notices.advance(servers, at(9100));
    CHECK(notices.use(after, at(11999)) == ServerUse::None);
    CHECK(notices.use(after, at(12000)) == ServerUse::Unrestricted);
    CHECK(notices.apply(after, leaving(), wall(3713000), servers, at(13000)).leavingStarted);
    CHECK(notices.use(after, at(15000)) == ServerUse::None);
}

// Guards against late responses of a run that act on the one that replaced it, and against
// responses of the new run that are ignored because its entry came late.
TEST_CASE("A response holds for the listed run only if that run must have answered")
{
    ServerNotices notices(drainTime);
    ServerTable servers;
    const ServerIncarnation before = incarnation("s1", 1);
    const ServerIncarnation after = incarnation("s1", 50000);
    servers.put(listed(after), at(60000));
    CHECK(notices.apply(before, leaving(), wall(49000), servers, at(60000)) == NoticeEffect());
    CHECK(notices.apply(before, pause("9"), wall(49000), servers, at(60000)) == NoticeEffect());
    CHECK(notices.apply(before, pause("9"), wall(54000), servers, at(60000)) == NoticeEffect());
    CHECK(notices.use(after, at(60000)) == ServerUse::Unrestricted);
    CHECK(notices.apply(before, pause("1"), wall(59900), servers, at(60000)).pauseStarted);
    CHECK(notices.use(after, at(60000)) == ServerUse::None);
    CHECK(notices.apply(before, leaving(), wall(59900), servers, at(60000)).leavingStarted);
    CHECK(notices.use(after, at(61000)) == ServerUse::LastResort);
}

// Guards against a server that stays out of use for hours after its restart, because its previous
// run asked for that by mistake shortly before.
TEST_CASE("A pause that may be of the previous run lasts for a bounded time")
{
    ServerNotices notices(drainTime);
    const ServerTable servers;
    const ServerIncarnation before = incarnation("s1", 1);
    const ServerIncarnation after = incarnation("s1", 50000);
    const std::string value = GENERATE("7200", "99999999999999999999");
    notices.apply(before, pause(value), wall(49000), servers, at(1000));
    CHECK(notices.use(before, at(60000)) == ServerUse::None);
    CHECK(notices.use(after, at(2000)) == ServerUse::None);
    CHECK(notices.use(after, at(30999)) == ServerUse::None);
    CHECK(notices.use(after, at(31000)) == ServerUse::Unrestricted);
}

// Guards against an announcement that decides about a new run by the time of its response, which a
// VM that was suspended receives late.
TEST_CASE("The time of the request decides to which run a notice belongs")
{
    ServerNotices notices(drainTime);
    const ServerTable servers;
    const ServerIncarnation before = incarnation("s1", 1);
    notices.apply(before, leaving(), wall(1000), servers, at(60000));
    notices.apply(before, pause("3600"), wall(1000), servers, at(60000));
    CHECK(notices.use(incarnation("s1", 50000), at(60100)) == ServerUse::Unrestricted);
}

// Guards against a server that is used again because its entry was missing from the store for some
// time, and against notices that are never discarded.
TEST_CASE("Notices outlast a removed entry for a bounded time")
{
    ServerNotices notices(drainTime);
    const ServerIncarnation server = incarnation("s1");
    ServerTable servers;
    servers.put(listed(server), at(0));
    notices.apply(server, leaving(), wall(0), servers, at(0));
    notices.advance(servers, at(100));
    servers.remove(server.name);
    notices.advance(servers, at(200));
    CHECK(notices.summary(at(200)).leaving == 0);
    notices.advance(servers, at(20000));
    servers.put(listed(server), at(20000));
    notices.advance(servers, at(20100));
    CHECK(notices.use(server, at(20100)) == ServerUse::None);
    CHECK(notices.summary(at(20100)).leaving == 1);
    servers.remove(server.name);
    notices.advance(servers, at(21000));
    notices.advance(servers, at(21000) + absl::Minutes(11));
    CHECK(notices.size() == 0);
}

// Guards against memory that grows with the number of servers that ever gave a notice.
TEST_CASE("The number of notices is bounded")
{
    ServerNotices notices(drainTime);
    ServerTable servers;
    const ServerIncarnation known = incarnation("known");
    servers.put(listed(known), at(0));
    notices.apply(known, leaving(), wall(0), servers, at(0));
    for (int number = 0; number < 5000; ++number) {
        notices.apply(incarnation("s" + std::to_string(number)), leaving(), wall(number), servers,
                      at(number));
        notices.advance(servers, at(number));
    }
    CHECK(notices.size() <= 1025);
    CHECK(notices.use(known, at(5000)) == ServerUse::None);
    CHECK(notices.use(incarnation("s4999"), at(5000)) == ServerUse::LastResort);
}

// Guards against a pause of hours that shows nowhere.
TEST_CASE("The summary counts leaving and pausing servers and the longest pause")
{
    ServerNotices notices(drainTime);
    const ServerTable servers;
    notices.apply(incarnation("s1"), leaving(), wall(0), servers, at(0));
    notices.apply(incarnation("s2"), pause("5"), wall(0), servers, at(0));
    notices.apply(incarnation("s3"), pause("7200"), wall(0), servers, at(0));
    CHECK(notices.summary(at(1000)) == NoticeSummary { 1, 2, absl::Seconds(7199) });
    CHECK(notices.summary(at(5000)).pausing == 1);
}
