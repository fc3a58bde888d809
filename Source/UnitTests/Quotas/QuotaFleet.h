#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "currantfall/Quotas/QuotaKeeper.h"

namespace Currantfall::Quotas::Tests {

/// What may happen to the messages between VMs.
struct NetworkFaults
{
    double lossShare = 0.0;
    double duplicateShare = 0.0;
    absl::Duration minDelay = absl::Milliseconds(1);
    absl::Duration maxDelay = absl::Milliseconds(15);
};

/// VMs in zones that keep the limits of tenants together, in simulated time. Each zone has two
/// large VMs, on which permits accrue, and two small ones.
class QuotaFleet
{
public:
    QuotaFleet(std::size_t zones, std::vector<QuotaTerms> terms, const QuotaTolerance &tolerance,
               std::uint32_t seed);

    std::size_t size() const { return this->vms.size(); }
    Common::Instant now() const { return this->time; }
    NetworkFaults faults;

    /// One request of the tenant arrives at the VM.
    void request(std::size_t vm, const std::string &tenant);
    /// If the latest admitted request is one of the VM, it did not run and is not counted.
    void giveBackLast(std::size_t vm, const std::string &tenant);
    void advance(absl::Duration duration);
    void setTerms(const std::vector<QuotaTerms> &terms);
    /// Messages between the VM and all others wait until the cut ends.
    void setCut(std::size_t vm, bool cut) { this->vms[vm].cut = cut; }
    /// The VM does nothing; its clock goes on.
    void setFrozen(std::size_t vm, bool frozen) { this->vms[vm].frozen = frozen; }
    void kill(std::size_t vm);
    void start(std::size_t vm);
    bool running(std::size_t vm) const { return this->vms[vm].keeper.has_value(); }

    std::size_t admitted(const std::string &tenant) const;
    std::size_t refused(const std::string &tenant) const;
    /// Requests that were admitted inside any span of `window` that begins at `from` or later, at
    /// most.
    std::size_t mostAdmitted(const std::string &tenant, absl::Duration window,
                             Common::Instant from = {}) const;
    std::size_t messages() const { return this->sentMessages; }

private:
    struct Waiting
    {
        std::string tenant;
        Common::Instant until;
    };
    struct Vm
    {
        QuotaVm registered;
        std::optional<QuotaKeeper> keeper;
        std::deque<Waiting> waiting;
        std::uint64_t run = 0;
        bool cut = false;
        bool frozen = false;
    };
    struct Delivery
    {
        std::size_t from = 0;
        std::uint64_t receiverRun = 0;
        QuotaMessage message;
    };
    struct Counts
    {
        std::deque<Common::Instant> admittedAt;
        /// VM and permit of the latest request that was admitted.
        std::optional<std::pair<std::size_t, Permit>> last;
        std::size_t refused = 0;
    };

    std::size_t indexOf(const Common::VmName &vm) const;
    void step();
    void tryWaiting(std::size_t vm);
    bool tryAdmit(std::size_t vm, const std::string &tenant);
    void send(std::size_t vm);
    void deliver();
    void updateReachable();

    std::vector<Vm> vms;
    std::vector<QuotaTerms> terms;
    QuotaTolerance tolerance;
    std::multimap<std::int64_t, Delivery> inFlight;
    std::map<std::string, Counts> counts;
    std::size_t sentMessages = 0;
    Common::Instant time;
    std::mt19937 random;
};

QuotaTerms limitOf(const std::string &tenant, double rate, double burst);
/// The tolerance that the users' platform states.
QuotaTolerance usualTolerance();
/// Requests that the users' platform allows inside any window.
double allowedIn(const QuotaTerms &terms);

} // namespace Currantfall::Quotas::Tests
