#include <catch2/catch.hpp>

#include "FakePlatform.h"

using namespace Currantfall;
using namespace Currantfall::Platform;
using Common::ErrorCode;

namespace {

const DrainTarget zoneA = { DrainKind::Zone, "lm-a" };
const DrainTarget zoneB = { DrainKind::Zone, "lm-b" };

Common::Result<void> allow(const EnvironmentRow &)
{
    return {};
}

/// A headroom check that has room for one drain.
Common::Result<void> allowOne(const EnvironmentRow &row)
{
    if (row.drains().empty()) {
        return {};
    }
    return Common::failure(ErrorCode::Refused, "check headroom");
}

template<typename Value>
ErrorCode codeOf(const Common::Result<Value> &result)
{
    REQUIRE_FALSE(result);
    REQUIRE(result.error().code().category() == Common::currantfallCategory());
    return static_cast<ErrorCode>(result.error().code().value());
}

bool mentions(const Common::Error &error, const std::string &text)
{
    return error.detail().find(text) != std::string::npos;
}

} // namespace

TEST_CASE("A promotion stores the document before the row names it")
{
    FakePlatform platform;
    auto store = platform.store();
    const auto first = store.promote("a", "ana");
    REQUIRE(first);
    REQUIRE(first->revision() == 1);
    REQUIRE(platform.objects.at(first->document()) == "a");
    REQUIRE(store.promote("b", "ana")->previous() == first->document());
    REQUIRE(store.current()->row.revision() == 2);
}

TEST_CASE("A write that took effect without an answer is not reported as failed or repeated")
{
    FakePlatform platform;
    platform.writeFaults = { WriteFault::LostAfter };
    REQUIRE(platform.store().promote("a", "ana")->revision() == 1);
    REQUIRE(platform.writes == 1);
}

TEST_CASE("A write that was lost before its effect is repeated under the same operation")
{
    FakePlatform platform;
    platform.writeFaults = { WriteFault::LostBefore, WriteFault::LostBefore };
    const auto row = platform.store().promote("a", "ana");
    REQUIRE(row);
    REQUIRE(platform.accepted.size() == 1);
    REQUIRE(platform.accepted.front() == row->toJson());
}

TEST_CASE("A write that takes effect after the row was read does not run twice")
{
    FakePlatform platform;
    platform.writeFaults = { WriteFault::Delayed };
    const auto row = platform.store().promote("a", "ana");
    REQUIRE(row);
    REQUIRE(row->revision() == 1);
    REQUIRE(platform.accepted.size() == 1);
}

TEST_CASE("The loser of two promotions learns the other revision and operator")
{
    FakePlatform platform;
    REQUIRE(platform.store().promote("a", "ana"));
    platform.beforeWrite = [&] { REQUIRE(platform.store().promote("b", "ben")); };
    const auto lost = platform.store().promote("c", "ana");
    REQUIRE(codeOf(lost) == ErrorCode::Conflict);
    REQUIRE(mentions(lost.error(), "revision 2 of operator ben"));
    REQUIRE(platform.store().current()->row.operatorName() == "ben");
}

TEST_CASE("The loser of two first promotions gets a conflict")
{
    FakePlatform platform;
    platform.beforeWrite = [&] { REQUIRE(platform.store().promote("b", "ben")); };
    REQUIRE(codeOf(platform.store().promote("c", "ana")) == ErrorCode::Conflict);
}

TEST_CASE("A lost write with a later revision of another operator is a lost race")
{
    FakePlatform platform;
    REQUIRE(platform.store().promote("a", "ana"));
    platform.writeFaults = { WriteFault::LostBefore };
    platform.beforeWrite = [&] {
        platform.writeFaults.push_front(WriteFault::None);
        REQUIRE(platform.store().promote("b", "ben"));
        REQUIRE(platform.store().promote("d", "ben"));
    };
    const auto lost = platform.store().promote("c", "ana");
    REQUIRE(codeOf(lost) == ErrorCode::Conflict);
    REQUIRE(mentions(lost.error(), "revision 2 of operator ben"));
}

