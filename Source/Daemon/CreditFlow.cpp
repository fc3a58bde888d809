#include "CreditFlow.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Daemon {

namespace {

constexpr double bitsPerByte = 8.0;
constexpr double bitsPerMegabit = 1e6;
// Granters asked for one service at a time. Asking every owner of every region would cost messages
// in proportion to the fleet.
constexpr std::size_t grantersAsked = 4;

} // namespace

CreditFlow::CreditFlow(SteeringContext &context, ClusterFlow &cluster,
                       const OwnerScheduler &scheduler)
    : context(context), cluster(cluster), scheduler(scheduler)
{
    this->context.timers.subscribeEvery(this->context.now, demandInterval,
                                        [this](Common::Instant) { this->tick(); });
}

void CreditFlow::onConfigurationChanged()
{
    this->updateGranterSettings();
}

nlohmann::ordered_json CreditFlow::describe() const
{
    nlohmann::ordered_json granted = nlohmann::ordered_json::object();
    for (const auto &[service, granter] : this->granters) {
        granted[service.value()] = { { "outstanding", granter.outstanding(this->context.now) },
                                     { "in_progress", granter.inProgress() },
                                     { "bytes_received", granter.bytesReceived() },
                                     { "bytes_per_s", granter.grantableRate() } };
    }
    nlohmann::ordered_json held = nlohmann::ordered_json::array();
    for (const auto &[key, holder] : this->holders) {
        held.push_back({ { "vm", key.first.value() },
                         { "service", key.second.value() },
                         { "valid", holder.isValid(this->context.now) },
                         { "available", holder.available(this->context.now) },
                         { "in_flight", holder.inFlight() },
                         { "taken", holder.taken() } });
    }
    return { { "granted", std::move(granted) },
             { "refused", this->refused },
             { "held", std::move(held) } };
}

void CreditFlow::onCreditRequest(const Common::VmName &from, const Common::ServiceName &service,
                                 const Credits::CreditRequest &request)
{
    if (this->context.environment == nullptr || this->context.leaving
        || this->context.environment->findService(service) == nullptr) {
        return;
    }
    this->granters.try_emplace(service, this->granterSettings());
    this->updateGranters();
    const auto grant = this->granters.at(service).request(this->context.now, from, request);
    if (!grant) {
        return;
    }
    this->sendGrant(from, service, *grant);
}

void CreditFlow::sendGrant(const Common::VmName &holder, const Common::ServiceName &service,
                           const Credits::CreditGrant &grant)
{
    if (holder == this->context.self.vm) {
        this->onCreditGrant(holder, service, grant);
        return;
    }
    Peering::Wire::CreditGrantT message;
    message.service = service.value();
    message.sequence = grant.sequence;
    message.credit = grant.credit;
    message.concurrent = static_cast<std::uint32_t>(grant.concurrent);
    message.bytes_per_second = static_cast<std::uint64_t>(grant.bytesPerSecond);
    message.valid_ms = static_cast<std::uint32_t>(absl::ToInt64Milliseconds(grant.validity));
    this->context.sendControl(holder, std::move(message));
}

void CreditFlow::onCreditGrant(const Common::VmName &from, const Common::ServiceName &service,
                               const Credits::CreditGrant &grant)
{
    const auto found = this->holders.find({ from, service });
    if (found != this->holders.end()) {
        found->second.granted(this->context.now, grant);
    }
}

void CreditFlow::onPause()
{
    for (auto &entry : this->holders) {
        entry.second.pause();
    }
}

bool CreditFlow::isForeign(const Request &request) const
{
    return !request.callerRegion.empty() && request.callerRegion != this->context.region;
}

absl::flat_hash_set<Common::VmName> CreditFlow::usableVms(const Common::ServiceName &service)
{
    absl::flat_hash_set<Common::VmName> usable;
    for (const auto &[key, holder] : this->holders) {
        if (key.second == service && holder.available(this->context.now) > 0) {
            usable.insert(key.first);
        }
    }
    return usable;
}

