#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "currantfall/Execution/AttemptTable.h"
#include "currantfall/Execution/IdempotencyKey.h"
#include "currantfall/Execution/RetryPolicy.h"

using namespace Currantfall::Common;
using namespace Currantfall::Execution;

namespace {

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

RetryQuestion retryQuestion()
{
    RetryQuestion question;
    question.idempotent = true;
    question.triedServers = { "s1" };
    question.candidateServers = { "s1", "s2" };
    question.remainingDeadline = absl::Seconds(1);
    question.expectedDuration = absl::Milliseconds(50);
    return question;
}

} // namespace

// Guards against an answer reaching another request (I3).
TEST_CASE("Late, duplicate and mismatched answers are dropped and counted")
{
    AttemptTable table(VmRun { VmName("vm-a"), 255 }, 3);
    const AttemptId first = table.start(at(0), 1, "s1").value();
    const AttemptId hedge = table.start(at(5), 1, "s2").value();
    REQUIRE(first == "vm-a.ff.1");
    REQUIRE(std::holds_alternative<Dropped>(table.onAnswer(first, "s2", Outcome::Answered)));
    const auto settled = std::get<Settled>(table.onAnswer(hedge, "s2", Outcome::Answered));
    REQUIRE(settled.request == 1);
    REQUIRE(settled.losers == std::vector<AttemptId> { first });
    REQUIRE(std::holds_alternative<Dropped>(table.onAnswer(first, "s1", Outcome::Answered)));
    REQUIRE(std::holds_alternative<Dropped>(table.onAnswer(hedge, "s2", Outcome::Answered)));
    REQUIRE(std::holds_alternative<Dropped>(table.onAnswer("vm-a.fe.1", "s1", Outcome::Answered)));
    REQUIRE(std::holds_alternative<Dropped>(table.onAnswer("vm-a.ff.9", "s1", Outcome::Answered)));
    REQUIRE(table.dropped() == DroppedAnswers { 1, 1, 3 });
    REQUIRE(table.size() == 0);
}

TEST_CASE("A failed attempt leaves the request's other attempt open")
{
    AttemptTable table(VmRun { VmName("vm-a"), 1 }, 2);
    const AttemptId first = table.start(at(0), 1, "s1").value();
    const AttemptId second = table.start(at(5), 1, "s2").value();
    REQUIRE(!table.start(at(6), 2, "s3"));
    const auto failed = std::get<AttemptFailed>(table.onAnswer(first, "s1", Outcome::NotRun));
    REQUIRE(failed.openAttempts == 1);
    REQUIRE(table.triedTargets(1) == std::vector<std::string> { "s1", "s2" });
    REQUIRE(table.firstStart(1) == at(0));
    REQUIRE(table.abandon(1) == std::vector<AttemptId> { second });
    REQUIRE(table.openAttempts(1) == 0);
}

TEST_CASE("Only idempotent work, a proven not-run or a key at its owner is repeated")
{
    const RetryBudget budget;
    RetryQuestion question = retryQuestion();
    REQUIRE(mayRetry(question, budget) == RetryVerdict::Retry);
    question.idempotent = false;
    REQUIRE(mayRetry(question, budget) == RetryVerdict::NotSafe);
    question.lastOutcome = Outcome::NotRun;
    REQUIRE(mayRetry(question, budget) == RetryVerdict::NotSafe); // Without a key: never.
    question.keyed = true;
    REQUIRE(mayRetry(question, budget) == RetryVerdict::Retry);
    question.lastOutcome = Outcome::OutcomeUnknown;
    REQUIRE(mayRetry(question, budget) == RetryVerdict::NotSafe);
    question.repeatTarget = RepeatTarget::KeyOwner;
    REQUIRE(mayRetry(question, budget) == RetryVerdict::Retry);
    question.lastOutcome = Outcome::Answered;
    REQUIRE(mayRetry(question, budget) == RetryVerdict::Answered);
}

