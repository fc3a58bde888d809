#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "currantfall/Common/Time.h"

namespace Currantfall::BackendStandin {

/// The load of a server as it was some time ago. Not thread-safe.
class LoadReport
{
public:
    struct Sample
    {
        std::size_t inUse = 0;
        std::string state = "ready";
    };

    void record(Common::Instant now, Sample sample);

    /// The sample in force at `now - lag`; an idle, ready one before the first.
    Sample at(Common::Instant now, absl::Duration lag) const;

private:
    struct Entry
    {
        Common::Instant time;
        Sample sample;
    };

    std::deque<Entry> entries;
};

} // namespace Currantfall::BackendStandin
