#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

namespace Currantfall::BackendStandin {

/// The ids under which a request is counted; empty ones are not counted.
struct RequestIds
{
    std::string key;     ///< Idempotency-Key.
    std::string attempt; ///< Currantfall-Attempt.
    std::string request; ///< Currantfall-Request.
};

/// Counts the work of all servers of the process by idempotency key, attempt and request. A request
/// starts when it gets a slot and has run when its work is done. Thread-safe.
class ExecutionLog
{
public:
    void started(const RequestIds &ids);
    void ran(const RequestIds &ids);

    /// Numbers of distinct ids, and those that started or ran more than once.
    nlohmann::json summary() const;

    /// The counts of the ids in {"keys":[...],"attempts":[...],"requests":[...]}, as
    /// {"keys":{"<key>":{"started":n,"ran":n}},...}.
    nlohmann::json counts(const nlohmann::json &ids) const;

private:
    struct Count
    {
        std::uint32_t started = 0;
        std::uint32_t ran = 0;
    };

    // Ids are kept as 64-bit hashes, so that a million requests take a few dozen megabytes.
    struct Table
    {
        void start(const std::string &id);
        void run(const std::string &id);
        nlohmann::json summary() const;
        nlohmann::json counts(const nlohmann::json &ids) const;

        absl::flat_hash_map<std::uint64_t, Count> counted;
        std::uint64_t ran = 0;
        std::uint64_t repeatedStarts = 0;
        std::uint64_t repeatedRuns = 0;
        /// The first ids that started or ran twice.
        std::vector<std::string> startedAgain;
        std::vector<std::string> ranAgain;
    };

    mutable std::mutex mutex;
    Table keys;
    Table attempts;
    Table requests;
};

} // namespace Currantfall::BackendStandin
