#include "currantfall/Admission/MemoryBudget.h"

#include <optional>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Currantfall;
using namespace Currantfall::Admission;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = kibibyte * 1024;

MemoryBudget budgetOf(std::size_t bytes)
{
    MemoryBudgetSettings settings;
    settings.bytes = bytes;
    return MemoryBudget(settings);
}

Common::Instant at(double seconds)
{
    return Common::Instant::fromOrigin(absl::Seconds(seconds));
}

/// A holding that knows whether it was revoked.
struct Peer
{
    Peer(MemoryBudget &budget, double second, const SharedOwner &owner = nullptr)
        : holding(budget.open([this] { this->revoked = true; }, at(second), owner))
    { }

    bool revoked = false;
    MemoryBudget::SharedHolding holding;
};

} // namespace

// Guards against bodies that stop just short of their end and keep the memory from other callers.
TEST_CASE("A stalled holding is revoked before those that make progress")
{
    MemoryBudget budget = budgetOf(10 * mebibyte);
    Peer stalled(budget, 0.0);
    Peer moving(budget, 0.0);
    CHECK(stalled.holding->resize(3 * mebibyte, at(0.5)));
    CHECK(moving.holding->resize(4 * mebibyte, at(0.5)));
    for (double second = 1.0; second < 10.0; second += 0.5) {
        moving.holding->noteProgress(64 * kibibyte, at(second));
    }
    Peer next(budget, 10.0);
    CHECK(next.holding->resize(3 * mebibyte, at(10.0)));
    CHECK(stalled.revoked);
    CHECK_FALSE(moving.revoked);
    CHECK(budget.used() == 7 * mebibyte);
    CHECK(budget.revocations() == 1);
    CHECK_FALSE(stalled.holding->resize(1, at(10.0)));
}

// Guards against a client that keeps its place with a byte now and then.
TEST_CASE("A holding that makes little progress counts as stalled")
{
    MemoryBudget budget = budgetOf(10 * mebibyte);
    Peer dribbling(budget, 0.0);
    CHECK(dribbling.holding->resize(8 * mebibyte, at(0.1)));
    for (double second = 0.2; second < 12.0; second += 0.1) {
        CHECK(dribbling.holding->resize(dribbling.holding->size() + 1, at(second)));
    }
    Peer next(budget, 12.0);
    CHECK(next.holding->resize(4 * mebibyte, at(12.0)));
    CHECK(dribbling.revoked);
}

// Guards against a fast client that stops and counts as fast for long.
TEST_CASE("A holding is stalled two seconds after its last bytes")
{
    MemoryBudget budget = budgetOf(10 * mebibyte);
    Peer fast(budget, 0.0);
    CHECK(fast.holding->resize(6 * mebibyte, at(0.9)));
    Peer other(budget, 0.0);
    CHECK(other.holding->resize(2 * mebibyte, at(0.9)));
    other.holding->noteProgress(32 * kibibyte, at(1.8));
    other.holding->noteProgress(32 * kibibyte, at(2.7));
    Peer next(budget, 2.9);
    CHECK(next.holding->resize(6 * mebibyte, at(2.9)));
    CHECK(fast.revoked);
    CHECK_FALSE(other.revoked);
}

// Guards against a burst of uploads of which none ends, because each makes another one start anew.
TEST_CASE("Of several that make progress, the latest large one is revoked")
{
    MemoryBudget budget = budgetOf(10 * mebibyte);
    Peer first(budget, 0.0);
    Peer second(budget, 0.1);
    Peer small(budget, 0.2);
    CHECK(small.holding->resize(kibibyte, at(0.3)));
    CHECK(first.holding->resize(4 * mebibyte, at(0.4)));
    CHECK(second.holding->resize(4 * mebibyte, at(0.4)));
    CHECK(first.holding->resize(6 * mebibyte, at(0.5)));
    CHECK(second.revoked);
    CHECK_FALSE(small.revoked);
    CHECK_FALSE(first.revoked);
    // The holding that grows is the only large one.
    CHECK_FALSE(first.holding->resize(11 * mebibyte, at(0.6)));
    CHECK_FALSE(first.revoked);
    CHECK(first.holding->revoked());
    CHECK(budget.used() == kibibyte);
}

// Guards against one caller with many requests that takes the place of those with a single one.
TEST_CASE("The owner with the most memory loses its holdings first")
{
    MemoryBudget budget = budgetOf(10 * mebibyte);
    const auto owner = std::make_shared<MemoryOwner>();
    std::vector<std::unique_ptr<Peer>> many;
    for (int index = 0; index < 8; ++index) {
        many.push_back(std::make_unique<Peer>(budget, 0.0, owner));
        CHECK(many.back()->holding->resize(mebibyte, at(0.0)));
    }
    Peer single(budget, 0.1);
    const bool complete = GENERATE(false, true);
    if (complete) {
        for (const auto &each : many) {
            each->holding->setRevocation(Revocation::WhenStalled);
        }
    }
    // Large holdings may take 9 MiB.
    CHECK(single.holding->resize(2 * mebibyte, at(0.2)));
    CHECK_FALSE(single.revoked);
    CHECK(owner->bytes == 7 * mebibyte);
    CHECK(single.holding->resize(3 * mebibyte, at(0.3)));
    CHECK(owner->bytes == 6 * mebibyte);
    // The latest of owners with similar amounts gives way itself.
    CHECK_FALSE(single.holding->resize(4 * mebibyte, at(0.4)));
}

