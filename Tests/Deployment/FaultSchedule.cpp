#include "FaultSchedule.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Currantfall::Tests {

namespace {

using std::chrono::milliseconds;

constexpr unsigned vmCount = 10;
constexpr std::uint64_t shortestPauseMs = 200;
constexpr std::uint64_t longestPauseMs = 5000;
constexpr std::uint64_t shortestFaultMs = 300;
constexpr std::uint64_t longestFaultMs = 3000;

const std::vector<std::pair<FaultKind, std::string>> &kindNames()
{
    static const std::vector<std::pair<FaultKind, std::string>> names = {
        { FaultKind::KillVm, "kill-vm" },
        { FaultKind::StopVm, "stop-vm" },
        { FaultKind::PauseVm, "pause-vm" },
        { FaultKind::PlatformOutage, "platform-outage" },
        { FaultKind::PlatformSlow, "platform-slow" },
        { FaultKind::LoseAnswers, "lose-answers" },
        { FaultKind::Promote, "promote" },
        { FaultKind::Rollback, "rollback" },
        { FaultKind::DrainServer, "drain-backend-server" },
        { FaultKind::DrainVm, "drain-vm" },
        { FaultKind::DrainZone, "drain-zone" },
        { FaultKind::TwoOperators, "two-operators" },
        { FaultKind::BackendSheds, "backend-sheds" },
        { FaultKind::BackendHangs, "backend-hangs" },
        { FaultKind::BackendTruncates, "backend-truncates" },
        { FaultKind::BackendMismatches, "backend-mismatches" },
        { FaultKind::BackendCloses, "backend-closes" },
        { FaultKind::BackendMisleads, "backend-misleads" },
    };
    return names;
}

const std::vector<std::pair<FaultKind, std::string>> &noticeNames()
{
    static const std::vector<std::pair<FaultKind, std::string>> names = {
        { FaultKind::BackendLeaves, "backend-leaves" },
        { FaultKind::BackendPauses, "backend-pauses" },
    };
    return names;
}

/// Numbers from the engine itself: the distributions of the standard library differ between
/// implementations, and a seed must give the same schedule everywhere.
class Dice
{
public:
    explicit Dice(std::uint64_t seed) : engine(seed) { }

    std::uint64_t between(std::uint64_t low, std::uint64_t high)
    {
        return low + this->engine() % (high - low + 1);
    }

    template<typename Item>
    const Item &oneOf(const std::vector<Item> &items)
    {
        return items[this->between(0, items.size() - 1)];
    }

private:
    std::mt19937_64 engine;
};

using KindNames = std::vector<std::pair<FaultKind, std::string>>;

std::vector<FaultKind> shuffledKinds(const KindNames &names, Dice &dice)
{
    std::vector<FaultKind> kinds;
    for (const auto &entry : names) {
        kinds.push_back(entry.first);
    }
    for (std::size_t index = kinds.size() - 1; index > 0; --index) {
        std::swap(kinds[index], kinds[dice.between(0, index)]);
    }
    return kinds;
}

std::string targetOf(FaultKind kind, Dice &dice)
{
    static const std::vector<std::string> zones { "lm-a", "lm-b", "ok-a", "ok-b", "is-a", "is-b" };
    static const std::vector<std::string> services { "slotview", "bellbook" };
    switch (kind) {
    case FaultKind::KillVm:
    case FaultKind::StopVm:
    case FaultKind::PauseVm:
    case FaultKind::DrainVm:
        return "entry-" + std::to_string(dice.between(1, vmCount));
    case FaultKind::DrainZone:
        return dice.oneOf(zones);
    case FaultKind::DrainServer:
    case FaultKind::TwoOperators:
    case FaultKind::BackendSheds:
    case FaultKind::BackendHangs:
    case FaultKind::BackendTruncates:
    case FaultKind::BackendMismatches:
    case FaultKind::BackendCloses:
    case FaultKind::BackendMisleads:
    case FaultKind::BackendLeaves:
    case FaultKind::BackendPauses: {
        const std::string service = dice.oneOf(services);
        const std::string zone = dice.oneOf(zones);
        return service + "-" + zone + "-" + std::to_string(dice.between(1, 2));
    }
    default:
        return {};
    }
}

std::vector<Fault> scheduleOf(const KindNames &names, std::uint64_t seed, milliseconds length,
                              milliseconds meanGap)
{
    Dice dice(seed);
    std::vector<Fault> faults;
    std::vector<FaultKind> deck;
    const auto mean = static_cast<std::uint64_t>(meanGap.count());
    milliseconds start { dice.between(0, mean) };
    while (start < length) {
        if (deck.empty()) {
            deck = shuffledKinds(names, dice);
        }
        Fault fault;
        fault.kind = deck.back();
        deck.pop_back();
        fault.start = start;
        fault.duration = fault.kind == FaultKind::PauseVm
                                 ? milliseconds(dice.between(shortestPauseMs, longestPauseMs))
                                 : milliseconds(dice.between(shortestFaultMs, longestFaultMs));
        fault.target = targetOf(fault.kind, dice);
        fault.choice = static_cast<unsigned>(dice.between(0, 999));
        faults.push_back(fault);
        start += milliseconds(dice.between(0, 2 * mean));
    }
    return faults;
}

} // namespace

std::string toString(FaultKind kind)
{
    for (const KindNames *const names : { &kindNames(), &noticeNames() }) {
        for (const auto &[candidate, name] : *names) {
            if (candidate == kind) {
                return name;
            }
        }
    }
    return "unknown";
}

nlohmann::json Fault::toJson() const
{
    return { { "start_ms", this->start.count() },
             { "duration_ms", this->duration.count() },
             { "fault", toString(this->kind) },
             { "target", this->target },
             { "choice", this->choice } };
}

std::vector<Fault> faultSchedule(std::uint64_t seed, milliseconds length, milliseconds meanGap)
{
    std::vector<Fault> faults = scheduleOf(kindNames(), seed, length, meanGap);
    // As often as the other kinds.
    const auto rarer = static_cast<int>(kindNames().size() / noticeNames().size());
    const auto notices = scheduleOf(noticeNames(), ~seed, length, meanGap * rarer);
    faults.insert(faults.end(), notices.begin(), notices.end());
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) {
        return left.start < right.start;
    });
    return faults;
}

} // namespace Currantfall::Tests
