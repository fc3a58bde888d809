#include "currantfall/Common/Outcome.h"

namespace Currantfall::Common {

std::string toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::OutcomeUnknown:
        return "outcome-unknown";
    }
    return "outcome-unknown";
}

std::string toString(Reason reason)
{
    switch (reason) {
    case Reason::None:
        return "none";
    case Reason::NoRoute:
        return "no-route";
    case Reason::BodyTooLarge:
        return "body-too-large";
    case Reason::BadKey:
        return "bad-key";
    case Reason::KeySealed:
        return "key-sealed";
    case Reason::KeyExpired:
        return "key-expired";
    case Reason::Overloaded:
        return "overloaded";
    case Reason::DeadlineTooShort:
        return "deadline-too-short";
    case Reason::NoCapacity:
        return "no-capacity";
    case Reason::NoConfiguration:
        return "no-configuration";
    case Reason::ShuttingDown:
        return "shutting-down";
    case Reason::DeputyUnreachable:
        return "deputy-unreachable";
    case Reason::IssuerUnreachable:
        return "issuer-unreachable";
    case Reason::BackendServerShed:
        return "backend-server-shed";
    case Reason::BackendServerFailed:
        return "backend-server-failed";
    case Reason::PeerFailed:
        return "peer-failed";
    case Reason::TimedOut:
        return "timed-out";
    case Reason::Cancelled:
        return "cancelled";
    }
    return "none";
}

Answer notRun(Reason reason, std::string message, absl::Duration retryAfter)
{
    Answer answer;
    answer.outcome = Outcome::NotRun;
    answer.reason = reason;
    answer.message = std::move(message);
    answer.retryAfter = retryAfter;
    return answer;
}

Answer outcomeUnknown(Reason reason, std::string message)
{
    Answer answer;
    answer.outcome = Outcome::OutcomeUnknown;
    answer.reason = reason;
    answer.message = std::move(message);
    return answer;
}

} // namespace Currantfall::Common
