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
    /// Era that is assumed if the store states none.
    Steering::StoreEra era = 0;
};
/// Reads the changes of a table since a position, and waits up to `longPollTimeout` for the first
/// one.
struct ReadChanges
{
    std::string table;
    Steering::StorePosition after;
    absl::Duration longPollTimeout;
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

/// Result of a call; an empty update for writes. ErrorCode::Expired means that the store does not
/// have the changes since the requested position, because they are too old or because the store is
/// in another era.
using StoreResult = Common::Result<Steering::TableUpdate>;

/// Makes calls to the platform's store sequentially, on its own thread and connection.
class StoreWorker
{
public:
    /// Called on the worker's thread.
    using Callback = std::function<void(StoreResult result)>;

    StoreWorker(Platform::HostPort store, std::size_t maxQueuedCalls);
    /// Waits for the running call and the queued ones.
    ~StoreWorker();

    /// Returns false if the queue of calls is full.
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
