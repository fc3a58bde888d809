#pragma once

#include <string>
#include <vector>

#include <absl/time/time.h>

namespace Currantfall::Steering {

/// What one response of a backend server says about the server itself.
class ServerNotice
{
public:
    ServerNotice() = default;

    /// Interprets the values of the response's headers as received, one for each occurrence of the
    /// header.
    ///
    /// `leavingValues` announce that the server leaves, unless all of them are "0".
    /// `retryAfterValues` are times in seconds for which a server that is `unavailable` (status
    /// 503) wants no requests. Fractions are allowed, several values may be separated by commas,
    /// and the longest one counts. Values that are negative or not a number (such as a date) are
    /// ignored and reported in malformed(); a value above the range of numbers is infinite.
    static ServerNotice read(const std::vector<std::string> &leavingValues,
                             const std::vector<std::string> &retryAfterValues, bool unavailable);

    bool leaving() const { return this->isLeaving; }
    /// Time from the response for which the server wants no requests. Zero if it says nothing.
    absl::Duration pause() const { return this->pauseTime; }
    /// Values that are not as specified, shortened, in printable ASCII. Empty if there are none.
    const std::string &malformed() const { return this->malformedValues; }
    bool empty() const { return *this == ServerNotice(); }

    friend bool operator==(const ServerNotice &left, const ServerNotice &right) = default;

private:
    bool isLeaving = false;
    absl::Duration pauseTime = absl::ZeroDuration();
    std::string malformedValues;
};

} // namespace Currantfall::Steering
