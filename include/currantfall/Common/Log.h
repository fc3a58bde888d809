#pragma once

#include <memory>
#include <string>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "currantfall/Common/Error.h"

namespace Currantfall::Common {

/// Writes JSON lines for one component: {"time","level","component","message", fields...}.
/// Thread-safe; copies share the sink.
class Log
{
public:
    /// Sets the level of all logs of the process: trace, debug, info, warn, error or off.
    static Result<void> setLevel(const std::string &level);

    /// A log whose lines go to standard error.
    static Log forComponent(std::string component);

    void debug(const std::string &message, const std::string &peer = {},
               const std::string &request = {}) const;
    void info(const std::string &message, const std::string &peer = {},
              const std::string &request = {}) const;
    void warn(const std::string &message, const std::string &peer = {},
              const std::string &request = {}) const;
    void error(const std::string &message, const std::string &peer = {},
               const std::string &request = {}) const;
    /// For the last line of a process that can't go on: written at every log level, with `state` as
    /// a field.
    void critical(const std::string &message, const nlohmann::json &state) const;

private:
    explicit Log(std::string component);

    void write(spdlog::level::level_enum level, const std::string &message, const std::string &peer,
               const std::string &request) const;
    nlohmann::ordered_json lineOf(spdlog::level::level_enum level,
                                  const std::string &message) const;

    std::string component;
};

} // namespace Currantfall::Common
