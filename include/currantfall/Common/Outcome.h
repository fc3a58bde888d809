#pragma once

#include <string>
#include <utility>
#include <vector>

#include <absl/time/time.h>

namespace Currantfall::Common {

/// What the system knows about the execution of a request.
enum class Outcome {
    Answered,       ///< A backend server's whole answer is present.
    NotRun,         ///< Proven: no backend server has executed or will execute the request.
    OutcomeUnknown, ///< A backend server may have executed the request.
};

/// "answered", "not-run" or "outcome-unknown", as on the wire.
std::string toString(Outcome outcome);

/// Why a request was not answered; part of the caller interface.
enum class Reason {
    None,
    NoRoute,
    BodyTooLarge,
    BadKey,
    KeySealed,
    KeyExpired,
    Overloaded,
    DeadlineTooShort,
    NoCapacity, ///< No owner with live backend servers and credits is reachable.
    NoConfiguration,
    ShuttingDown,
    DeputyUnreachable,
    IssuerUnreachable,
    BackendServerShed,
    BackendServerFailed,
    PeerFailed,
    TimedOut,
    Cancelled,
};

/// The lower-case, hyphenated name used on the wire, such as "no-route".
std::string toString(Reason reason);

struct Header
{
    std::string name;
    std::string value;

    friend bool operator==(const Header &left, const Header &right) = default;
};

/// The answer to a request or the reason why there is none.
struct Answer
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    /// HTTP status of the backend server; only with Outcome::Answered.
    int status = 0;
    std::vector<Header> headers;
    std::string body;
    /// For people; empty with Outcome::Answered.
    std::string message;
    /// Suggested wait before a retry; zero if there is none.
    absl::Duration retryAfter = absl::ZeroDuration();

    friend bool operator==(const Answer &left, const Answer &right) = default;
};

Answer notRun(Reason reason, std::string message, absl::Duration retryAfter = absl::ZeroDuration());
Answer outcomeUnknown(Reason reason, std::string message);

} // namespace Currantfall::Common
