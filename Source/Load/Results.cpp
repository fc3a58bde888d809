#include "Load/Results.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Currantfall::Load {

namespace {

constexpr unsigned binCount = 1850;
constexpr double smallestMicroseconds = 1.0;
constexpr double largestMicroseconds = 1e8;

} // namespace

std::string toString(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::ErrorAnswer:
        return "error-answer";
    case CallOutcome::WrongAnswer:
        return "wrong-answer";
    case CallOutcome::NotRun:
        return "not-run";
    case CallOutcome::OutcomeUnknown:
        return "outcome-unknown";
    case CallOutcome::Unreachable:
        break;
    }
    return "unreachable";
}

LatencyHistogram::LatencyHistogram()
    : bins(std::make_tuple(Axis(binCount, smallestMicroseconds, largestMicroseconds)))
{ }

void LatencyHistogram::add(absl::Duration latency)
{
    this->bins(absl::ToDoubleMicroseconds(latency));
    ++this->total;
    this->largest = std::max(this->largest, latency);
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    this->bins += other.bins;
    this->total += other.total;
    this->largest = std::max(this->largest, other.largest);
}

absl::Duration LatencyHistogram::quantile(double quantile) const
{
    const double wanted = quantile * static_cast<double>(this->total);
    std::uint64_t below = 0;
    for (const auto &&bin :
         boost::histogram::indexed(this->bins, boost::histogram::coverage::all)) {
        below += *bin;
        if (*bin > 0 && static_cast<double>(below) >= wanted) {
            const double upper = std::min(bin.bin().upper(), largestMicroseconds);
            return std::min(this->largest, absl::Microseconds(upper));
        }
    }
    return this->largest;
}

void ClassResult::add(CallOutcome outcome, absl::Duration latency)
{
    ++this->outcomes.at(static_cast<std::size_t>(outcome));
    if (outcome == CallOutcome::Answered) {
        this->answered.add(latency);
    }
}

void ClassResult::merge(ClassResult &&other)
{
    this->answered.merge(other.answered);
    for (std::size_t index = 0; index < callOutcomes; ++index) {
        this->outcomes.at(index) += other.outcomes.at(index);
    }
    this->answeredInPhase += other.answeredInPhase;
    this->attempts += other.attempts;
    this->notSent += other.notSent;
    this->abandoned += other.abandoned;
    this->duplicates += other.duplicates;
    this->falseNotRun += other.falseNotRun;
    this->pauseRefusals += other.pauseRefusals;
    this->leavingResponses += other.leavingResponses;
    std::move(other.records.begin(), other.records.end(), std::back_inserter(this->records));
}

std::uint64_t ClassResult::count(CallOutcome outcome) const
{
    return this->outcomes.at(static_cast<std::size_t>(outcome));
}

std::uint64_t ClassResult::requests() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t outcome : this->outcomes) {
        sum += outcome;
    }
    return sum;
}

void countViolations(ClassResult &result, const Executions &executions, bool idempotent)
{
    for (const RequestRecord &record : result.records) {
        const auto found = executions.find(record.id);
        const std::uint64_t runs = found == executions.end() ? 0 : found->second;
        if (!idempotent && runs > 1) {
            ++result.duplicates;
        }
        if (record.outcome == CallOutcome::NotRun && runs > 0) {
            ++result.falseNotRun;
        }
    }
}

} // namespace Currantfall::Load
