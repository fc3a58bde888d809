#include "currantfall/Common/Error.h"

#include <utility>

namespace Currantfall::Common {

namespace {

class Category : public std::error_category
{
public:
    const char *name() const noexcept override { return "currantfall"; }

    std::string message(int value) const override
    {
        switch (static_cast<ErrorCode>(value)) {
        case ErrorCode::InvalidInput:
            return "invalid input";
        case ErrorCode::NotFound:
            return "not found";
        case ErrorCode::Conflict:
            return "conflict";
        case ErrorCode::Unavailable:
            return "unavailable";
        case ErrorCode::Refused:
            return "refused";
        case ErrorCode::TooLarge:
            return "too large";
        case ErrorCode::Expired:
            return "expired";
        case ErrorCode::Truncated:
            return "truncated";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &currantfallCategory()
{
    static const Category category;
    return category;
}

std::error_code make_error_code(ErrorCode code) // NOLINT(readability-identifier-naming)
{
    return { static_cast<int>(code), currantfallCategory() };
}

Error::Error(std::error_code errorCode, std::string failedStep, std::string otherPeer,
             std::string description)
    : errorCode(errorCode), failedStep(std::move(failedStep)), otherPeer(std::move(otherPeer)),
      description(std::move(description))
{ }

std::string Error::toString() const
{
    std::string text = this->failedStep;
    if (!this->otherPeer.empty()) {
        text += " (" + this->otherPeer + ")";
    }
    text += ": " + this->errorCode.message();
    if (!this->description.empty()) {
        text += ": " + this->description;
    }
    return text;
}

tl::unexpected<Error> failure(ErrorCode code, std::string step, std::string peer,
                              std::string detail)
{
    return tl::unexpected<Error>(
            Error(make_error_code(code), std::move(step), std::move(peer), std::move(detail)));
}

} // namespace Currantfall::Common
