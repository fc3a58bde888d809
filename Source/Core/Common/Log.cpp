#include "currantfall/Common/Log.h"

#include <cstdio>
#include <utility>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>

namespace Currantfall::Common {

namespace {

spdlog::logger &processLogger()
{
    static const std::shared_ptr<spdlog::logger> logger = [] {
        auto created = std::make_shared<spdlog::logger>(
                "currantfall", std::make_shared<spdlog::sinks::stderr_sink_mt>());
        created->set_pattern("%v");
        created->flush_on(spdlog::level::warn);
        return created;
    }();
    return *logger;
}

std::string textOf(const nlohmann::ordered_json &line)
{
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

Result<void> Log::setLevel(const std::string &level)
{
    const auto parsed = spdlog::level::from_str(level);
    // from_str maps unknown names to "off".
    if (parsed == spdlog::level::off && level != "off") {
        return failure(ErrorCode::InvalidInput, "set log level", {}, "unknown level " + level);
    }
    processLogger().set_level(parsed);
    return {};
}

Log Log::forComponent(std::string component)
{
    return Log(std::move(component));
}

Log::Log(std::string component) : component(std::move(component)) { }

void Log::debug(const std::string &message, const std::string &peer,
                const std::string &request) const
{
    this->write(spdlog::level::debug, message, peer, request);
}

void Log::info(const std::string &message, const std::string &peer,
               const std::string &request) const
{
    this->write(spdlog::level::info, message, peer, request);
}

void Log::warn(const std::string &message, const std::string &peer,
               const std::string &request) const
{
    this->write(spdlog::level::warn, message, peer, request);
}

void Log::error(const std::string &message, const std::string &peer,
                const std::string &request) const
{
    this->write(spdlog::level::err, message, peer, request);
}

void Log::critical(const std::string &message, const nlohmann::json &state) const
{
    nlohmann::ordered_json line = this->lineOf(spdlog::level::critical, message);
    line["state"] = state;
    // Not through the logger, whose level may be "off".
    std::fputs((textOf(line) + "\n").c_str(), stderr);
    std::fflush(stderr);
}

nlohmann::ordered_json Log::lineOf(spdlog::level::level_enum level,
                                   const std::string &message) const
{
    const auto levelName = spdlog::level::to_string_view(level);
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    line["level"] = std::string(levelName.data(), levelName.size());
    line["component"] = this->component;
    line["message"] = message;
    return line;
}

void Log::write(spdlog::level::level_enum level, const std::string &message,
                const std::string &peer, const std::string &request) const
{
    spdlog::logger &logger = processLogger();
    if (!logger.should_log(level)) {
        return;
    }
    nlohmann::ordered_json line = this->lineOf(level, message);
    if (!peer.empty()) {
        line["peer"] = peer;
    }
    if (!request.empty()) {
        line["request"] = request;
    }
    logger.log(level, "{}", textOf(line));
}

} // namespace Currantfall::Common
