#include "EntryGate.h"

namespace Currantfall::Daemon {

namespace {

Admission::EntryLimiterSettings limits(std::size_t requests, std::size_t bytes)
{
    Admission::EntryLimiterSettings settings;
    settings.maxRequests = requests;
    settings.maxBytes = bytes;
    return settings;
}

} // namespace

EntryGate::Permit::~Permit()
{
    if (this->gate == nullptr) {
        return;
    }
    const Common::MutexLock lock(&this->gate->mutex);
    this->gate->limiter.release(this->permit);
}

EntryGate::EntryGate(std::size_t requests, std::size_t bytes)
    : settings(limits(requests, bytes)), limiter(this->settings)
{ }

void EntryGate::reconfigure(const Configuration::Environment &environment)
{
    const Common::MutexLock lock(&this->mutex);
    this->settings.floors.clear();
    this->settings.tenants.clear();
    for (const Configuration::Rank &rank : environment.ranks) {
        this->settings.floors.push_back(rank.floor);
    }
    for (const Configuration::Tenant &tenant : environment.tenants) {
        this->settings.tenants.push_back({ tenant.name, tenant.weight });
    }
    this->limiter.reconfigure(this->settings);
}

tl::expected<EntryGate::Permit, Admission::Refusal>
EntryGate::tryEnter(Common::RankIndex rank, const Admission::FlowKey &flow, std::size_t bytes)
{
    const Common::MutexLock lock(&this->mutex);
    const auto permit = this->limiter.tryAcquire(rank, flow, bytes);
    if (!permit) {
        return tl::unexpected(permit.error());
    }
    return Permit(*this, *permit);
}

} // namespace Currantfall::Daemon