// Guards against a response that is cut although its caller takes it.
TEST_CASE("Complete holdings are revoked when they are stalled, those in use never")
{
    MemoryBudget budget = budgetOf(10 * mebibyte);
    Peer complete(budget, 0.0);
    CHECK(complete.holding->resize(4 * mebibyte, at(0.0)));
    complete.holding->setRevocation(Revocation::WhenStalled);
    const auto inUse = budget.openInUse(4 * mebibyte, at(0.0));
    Peer next(budget, 0.5);
    CHECK_FALSE(next.holding->resize(3 * mebibyte, at(0.5)));
    CHECK_FALSE(complete.revoked);
    Peer later(budget, 2.5);
    CHECK(later.holding->resize(3 * mebibyte, at(2.5)));
    CHECK(complete.revoked);
    CHECK(inUse->size() == 4 * mebibyte);
    // What exists already is counted, even above the limit.
    later.holding->setRevocation(Revocation::Never);
    const auto more = budget.openInUse(5 * mebibyte, at(2.5));
    CHECK(budget.used() == 12 * mebibyte);
}

// Guards against large bodies that leave ordinary requests no memory.
TEST_CASE("Large holdings leave room for small ones")
{
    MemoryBudget budget = budgetOf(10 * mebibyte);
    CHECK(budget.couldHold(9 * mebibyte));
    CHECK_FALSE(budget.couldHold(10 * mebibyte));
    const auto inUse = budget.openInUse(9 * mebibyte, at(0.0));
    Peer large(budget, 0.0);
    CHECK_FALSE(large.holding->resize(128 * kibibyte, at(0.0)));
    Peer small(budget, 0.0);
    CHECK(small.holding->resize(32 * kibibyte, at(0.0)));
    CHECK_FALSE(budget.couldHold(128 * kibibyte));
    CHECK(budget.couldHold(32 * kibibyte));
}

// Guards against memory that is counted for ever, or twice.
TEST_CASE("The memory of holdings and owners is returned")
{
    MemoryBudget budget = budgetOf(10 * mebibyte);
    const auto owner = std::make_shared<MemoryOwner>();
    {
        Peer peer(budget, 0.0, owner);
        CHECK(peer.holding->resize(mebibyte, at(0.0)));
        peer.holding->setRevocation(Revocation::Never);
        CHECK(peer.holding->resize(2 * mebibyte, at(0.0)));
        CHECK(peer.holding->resize(kibibyte, at(0.0)));
        CHECK(owner->bytes == kibibyte);
        CHECK(budget.used() == kibibyte);
    }
    CHECK(owner->bytes == 0);
    CHECK(budget.used() == 0);
    CHECK(budget.couldHold(9 * mebibyte));
}

// Whatever peers do, only bytes in use exceed the limit, and the counts are the sums of all
// holdings.
TEST_CASE("The budget holds for any order of operations")
{
    CHECK(rc::check("limits and sums", [] {
        constexpr std::size_t limit = 1000;
        MemoryBudgetSettings settings;
        settings.bytes = limit;
        settings.smallBytes = 50;
        settings.minProgressPerSecond = 20.0;
        MemoryBudget budget(settings);
        const std::vector<SharedOwner> owners { std::make_shared<MemoryOwner>(),
                                                std::make_shared<MemoryOwner>(),
                                                std::make_shared<MemoryOwner>() };
        std::vector<MemoryBudget::SharedHolding> holdings;
        double second = 0.0;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            second += 0.01 * *rc::gen::inRange(0, 100);
            const int kind = *rc::gen::inRange(0, 6);
            const auto chosen = [&] {
                return holdings[static_cast<std::size_t>(
                        *rc::gen::inRange(0, static_cast<int>(holdings.size())))];
            };
            if (kind == 0 || holdings.empty()) {
                holdings.push_back(
                        budget.open([] {}, at(second),
                                    owners[static_cast<std::size_t>(*rc::gen::inRange(0, 3))]));
            } else if (kind <= 3) {
                const auto holding = chosen();
                const auto size = static_cast<std::size_t>(*rc::gen::inRange(0, 600));
                const bool wasRevoked = holding->revoked();
                const bool held = holding->resize(size, at(second));
                RC_ASSERT(held == !holding->revoked());
                RC_ASSERT(!wasRevoked || !held);
                RC_ASSERT(holding->size() == (held ? size : 0));
            } else if (kind == 4) {
                chosen()->setRevocation(static_cast<Revocation>(*rc::gen::inRange(0, 3)));
            } else {
                holdings.erase(holdings.begin()
                               + *rc::gen::inRange(0, static_cast<int>(holdings.size())));
            }
            std::size_t sum = 0;
            std::size_t owned = 0;
            for (const auto &holding : holdings) {
                sum += holding->size();
            }
            for (const auto &owner : owners) {
                owned += owner->bytes;
            }
            RC_ASSERT(budget.used() == sum);
            RC_ASSERT(owned == sum);
        }
        for (const auto &holding : holdings) {
            holding->setRevocation(Revocation::Always);
        }
        // One more growth brings everything that may be revoked back under the limit.
        const auto last = budget.open([] {}, at(second));
        (void)last->resize(1, at(second));
        RC_ASSERT(budget.used() <= limit);
    }));
}