TEST_CASE("An expected revision keeps a promotion from replacing one that was not seen")
{
    FakePlatform platform;
    REQUIRE(codeOf(platform.store().promote("a", "ana", 1)) == ErrorCode::Conflict);
    REQUIRE(platform.store().promote("a", "ana", 0));
    REQUIRE(codeOf(platform.store().promote("b", "ben", 0)) == ErrorCode::Conflict);
    REQUIRE(platform.store().promote("b", "ben", 1));
    REQUIRE(platform.accepted.size() == 2);
}

TEST_CASE("A drain checked against a row that a promotion replaced does not start")
{
    FakePlatform platform;
    REQUIRE(platform.store().promote("a", "ana"));
    platform.beforeWrite = [&] { REQUIRE(platform.store().promote("b", "ben")); };
    Common::Revision checked = 0;
    const auto lost = platform.store().startDrain(zoneA, "ana", [&](const EnvironmentRow &row) {
        checked = row.revision();
        return Common::Result<void>();
    });
    REQUIRE(codeOf(lost) == ErrorCode::Conflict);
    REQUIRE(checked == 1);
    REQUIRE(platform.store().current()->row.drains().empty());
}

TEST_CASE("Two drains of which only one has headroom do not both start")
{
    FakePlatform platform;
    REQUIRE(platform.store().promote("a", "ana"));
    platform.beforeWrite = [&] { REQUIRE(platform.store().startDrain(zoneB, "ben", allowOne)); };
    REQUIRE(codeOf(platform.store().startDrain(zoneA, "ana", allowOne)) == ErrorCode::Conflict);
    REQUIRE(codeOf(platform.store().startDrain(zoneA, "ana", allowOne)) == ErrorCode::Refused);
    REQUIRE(platform.store().finishDrain(zoneB, "ben"));
    REQUIRE(platform.store().startDrain(zoneA, "ana", allowOne)->drains().size() == 1);
}

TEST_CASE("A drain neither starts twice nor finishes without a start")
{
    FakePlatform platform;
    REQUIRE(codeOf(platform.store().startDrain(zoneA, "ana", allow)) == ErrorCode::NotFound);
    REQUIRE(platform.store().promote("a", "ana"));
    REQUIRE(platform.store().startDrain(zoneA, "ana", allow));
    REQUIRE(codeOf(platform.store().startDrain(zoneA, "ben", allow)) == ErrorCode::Refused);
    REQUIRE(codeOf(platform.store().finishDrain(zoneB, "ben")) == ErrorCode::NotFound);
}

TEST_CASE("A rollback is a new revision and leaves drains as they are")
{
    FakePlatform platform;
    auto store = platform.store();
    REQUIRE(codeOf(store.rollback(std::nullopt, "ana")) == ErrorCode::NotFound);
    const std::string first = store.promote("a", "ana")->document();
    REQUIRE(codeOf(store.rollback(std::nullopt, "ana")) == ErrorCode::NotFound);
    const std::string second = store.promote("b", "ana")->document();
    REQUIRE(store.startDrain(zoneA, "ana", allow));
    const auto back = store.rollback(std::nullopt, "ana");
    REQUIRE(back->revision() == 4);
    REQUIRE(back->document() == first);
    REQUIRE(back->drains().size() == 1);
    REQUIRE(store.rollback(2, "ana")->document() == second);
    REQUIRE(codeOf(store.rollback(99, "ana")) == ErrorCode::NotFound);
    REQUIRE(codeOf(store.rollback(2, "ana")) == ErrorCode::Refused);
}

TEST_CASE("A rollback to a document that the object store has lost is refused")
{
    FakePlatform platform;
    REQUIRE(platform.store().promote("a", "ana"));
    REQUIRE(platform.store().promote("b", "ana"));
    platform.objects.clear();
    REQUIRE(codeOf(platform.store().rollback(std::nullopt, "ana")) == ErrorCode::NotFound);
    REQUIRE(platform.accepted.size() == 2);
}

