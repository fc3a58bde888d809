#include <catch2/catch.hpp>

#include "currantfall/Execution/Deputy.h"
#include "currantfall/Execution/Issuer.h"

using namespace Currantfall::Common;
using namespace Currantfall::Execution;

namespace {

const VmRun issuerRun { VmName("vm-a"), 10 };
const VmRun deputyRun { VmName("vm-b"), 20 };

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

Answer answered(std::string body)
{
    return Answer { Outcome::Answered, Reason::None, 201, {}, std::move(body), {}, {} };
}

struct Pair
{
    explicit Pair(ExecutionSettings settings = {})
        : settings(settings), issuer(issuerRun, settings), deputy(deputyRun, settings)
    {
        this->issuer.setDeputy(deputyRun);
    }

    IdempotencyKey key(const std::string &unique)
    {
        const KeyPrefix prefix = this->issuer.currentPrefix(at(0));
        this->deputy.noteIssuedPrefix(at(0), prefix);
        return IdempotencyKey::make(prefix, unique).value();
    }

    void startRun(const IdempotencyKey &key)
    {
        REQUIRE(std::holds_alternative<RecordIntent>(this->issuer.begin(at(1), key, 7, 1)));
        const IntentReply reply = this->deputy.noteIntent(at(2), issuerRun, key);
        REQUIRE(std::holds_alternative<Run>(this->issuer.onIntentReply(at(3), key, reply)));
    }

    Answer repeat(int time, const IdempotencyKey &key, Fingerprint fingerprint = 7)
    {
        const BeginDecision decision = this->issuer.begin(at(time), key, fingerprint, 99);
        if (const auto *replay = std::get_if<Replay>(&decision)) {
            return replay->answer;
        }
        return std::get<Refuse>(decision).answer;
    }

    ExecutionSettings settings;
    Issuer issuer;
    Deputy deputy;
};

} // namespace

TEST_CASE("A repeated key joins the running execution and later gets its recorded answer")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    pair.startRun(key);
    REQUIRE(std::holds_alternative<Join>(pair.issuer.begin(at(4), key, 7, 2)));
    const auto completion = pair.issuer.onResult(at(5), key, answered("done"));
    REQUIRE(completion->waiters == std::vector<WaiterId> { 1, 2 });
    REQUIRE(pair.repeat(6, key) == answered("done"));
    REQUIRE(!pair.issuer.onResult(at(7), key, answered("second result")));
}

TEST_CASE("A dead issuer's key without an intent is sealed, and a delayed intent is refused")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    REQUIRE(std::holds_alternative<RecordIntent>(pair.issuer.begin(at(1), key, 7, 1)));
    REQUIRE(pair.deputy.query(at(2), key).outcome == Outcome::NotRun);
    const IntentReply reply = pair.deputy.noteIntent(at(3), issuerRun, key);
    REQUIRE(reply.sealed);
    const IntentDecision decision = pair.issuer.onIntentReply(at(4), key, reply);
    REQUIRE(std::get<Completion>(decision).answer.outcome == Outcome::NotRun);
    REQUIRE(pair.repeat(5, key).outcome == Outcome::NotRun);
}

TEST_CASE("A dead issuer's key with an intent is outcome-unknown until its result is noted")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    pair.startRun(key);
    REQUIRE(pair.deputy.query(at(4), key).outcome == Outcome::OutcomeUnknown);
    pair.deputy.noteResult(at(5), issuerRun, key, answered("done"));
    REQUIRE(pair.deputy.query(at(6), key) == answered("done"));
}

TEST_CASE("An unreachable deputy seals its keys, and new prefixes but not old keys name another "
          "deputy")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    REQUIRE(std::holds_alternative<RecordIntent>(pair.issuer.begin(at(1), key, 7, 1)));
    const VmRun other { VmName("vm-c"), 30 };
    pair.issuer.setDeputy(other);
    REQUIRE(pair.issuer.currentPrefix(at(2)).deputy == other);
    REQUIRE(pair.issuer.nextDue() == at(301));
    const std::vector<Completion> completions = pair.issuer.advance(at(301));
    REQUIRE(completions.size() == 1);
    REQUIRE(completions[0].answer.reason == Reason::DeputyUnreachable);
    const IntentReply late = pair.deputy.noteIntent(at(400), issuerRun, key);
    REQUIRE(std::holds_alternative<std::monostate>(pair.issuer.onIntentReply(at(401), key, late)));
    REQUIRE(pair.repeat(402, key).outcome == Outcome::NotRun);
    const auto second = IdempotencyKey::make(key.prefix(), "k2").value();
    const BeginDecision decision = pair.issuer.begin(at(403), second, 7, 3);
    REQUIRE(std::get<RecordIntent>(decision).deputy == deputyRun);
}

