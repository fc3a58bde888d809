#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Drain/DrainTarget.h"

namespace Currantfall::Platform {

/// The table that has one row per environment, keyed by the environment's name.
inline constexpr const char *environmentsTable = "environments";

using Drain::DrainKind;
using Drain::DrainTarget;

/// A drain that has been started and not finished.
struct DrainEntry
{
    DrainTarget target;
    std::string operatorName;
    std::string operation;
    absl::Time started;

    friend bool operator==(const DrainEntry &left, const DrainEntry &right) = default;
};

/// What made one revision.
struct HistoryEntry
{
    Common::Revision revision = 0;
    std::string operation;
    std::string operatorName;
    std::string document;

    friend bool operator==(const HistoryEntry &left, const HistoryEntry &right) = default;
};

/// The row of one environment: the revision in force, its document and the drains. Immutable; each
/// change returns the row of the next revision.
class EnvironmentRow
{
public:
    /// Revisions that a row remembers, its own included. It bounds the row's size and decides how
    /// many later revisions may follow before a lost response can no longer be resolved.
    static constexpr std::size_t historyLimit = 16;

    /// Refuses missing, unknown and malformed members and contradictions between members.
    static Common::Result<EnvironmentRow> fromJson(const nlohmann::json &value);
    nlohmann::json toJson() const;

    /// Revision 1 of an environment.
    static EnvironmentRow first(std::string document, std::string operation,
                                std::string operatorName);

    EnvironmentRow withDocument(std::string document, std::string operation,
                                std::string operatorName) const;
    /// Refused if the target is being drained.
    Common::Result<EnvironmentRow> withDrain(const DrainTarget &target, std::string operation,
                                             std::string operatorName, absl::Time started) const;
    /// NotFound if the target is not being drained.
    Common::Result<EnvironmentRow> withoutDrain(const DrainTarget &target, std::string operation,
                                                std::string operatorName) const;

    Common::Revision revision() const { return this->currentRevision; }
    /// Content hash of the document in force: its name in the object store.
    const std::string &document() const { return this->currentDocument; }
    /// Content hash of the document that was in force before; empty if there was none.
    const std::string &previous() const { return this->previousDocument; }
    /// Id of the operation that made this revision.
    const std::string &operation() const { return this->history().back().operation; }
    const std::string &operatorName() const { return this->history().back().operatorName; }
    const std::vector<DrainEntry> &drains() const { return this->currentDrains; }
    /// The latest revisions in ascending order; the last one is this row's. Never empty.
    const std::vector<HistoryEntry> &history() const { return this->revisions; }

    /// The remembered revision that `operation` made; nullptr if there is none.
    const HistoryEntry *findOperation(const std::string &operation) const;
    const HistoryEntry *findRevision(Common::Revision revision) const;
    const DrainEntry *findDrain(const DrainTarget &target) const;

    friend bool operator==(const EnvironmentRow &left, const EnvironmentRow &right) = default;

private:
    EnvironmentRow() = default;
    void remember(std::string operation, std::string operatorName);

    Common::Revision currentRevision = 0;
    std::string currentDocument;
    std::string previousDocument;
    std::vector<DrainEntry> currentDrains;
    std::vector<HistoryEntry> revisions;
};

} // namespace Currantfall::Platform
