#include "QuotaSync.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <utility>
#include <variant>

namespace Currantfall::Entry {

namespace Wire = Peering::Wire;

namespace {

constexpr double partsPerPermit = 1000.0;

/// Rounds down, so that a message never carries more than was taken away.
std::uint32_t toParts(double permits)
{
    const double parts = std::floor(std::max(permits, 0.0) * partsPerPermit);
    return static_cast<std::uint32_t>(
            std::min(parts, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
}

Peering::Wire::BodyUnion toWire(const Quotas::PermitRequest &request)
{
    Wire::QuotaRequestT message;
    message.number = request.number;
    message.for_zone = request.forZone;
    for (const Quotas::PermitNeed &need : request.needs) {
        auto entry = std::make_unique<Wire::PermitNeedT>();
        entry->tenant = need.tenant.value();
        entry->wanted = toParts(need.wanted);
        entry->waiting = toParts(need.waiting);
        message.needs.push_back(std::move(entry));
    }
    return toBody(std::move(message));
}

Peering::Wire::BodyUnion toWire(const Quotas::PermitGrant &grant)
{
    Wire::QuotaGrantT message;
    message.number = grant.number;
    for (const Quotas::TenantGrant &tenant : grant.tenants) {
        auto entry = std::make_unique<Wire::TenantGrantT>();
        entry->tenant = tenant.tenant.value();
        for (const Quotas::GrantedLot &lot : tenant.lots) {
            // A permit is never younger for the receiver than it was here.
            const auto age = static_cast<std::uint32_t>(
                    std::ceil(std::max(absl::ToDoubleMilliseconds(lot.age), 0.0)));
            entry->lots.emplace_back(toParts(lot.count), age);
        }
        message.tenants.push_back(std::move(entry));
    }
    return toBody(std::move(message));
}

} // namespace

QuotaSync::QuotaSync(QuotaGate &gate, PeerChannel peers) : gate(gate), peers(std::move(peers))
{
    this->gate.setOnWaiting([this] { this->advance(Common::monotonicNow()); });
}

void QuotaSync::advance(Common::Instant now)
{
    this->gate.wakeWaiting();
    this->gate.keeper().advance(now);
    this->sendMessages();
}

void QuotaSync::onMessage(const Common::VmName &peer, const Wire::QuotaRequestT &message,
                          Common::Instant now)
{
    Quotas::PermitRequest request;
    request.number = message.number;
    request.forZone = message.for_zone;
    for (const auto &entry : message.needs) {
        if (entry != nullptr) {
            request.needs.push_back({ Common::TenantName(entry->tenant),
                                      entry->wanted / partsPerPermit,
                                      entry->waiting / partsPerPermit });
        }
    }
    this->gate.keeper().onMessage(peer, request, now);
    this->sendMessages();
}

void QuotaSync::onMessage(const Common::VmName &peer, const Wire::QuotaGrantT &message,
                          Common::Instant now)
{
    Quotas::PermitGrant grant;
    grant.number = message.number;
    for (const auto &entry : message.tenants) {
        if (entry == nullptr) {
            continue;
        }
        Quotas::TenantGrant &tenant = grant.tenants.emplace_back();
        tenant.tenant = Common::TenantName(entry->tenant);
        for (const Wire::PermitLot &lot : entry->lots) {
            tenant.lots.push_back(
                    { lot.count() / partsPerPermit, absl::Milliseconds(lot.age_ms()) });
        }
    }
    this->gate.keeper().onMessage(peer, grant, now);
    this->gate.wakeWaiting();
    this->sendMessages();
}

void QuotaSync::sendMessages()
{
    for (const Quotas::QuotaMessage &message : this->gate.keeper().takeMessages()) {
        this->peers.send({ message.to },
                         std::visit([](const auto &body) { return toWire(body); }, message.body));
    }
}

} // namespace Currantfall::Entry
