#include "QuotaFleet.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Quotas::Tests {

namespace {

constexpr absl::Duration stepTime = absl::Milliseconds(10);
constexpr absl::Duration maxWait = absl::Milliseconds(200);
constexpr std::size_t vmsPerZone = 4;
constexpr std::size_t largeVmsPerZone = 2;
constexpr std::uint64_t numbersPerRun = 1'000'000;

std::int64_t micros(Common::Instant time)
{
    return absl::ToInt64Microseconds(time.sinceOrigin());
}

} // namespace

QuotaTerms limitOf(const std::string &tenant, double rate, double burst)
{
    return { Common::TenantName(tenant), rate, burst };
}

QuotaTolerance usualTolerance()
{
    return { absl::Seconds(5), 0.1, 20.0 };
}

double allowedIn(const QuotaTerms &terms)
{
    const QuotaTolerance tolerance = usualTolerance();
    const double limit
            = terms.requestsPerSecond * absl::ToDoubleSeconds(tolerance.window) + terms.burst;
    return limit * (1.0 + tolerance.overage) + tolerance.extra;
}

QuotaFleet::QuotaFleet(std::size_t zones, std::vector<QuotaTerms> terms,
                       const QuotaTolerance &tolerance, std::uint32_t seed)
    : terms(std::move(terms)), tolerance(tolerance), random(seed)
{
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t number = 0; number < vmsPerZone; ++number) {
            Vm vm;
            vm.registered.zone = Common::ZoneName("zone-" + std::to_string(zone));
            vm.registered.vm
                    = Common::VmName("vm-" + std::to_string(zone) + "-" + std::to_string(number));
            vm.registered.processorShare = number < largeVmsPerZone ? 0.5 : 0.1;
            this->vms.push_back(std::move(vm));
        }
    }
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        this->start(vm);
    }
}

std::size_t QuotaFleet::indexOf(const Common::VmName &vm) const
{
    const auto found = std::find_if(this->vms.begin(), this->vms.end(),
                                    [&](const Vm &each) { return each.registered.vm == vm; });
    return static_cast<std::size_t>(found - this->vms.begin());
}

void QuotaFleet::kill(std::size_t vm)
{
    this->vms[vm].keeper.reset();
    this->vms[vm].waiting.clear();
    this->updateReachable();
}

void QuotaFleet::start(std::size_t vm)
{
    Vm &started = this->vms[vm];
    ++started.run;
    started.keeper.emplace(started.registered.vm, started.registered.zone, this->tolerance,
                           started.run * numbersPerRun);
    std::vector<QuotaVm> registered;
    for (const Vm &each : this->vms) {
        registered.push_back(each.registered);
    }
    started.keeper->setTerms(this->terms, this->time);
    started.keeper->setPlan(QuotaPlan(registered), true, this->time);
    this->updateReachable();
}

void QuotaFleet::updateReachable()
{
    // VMs learn of ends of processes, but not of cuts.
    std::set<Common::VmName> running;
    for (const Vm &vm : this->vms) {
        if (vm.keeper) {
            running.insert(vm.registered.vm);
        }
    }
    for (Vm &vm : this->vms) {
        if (vm.keeper) {
            vm.keeper->setReachable(running);
        }
    }
}

void QuotaFleet::setTerms(const std::vector<QuotaTerms> &newTerms)
{
    this->terms = newTerms;
    for (Vm &vm : this->vms) {
        if (vm.keeper) {
            vm.keeper->setTerms(newTerms, this->time);
        }
    }
}

bool QuotaFleet::tryAdmit(std::size_t vm, const std::string &tenant)
{
    TenantQuota *quota = this->vms[vm].keeper->find(Common::TenantName(tenant));
    const auto permit = quota == nullptr ? std::optional(Permit()) : quota->take(this->time);
    if (!permit) {
        return false;
    }
    Counts &count = this->counts[tenant];
    count.admittedAt.push_back(this->time);
    count.last = { vm, *permit };
    return true;
}

void QuotaFleet::request(std::size_t vm, const std::string &tenant)
{
    Vm &receiver = this->vms[vm];
    if (!receiver.keeper || receiver.frozen) {
        return;
    }
    TenantQuota *quota = receiver.keeper->find(Common::TenantName(tenant));
    if (quota == nullptr) {
        this->tryAdmit(vm, tenant);
        return;
    }
    receiver.keeper->onRequest(*quota, this->time);
    if (quota->waiting == 0 && this->tryAdmit(vm, tenant)) {
        return;
    }
    if (quota->mayWait(maxWait, this->time)) {
        ++quota->waiting;
        receiver.waiting.push_back({ tenant, this->time + maxWait });
    } else {
        quota->refuse(this->time);
        ++this->counts[tenant].refused;
    }
}

