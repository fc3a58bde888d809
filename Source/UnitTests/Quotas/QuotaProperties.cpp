#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "QuotaFleet.h"

using namespace Currantfall;
using namespace Currantfall::Quotas;
using namespace Currantfall::Quotas::Tests;

// Random runs of VMs that keep limits together, while messages are late, lost and doubled, VMs are
// cut off, frozen, killed and restarted, requests are given back, and callers crowd on few VMs and
// come back at once.

namespace {

constexpr absl::Duration window = absl::Seconds(5);
constexpr absl::Duration tick = absl::Milliseconds(20);
constexpr absl::Duration runTime = absl::Seconds(20);
constexpr std::size_t zones = 3;

/// What disturbs a run.
enum class Faults {
    None,
    Messages,
    Cuts,
    Freezes,
    Restarts,
    All
};

Faults anyFaults()
{
    return *rc::gen::element(Faults::Messages, Faults::Cuts, Faults::Freezes, Faults::Restarts,
                             Faults::All);
}

class RandomRun
{
public:
    RandomRun(QuotaTerms terms, double demand, std::uint32_t seed,
              const QuotaTolerance &tolerance = usualTolerance())
        : terms(std::move(terms)), demand(demand), random(seed),
          fleet(zones, { this->terms }, tolerance, seed)
    {
        this->crowd(3);
    }

    QuotaFleet &run(absl::Duration duration, Faults faults = Faults::None)
    {
        for (const Common::Instant end = this->fleet.now() + duration; this->fleet.now() < end;) {
            if (faults != Faults::None && this->chance(0.05)) {
                this->disturb(faults);
            }
            if (this->chance(0.02)) {
                this->crowd(this->below(this->fleet.size()) + 1);
            }
            // Permits accrue unused during a pause.
            if (this->pauses && this->chance(0.02)) {
                this->pausing = !this->pausing;
            }
            if (!this->pausing) {
                this->sendRequests();
            }
            this->fleet.advance(tick);
        }
        return this->fleet;
    }

    void heal()
    {
        this->fleet.faults = {};
        for (std::size_t vm = 0; vm < this->fleet.size(); ++vm) {
            this->fleet.setCut(vm, false);
            this->fleet.setFrozen(vm, false);
            if (!this->fleet.running(vm)) {
                this->fleet.start(vm);
            }
        }
    }

    /// Callers send `perSecond` requests from now on, without pauses.
    void setSteadyDemand(double perSecond)
    {
        this->demand = perSecond;
        this->pauses = false;
        this->pausing = false;
    }

private:
    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < share;
    }
    std::size_t below(std::size_t end)
    {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(this->random);
    }

    /// From now on all callers use `count` VMs.
    void crowd(std::size_t count)
    {
        this->receivers.clear();
        for (; count > 0; --count) {
            this->receivers.push_back(this->below(this->fleet.size()));
        }
    }

    void disturb(Faults faults)
    {
        const std::size_t vm = this->below(this->fleet.size());
        const Faults kind
                = faults == Faults::All ? static_cast<Faults>(1 + this->below(4)) : faults;
        switch (kind) {
        case Faults::Cuts:
            this->fleet.setCut(vm, this->chance(0.5));
            break;
        case Faults::Freezes:
            this->fleet.setFrozen(vm, this->chance(0.5));
            break;
        case Faults::Restarts:
            if (this->fleet.running(vm)) {
                this->fleet.kill(vm);
            }
            if (this->chance(0.5)) {
                this->fleet.start(vm);
            }
            break;
        default:
            this->fleet.faults.lossShare = this->chance(0.3) ? 0.2 : 0.0;
            this->fleet.faults.duplicateShare = this->chance(0.7) ? 0.5 : 0.0;
            this->fleet.faults.maxDelay = absl::Milliseconds(this->chance(0.5) ? 1500 : 15);
            break;
        }
    }

    void sendRequests()
    {
        std::poisson_distribution<int> arrivals(this->demand * absl::ToDoubleSeconds(tick));
        for (int count = arrivals(this->random); count > 0; --count) {
            const std::size_t vm = this->receivers[this->below(this->receivers.size())];
            this->fleet.request(vm, this->terms.tenant.value());
            if (this->chance(0.1)) {
                this->fleet.giveBackLast(vm, this->terms.tenant.value());
            }
        }
    }

