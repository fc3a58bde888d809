#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "currantfall/Platform/RevisionStore.h"

namespace Currantfall::Platform {

/// What happens to one row write.
enum class WriteFault {
    None,
    LostBefore,  ///< No effect and no answer.
    LostAfter,   ///< Takes effect; no answer.
    Delayed,     ///< No answer; takes effect after the next read, if its condition still holds.
    NotSent,     ///< No connection.
    RateLimited, ///< Like NotSent: the platform refused before any effect.
};

/// The platform in memory, with a clock that moves only when somebody sleeps.
class FakePlatform
{
public:
    std::deque<WriteFault> writeFaults;
    bool outage = false;
    /// Runs once before the next row write, as another operator between the read and the write.
    std::function<void()> beforeWrite;
    std::size_t writes = 0;
    /// Every value that took effect, in order.
    std::vector<nlohmann::json> accepted;
    std::map<std::string, std::string> objects;
    Common::Instant now;
    std::uint64_t lastOperation = 0;

    Common::Result<VersionedRow> readRow(const std::string &, const std::string &key,
                                         Common::Instant)
    {
        if (this->outage) {
            return unanswered("read");
        }
        const auto found = this->rows.find(key);
        auto result = found == this->rows.end() ? Common::Result<VersionedRow>(
                              Common::failure(Common::ErrorCode::NotFound, "read"))
                                                : found->second;
        for (const auto &late : std::exchange(this->inFlight, {})) {
            late();
        }
        return result;
    }

    Common::Result<RowVersion> writeRow(const std::string &, const std::string &key,
                                        const nlohmann::json &value,
                                        const WriteCondition &condition, Common::Instant)
    {
        if (const auto hook = std::exchange(this->beforeWrite, nullptr)) {
            hook();
        }
        ++this->writes;
        WriteFault fault = WriteFault::None;
        if (!this->writeFaults.empty()) {
            fault = this->writeFaults.front();
            this->writeFaults.pop_front();
        }
        switch (fault) {
        case WriteFault::NotSent:
        case WriteFault::RateLimited:
            return Common::failure(Common::ErrorCode::Unavailable, "write");
        case WriteFault::LostBefore:
            return unanswered("write");
        case WriteFault::Delayed:
            this->inFlight.emplace_back([this, key, value, condition] {
                static_cast<void>(this->apply(key, value, condition));
            });
            return unanswered("write");
        case WriteFault::LostAfter: {
            // A refused write is answered like a lost one.
            static_cast<void>(this->apply(key, value, condition));
            return unanswered("write");
        }
        case WriteFault::None:
            break;
        }
        return this->apply(key, value, condition);
    }

    Common::Result<void> putObject(const std::string &name, const std::string &bytes,
                                   Common::Instant)
    {
        if (this->outage) {
            return unanswered("store");
        }
        this->objects[name] = bytes;
        return {};
    }

    Common::Result<std::string> getObject(const std::string &name, Common::Instant)
    {
        if (this->outage) {
            return unanswered("read");
        }
        const auto found = this->objects.find(name);
        if (found == this->objects.end()) {
            return Common::failure(Common::ErrorCode::NotFound, "read");
        }
        return found->second;
    }

    void setRow(const std::string &key, const nlohmann::json &value)
    {
        this->rows[key] = { value, std::to_string(++this->lastVersion) };
    }

    void removeRow(const std::string &key) { this->rows.erase(key); }

    /// Operations are named op-1, op-2, ...
    auto store()
    {
        RevisionStoreSettings settings;
        settings.environment = "trial";
        settings.now = [this] { return this->now; };
        settings.sleep = [this](absl::Duration pause) { this->now = this->now + pause; };
        settings.wallClock = [] { return absl::FromUnixMillis(1'700'000'000'000); };
        settings.newOperation = [this] { return "op-" + std::to_string(++this->lastOperation); };
        return RevisionStore<FakePlatform>(*this, settings);
    }

private:
    static tl::unexpected<Common::Error> unanswered(const std::string &step)
    {
        return tl::unexpected<Common::Error>(
                Common::Error(std::make_error_code(std::errc::connection_reset), step));
    }

    Common::Result<RowVersion> apply(const std::string &key, const nlohmann::json &value,
                                     const WriteCondition &condition)
    {
        const auto found = this->rows.find(key);
        const WriteCondition present
                = found == this->rows.end() ? std::nullopt : WriteCondition(found->second.version);
        if (present != condition) {
            return Common::failure(Common::ErrorCode::Conflict, "write");
        }
        this->setRow(key, value);
        this->accepted.push_back(value);
        return this->rows[key].version;
    }

    std::map<std::string, VersionedRow> rows;
    std::vector<std::function<void()>> inFlight;
    std::uint64_t lastVersion = 0;
};

} // namespace Currantfall::Platform
