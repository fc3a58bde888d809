#pragma once

#include <string>
#include <system_error>

#include <tl/expected.hpp>

namespace Currantfall::Common {

/// Failure classes that the library reports itself. Operating system failures keep their own
/// std::error_code category.
enum class ErrorCode {
    InvalidInput = 1, ///< A document, setting or message does not have the required form.
    NotFound,         ///< The named row, object, service or member does not exist.
    Conflict,         ///< A conditional write lost against another writer.
    Unavailable,      ///< The peer or the platform can't be reached or does not answer in time.
    Refused,          ///< The peer or the platform answered and declined.
    TooLarge,         ///< A frame, body or document exceeds its limit.
    Expired,          ///< A lease, credit, key epoch or deadline has ended.
    Truncated,        ///< Input ended before the declared length.
};

const std::error_category &currantfallCategory();
std::error_code make_error_code(ErrorCode code); // NOLINT(readability-identifier-naming)

/// What failed, in which step, against which peer.
class Error
{
public:
    /// `step` names the operation ("read row"); `peer` the address or name of the other side and is
    /// empty for local failures; `detail` is for people.
    Error(std::error_code errorCode, std::string failedStep, std::string otherPeer = {},
          std::string description = {});

    const std::error_code &code() const { return this->errorCode; }
    const std::string &step() const { return this->failedStep; }
    const std::string &peer() const { return this->otherPeer; }
    const std::string &detail() const { return this->description; }

    /// "step (peer): message: detail".
    std::string toString() const;

    friend bool operator==(const Error &left, const Error &right) = default;

private:
    std::error_code errorCode;
    std::string failedStep;
    std::string otherPeer;
    std::string description;
};

template<typename Value>
using Result = tl::expected<Value, Error>;

/// Shorthand for returning an Error from a function with a Result.
tl::unexpected<Error> failure(ErrorCode code, std::string step, std::string peer = {},
                              std::string detail = {});

} // namespace Currantfall::Common

template<>
struct std::is_error_code_enum<Currantfall::Common::ErrorCode> : std::true_type
{ };
