#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"

namespace Currantfall::Steering {

/// Requests that one entry VM saw a backend server answer and fail. Counts lose weight as they age.
struct OutcomeCounts
{
    double answered = 0.0;
    double failed = 0.0;

    friend bool operator==(const OutcomeCounts &left, const OutcomeCounts &right) = default;
};

/// One entry VM's counts of one server, for other VMs.
struct ServerOutcomes
{
    Common::BackendServerName server;
    OutcomeCounts counts;

    friend bool operator==(const ServerOutcomes &left, const ServerOutcomes &right) = default;
};

/// One entry VM's counts of all servers that some VM has seen failing.
struct OutcomeReport
{
    Common::VmName vm;
    /// Rises with each report of a VM's run.
    std::uint64_t sequence = 0;
    std::vector<ServerOutcomes> servers;

    friend bool operator==(const OutcomeReport &left, const OutcomeReport &right) = default;
};

/// Finds backend servers that fail nearly everything, from what all entry VMs see together: one VM
/// sends too few requests to one server to tell in time.
class FleetOutcomes
{
public:
    explicit FleetOutcomes(Common::VmName self) : self(std::move(self)) { }

    /// Reports of this run have higher numbers than `number`, which rises from run to run.
    void startRun(std::uint64_t number) { this->lastSequence = number; }

    void onAnswered(const Common::BackendServerName &server, Common::Instant now);
    /// `weight` is above 1 for failures that say more than one request's.
    void onFailed(const Common::BackendServerName &server, Common::Instant now,
                  double weight = 1.0);
    /// The server has started again, or is gone: nothing of before counts.
    void forget(const Common::BackendServerName &server);

    /// This VM's counts that changed since the last report; without servers if there is none.
    OutcomeReport takeReport(Common::Instant now);
    /// Takes over the report of another VM; false if it is not newer than what is known.
    bool apply(const OutcomeReport &report, Common::Instant now);

    /// Whether the VMs together saw the server fail nearly all of its latest requests.
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
        /// When some VM last counted a failure.
        Common::Instant suspectedAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
        /// When this VM last reported the server, and what it has counted since.
        Common::Instant reportedAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
        bool failedSince = false;
        bool answeredSince = false;
    };

    static OutcomeCounts decayed(const Window &window, Common::Instant now);
    /// This VM's counts of the server, as of `now`.
    OutcomeCounts &own(Server &server, Common::Instant now);
    /// Whether this VM's counts of the server are news for others.
    static bool reportDue(const Server &server, Common::Instant now);

    Common::VmName self;
    std::uint64_t lastSequence = 0;
    std::map<Common::VmName, std::uint64_t> sequences;
    std::map<Common::BackendServerName, Server> servers;
};

} // namespace Currantfall::Steering