std::optional<Credits::CreditId> CreditFlow::take(const Common::VmName &granter,
                                                  const Request &request)
{
    const auto found = this->holders.find({ granter, request.service });
    if (found == this->holders.end()) {
        return std::nullopt;
    }
    return found->second.take(this->context.now, request.body.size());
}

void CreditFlow::giveBack(const Common::VmName &granter, const Common::ServiceName &service,
                          Credits::CreditId credit)
{
    const auto found = this->holders.find({ granter, service });
    if (credit != 0 && found != this->holders.end()) {
        found->second.giveBack(credit);
    }
}

void CreditFlow::onRouted(const Request &request,
                          const std::vector<Placement::RouteTarget> &targets)
{
    const auto note = [&request](Demand &demand) {
        ++demand.requests;
        demand.bytes += request.body.size();
    };
    if (this->isForeign(request)) {
        note(this->foreignDemands[request.service]);
    }
    if (!this->regionHasFreeSlots(request.service, targets)) {
        note(this->demands[request.service]);
    }
}

bool CreditFlow::begin(const Common::VmName &holder, const Request &request,
                       Credits::CreditId credit)
{
    const Membership::Member *sender = this->member(holder);
    const bool ownCaller = credit == 0 && !this->isForeign(request);
    if (ownCaller && sender != nullptr && sender->region == this->context.region) {
        return true;
    }
    const auto found = this->granters.find(request.service);
    const Credits::CreditUse use
            = found == this->granters.end()
                      ? Credits::CreditUse::Unknown
                      : found->second.begin(this->context.now, holder, credit, request.body.size());
    const bool begun = use == Credits::CreditUse::Begun;
    if (!begun) {
        ++this->refused;
        this->context.log.info("refused a request on credit " + std::to_string(credit) + ": "
                                       + Credits::toString(use),
                               holder.value(), request.id);
    }
    this->context.metrics.addToCounter(begun ? "currantfall_shifted_requests_total"
                                             : "currantfall_credit_refusals_total",
                                       { { "service", request.service.value() } });
    return begun;
}

void CreditFlow::end(const Common::VmName &holder, const Common::ServiceName &service,
                     Credits::CreditId credit)
{
    const auto found = this->granters.find(service);
    if (credit != 0 && found != this->granters.end()) {
        found->second.end(holder, credit);
    }
}

void CreditFlow::tick()
{
    this->updateGranters();
    for (const auto &[service, demand] : std::exchange(this->demands, {})) {
        this->askForCredits(service, demand, false);
    }
    for (const auto &[service, demand] : std::exchange(this->foreignDemands, {})) {
        this->askForCredits(service, demand, true);
    }
}

bool CreditFlow::ownsSlots(const Membership::Member &candidate,
                           const Common::ServiceName &service) const
{
    if (candidate.vm == this->context.self.vm) {
        return this->scheduler.loadOf(service).totalSlots > 0;
    }
    return candidate.state == Membership::MemberState::Live
           && std::any_of(candidate.loads.begin(), candidate.loads.end(),
                          [&service](const Membership::ServiceLoad &load) {
                              return load.service == service && load.totalSlots > 0;
                          });
}

void CreditFlow::askForCredits(const Common::ServiceName &service, const Demand &demand,
                               bool ownRegion)
{
    std::size_t asked = 0;
    for (const auto &candidate : this->context.members->members()) {
        if (asked == grantersAsked) {
            return;
        }
        const bool wanted = (candidate->region == this->context.region) == ownRegion;
        if (wanted && this->ownsSlots(*candidate, service)) {
            ++asked;
            this->askGranter(candidate->vm, service, demand);
        }
    }
}

