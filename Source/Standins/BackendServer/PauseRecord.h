#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "currantfall/Common/Time.h"

namespace Currantfall::BackendStandin {

/// Counts the requests that an entry VM sends although the server has asked it for a pause. The
/// requests that were under way at that time have half a second to arrive.
class PauseRecord
{
public:
    /// `attempt` is Currantfall-Attempt; the part before the last dot names the run of the VM.
    /// Requests without such a part come from no VM and are not counted.
    void onRequest(const std::string &attempt, Common::Instant now);
    void onRefusal(const std::string &attempt, Common::Instant now, absl::Duration pause);

    /// The most requests of one VM in one of the pauses that it was asked for.
    std::size_t mostRequests() const { return this->most; }

private:
    struct Pause
    {
        std::string vm;
        Common::Instant begin;
        Common::Instant end;
        std::size_t requests = 0;
    };

    std::vector<Pause> pauses;
    std::size_t most = 0;
};

} // namespace Currantfall::BackendStandin
