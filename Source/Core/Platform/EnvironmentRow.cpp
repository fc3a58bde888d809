#include "currantfall/Platform/EnvironmentRow.h"

#include <algorithm>
#include <initializer_list>
#include <set>
#include <stdexcept>
#include <utility>

#include "currantfall/Common/Json.h"

namespace Currantfall::Platform {

namespace {

using nlohmann::json;

/// Raised by the member readers and turned into a Result by EnvironmentRow::fromJson().
class MalformedRow : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

void require(bool holds, const std::string &expected)
{
    if (!holds) {
        throw MalformedRow("expected " + expected);
    }
}

void requireMember(const json &value, const std::string &path, const std::string &name)
{
    require(value.contains(name), path + " to have '" + name + "'");
}

void requireMembers(const json &value, const std::string &path,
                    std::initializer_list<std::string> names)
{
    require(value.is_object(), path + " to be an object");
    for (const std::string &name : names) {
        requireMember(value, path, name);
    }
    require(value.size() == names.size(), path + " to have no other members");
}

std::string text(const json &object, const std::string &name)
{
    require(object[name].is_string(), "'" + name + "' to be a string");
    return object[name].get<std::string>();
}

std::string filledText(const json &object, const std::string &name)
{
    std::string value = text(object, name);
    require(!value.empty(), "'" + name + "' not to be empty");
    return value;
}

Common::Revision revisionOf(const json &object)
{
    require(object["revision"].is_number_unsigned(), "'revision' to be a whole number");
    const auto value = object["revision"].get<Common::Revision>();
    require(value > 0, "'revision' to be 1 or higher");
    return value;
}

DrainEntry drainOf(const json &value)
{
    requireMembers(value, "a drain", { "kind", "name", "operator", "operation", "started_ms" });
    auto target = DrainTarget::parse(text(value, "kind"), text(value, "name"));
    require(target.has_value(), "the kind and name of a drain target");
    const auto started = Common::numberIn<std::int64_t>(value["started_ms"], 0);
    require(started.has_value(), "'started_ms' to be a whole number");
    return { *std::move(target), text(value, "operator"), filledText(value, "operation"),
             absl::FromUnixMillis(*started) };
}

HistoryEntry historyOf(const json &value)
{
    requireMembers(value, "a history entry", { "revision", "operation", "operator", "document" });
    return { revisionOf(value), filledText(value, "operation"), text(value, "operator"),
             filledText(value, "document") };
}

json drainToJson(const DrainEntry &drain)
{
    return { { "kind", toString(drain.target.kind) },
             { "name", drain.target.name },
             { "operator", drain.operatorName },
             { "operation", drain.operation },
             { "started_ms", absl::ToUnixMillis(drain.started) } };
}

json historyToJson(const HistoryEntry &entry)
{
    return { { "revision", entry.revision },
             { "operation", entry.operation },
             { "operator", entry.operatorName },
             { "document", entry.document } };
}

void requireUniqueTargets(const std::vector<DrainEntry> &drains)
{
    std::set<DrainTarget> targets;
    for (const DrainEntry &drain : drains) {
        require(targets.insert(drain.target).second, "each drain target once");
    }
}

void requireConsecutive(const std::vector<HistoryEntry> &history)
{
    require(!history.empty() && history.size() <= EnvironmentRow::historyLimit,
            "'history' to have 1 to 16 entries");
    for (std::size_t i = 1; i < history.size(); ++i) {
        require(history[i].revision == history[i - 1].revision + 1,
                "'history' to have consecutive revisions");
    }
}

} // namespace

Common::Result<EnvironmentRow> EnvironmentRow::fromJson(const json &value)
{
    try {
        requireMembers(value, "the row",
                       { "revision", "document", "drains", "operation", "operator", "previous",
                         "history" });
        require(value["drains"].is_array(), "'drains' to be an array");
        require(value["history"].is_array(), "'history' to be an array");
        EnvironmentRow row;
        row.currentRevision = revisionOf(value);
        row.currentDocument = filledText(value, "document");
        row.previousDocument = text(value, "previous");
        for (const json &drain : value["drains"]) {
            row.currentDrains.push_back(drainOf(drain));
        }
        for (const json &entry : value["history"]) {
            row.revisions.push_back(historyOf(entry));
        }
        requireUniqueTargets(row.currentDrains);
        requireConsecutive(row.revisions);
        const HistoryEntry own = { row.currentRevision, filledText(value, "operation"),
                                   text(value, "operator"), row.currentDocument };
        require(row.revisions.back() == own, "the last history entry to agree with the row");
        return row;
    } catch (const MalformedRow &error) {
        return Common::failure(Common::ErrorCode::InvalidInput, "parse environment row", {},
                               error.what());
    }
}

json EnvironmentRow::toJson() const
{
    json drains = json::array();
    for (const DrainEntry &drain : this->currentDrains) {
        drains.push_back(drainToJson(drain));
    }
    json history = json::array();
    for (const HistoryEntry &entry : this->revisions) {
        history.push_back(historyToJson(entry));
    }
    return { { "revision", this->currentRevision }, { "document", this->currentDocument },
             { "drains", std::move(drains) },       { "operation", this->operation() },
             { "operator", this->operatorName() },  { "previous", this->previousDocument },
             { "history", std::move(history) } };
}

EnvironmentRow EnvironmentRow::first(std::string document, std::string operation,
                                     std::string operatorName)
{
    EnvironmentRow row;
    row.currentDocument = std::move(document);
    row.remember(std::move(operation), std::move(operatorName));
    return row;
}

EnvironmentRow EnvironmentRow::withDocument(std::string document, std::string operation,
                                            std::string operatorName) const
{
    EnvironmentRow row = *this;
    // Promoting the same document again must not make a rollback return to that document.
    if (document != row.currentDocument) {
        row.previousDocument = std::exchange(row.currentDocument, std::move(document));
    }
    row.remember(std::move(operation), std::move(operatorName));
    return row;
}

Common::Result<EnvironmentRow> EnvironmentRow::withDrain(const DrainTarget &target,
                                                         std::string operation,
                                                         std::string operatorName,
                                                         absl::Time started) const
{
    if (const DrainEntry *drain = this->findDrain(target); drain != nullptr) {
        return Common::failure(Common::ErrorCode::Refused, "start drain", {},
                               target.toString() + " is already being drained by "
                                       + drain->operatorName);
    }
    EnvironmentRow row = *this;
    // Whole milliseconds, so that the row is equal to its JSON form read back.
    const absl::Time rounded = absl::FromUnixMillis(absl::ToUnixMillis(started));
    row.currentDrains.push_back({ target, operatorName, operation, rounded });
    row.remember(std::move(operation), std::move(operatorName));
    return row;
}

Common::Result<EnvironmentRow> EnvironmentRow::withoutDrain(const DrainTarget &target,
                                                            std::string operation,
                                                            std::string operatorName) const
{
    if (this->findDrain(target) == nullptr) {
        return Common::failure(Common::ErrorCode::NotFound, "finish drain", {},
                               target.toString() + " is not being drained");
    }
    EnvironmentRow row = *this;
    std::erase_if(row.currentDrains,
                  [&](const DrainEntry &drain) { return drain.target == target; });
    row.remember(std::move(operation), std::move(operatorName));
    return row;
}

const HistoryEntry *EnvironmentRow::findOperation(const std::string &operation) const
{
    const auto found
            = std::find_if(this->revisions.begin(), this->revisions.end(),
                           [&](const HistoryEntry &entry) { return entry.operation == operation; });
    return found == this->revisions.end() ? nullptr : &*found;
}

const HistoryEntry *EnvironmentRow::findRevision(Common::Revision revision) const
{
    const auto found
            = std::find_if(this->revisions.begin(), this->revisions.end(),
                           [&](const HistoryEntry &entry) { return entry.revision == revision; });
    return found == this->revisions.end() ? nullptr : &*found;
}

const DrainEntry *EnvironmentRow::findDrain(const DrainTarget &target) const
{
    const auto found
            = std::find_if(this->currentDrains.begin(), this->currentDrains.end(),
                           [&](const DrainEntry &drain) { return drain.target == target; });
    return found == this->currentDrains.end() ? nullptr : &*found;
}

void EnvironmentRow::remember(std::string operation, std::string operatorName)
{
    ++this->currentRevision;
    this->revisions.push_back({ this->currentRevision, std::move(operation),
                                std::move(operatorName), this->currentDocument });
    if (this->revisions.size() > historyLimit) {
        this->revisions.erase(this->revisions.begin());
    }
}

} // namespace Currantfall::Platform