    QuotaTerms terms;
    double demand;
    std::mt19937 random;
    bool pauses = true;
    bool pausing = false;
    std::vector<std::size_t> receivers;
    QuotaFleet fleet;
};

} // namespace

// Guards against more requests of a tenant than its limit in some window, over all VMs, in touch or
// not (QUOTA).
TEST_CASE("No disturbance lets a tenant have more than its limit")
{
    CHECK(rc::check("random faults, without a tolerance", [](std::uint32_t seed) {
        const double rate = *rc::gen::element(5.0, 40.0, 200.0);
        const QuotaTerms terms = limitOf("a", rate, rate * *rc::gen::element(0.5, 1.0, 2.0, 6.0));
        const double excess = *rc::gen::element(0.6, 1.5, 6.0);
        RandomRun run(terms, rate * excess, seed, { window, 0.0, 0.0 });
        const QuotaFleet &fleet = run.run(runTime, anyFaults());
        const double limit = rate * absl::ToDoubleSeconds(window) + terms.burst;
        RC_ASSERT(static_cast<double>(fleet.mostAdmitted("a", window)) <= limit);
    }));
    CHECK(rc::check("random faults, with the usual tolerance", [](std::uint32_t seed) {
        const double rate = *rc::gen::element(1.0, 5.0, 40.0, 200.0);
        const QuotaTerms terms = limitOf("a", rate, rate * *rc::gen::element(0.0, 1.0, 2.0, 6.0));
        const double excess = *rc::gen::element(0.6, 1.5, 6.0);
        RandomRun run(terms, rate * excess, seed);
        const QuotaFleet &fleet = run.run(runTime, anyFaults());
        RC_ASSERT(static_cast<double>(fleet.mostAdmitted("a", window)) <= allowedIn(terms));
    }));
}

// Guards against limits that stay lower than they are after a disturbance.
TEST_CASE("A tenant gets its limit again after a disturbance")
{
    CHECK(rc::check("random faults", [](std::uint32_t seed) {
        const double rate = *rc::gen::element(5.0, 40.0, 200.0);
        const QuotaTerms terms = limitOf("a", rate, rate * 2.0);
        RandomRun run(terms, rate, seed);
        run.setSteadyDemand(rate);
        run.run(absl::Seconds(5), anyFaults());
        run.heal();
        run.run(absl::Seconds(4));
        run.setSteadyDemand(rate / 1.6);
        const QuotaFleet &fleet = run.run(absl::Seconds(2));
        const std::size_t admitted = fleet.admitted("a");
        const std::size_t refused = fleet.refused("a");
        run.run(absl::Seconds(15));
        const double served = static_cast<double>(fleet.admitted("a") - admitted);
        const double lost = static_cast<double>(fleet.refused("a") - refused);
        RC_ASSERT(lost <= 0.05 * (served + lost) + 2.0);
    }));
}

// Guards against a lowered limit that does not hold, because permits of the higher one are left.
TEST_CASE("A lowered limit holds one window after it is in force")
{
    CHECK(rc::check("random faults", [](std::uint32_t seed) {
        const double rate = *rc::gen::element(5.0, 40.0, 200.0);
        const QuotaTerms before = limitOf("a", rate, rate * *rc::gen::element(2.0, 10.0));
        const QuotaTerms after = limitOf("a", rate * 0.2, rate * *rc::gen::element(0.4, 4.0));
        RandomRun run(before, rate * 3.0, seed, { window, 0.0, 0.0 });
        QuotaFleet &fleet = run.run(absl::Seconds(8));
        fleet.setTerms({ after });
        const Common::Instant binding = fleet.now() + window;
        run.run(absl::Seconds(12));
        const double limit = after.requestsPerSecond * absl::ToDoubleSeconds(window) + after.burst;
        RC_ASSERT(static_cast<double>(fleet.mostAdmitted("a", window, binding)) <= limit);
    }));
}
