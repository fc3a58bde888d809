#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <httplib.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Placement/DirectPowerOfTwo.h"

#include "Load/BalancerSettings.h"
#include "Load/Results.h"

namespace Currantfall::Load {

/// Balances the requests of one service as an entry VM without slot owners would: it reads the load
/// reports of the backend servers at an interval, chooses the less loaded of two random servers for
/// each request, and limits only its own concurrency. Thread-safe.
class DirectBalancer
{
public:
    struct Call
    {
        CallOutcome outcome = CallOutcome::NotRun;
        std::uint64_t attempts = 0;
    };

    /// Makes one call within the remaining time.
    using Send = std::function<CallOutcome(httplib::Client &client, absl::Duration remaining)>;

    /// Reads the load reports once and opens a connection for each permit at each server, so that
    /// no request pays for one.
    DirectBalancer(const BalancerSettings &settings, const BalancerGroup &group,
                   std::uint64_t seed);
    ~DirectBalancer();
    DirectBalancer(const DirectBalancer &) = delete;
    DirectBalancer &operator=(const DirectBalancer &) = delete;

    /// Waits for a permit as long as the request can still end within `deadline` by the measured
    /// service time; without a permit the call is not-run. A shed request is sent to another server
    /// once.
    Call call(absl::Duration deadline, const Send &send);

private:
    using ServerName = Common::BackendServerName;
    using Clients = std::vector<std::unique_ptr<httplib::Client>>;

    void readReports();
    void readRegularly();
    void openConnections();
    bool enter(Common::Instant ends);
    void leave();
    std::unique_ptr<httplib::Client> begin(const absl::flat_hash_set<ServerName> &excluded,
                                           ServerName &chosen);
    void end(const ServerName &server, std::unique_ptr<httplib::Client> client, CallOutcome outcome,
             absl::Duration took);
    std::vector<Placement::BackendServerLoad> currentLoads() const;

    const BalancerSettings settings;
    const std::vector<Endpoint> servers;
    Clients reportClients;
    std::size_t limit = 0;

    /// Not an absl::Mutex: ThreadSanitizer does not see the locks of the uninstrumented library.
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Placement::BackendServerLoad> reports;
    absl::flat_hash_map<ServerName, Clients> idleClients;
    absl::flat_hash_map<ServerName, std::size_t> inFlight;
    std::mt19937_64 random;
    std::size_t permits = 0;
    std::uint64_t lastTicket = 0;
    std::deque<std::uint64_t> waiting;
    absl::Duration serviceTime = absl::ZeroDuration();
    bool stopping = false;
    std::thread reader;
};

} // namespace Currantfall::Load