void CreditFlow::askGranter(const Common::VmName &granter, const Common::ServiceName &service,
                            const Demand &demand)
{
    const double perSecond = absl::FDivDuration(absl::Seconds(1), demandInterval);
    Credits::CreditHolder &holder = this->holders[{ granter, service }];
    const auto request = holder.ask(this->context.now, holder.inFlight() + demand.requests,
                                    static_cast<double>(demand.bytes) * perSecond);
    if (request) {
        this->sendRequest(granter, service, *request);
    }
}

void CreditFlow::sendRequest(const Common::VmName &granter, const Common::ServiceName &service,
                             const Credits::CreditRequest &request)
{
    if (granter == this->context.self.vm) {
        this->onCreditRequest(granter, service, request);
        return;
    }
    this->cluster.requestPeer(granter);
    Peering::Wire::CreditRequestT message;
    message.service = service.value();
    message.sequence = request.sequence;
    message.wanted = static_cast<std::uint32_t>(request.wanted);
    message.bytes_per_second = static_cast<std::uint64_t>(request.wantedBytesPerSecond);
    this->context.sendControl(granter, std::move(message));
}

void CreditFlow::updateGranterSettings()
{
    this->settingsTopology = this->context.members->topologyVersion();
    for (auto &entry : this->granters) {
        entry.second.reconfigure(this->granterSettings());
    }
}

void CreditFlow::updateGranters()
{
    // A granter may be created before this VM has heard of the other granters of its region.
    if (this->settingsTopology != this->context.members->topologyVersion()) {
        this->updateGranterSettings();
    }
    for (auto &[service, granter] : this->granters) {
        const Membership::ServiceLoad load = this->scheduler.loadOf(service);
        const std::size_t unclaimed
                = load.freeSlots > load.queued ? load.freeSlots - load.queued : 0;
        granter.setSlots(this->context.now, load.totalSlots,
                         std::min<std::size_t>(load.totalSlots, unclaimed + granter.inProgress()));
    }
}

bool CreditFlow::regionHasFreeSlots(const Common::ServiceName &service,
                                    const std::vector<Placement::RouteTarget> &targets) const
{
    if (this->scheduler.loadOf(service).freeSlots > 0) {
        return true;
    }
    return std::any_of(targets.begin(), targets.end(), [&](const auto &target) {
        if (target.kind == Placement::TargetKind::OtherRegion
            || target.kind == Placement::TargetKind::Self) {
            return false;
        }
        const Membership::Member *owner = this->member(target.vm);
        return owner != nullptr
               && std::any_of(owner->loads.begin(), owner->loads.end(),
                              [&service](const Membership::ServiceLoad &load) {
                                  return load.service == service && load.freeSlots > 0;
                              });
    });
}

Credits::CreditGranterSettings CreditFlow::granterSettings() const
{
    Credits::CreditGranterSettings settings;
    const Configuration::Environment &environment = *this->context.environment;
    settings.reserve = environment.shift.reserve;
    settings.maxStep = environment.shift.maxStep;
    settings.interval = environment.shift.interval;
    settings.slowStart = environment.shift.slowStart;
    // The tightest link into the region bounds every sender; the cap is split over the region's
    // owners and services, so that it holds while they can't reach each other.
    for (const Configuration::Link &link : environment.links) {
        if (link.first != this->context.region && link.second != this->context.region) {
            continue;
        }
        const double bytes = link.capacity * bitsPerMegabit / bitsPerByte;
        const bool tighter
                = settings.linkBytesPerSecond == 0.0
                  || bytes * link.shiftCap < settings.linkBytesPerSecond * settings.shiftCap;
        if (tighter) {
            settings.linkBytesPerSecond = bytes;
            settings.shiftCap = link.shiftCap;
        }
    }
    std::size_t vms = 0;
    for (const auto &candidate : this->context.members->members()) {
        vms += candidate->region == this->context.region ? 1 : 0;
    }
    settings.granters = std::max<std::size_t>(1, vms) * environment.services.size();
    return settings;
}

const Membership::Member *CreditFlow::member(const Common::VmName &vm) const
{
    return this->context.members->find(vm);
}

} // namespace Currantfall::Daemon
