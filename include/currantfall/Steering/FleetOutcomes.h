#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// Number of requests of one entry VM that a backend server answered and failed. The counts decay
/// exponentially with time.
struct OutcomeCounts
{
    double answered = 0.0;
    double failed = 0.0;

    friend bool operator==(const OutcomeCounts &left, const OutcomeCounts &right) = default;
};

/// Counts of one entry VM for one server, as sent to other VMs.
struct ServerOutcomes
{
    Common::BackendServerName server;
    OutcomeCounts counts;

    friend bool operator==(const ServerOutcomes &left, const ServerOutcomes &right) = default;
};

/// Counts of one entry VM for all servers with recent failures on any VM.
struct OutcomeReport
{
    Common::VmName vm;
    /// Increases with each report that a VM sends.
    std::uint64_t sequence = 0;
    std::vector<ServerOutcomes> servers;

    friend bool operator==(const OutcomeReport &left, const OutcomeReport &right) = default;
};

/// Detects backend servers that fail nearly all requests, from the combined counts of all entry
/// VMs. A single VM sends too few requests to one server to detect this in time.
class FleetOutcomes
{
public:
    explicit FleetOutcomes(Common::VmName self) : self(std::move(self)) { }

    /// Makes the sequence numbers of this run start above `number`, which must increase from run to
    /// run.
    void startRun(std::uint64_t number) { this->lastSequence = number; }

    void onAnswered(const Common::BackendServerName &server, Common::Instant now);
    /// `weight` is above 1 for failures that are stronger evidence than a single failed request.
    void onFailed(const Common::BackendServerName &server, Common::Instant now,
                  double weight = 1.0);
    /// Discards all counts of a server that has restarted or was removed.
    void forget(const Common::BackendServerName &server);

    /// Returns this VM's counts that are due for reporting. `servers` is empty if there are none.
    OutcomeReport takeReport(Common::Instant now);
    /// Applies a report of another VM. Returns false if it is not newer than the last one applied,
    /// or is from this VM itself.
    bool apply(const OutcomeReport &report, Common::Instant now);

    /// Whether the server failed nearly all of its recent requests from all VMs together.
    bool failing(const Common::BackendServerName &server, Common::Instant now) const;

private:
    struct Window
    {
        OutcomeCounts counts;
        Common::Instant at;
    };
    struct Server
    {
        std::map<Common::VmName, Window> windows;
        /// When this VM last counted a failure, or another VM last reported recent failures.
        Common::Instant lastFailureAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
        /// When this VM last reported the server, and which outcomes it has counted since then.
        Common::Instant reportedAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
        bool failedSinceReport = false;
        bool answeredSinceReport = false;
    };

    static OutcomeCounts decayed(const Window &window, Common::Instant now);
    /// This VM's counts of the server, as of `now`.
    OutcomeCounts &ownCounts(Server &server, Common::Instant now);
    /// Whether this VM has to report its counts of the server.
    static bool reportDue(const Server &server, Common::Instant now);

    Common::VmName self;
    std::uint64_t lastSequence = 0;
    std::map<Common::VmName, std::uint64_t> sequences;
    std::map<Common::BackendServerName, Server> servers;
};

} // namespace Currantfall::Steering