TEST_CASE("An outage ends every change by its deadline, without a write")
{
    FakePlatform platform;
    REQUIRE(platform.store().promote("a", "ana"));
    platform.outage = true;
    const Common::Instant start = platform.now;
    REQUIRE(codeOf(platform.store().promote("b", "ana")) == ErrorCode::Unavailable);
    REQUIRE(codeOf(platform.store().startDrain(zoneA, "ana", allow)) == ErrorCode::Unavailable);
    REQUIRE(codeOf(platform.store().rollback(1, "ana")) == ErrorCode::Unavailable);
    REQUIRE(platform.now - start <= 3 * RevisionStoreSettings().timeout);
    REQUIRE(platform.writes == 1);
}

TEST_CASE("A change whose writes were never sent did certainly not take effect")
{
    FakePlatform platform;
    platform.writeFaults.assign(1000, WriteFault::NotSent);
    REQUIRE(codeOf(platform.store().promote("a", "ana")) == ErrorCode::Unavailable);
    REQUIRE(platform.accepted.empty());
}

TEST_CASE("A rate limit delays a change and does not fail it")
{
    FakePlatform platform;
    platform.writeFaults = { WriteFault::RateLimited, WriteFault::RateLimited };
    REQUIRE(platform.store().promote("a", "ana"));
}

TEST_CASE("A lost answer followed by an outage is reported as unknown, with the operation")
{
    FakePlatform platform;
    platform.writeFaults = { WriteFault::LostAfter };
    platform.beforeWrite = [&] { platform.outage = true; };
    const auto result = platform.store().promote("a", "ana");
    REQUIRE_FALSE(result);
    REQUIRE(isResultUnknown(result.error()));
    REQUIRE(mentions(result.error(), "op-1"));
}

TEST_CASE("A lost write stays in doubt when the writes after it were not sent")
{
    FakePlatform platform;
    platform.writeFaults.assign(1000, WriteFault::NotSent);
    platform.writeFaults.push_front(WriteFault::LostBefore);
    const auto result = platform.store().promote("a", "ana");
    REQUIRE_FALSE(result);
    REQUIRE(isResultUnknown(result.error()));
}

TEST_CASE("A lost write to a row that has disappeared is in doubt and not repeated")
{
    FakePlatform platform;
    REQUIRE(platform.store().promote("a", "ana"));
    platform.writeFaults = { WriteFault::LostBefore };
    platform.beforeWrite = [&] { platform.removeRow("trial"); };
    const auto result = platform.store().promote("b", "ana");
    REQUIRE_FALSE(result);
    REQUIRE(isResultUnknown(result.error()));
    REQUIRE(platform.writes == 2);
}

TEST_CASE("A lost answer is found in the history while the history reaches back to it")
{
    // The write is followed by this many revisions of another operator before the row is read.
    const std::size_t later = GENERATE(std::size_t(1), EnvironmentRow::historyLimit - 1,
                                       EnvironmentRow::historyLimit);
    FakePlatform platform;
    const EnvironmentRow own = EnvironmentRow::first("hash", "op-1", "ana");
    EnvironmentRow row = own;
    for (std::size_t i = 0; i < later; ++i) {
        row = row.withDocument("other", "other-" + std::to_string(i), "ben");
    }
    platform.writeFaults = { WriteFault::LostBefore };
    platform.beforeWrite = [&] { platform.setRow("trial", row.toJson()); };
    const auto result = platform.store().promote("a", "ana");
    if (later < EnvironmentRow::historyLimit) {
        REQUIRE(result);
        REQUIRE(result->revision() == 1);
    } else {
        REQUIRE_FALSE(result);
        REQUIRE(isResultUnknown(result.error()));
    }
}

TEST_CASE("A malformed row is never replaced")
{
    FakePlatform platform;
    platform.setRow("trial", { { "revision", 3 } });
    REQUIRE(codeOf(platform.store().current()) == ErrorCode::InvalidInput);
    REQUIRE(codeOf(platform.store().promote("a", "ana")) == ErrorCode::InvalidInput);
    REQUIRE(platform.writes == 0);
}
