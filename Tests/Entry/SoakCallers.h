#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <httplib.h>

#include "EntryDeployment.h"
#include "Support/RecordingThreads.h"

namespace Currantfall::Tests {

/// One attempt of a caller and what it saw.
struct SoakRecord
{
    std::string id;
    std::string route;
    std::string entry; ///< Address of the entry VM.
    int status = 0;    ///< 0: no response.
    std::string reason;
    bool wholeAnswer = false; ///< The body and the signature are those of this request.
    SoakClock::time_point started;
    SoakClock::time_point ended;
    /// The server whose response announced that it leaves; empty if it did not.
    std::string leavingServer;
    std::chrono::milliseconds took { 0 };
    /// When the caller gives up.
    std::chrono::milliseconds deadline { 0 };

    bool idempotent() const { return this->route == "read" || this->route == "moving"; }
    /// Whether the caller waits for a shorter time than requests may take.
    bool impatient() const { return this->deadline < std::chrono::seconds(1); }
};

/// Callers in closed loops that look entry VMs up and keep their connections open. Half of them
/// stay with a VM until it closes the connection, whatever lookups say.
class SoakCallers
{
public:
    SoakCallers(const EntryDeployment &deployment, std::size_t threads);
    ~SoakCallers();
    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    std::size_t completed() const { return this->threads.completed(); }
    /// Ends the loops and returns all records.
    std::vector<SoakRecord> finish();

private:
    class Caller;

    const EntryDeployment &deployment;
    RecordingThreads<SoakRecord> threads;
};

/// What the records and the executions at backend servers show together.
struct SoakVerdict
{
    std::map<std::string, std::size_t> outcomes; ///< By route and status.
    std::vector<std::string> violations;
};
SoakVerdict judge(const std::vector<SoakRecord> &records, const ExecutionLedger &ledger);

} // namespace Currantfall::Tests
