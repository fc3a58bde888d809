#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "currantfall/Common/BoundedRing.h"
#include "currantfall/Common/Error.h"

namespace Currantfall::Common {

/// Writes one JSON line per decision or event to standard output, from a thread of its own.
/// Writers never wait: lines beyond the rate limit or a full ring are dropped, and the next line
/// that is written says how many. Thread-safe.
class EventLog
{
public:
    struct Settings
    {
        /// Lines of ordinary events per second; important ones are not limited.
        std::uint32_t linesPerSecond = 200;
        std::size_t ringLines = 4096;
    };

    /// `source` is added to each line, to tell processes apart.
    EventLog(std::string source, Settings settings);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// True if an ordinary event would be written now; saves building lines that are dropped.
    bool admits();
    /// A decision about one request, or another frequent event, that admits() has let through.
    void write(const char *event, nlohmann::ordered_json fields);
    /// A start, stop, lost dependency or another rare event.
    void important(const char *event, nlohmann::ordered_json fields);

    std::uint64_t droppedLines() const { return this->dropped; }

private:
    void push(const char *event, nlohmann::ordered_json &&fields);

    std::string source;
    Settings settings;
    std::atomic<std::int64_t> second { 0 };
    std::atomic<std::uint32_t> linesOfSecond { 0 };
    std::atomic<std::uint64_t> dropped { 0 };
    std::atomic<std::uint64_t> reportedDropped { 0 };
    BoundedRing<std::string> ring;
    std::thread writer;
};

/// Fields of an error for a log line.
nlohmann::ordered_json errorFields(const Error &error);

} // namespace Currantfall::Common
