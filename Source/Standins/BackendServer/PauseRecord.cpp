#include "PauseRecord.h"

#include <algorithm>

namespace Currantfall::BackendStandin {

namespace {

constexpr absl::Duration grace = absl::Milliseconds(500);

/// Empty if the attempt is of no VM.
std::string vmOf(const std::string &attempt)
{
    const std::size_t dot = attempt.rfind('.');
    return dot == std::string::npos ? std::string() : attempt.substr(0, dot);
}

} // namespace

void PauseRecord::onRequest(const std::string &attempt, Common::Instant now)
{
    std::erase_if(this->pauses, [now](const Pause &pause) { return now >= pause.end; });
    const std::string vm = vmOf(attempt);
    for (Pause &pause : this->pauses) {
        if (pause.vm == vm && now >= pause.begin) {
            ++pause.requests;
            this->most = std::max(this->most, pause.requests);
        }
    }
}

void PauseRecord::onRefusal(const std::string &attempt, Common::Instant now, absl::Duration pause)
{
    const std::string vm = vmOf(attempt);
    if (!vm.empty() && pause > grace) {
        this->pauses.push_back({ vm, now + grace, now + pause, 0 });
    }
}

} // namespace Currantfall::BackendStandin
