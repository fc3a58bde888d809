#include "ExecutionLog.h"

#include <xxhash.h>

namespace Currantfall::BackendStandin {

namespace {

// Enough to look for the cause; the totals count all of them.
constexpr std::size_t maxListed = 100;

std::uint64_t hashOf(const std::string &id)
{
    return XXH3_64bits(id.data(), id.size());
}

void list(std::vector<std::string> &ids, const std::string &id)
{
    if (ids.size() < maxListed) {
        ids.push_back(id);
    }
}

} // namespace

void ExecutionLog::Table::start(const std::string &id)
{
    if (id.empty()) {
        return;
    }
    const std::uint32_t count = ++this->counted[hashOf(id)].started;
    if (count == 2) {
        ++this->repeatedStarts;
        list(this->startedAgain, id);
    }
}

void ExecutionLog::Table::run(const std::string &id)
{
    if (id.empty()) {
        return;
    }
    const std::uint32_t count = ++this->counted[hashOf(id)].ran;
    if (count == 1) {
        ++this->ran;
    }
    if (count == 2) {
        ++this->repeatedRuns;
        list(this->ranAgain, id);
    }
}

nlohmann::json ExecutionLog::Table::summary() const
{
    return { { "started", this->counted.size() },
             { "ran", this->ran },
             { "started_more_than_once", this->repeatedStarts },
             { "ran_more_than_once", this->repeatedRuns },
             { "started_more_than_once_ids", this->startedAgain },
             { "ran_more_than_once_ids", this->ranAgain } };
}

nlohmann::json ExecutionLog::Table::counts(const nlohmann::json &ids) const
{
    nlohmann::json json = nlohmann::json::object();
    for (const nlohmann::json &id : ids) {
        if (!id.is_string()) {
            continue;
        }
        const auto text = id.get<std::string>();
        const auto found = this->counted.find(hashOf(text));
        const Count count = found == this->counted.end() ? Count {} : found->second;
        json[text] = { { "started", count.started }, { "ran", count.ran } };
    }
    return json;
}

void ExecutionLog::started(const RequestIds &ids)
{
    const std::lock_guard lock(this->mutex);
    this->keys.start(ids.key);
    this->attempts.start(ids.attempt);
    this->requests.start(ids.request);
}

void ExecutionLog::ran(const RequestIds &ids)
{
    const std::lock_guard lock(this->mutex);
    this->keys.run(ids.key);
    this->attempts.run(ids.attempt);
    this->requests.run(ids.request);
}

nlohmann::json ExecutionLog::summary() const
{
    const std::lock_guard lock(this->mutex);
    return { { "keys", this->keys.summary() },
             { "attempts", this->attempts.summary() },
             { "requests", this->requests.summary() } };
}

nlohmann::json ExecutionLog::counts(const nlohmann::json &ids) const
{
    const std::lock_guard lock(this->mutex);
    const auto listed = [&ids](const char *name) {
        return ids.is_object() && ids.contains(name) ? ids[name] : nlohmann::json::array();
    };
    return { { "keys", this->keys.counts(listed("keys")) },
             { "attempts", this->attempts.counts(listed("attempts")) },
             { "requests", this->requests.counts(listed("requests")) } };
}

} // namespace Currantfall::BackendStandin
