#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <utility>

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Configuration/DocumentReader.h"
#include "currantfall/Platform/EnvironmentRow.h"
#include "currantfall/Platform/PlatformClient.h"

namespace Currantfall::Platform {

/// What RevisionStore needs of a platform client; errors have the codes that PlatformClient lists.
template<typename Client>
concept PlatformAccess
        = requires(Client &client, const std::string &text, const nlohmann::json &value,
                   const WriteCondition &condition, Common::Instant deadline)
{
    {
        client.readRow(text, text, deadline)
        } -> std::same_as<Common::Result<VersionedRow>>;
    {
        client.writeRow(text, text, value, condition, deadline)
        } -> std::same_as<Common::Result<RowVersion>>;
    {
        client.putObject(text, text, deadline)
        } -> std::same_as<Common::Result<void>>;
    {
        client.getObject(text, deadline)
        } -> std::same_as<Common::Result<std::string>>;
};

/// 128 random bits in hex.
std::string newOperationId();

struct RevisionStoreSettings
{
    std::string environment;
    /// Upper bound of one call of the store, its retries included.
    absl::Duration timeout = absl::Seconds(10);
    absl::Duration retryPause = absl::Milliseconds(100);
    std::function<Common::Instant()> now = Common::monotonicNow;
    std::function<void(absl::Duration)> sleep = absl::SleepFor;
    std::function<absl::Time()> wallClock = absl::Now;
    std::function<std::string()> newOperation = newOperationId;
};

struct CurrentRow
{
    EnvironmentRow row;
    RowVersion version;
};

/// Decides whether a drain may start, from exactly the row that the conditional write replaces.
using DrainCheck = std::function<Common::Result<void>(const EnvironmentRow &row)>;

/// Moves an environment from one revision to the next. Every change is one conditional write that
/// carries an operation id. When its answer is lost, the store reads the row and looks for the id;
/// it writes again only if the row still has the version that the write names, in which case at
/// most one of the two writes can take effect. Errors of changes:
///   ErrorCode::Conflict     another operator's revision came first; the detail names both
///   ErrorCode::Unavailable  the platform can't be reached; the change did not take effect
///   isResultUnknown()       the change may have taken effect; the detail names the operation id
///   any other               the change was refused and did not take effect
template<PlatformAccess Client>
class RevisionStore
{
public:
    RevisionStore(Client &client, RevisionStoreSettings settings)
        : client(client), settings(std::move(settings))
    { }

    /// The row in force; NotFound if nothing was promoted yet.
    Common::Result<CurrentRow> current();

    /// Stores `text` and puts it in force. With `expected`, the promotion is a lost race unless
    /// that revision is in force (0: none).
    Common::Result<EnvironmentRow> promote(const std::string &text, const std::string &operatorName,
                                           std::optional<Common::Revision> expected = std::nullopt);

    /// Makes a new revision with the document of `target` or, without it, with the previous
    /// document. Drains stay as they are.
    Common::Result<EnvironmentRow> rollback(std::optional<Common::Revision> target,
                                            const std::string &operatorName);

    Common::Result<EnvironmentRow>
    startDrain(const DrainTarget &target, const std::string &operatorName, const DrainCheck &check);

    Common::Result<EnvironmentRow> finishDrain(const DrainTarget &target,
                                               const std::string &operatorName);

private:
    /// The row that follows `row`, made by the operation; `row` is nullptr before revision 1.
    using Change = std::function<Common::Result<EnvironmentRow>(const EnvironmentRow *row,
                                                                const std::string &operation)>;
    /// What a read of the row says about a write whose effect is in doubt.
    enum class Finding {
        InForce,
        NotWritten,
        Lost,
        Unknown
    };

    Common::Result<EnvironmentRow> commit(const std::string &step, Common::Instant deadline,
                                          const Change &change);
    Common::Result<EnvironmentRow> write(const std::string &step, Common::Instant deadline,
                                         const EnvironmentRow &next,
                                         const WriteCondition &condition);
    Common::Result<std::optional<CurrentRow>> readCurrent(Common::Instant deadline);
    static Finding examine(const std::optional<CurrentRow> &found, const EnvironmentRow &next,
                           const WriteCondition &condition);

    /// Repeats a call without side effects while the platform does not answer.
    template<typename Call>
    auto repeat(Common::Instant deadline, const Call &call) -> decltype(call());
    bool pauseUntilRetry(Common::Instant deadline);
    Common::Instant newDeadline() const { return this->settings.now() + this->settings.timeout; }

    static tl::unexpected<Common::Error> lost(const std::string &step, const HistoryEntry &winner);
    static tl::unexpected<Common::Error>
    unknown(const std::string &step, const std::string &operation, const std::string &reason);

    Client &client;
    RevisionStoreSettings settings;
};

} // namespace Currantfall::Platform

#include "currantfall/Platform/RevisionStoreImplementation.h"
