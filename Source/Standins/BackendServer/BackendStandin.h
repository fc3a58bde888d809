#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <string>

#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Time.h"

#include "Behaviour.h"
#include "ExecutionLog.h"
#include "LoadReport.h"
#include "PauseRecord.h"
#include "ServiceTimes.h"

namespace Currantfall::BackendStandin {

struct ServerIdentity
{
    std::string service;
    std::string server;
    std::string zone;
    std::size_t slots = 0;
};

enum class WorkResult {
    Ran,
    Shed,      ///< Did not start.
    Cancelled, ///< Started, but the work was not done.
    Expired,   ///< The deadline passed before the work was done.
};

struct WorkOutcome
{
    WorkResult result = WorkResult::Shed;
    Draw draw;
    absl::Duration answerDelay;
    /// For how long a server that shed the request wants no more; zero if it does not say.
    absl::Duration pause = absl::ZeroDuration();
};

/// The slots, work and counters of one backend server. Thread-safe.
class BackendStandin
{
public:
    /// `log` is shared by the servers of the process and must outlive this object.
    BackendStandin(ServerIdentity identity, Behaviour behaviour, std::uint64_t seed,
                   ExecutionLog &log);

    const ServerIdentity &identity() const { return this->serverIdentity; }

    /// Takes a slot and blocks until the work is done, cancelled or expired. The work counts as
    /// done at its end; until then it has no effect.
    WorkOutcome run(const RequestIds &ids, std::optional<absl::Duration> deadline);

    /// Cancels running work with this attempt id. Returns false if there is none.
    bool cancel(const std::string &attempt);

    /// Cancels work that would never end, now and from now on, so that the process can stop.
    void stop();

    Behaviour behaviour() const;
    /// The server is cold again if `restartCold` is set.
    void setBehaviour(const Behaviour &behaviour, bool restartCold);

    /// What the server says is the start of its process.
    absl::Time startTime() const;

    nlohmann::json health() const;
    nlohmann::json counters() const;

private:
    struct Attempt
    {
        std::string id;
        bool hanging = false;
        bool cancelled = false;
        std::condition_variable changed;
    };

    struct Counters
    {
        std::uint64_t started = 0;
        std::uint64_t ran = 0;
        std::uint64_t shed = 0;
        std::uint64_t paused = 0; // Of those, refusals that asked for a pause.
        std::uint64_t cancelled = 0;
        std::uint64_t expired = 0;
        std::uint64_t slotOverruns = 0;
        std::size_t maxInUse = 0;
        std::int64_t lastNewWorkMs = 0;
    };

    using Attempts = std::list<Attempt>;

    // These need the lock.
    std::optional<Attempts::iterator> start(const RequestIds &ids, WorkOutcome &outcome);
    WorkResult finish(Attempts::iterator attempt, bool complete);
    static void interrupt(Attempt &attempt);
    double warmth(Common::Instant now) const;
    std::string state(Common::Instant now) const;
    void recordLoad();

    const ServerIdentity serverIdentity;
    const std::uint64_t seed;
    ExecutionLog &log;

    mutable std::mutex mutex;
    Behaviour current;
    Common::Instant coldSince;
    absl::Time startedAt = absl::Now();
    Attempts running;
    Counters counts;
    std::uint64_t sequence = 0; // Of the requests that start.
    std::uint64_t arrivals = 0;
    PauseRecord pauseRecord;
    LoadReport loadReport;
    bool stopping = false;
};

} // namespace Currantfall::BackendStandin
