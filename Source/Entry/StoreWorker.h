#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>

#include <absl/time/time.h>

#include "currantfall/Common/BoundedRing.h"
#include "currantfall/Common/Error.h"
#include "currantfall/Platform/HostPort.h"
#include "currantfall/Steering/TableReplica.h"

namespace Currantfall::Entry {

/// Reads all rows of a table.
struct ReadTable
{
    std::string table;
};
/// Reads the changes of a table since a version, and waits up to `wait` for the first one.
struct ReadChanges
{
    std::string table;
    Steering::StoreVersion after = 0;
    absl::Duration wait;
};
struct WriteRow
{
    std::string table;
    std::string key;
    std::string value;
};
struct DeleteRow
{
    std::string table;
    std::string key;
};
using StoreCall = std::variant<ReadTable, ReadChanges, WriteRow, DeleteRow>;

/// What a call returned; an empty update for writes. ErrorCode::Expired: the store no longer has
/// the changes since that version.
using StoreResult = Common::Result<Steering::TableUpdate>;

/// Makes calls to the platform's store, one after the other, on a thread and connection of its own.
class StoreWorker
{
public:
    /// Called on the worker's thread.
    using Callback = std::function<void(StoreResult result)>;

    StoreWorker(Platform::HostPort store, std::size_t queuedCalls);
    /// Waits for the running call.
    ~StoreWorker();

    /// False if too many calls wait already.
    [[nodiscard]] bool submit(StoreCall call, Callback callback);

private:
    struct Job
    {
        StoreCall call;
        Callback callback;
    };

    void run();

    Platform::HostPort store;
    Common::BoundedRing<Job> jobs;
    std::thread thread;
};

} // namespace Currantfall::Entry
