#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <boost/histogram.hpp>

namespace Currantfall::Load {

/// How a request ended for its caller.
enum class CallOutcome {
    Answered,       ///< A whole answer with a 2xx status that belongs to the request.
    ErrorAnswer,    ///< A backend server's answer with another status.
    WrongAnswer,    ///< An answer to another request, or a part of one.
    NotRun,         ///< Refused; the system says that it has not run.
    OutcomeUnknown, ///< The system does not know, or the connection was lost.
    Unreachable,    ///< No entry VM accepted a connection.
};

constexpr std::size_t callOutcomes = 6;
std::string toString(CallOutcome outcome);

/// Response times with a resolution of 1%, from 1 us to 100 s.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void add(absl::Duration latency);
    void merge(const LatencyHistogram &other);

    std::uint64_t count() const { return this->total; }
    absl::Duration maximum() const { return this->largest; }
    /// The latency that a fraction `quantile` (0..1) of the requests does not exceed; zero without
    /// requests.
    absl::Duration quantile(double quantile) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> bins;
    std::uint64_t total = 0;
    absl::Duration largest = absl::ZeroDuration();
};

/// Outcome of one request, for the comparison with the backend servers' executions.
struct RequestRecord
{
    std::string id;
    CallOutcome outcome = CallOutcome::OutcomeUnknown;
};

/// What the requests of one class gave in one phase.
struct ClassResult
{
    LatencyHistogram answered;
    std::array<std::uint64_t, callOutcomes> outcomes {};
    /// Answered before the end of the phase: answers from the queues that a flood leaves behind
    /// are no goodput of the phase.
    std::uint64_t answeredInPhase = 0;
    std::uint64_t attempts = 0;
    /// Arrivals that found the queue of their class full.
    std::uint64_t notSent = 0;
    /// Arrivals that got no connection in time.
    std::uint64_t abandoned = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t falseNotRun = 0;
    /// Refusals, of each attempt, by a backend server that asked for no requests for some time.
    std::uint64_t pauseRefusals = 0;
    /// Responses to attempts by a backend server that announced that it leaves.
    std::uint64_t leavingResponses = 0;
    std::vector<RequestRecord> records;

    void add(CallOutcome outcome, absl::Duration latency);
    void merge(ClassResult &&other);
    std::uint64_t count(CallOutcome outcome) const;
    std::uint64_t requests() const;
};

/// Executions by request id, as backend stand-ins report them.
using Executions = std::map<std::string, std::uint64_t>;

/// Counts requests that ran twice (unless `idempotent`) or ran although they were `not-run`.
void countViolations(ClassResult &result, const Executions &executions, bool idempotent);

} // namespace Currantfall::Load