TEST_CASE("An issuer alone in its zone runs keys without a deputy, and nobody answers for it")
{
    Pair pair;
    pair.issuer.setDeputy(std::nullopt);
    const IdempotencyKey key = pair.key("k");
    REQUIRE(key.toString() == "1~vm-a~a~-~0~1.k");
    REQUIRE(std::holds_alternative<Run>(pair.issuer.begin(at(1), key, 7, 1)));
    REQUIRE(!pair.issuer.onResult(at(2), key, answered("done"))->note);
    REQUIRE(pair.deputy.query(at(3), key).outcome == Outcome::OutcomeUnknown);
}

TEST_CASE("A restarted deputy refuses intents and answers outcome-unknown for older keys")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    Deputy restarted(VmRun { deputyRun.vm, 21 }, pair.settings);
    REQUIRE(restarted.query(at(1), key).outcome == Outcome::OutcomeUnknown);
    REQUIRE(std::holds_alternative<RecordIntent>(pair.issuer.begin(at(2), key, 7, 1)));
    const IntentReply reply = restarted.noteIntent(at(3), issuerRun, key);
    REQUIRE(!reply.accepted);
    const IntentDecision decision = pair.issuer.onIntentReply(at(4), key, reply);
    REQUIRE(std::get<Completion>(decision).answer.outcome == Outcome::NotRun);
    // A reply of the other incarnation must not start a key even if it claims to have accepted it.
    const IdempotencyKey second = pair.key("k2");
    REQUIRE(std::holds_alternative<RecordIntent>(pair.issuer.begin(at(5), second, 7, 1)));
    REQUIRE(std::holds_alternative<Completion>(
            pair.issuer.onIntentReply(at(6), second, { true, false, 21 })));
}

TEST_CASE("A planned stop hands over every record, and the closed issuer starts nothing")
{
    Pair pair;
    const IdempotencyKey done = pair.key("done");
    const IdempotencyKey running = pair.key("running");
    const IdempotencyKey waiting = pair.key("waiting");
    pair.startRun(done);
    pair.issuer.onResult(at(4), done, answered("done"));
    pair.startRun(running);
    REQUIRE(std::holds_alternative<RecordIntent>(pair.issuer.begin(at(5), waiting, 7, 1)));
    const Handover handover = pair.issuer.handover();
    REQUIRE(handover.completions.size() == 1);
    pair.deputy.acceptHandover(at(6), issuerRun, handover.records);
    REQUIRE(pair.deputy.query(at(7), done) == answered("done"));
    REQUIRE(pair.deputy.query(at(7), running).outcome == Outcome::OutcomeUnknown);
    REQUIRE(pair.deputy.query(at(7), waiting).reason == Reason::ShuttingDown);
    REQUIRE(pair.repeat(8, pair.key("new")).reason == Reason::ShuttingDown);
}