TEST_CASE("A retry needs time, a candidate and budget, and tries other servers first")
{
    RetryBudget budget(0.1, 0.0, 5.0);
    RetryQuestion question = retryQuestion();
    REQUIRE(mayRetry(question, budget) == RetryVerdict::BudgetEmpty);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.onFirstAttempt();
        retries += budget.tryTake() ? 1 : 0;
    }
    REQUIRE(retries == 100);
    budget = RetryBudget();
    question.remainingDeadline = absl::Milliseconds(49);
    REQUIRE(mayRetry(question, budget) == RetryVerdict::DeadlineTooShort);
    question.candidateServers.clear();
    REQUIRE(mayRetry(question, budget) == RetryVerdict::NoCandidate);
    REQUIRE(retryOrder({ "s1", "s2", "s3" }, { "s1" })
            == std::vector<std::string> { "s2", "s3", "s1" });
}

TEST_CASE("Retries stay within a tenth of first attempts, also after a long time without failures")
{
    RetryBudget budget;
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.onFirstAttempt();
        while (budget.tryTake()) {
            ++retries;
        }
    }
    // The reserve of two, and a tenth.
    REQUIRE(retries == 102);
    for (int request = 0; request < 100000; ++request) {
        budget.onFirstAttempt();
    }
    retries = 0;
    while (budget.tryTake()) {
        ++retries;
    }
    REQUIRE(retries == 100);
}

TEST_CASE("Only idempotent requests are hedged, once, after the high quantile and within the "
          "deadline")
{
    RetryBudget budget(0.1, 1.0, 5.0);
    HedgeQuestion question { true, at(100), 1, absl::Milliseconds(40), at(1000), true };
    REQUIRE(hedgeAt(question, budget) == at(140));
    HedgeQuestion changed = question;
    changed.idempotent = false;
    REQUIRE(!hedgeAt(changed, budget));
    changed = question;
    changed.openAttempts = 2;
    REQUIRE(!hedgeAt(changed, budget));
    changed = question;
    changed.highQuantile = std::nullopt;
    REQUIRE(!hedgeAt(changed, budget));
    changed = question;
    changed.deadline = at(179);
    REQUIRE(!hedgeAt(changed, budget));
    changed = question;
    changed.untriedCandidate = false;
    REQUIRE(!hedgeAt(changed, budget));
    REQUIRE(budget.tryTake());
    REQUIRE(!hedgeAt(question, budget));
}

// Guards against two texts for one key, which would be two records.
TEST_CASE("A key has exactly one text")
{
    for (const std::string text :
         { "1~vm-a~1f~vm-b~2~7.x", "1~vm-a~1f~-~0~7.x", "1~vm-a~1f~vm-b~2~7.a.b~c" }) {
        REQUIRE(IdempotencyKey::parse(text).value().toString() == text);
    }
    for (const std::string text :
         { "", "x", "1~vm-a~1f~vm-b~2~7", "1~vm-a~1f~vm-b~2~7.", "1~vm-a~1F~vm-b~2~7.x",
           "1~vm-a~01f~vm-b~2~7.x", "1~vm-a~1f~vm-b~2~07.x", "1~vm-a~1f~vm-b~2~0.x",
           "1~vm-a~0~vm-b~2~7.x", "1~vm-a~1f~-~2~7.x", "1~vm-a~1f~vm-b~0~7.x",
           "2~vm-a~1f~vm-b~2~7.x", "1~VM~1f~vm-b~2~7.x", "1~vm-a~1f~vm-b~2~7~8.x",
           "1~vm-a~1f~vm-b~2~-7.x", "1~vm-a~1f~vm-b~2~7.a b", "1~vm-a~0x1~vm-b~2~7.x",
           "1~vm-a~10000000000000000~vm-b~2~7.x" }) {
        CAPTURE(text);
        REQUIRE(!IdempotencyKey::parse(text));
    }
    const std::string prefix = "1~vm-a~1f~vm-b~2~7.";
    REQUIRE(IdempotencyKey::parse(prefix + std::string(128, 'x')));
    REQUIRE(!IdempotencyKey::parse(prefix + std::string(129, 'x')));
    REQUIRE(rc::check([](std::uint64_t issuer, std::uint64_t deputy, std::uint64_t epoch) {
        RC_PRE(issuer > 0 && deputy > 0 && epoch > 0);
        const KeyPrefix written { { VmName("vm-a"), issuer },
                                  VmRun { VmName("d"), deputy },
                                  epoch };
        RC_ASSERT(KeyPrefix::parse(written.toString()).value() == written);
    }));
}
