#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <absl/time/time.h>

#include "currantfall/Common/Outcome.h"
#include "currantfall/Execution/IdempotencyKey.h"

namespace Currantfall::Execution {

/// Limits and times that issuers and deputies of one environment share.
struct ExecutionSettings
{
    absl::Duration epochLength = absl::Minutes(10);
    /// Time after the end of its epoch for which a prefix stays valid.
    absl::Duration grace = absl::Minutes(10);
    /// Wait for the deputy's reply to an intent note.
    absl::Duration intentTimeout = absl::Milliseconds(300);
    /// A deputy keeps notes longer than the issuer by this much. It covers the drift of two clocks
    /// over the life of a prefix (1% of 20 minutes is 12 s).
    absl::Duration deputyMargin = absl::Minutes(1);
    std::size_t maxRecords = 1'000'000;
    /// Body and header bytes of one recorded answer.
    std::size_t maxRecordBytes = 64UL * 1024;
    /// Body and header bytes of all recorded answers.
    std::size_t maxTotalBytes = 256UL * 1024 * 1024;
    /// Live prefixes of an issuer. Also the live prefixes that a deputy keeps for one issuer run.
    std::size_t maxPrefixes = 1024;
    /// Issuer runs that a deputy remembers.
    std::size_t maxIssuerRuns = 4096;
};

/// State of a key in a handover; the values are those of the wire format.
enum class RecordState : std::uint8_t {
    Sealed,   ///< The key has not run and never will.
    Running,  ///< The key may have reached a backend server; its result is not known.
    Finished, ///< The answer is known.
};

struct KeyRecord
{
    IdempotencyKey key;
    RecordState state = RecordState::Sealed;
    /// The not-run answer of a sealed key or the answer of a finished one.
    Common::Answer answer;

    friend bool operator==(const KeyRecord &left, const KeyRecord &right) = default;
};

/// The answer to keep for repeats: `answer` itself or, if it is larger than `maxBytes`, an
/// outcome-unknown answer that says that the request was answered and the response is not kept.
Common::Answer boundedAnswer(const Common::Answer &answer, std::size_t maxBytes);

/// Body and header bytes of an answer.
std::size_t answerBytes(const Common::Answer &answer);

} // namespace Currantfall::Execution