TEST_CASE("A key of an expired epoch is outcome-unknown, and the deputy forgets after the issuer")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    pair.startRun(key);
    pair.issuer.onResult(at(4), key, answered("done"));
    pair.deputy.noteResult(at(5), issuerRun, key, answered("done"));
    constexpr int expiry = 1'200'000;
    REQUIRE(pair.repeat(expiry - 1, key) == answered("done"));
    REQUIRE(pair.repeat(expiry, key).outcome == Outcome::OutcomeUnknown);
    pair.issuer.advance(at(expiry));
    REQUIRE(pair.issuer.recordCount() == 0);
    REQUIRE(pair.repeat(expiry, key).outcome == Outcome::OutcomeUnknown);
    REQUIRE(pair.deputy.query(at(expiry + 59'000), key) == answered("done"));
    REQUIRE(pair.deputy.query(at(expiry + 60'000), key).outcome == Outcome::OutcomeUnknown);
    REQUIRE(pair.deputy.recordCount() == 0);
    REQUIRE(!pair.deputy.noteIntent(at(expiry + 60'001), issuerRun, key).accepted);
}

TEST_CASE("A full record table refuses for good: the refused key never runs when room returns")
{
    ExecutionSettings settings;
    settings.maxRecords = 1;
    Pair pair(settings);
    const IdempotencyKey first = pair.key("k1");
    const IdempotencyKey refused = pair.key("k2");
    pair.startRun(first);
    REQUIRE(pair.repeat(4, refused).reason == Reason::Overloaded);
    pair.issuer.onResult(at(5), first, answered("done"));
    pair.issuer.advance(at(1'200'000));
    REQUIRE(pair.issuer.recordCount() == 0);
    REQUIRE(pair.repeat(1'200'000, refused).outcome == Outcome::OutcomeUnknown);
    const KeyPrefix next = pair.issuer.currentPrefix(at(1'200'000));
    REQUIRE(next.epoch == 2);
}

TEST_CASE("A full deputy never says not-run, because it could not remember the seal")
{
    ExecutionSettings settings;
    settings.maxRecords = 1;
    Pair pair(settings);
    const IdempotencyKey first = pair.key("k1");
    const IdempotencyKey second = pair.key("k2");
    REQUIRE(pair.deputy.query(at(1), first).outcome == Outcome::NotRun);
    REQUIRE(pair.deputy.query(at(2), second).outcome == Outcome::OutcomeUnknown);
    const IntentReply reply = pair.deputy.noteIntent(at(3), issuerRun, second);
    REQUIRE(!reply.accepted);
    REQUIRE(!reply.sealed);
}

TEST_CASE("A key reused for a different request is refused and its record stays as it is")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    pair.startRun(key);
    REQUIRE(pair.repeat(4, key, 8).reason == Reason::BadKey);
    REQUIRE(pair.issuer.onResult(at(5), key, answered("done"))->answer == answered("done"));
    REQUIRE(pair.repeat(6, key, 8).reason == Reason::BadKey);
    REQUIRE(pair.repeat(7, key) == answered("done"));
    REQUIRE(fingerprintOf("POST", "/a", "b") != fingerprintOf("POST", "/ab", ""));
}

TEST_CASE("Keys that this issuer run never issued are not-run only if they can never be issued")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    KeyPrefix prefix = key.prefix();
    prefix.issuer.incarnation = 9;
    REQUIRE(pair.repeat(1, IdempotencyKey::make(prefix, "k").value()).outcome
            == Outcome::OutcomeUnknown);
    prefix = key.prefix();
    prefix.epoch = 2; // Opens later.
    REQUIRE(pair.repeat(1, IdempotencyKey::make(prefix, "k").value()).outcome
            == Outcome::OutcomeUnknown);
    prefix = key.prefix();
    prefix.deputy = std::nullopt; // Epoch 1 has been given out with a deputy.
    const Answer answer = pair.repeat(1, IdempotencyKey::make(prefix, "k").value());
    REQUIRE(answer.outcome == Outcome::NotRun);
    REQUIRE(answer.reason == Reason::BadKey);
    // An invented epoch uses no memory at the deputy.
    prefix = key.prefix();
    prefix.epoch = 1000;
    REQUIRE(pair.deputy.query(at(2), IdempotencyKey::make(prefix, "k").value()).outcome
            == Outcome::OutcomeUnknown);
    REQUIRE(pair.deputy.recordCount() == 0);
}

TEST_CASE("A shed run seals its key at issuer and deputy")
{
    Pair pair;
    const IdempotencyKey key = pair.key("k");
    pair.startRun(key);
    const auto completion
            = pair.issuer.onResult(at(4), key, notRun(Reason::BackendServerShed, "shed"));
    pair.deputy.noteResult(at(5), issuerRun, key, completion->note->answer);
    REQUIRE(pair.repeat(6, key).reason == Reason::BackendServerShed);
    REQUIRE(pair.deputy.query(at(7), key).reason == Reason::BackendServerShed);
}

TEST_CASE("An answer above the bound is remembered as executed, without its body")
{
    ExecutionSettings settings;
    settings.maxRecordBytes = 4;
    Pair pair(settings);
    const IdempotencyKey key = pair.key("k");
    pair.startRun(key);
    const auto completion = pair.issuer.onResult(at(4), key, answered("12345"));
    REQUIRE(completion->answer == answered("12345"));
    const Answer repeated = pair.repeat(5, key);
    REQUIRE(repeated.outcome == Outcome::OutcomeUnknown);
    REQUIRE(repeated.message.find("status 201") != std::string::npos);
}
