#include "currantfall/Steering/ServerNotice.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>

namespace Currantfall::Steering {

namespace {

// Headers may be as long as the header limit of a response; log lines must not be.
constexpr std::size_t maxReportedBytes = 64;

constexpr const char *leavingValue = "1";
constexpr const char *notLeavingValue = "0";

/// Returns nothing if the text is not a decimal number that is zero or more.
std::optional<absl::Duration> parseSeconds(absl::string_view text)
{
    // The parser accepts signs, "inf" and "nan".
    if (text.empty() || !absl::ascii_isdigit(static_cast<unsigned char>(text.front()))) {
        return std::nullopt;
    }
    double seconds = 0.0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    if (parsed.ptr != end) {
        return std::nullopt;
    }
    if (parsed.ec == std::errc::result_out_of_range) {
        const absl::string_view integer = text.substr(0, text.find('.'));
        return integer.find_first_not_of('0') == absl::string_view::npos ? absl::ZeroDuration()
                                                                         : absl::InfiniteDuration();
    }
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return absl::Seconds(seconds);
}

void report(std::string &malformed, absl::string_view value)
{
    if (malformed.size() >= maxReportedBytes) {
        return;
    }
    malformed += malformed.empty() ? "\"" : ", \"";
    for (const char character : value.substr(0, maxReportedBytes)) {
        malformed += absl::ascii_isprint(static_cast<unsigned char>(character)) ? character : '?';
    }
    malformed += '"';
    malformed.resize(std::min(malformed.size(), maxReportedBytes));
}

} // namespace

ServerNotice ServerNotice::read(const std::vector<std::string> &leavingValues,
                                const std::vector<std::string> &retryAfterValues, bool unavailable)
{
    ServerNotice notice;
    for (const std::string &value : leavingValues) {
        notice.isLeaving = notice.isLeaving || value != notLeavingValue;
        if (value != leavingValue && value != notLeavingValue) {
            report(notice.malformedValues, value);
        }
    }
    if (!unavailable) {
        return notice;
    }
    for (const std::string &values : retryAfterValues) {
        for (const absl::string_view part : absl::StrSplit(values, ',')) {
            const absl::string_view value = absl::StripAsciiWhitespace(part);
            const auto pause = parseSeconds(value);
            if (pause) {
                notice.pauseTime = std::max(notice.pauseTime, *pause);
            } else {
                report(notice.malformedValues, value);
            }
        }
    }
    return notice;
}

} // namespace Currantfall::Steering
