#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Outcome.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Execution/IdempotencyKey.h"

namespace Currantfall::Execution {

/// Names a request within one process.
using RequestId = std::uint64_t;

/// `<vm>.<incarnation hex>.<number>`; never used twice.
using AttemptId = std::string;

/// The request has its final answer: cancel the other attempts.
struct Settled
{
    RequestId request = 0;
    std::vector<AttemptId> losers;
};

/// The attempt failed; `openAttempts` others of the request still run.
struct AttemptFailed
{
    RequestId request = 0;
    std::size_t openAttempts = 0;
};

/// The answer belongs to no open attempt and must not be used.
struct Dropped
{ };

using MatchDecision = std::variant<Settled, AttemptFailed, Dropped>;

struct DroppedAnswers
{
    std::uint64_t late = 0;       ///< The attempt was cancelled or abandoned.
    std::uint64_t duplicate = 0;  ///< The attempt has been answered before.
    std::uint64_t mismatched = 0; ///< Unknown attempt, or sent by another target.

    friend bool operator==(const DroppedAnswers &left, const DroppedAnswers &right) = default;
};

/// The open attempts of all requests of a process. Not thread-safe.
class AttemptTable
{
public:
    AttemptTable(VmRun self, std::size_t maxOpenAttempts);

    /// Opens an attempt of `request` at `target` (backend server or VM). Fails if the table is
    /// full.
    Common::Result<AttemptId> start(Common::Instant now, RequestId request, std::string target);

    /// Matches an answer from `target`. Outcome::Answered settles the request; another outcome
    /// settles nothing and only ends the attempt.
    MatchDecision onAnswer(const AttemptId &attempt, const std::string &target,
                           Common::Outcome outcome);

    /// Ends all attempts of a request, for example at its deadline. Returns those to cancel.
    std::vector<AttemptId> abandon(RequestId request);

    /// Targets that the request has been sent to, in order; empty once it is settled or abandoned.
    std::vector<std::string> triedTargets(RequestId request) const;

    /// Start of the first attempt of an open request.
    std::optional<Common::Instant> firstStart(RequestId request) const;

    std::size_t openAttempts(RequestId request) const;
    std::size_t size() const { return this->attempts.size(); }
    const DroppedAnswers &dropped() const { return this->droppedAnswers; }

private:
    struct Attempt
    {
        RequestId request = 0;
        std::string target;
    };

    struct Request
    {
        Common::Instant firstStart;
        std::vector<std::string> tried;
        std::vector<AttemptId> open;
    };

    MatchDecision drop(const AttemptId &attempt);
    void rememberAnswered(const AttemptId &attempt);

    std::string idPrefix;
    std::size_t maxOpenAttempts;
    std::uint64_t lastNumber = 0;
    absl::flat_hash_map<AttemptId, Attempt> attempts;
    absl::flat_hash_map<RequestId, Request> requests;
    absl::flat_hash_set<AttemptId> answered;
    std::deque<AttemptId> answeredOrder;
    DroppedAnswers droppedAnswers;
};

} // namespace Currantfall::Execution
