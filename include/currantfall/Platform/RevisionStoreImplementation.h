#pragma once

// Definitions of the template RevisionStore; included by RevisionStore.h only.

#include "currantfall/Platform/RevisionStore.h"

namespace Currantfall::Platform {

template<PlatformAccess Client>
Common::Result<CurrentRow> RevisionStore<Client>::current()
{
    auto found = this->readCurrent(this->newDeadline());
    if (!found) {
        return tl::unexpected<Common::Error>(found.error());
    }
    if (!found->has_value()) {
        return Common::failure(Common::ErrorCode::NotFound, "read environment", {},
                               "nothing was promoted to " + this->settings.environment);
    }
    return **std::move(found);
}

template<PlatformAccess Client>
Common::Result<EnvironmentRow>
RevisionStore<Client>::promote(const std::string &text, const std::string &operatorName,
                               std::optional<Common::Revision> expected)
{
    const Common::Instant deadline = this->newDeadline();
    const std::string document = Configuration::contentHash(text);
    auto stored = this->repeat(deadline,
                               [&] { return this->client.putObject(document, text, deadline); });
    if (!stored) {
        // The object alone changes nothing that is in force.
        return Common::failure(isUnreachable(stored.error()) ? Common::ErrorCode::Unavailable
                                                             : Common::ErrorCode::Refused,
                               stored.error().step(), stored.error().peer(),
                               "nothing was promoted: " + stored.error().toString());
    }
    const auto change = [&](const EnvironmentRow *row,
                            const std::string &operation) -> Common::Result<EnvironmentRow> {
        const Common::Revision found = row == nullptr ? 0 : row->revision();
        if (expected && *expected != found) {
            return row == nullptr ? Common::failure(Common::ErrorCode::Conflict, "promote", {},
                                                    "no revision is in force")
                                  : this->lost("promote", row->history().back());
        }
        return row == nullptr ? EnvironmentRow::first(document, operation, operatorName)
                              : row->withDocument(document, operation, operatorName);
    };
    return this->commit("promote", deadline, change);
}

template<PlatformAccess Client>
Common::Result<EnvironmentRow>
RevisionStore<Client>::rollback(std::optional<Common::Revision> target,
                                const std::string &operatorName)
{
    const Common::Instant deadline = this->newDeadline();
    const auto change = [&](const EnvironmentRow *row,
                            const std::string &operation) -> Common::Result<EnvironmentRow> {
        if (row == nullptr) {
            return Common::failure(Common::ErrorCode::NotFound, "rollback", {},
                                   "nothing was promoted to " + this->settings.environment);
        }
        const HistoryEntry *entry = target ? row->findRevision(*target) : nullptr;
        const std::string document
                = target ? (entry == nullptr ? "" : entry->document) : row->previous();
        if (document.empty()) {
            return Common::failure(Common::ErrorCode::NotFound, "rollback", {},
                                   target ? "revision " + std::to_string(*target)
                                                    + " is not among the remembered ones"
                                          : "there is no previous document");
        }
        if (document == row->document()) {
            return Common::failure(Common::ErrorCode::Refused, "rollback", {},
                                   "the document of that revision is in force already");
        }
        auto content = this->repeat(deadline,
                                    [&] { return this->client.getObject(document, deadline); });
        if (!content) {
            return tl::unexpected<Common::Error>(content.error());
        }
        return row->withDocument(document, operation, operatorName);
    };
    return this->commit("rollback", deadline, change);
}

template<PlatformAccess Client>
Common::Result<EnvironmentRow> RevisionStore<Client>::startDrain(const DrainTarget &target,
                                                                 const std::string &operatorName,
                                                                 const DrainCheck &check)
{
    const auto change = [&](const EnvironmentRow *row,
                            const std::string &operation) -> Common::Result<EnvironmentRow> {
        if (row == nullptr) {
            return Common::failure(Common::ErrorCode::NotFound, "start drain", {},
                                   "nothing was promoted to " + this->settings.environment);
        }
        auto next = row->withDrain(target, operation, operatorName, this->settings.wallClock());
        if (!next) {
            return next;
        }
        if (auto allowed = check(*row); !allowed) {
            return tl::unexpected<Common::Error>(allowed.error());
        }
        return next;
    };
    return this->commit("start drain", this->newDeadline(), change);
}

template<PlatformAccess Client>
Common::Result<EnvironmentRow> RevisionStore<Client>::finishDrain(const DrainTarget &target,
                                                                  const std::string &operatorName)
{
    const auto change = [&](const EnvironmentRow *row,
                            const std::string &operation) -> Common::Result<EnvironmentRow> {
        if (row == nullptr) {
            return Common::failure(Common::ErrorCode::NotFound, "finish drain", {},
                                   "nothing was promoted to " + this->settings.environment);
        }
        return row->withoutDrain(target, operation, operatorName);
    };
    return this->commit("finish drain", this->newDeadline(), change);
}

template<PlatformAccess Client>
Common::Result<EnvironmentRow> RevisionStore<Client>::commit(const std::string &step,
                                                             Common::Instant deadline,
                                                             const Change &change)
{
    auto found = this->readCurrent(deadline);
    if (!found) {
        return tl::unexpected<Common::Error>(found.error());
    }
    const std::optional<CurrentRow> &base = *found;
    const std::string operation = this->settings.newOperation();
    auto next = change(base ? &base->row : nullptr, operation);
    if (!next) {
        const Common::Error &error = next.error();
        // Nothing was written yet, so an unanswered read of the change leaves no doubt.
        return isResultUnknown(error)
                       ? Common::failure(Common::ErrorCode::Unavailable, error.step(), error.peer(),
                                         "nothing was changed: " + error.toString())
                       : next;
    }
    return this->write(step, deadline, *next, base ? WriteCondition(base->version) : std::nullopt);
}

template<PlatformAccess Client>
Common::Result<EnvironmentRow>
RevisionStore<Client>::write(const std::string &step, Common::Instant deadline,
                             const EnvironmentRow &next, const WriteCondition &condition)
{
    const nlohmann::json value = next.toJson();
    bool inDoubt = false; // A write was sent whose answer is unknown.
    for (;;) {
        auto written = this->client.writeRow(environmentsTable, this->settings.environment, value,
                                             condition, deadline);
        if (written) {
            return next;
        }
        const Common::Error failure = written.error();
        const bool conflict = failure.code() == make_error_code(Common::ErrorCode::Conflict);
        const bool notSent = failure.code() == make_error_code(Common::ErrorCode::Unavailable);
        inDoubt = inDoubt || isResultUnknown(failure);
        if (!inDoubt && !conflict && (!notSent || !this->pauseUntilRetry(deadline))) {
            return tl::unexpected<Common::Error>(failure);
        }
        if (!inDoubt && notSent) {
            continue;
        }
        auto found = this->readCurrent(deadline);
        if (!found) {
            return inDoubt ? this->unknown(step, next.operation(), found.error().toString())
                           : Common::failure(Common::ErrorCode::Conflict, step, failure.peer(),
                                             "another revision came first; it could not be read: "
                                                     + found.error().toString());
        }
        switch (this->examine(*found, next, condition)) {
        case Finding::InForce:
            return next;
        case Finding::Lost:
            return this->lost(step, *(*found)->row.findRevision(next.revision()));
        case Finding::Unknown:
            return inDoubt ? this->unknown(step, next.operation(), "the row does not show it")
                           : Common::failure(Common::ErrorCode::Conflict, step, failure.peer(),
                                             "the row was replaced; its history does not show by "
                                             "whom");
        case Finding::NotWritten:
            break;
        }
        if (!this->pauseUntilRetry(deadline)) {
            return inDoubt ? this->unknown(step, next.operation(),
                                           "it had not taken effect at the deadline")
                           : tl::unexpected<Common::Error>(failure);
        }
    }
}

template<PlatformAccess Client>
typename RevisionStore<Client>::Finding
RevisionStore<Client>::examine(const std::optional<CurrentRow> &found, const EnvironmentRow &next,
                               const WriteCondition &condition)
{
    if (!found) {
        return condition ? Finding::Unknown : Finding::NotWritten;
    }
    if (found->row.findOperation(next.operation()) != nullptr) {
        return Finding::InForce;
    }
    if (condition && found->version == *condition) {
        return Finding::NotWritten;
    }
    // Another operation made the revision that the write would have made. Without that entry the
    // history is too short, or the row was replaced by other means.
    return found->row.findRevision(next.revision()) != nullptr ? Finding::Lost : Finding::Unknown;
}

template<PlatformAccess Client>
Common::Result<std::optional<CurrentRow>>
RevisionStore<Client>::readCurrent(Common::Instant deadline)
{
    auto read = this->repeat(deadline, [&] {
        return this->client.readRow(environmentsTable, this->settings.environment, deadline);
    });
    if (read) {
        auto row = EnvironmentRow::fromJson(read->value);
        if (!row) {
            return tl::unexpected<Common::Error>(row.error());
        }
        return CurrentRow { *std::move(row), read->version };
    }
    const Common::Error &error = read.error();
    if (error.code() == make_error_code(Common::ErrorCode::NotFound)) {
        return std::nullopt;
    }
    if (isResultUnknown(error)) {
        return Common::failure(Common::ErrorCode::Unavailable, error.step(), error.peer(),
                               error.toString());
    }
    return tl::unexpected<Common::Error>(error);
}

template<PlatformAccess Client>
template<typename Call>
auto RevisionStore<Client>::repeat(Common::Instant deadline, const Call &call) -> decltype(call())
{
    for (;;) {
        auto result = call();
        if (result || !isUnreachable(result.error()) || !this->pauseUntilRetry(deadline)) {
            return result;
        }
    }
}

template<PlatformAccess Client>
bool RevisionStore<Client>::pauseUntilRetry(Common::Instant deadline)
{
    if (this->settings.now() + this->settings.retryPause >= deadline) {
        return false;
    }
    this->settings.sleep(this->settings.retryPause);
    return true;
}

template<PlatformAccess Client>
tl::unexpected<Common::Error> RevisionStore<Client>::lost(const std::string &step,
                                                          const HistoryEntry &winner)
{
    return Common::failure(Common::ErrorCode::Conflict, step, {},
                           "revision " + std::to_string(winner.revision) + " of operator "
                                   + winner.operatorName + " came first");
}

template<PlatformAccess Client>
tl::unexpected<Common::Error> RevisionStore<Client>::unknown(const std::string &step,
                                                             const std::string &operation,
                                                             const std::string &reason)
{
    return tl::unexpected<Common::Error>(Common::Error(
            std::make_error_code(std::errc::timed_out), step, {},
            "the result is unknown; operation " + operation + " may have taken effect: " + reason));
}

} // namespace Currantfall::Platform
