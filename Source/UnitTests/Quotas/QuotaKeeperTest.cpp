#include <algorithm>
#include <numeric>

#include <catch2/catch.hpp>

#include "QuotaFleet.h"

using namespace Currantfall;
using namespace Currantfall::Quotas;
using namespace Currantfall::Quotas::Tests;

namespace {

constexpr absl::Duration window = absl::Seconds(5);
constexpr std::size_t zones = 6;
constexpr absl::Duration tick = absl::Milliseconds(10);
// Permits for a whole burst have accrued.
constexpr absl::Duration warmUp = absl::Seconds(5);

/// The requests that one place with all permits would admit: those that are owed.
class CentralQuota
{
public:
    explicit CentralQuota(const QuotaTerms &terms) : terms(terms), permits(terms.burst) { }

    bool admit(Common::Instant now)
    {
        this->permits = std::min(this->terms.burst,
                                 this->permits
                                         + this->terms.requestsPerSecond
                                                   * absl::ToDoubleSeconds(now - this->last));
        this->last = now;
        if (this->permits < 1.0) {
            return false;
        }
        this->permits -= 1.0;
        return true;
    }

private:
    QuotaTerms terms;
    double permits;
    Common::Instant last;
};

/// Sends `rate` requests per second for `duration`, each to one of `receivers`. Returns how many of
/// them were owed.
std::size_t sendRequests(QuotaFleet &fleet, const QuotaTerms &terms, double rate,
                         absl::Duration duration, const std::vector<std::size_t> &receivers,
                         std::mt19937 &random)
{
    CentralQuota central(terms);
    std::poisson_distribution<int> arrivals(rate * absl::ToDoubleSeconds(tick));
    std::uniform_int_distribution<std::size_t> receiver(0, receivers.size() - 1);
    std::size_t owed = 0;
    for (const Common::Instant end = fleet.now() + duration; fleet.now() < end;) {
        for (int count = arrivals(random); count > 0; --count) {
            owed += central.admit(fleet.now()) ? 1 : 0;
            fleet.request(receivers[receiver(random)], terms.tenant.value());
        }
        fleet.advance(tick);
    }
    return owed;
}

} // namespace

// Guards against a tenant that gets more than its limit because no VM, or each VM by itself, counts
// its requests (QUOTA).
TEST_CASE("A tenant that asks for more than its limit gets its limit over all VMs")
{
    for (const QuotaTerms &terms : { limitOf("a", 300.0, 600.0), limitOf("a", 20.0, 40.0),
                                     limitOf("a", 2.0, 4.0), limitOf("a", 10.0, 0.0) }) {
        INFO("rate " << terms.requestsPerSecond << " burst " << terms.burst);
        QuotaFleet fleet(zones, { terms }, usualTolerance(), 1);
        std::mt19937 random(2);
        std::vector<std::size_t> all(fleet.size());
        std::iota(all.begin(), all.end(), 0);
        fleet.advance(warmUp);
        sendRequests(fleet, terms, terms.requestsPerSecond * 5.0, absl::Seconds(20), all, random);
        const std::size_t most = fleet.mostAdmitted("a", window);
        CHECK(static_cast<double>(most) <= allowedIn(terms));
        // What accrues is also used.
        CHECK(static_cast<double>(fleet.admitted("a")) >= terms.requestsPerSecond * 20.0 * 0.9);
    }
}

// Guards against refusals of tenants inside their limits, whose clients crowd on few VMs.
TEST_CASE("A tenant inside its limit is hardly ever refused")
{
    const std::vector<std::vector<std::size_t>> crowds { { 0 }, { 2 }, { 3, 9 }, { 0, 5, 13, 20 } };
    for (const QuotaTerms &terms :
         { limitOf("a", 300.0, 600.0), limitOf("a", 20.0, 40.0), limitOf("a", 2.2, 4.4) }) {
        for (const auto &crowd : crowds) {
            INFO("rate " << terms.requestsPerSecond << ", VMs " << crowd.size() << ", first "
                         << crowd.front());
            QuotaFleet fleet(zones, { terms }, usualTolerance(), 3);
            std::mt19937 random(4);
            fleet.advance(warmUp);
            const std::size_t owed
                    = sendRequests(fleet, terms, terms.requestsPerSecond / 1.6,
                                   absl::Seconds(1000.0 / terms.requestsPerSecond), crowd, random);
            const std::size_t served = fleet.admitted("a");
            CHECK(static_cast<double>(served) >= static_cast<double>(owed) * 0.99);
        }
    }
}
