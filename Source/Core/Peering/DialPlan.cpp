#include "DialPlan.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Peering {

DialPlan::DialPlan(const TransportSettings &settings)
    : self(settings.self.vm), shortest(settings.reconnectMin), longest(settings.reconnectMax),
      random(settings.seed)
{ }

void DialPlan::setPeers(Common::Instant now, std::vector<PeerAddress> peers)
{
    absl::flat_hash_map<Common::VmName, Target> replaced;
    for (PeerAddress &peer : peers) {
        if (peer.vm == this->self) {
            continue;
        }
        Target target;
        const auto known = this->targets.find(peer.vm);
        if (known != this->targets.end()) {
            target.attempts = known->second.attempts;
        } else {
            target.attempts.fill({ now, 0 });
            this->nextDue = now;
        }
        target.address = std::move(peer);
        replaced.insert_or_assign(target.address.vm, target);
    }
    this->targets = std::move(replaced);
}

bool DialPlan::isMoved(const PeerAddress &dialed) const
{
    const auto found = this->targets.find(dialed.vm);
    if (found == this->targets.end()) {
        return false;
    }
    const PeerAddress &current = found->second.address;
    return current.listed && (current.address != dialed.address || current.port != dialed.port);
}

std::vector<DialPlan::Dial> DialPlan::takeDue(Common::Instant now)
{
    std::vector<Dial> due;
    if (this->nextDue > now) {
        return due;
    }
    this->nextDue = Common::Instant::infinite();
    for (auto &[vm, target] : this->targets) {
        for (std::size_t index = 0; index < linkClassCount; ++index) {
            Attempt &attempt = target.attempts.at(index);
            if (attempt.due <= now) {
                attempt.due = Common::Instant::infinite();
                due.push_back({ target.address, static_cast<LinkClass>(index) });
            }
            this->nextDue = std::min(this->nextDue, attempt.due);
        }
    }
    return due;
}

void DialPlan::retryLater(Common::Instant now, const Common::VmName &vm, LinkClass linkClass)
{
    Attempt *attempt = this->find(vm, linkClass);
    if (attempt == nullptr) {
        return;
    }
    attempt->due = now + this->backoff(attempt->failures);
    ++attempt->failures;
    this->nextDue = std::min(this->nextDue, attempt->due);
}

void DialPlan::resetBackoff(const Common::VmName &vm, LinkClass linkClass)
{
    Attempt *attempt = this->find(vm, linkClass);
    if (attempt != nullptr) {
        attempt->failures = 0;
    }
}

DialPlan::Attempt *DialPlan::find(const Common::VmName &vm, LinkClass linkClass)
{
    const auto found = this->targets.find(vm);
    if (found == this->targets.end()) {
        return nullptr;
    }
    return &found->second.attempts.at(static_cast<std::size_t>(linkClass));
}

absl::Duration DialPlan::backoff(int failures)
{
    constexpr int maxDoublings = 20; // Keeps the product finite; the limit is reached earlier.
    const double factor = static_cast<double>(1U << std::min(failures, maxDoublings));
    const absl::Duration limit = std::min(this->longest, this->shortest * factor);
    return limit * std::uniform_real_distribution<double>(0.5, 1.0)(this->random);
}

} // namespace Currantfall::Peering