void QuotaFleet::giveBackLast(std::size_t vm, const std::string &tenant)
{
    Counts &count = this->counts[tenant];
    if (!this->vms[vm].keeper || !count.last || count.last->first != vm) {
        return;
    }
    if (TenantQuota *quota = this->vms[vm].keeper->find(Common::TenantName(tenant))) {
        quota->giveBack(count.last->second, this->time);
        count.last.reset();
        count.admittedAt.pop_back();
    }
}

void QuotaFleet::tryWaiting(std::size_t vm)
{
    std::deque<Waiting> left;
    for (Waiting &each : this->vms[vm].waiting) {
        TenantQuota *quota = this->vms[vm].keeper->find(Common::TenantName(each.tenant));
        if (this->tryAdmit(vm, each.tenant)) {
            --quota->waiting;
        } else if (this->time >= each.until) {
            --quota->waiting;
            quota->refuse(this->time);
            ++this->counts[each.tenant].refused;
        } else {
            left.push_back(std::move(each));
        }
    }
    this->vms[vm].waiting = std::move(left);
}

void QuotaFleet::send(std::size_t vm)
{
    std::uniform_real_distribution<double> share(0.0, 1.0);
    for (QuotaMessage &message : this->vms[vm].keeper->takeMessages()) {
        ++this->sentMessages;
        const std::size_t receiver = this->indexOf(message.to);
        const Delivery delivery { vm, this->vms[receiver].run, std::move(message) };
        for (int copies = share(this->random) < this->faults.duplicateShare ? 2 : 1; copies > 0;
             --copies) {
            if (share(this->random) >= this->faults.lossShare) {
                const absl::Duration delay
                        = this->faults.minDelay
                          + (this->faults.maxDelay - this->faults.minDelay) * share(this->random);
                this->inFlight.emplace(micros(this->time + delay), delivery);
            }
        }
    }
}

void QuotaFleet::deliver()
{
    while (!this->inFlight.empty() && this->inFlight.begin()->first <= micros(this->time)) {
        auto node = this->inFlight.extract(this->inFlight.begin());
        const Delivery &delivery = node.mapped();
        const std::size_t to = this->indexOf(delivery.message.to);
        Vm &receiver = this->vms[to];
        if (receiver.cut || this->vms[delivery.from].cut || receiver.frozen) {
            node.key() += absl::ToInt64Microseconds(stepTime);
            this->inFlight.insert(std::move(node));
            continue;
        }
        // The link ended with the process.
        if (!receiver.keeper || receiver.run != delivery.receiverRun) {
            continue;
        }
        const Common::VmName &from = this->vms[delivery.from].registered.vm;
        std::visit([&](const auto &body) { receiver.keeper->onMessage(from, body, this->time); },
                   delivery.message.body);
    }
}

void QuotaFleet::step()
{
    this->time = this->time + stepTime;
    this->deliver();
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        if (this->vms[vm].keeper && !this->vms[vm].frozen) {
            this->tryWaiting(vm);
            this->vms[vm].keeper->advance(this->time);
            this->send(vm);
        }
    }
}

void QuotaFleet::advance(absl::Duration duration)
{
    const Common::Instant end = this->time + duration;
    while (this->time < end) {
        this->step();
    }
}

std::size_t QuotaFleet::admitted(const std::string &tenant) const
{
    const auto found = this->counts.find(tenant);
    return found == this->counts.end() ? 0 : found->second.admittedAt.size();
}

std::size_t QuotaFleet::refused(const std::string &tenant) const
{
    const auto found = this->counts.find(tenant);
    return found == this->counts.end() ? 0 : found->second.refused;
}

std::size_t QuotaFleet::mostAdmitted(const std::string &tenant, absl::Duration window,
                                     Common::Instant from) const
{
    const auto found = this->counts.find(tenant);
    if (found == this->counts.end()) {
        return 0;
    }
    const std::deque<Common::Instant> &times = found->second.admittedAt;
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (first < last && (times[first] < from || times[last] - times[first] >= window)) {
            ++first;
        }
        if (times[first] >= from) {
            most = std::max(most, last - first + 1);
        }
    }
    return most;
}

} // namespace Currantfall::Quotas::Tests
