#include "currantfall/Common/EventLog.h"

#include <cstdio>
#include <utility>

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Common {

EventLog::EventLog(std::string source, Settings settings)
    : source(std::move(source)), settings(settings), ring(settings.ringLines), writer([this] {
          while (true) {
              const auto line = this->ring.popWithin(absl::Seconds(60));
              if (line) {
                  std::fwrite(line->data(), 1, line->size(), stdout);
                  if (this->ring.size() == 0) {
                      std::fflush(stdout);
                  }
              } else if (this->ring.closed()) {
                  return;
              }
          }
      })
{ }

EventLog::~EventLog()
{
    this->ring.close();
    this->writer.join();
    std::fflush(stdout);
}

bool EventLog::admits()
{
    const std::int64_t now = absl::ToInt64Seconds(monotonicNow().sinceOrigin());
    if (this->second.exchange(now) != now) {
        this->linesOfSecond = 0;
    }
    if (this->linesOfSecond.fetch_add(1) < this->settings.linesPerSecond) {
        return true;
    }
    ++this->dropped;
    return false;
}

void EventLog::write(const char *event, nlohmann::ordered_json fields)
{
    this->push(event, std::move(fields));
}

void EventLog::important(const char *event, nlohmann::ordered_json fields)
{
    this->push(event, std::move(fields));
}

void EventLog::push(const char *event, nlohmann::ordered_json &&fields)
{
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    line["vm"] = this->source;
    line["event"] = event;
    line.update(fields);
    const std::uint64_t lost = this->dropped;
    if (lost != this->reportedDropped.exchange(lost)) {
        line["dropped_lines"] = lost;
    }
    std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text += '\n';
    if (!this->ring.tryPush(std::move(text))) {
        ++this->dropped;
    }
}

nlohmann::ordered_json errorFields(const Error &error)
{
    return { { "step", error.step() },
             { "peer", error.peer() },
             { "error", error.code().message() },
             { "detail", error.detail() } };
}

} // namespace Currantfall::Common
