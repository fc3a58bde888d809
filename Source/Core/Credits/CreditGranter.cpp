#include "currantfall/Credits/CreditGranter.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

#include "currantfall/Common/Invariant.h"

namespace Currantfall::Credits {

namespace {

// Sums of fractions of a slot may fall short of a whole one by rounding.
constexpr double roundingError = 1e-9;
constexpr const char *partName = "credit-granter";

std::size_t wholeSlots(double slots)
{
    return static_cast<std::size_t>(std::max(0.0, std::floor(slots + roundingError)));
}

/// The share of a taker that wants `wanted` if `others` want theirs of the same `total`.
double fairShare(double total, double wanted, std::vector<double> others)
{
    std::sort(others.begin(), others.end());
    double left = total;
    std::size_t takers = others.size() + 1;
    for (const double other : others) {
        const double share = left / static_cast<double>(takers);
        if (other >= share) {
            break;
        }
        left -= other;
        --takers;
    }
    return std::min(wanted, left / static_cast<double>(takers));
}

} // namespace

std::string toString(CreditUse use)
{
    switch (use) {
    case CreditUse::Begun:
        return "begun";
    case CreditUse::Unknown:
        return "unknown";
    case CreditUse::Lapsed:
        return "lapsed";
    case CreditUse::UsedUp:
        return "used up";
    }
    return "invalid";
}

CreditGranter::CreditGranter(CreditGranterSettings settings) : settings(settings) { }

void CreditGranter::setSlots(Common::Instant now, std::size_t total, std::size_t free)
{
    if (total != this->totalSlots) {
        this->warmAtChange = std::min(this->warmSlots(now), static_cast<double>(total));
        this->changed = now;
        this->totalSlots = total;
    }
    this->freeSlots = std::min(free, total);
}

void CreditGranter::reconfigure(CreditGranterSettings newSettings)
{
    this->settings = newSettings;
}

std::optional<CreditGrant> CreditGranter::request(Common::Instant now, const Common::VmName &holder,
                                                  const CreditRequest &request)
{
    this->expire(now);
    this->advanceInterval(now);
    Holder &entry = this->holders[holder];
    if (request.sequence <= entry.sequence) {
        return std::nullopt;
    }
    entry.sequence = request.sequence;
    entry.wanted = static_cast<double>(request.wanted);
    entry.wantedBytesPerSecond = request.wantedBytesPerSecond > 0.0
                                         ? request.wantedBytesPerSecond
                                         : std::numeric_limits<double>::max();
    const std::size_t heldBefore = heldBy(now, entry);
    Grant grant;
    grant.concurrent = this->concurrentFor(now, holder, entry);
    grant.bytesPerSecond = grant.concurrent == 0 ? 0.0 : this->rateFor(now, holder, entry);
    grant.expires = now + creditValidity + creditMargin;
    if (grant.concurrent > heldBefore) {
        this->allowance -= static_cast<double>(grant.concurrent - heldBefore);
    }
    const CreditId id = ++this->lastCredit;
    entry.grants.emplace(id, grant);
    this->requireWithinCaps(now, holder, grant);
    return CreditGrant { request.sequence, id, grant.concurrent, grant.bytesPerSecond,
                         creditValidity };
}

CreditUse CreditGranter::begin(Common::Instant now, const Common::VmName &holder, CreditId credit,
                               std::size_t bytes)
{
    this->received += bytes;
    const auto entry = this->holders.find(holder);
    if (entry == this->holders.end()) {
        return CreditUse::Unknown;
    }
    const auto grant = entry->second.grants.find(credit);
    if (grant == entry->second.grants.end()) {
        return CreditUse::Unknown;
    }
    if (now >= grant->second.expires) {
        return CreditUse::Lapsed;
    }
    if (entry->second.inProgress >= grant->second.concurrent) {
        return CreditUse::UsedUp;
    }
    ++entry->second.inProgress;
    ++this->running;
    Common::requireInvariant(
            now < grant->second.expires && entry->second.inProgress <= grant->second.concurrent,
            partName, "a request begins on a credit that is in force and not used up",
            [&] { return this->describe(now); });
    return CreditUse::Begun;
}

void CreditGranter::end(const Common::VmName &holder, CreditId)
{
    const auto entry = this->holders.find(holder);
    if (entry == this->holders.end() || entry->second.inProgress == 0) {
        return;
    }
    Common::requireInvariant(this->running > 0, partName,
                             "no more requests end on credits than began", [&] {
                                 return nlohmann::json { { "holder", holder.value() } };
                             });
    --entry->second.inProgress;
    --this->running;
}

std::size_t CreditGranter::outstanding(Common::Instant now) const
{
    std::size_t result = 0;
    for (const auto &item : this->holders) {
        result += heldBy(now, item.second);
    }
    return result;
}

double CreditGranter::grantableRate() const
{
    return this->settings.linkBytesPerSecond * this->settings.shiftCap
           / static_cast<double>(std::max<std::size_t>(1, this->settings.granters));
}

void CreditGranter::expire(Common::Instant now)
{
    for (auto entry = this->holders.begin(); entry != this->holders.end();) {
        std::erase_if(entry->second.grants,
                      [now](const auto &item) { return item.second.expires <= now; });
        const bool idle = entry->second.grants.empty();
        if (idle) {
            // A restarted holder counts from one again.
            entry->second.sequence = 0;
            entry->second.wanted = 0.0;
            entry->second.wantedBytesPerSecond = 0.0;
        }
        entry = idle && entry->second.inProgress == 0 ? this->holders.erase(entry)
                                                      : std::next(entry);
    }
}

void CreditGranter::advanceInterval(Common::Instant now)
{
    if (now < this->intervalEnds) {
        return;
    }
    const double step = this->settings.maxStep * static_cast<double>(this->totalSlots);
    const double most = std::max(1.0, step);
    // Intervals that have passed without a request count once, for at most one step.
    const double passed
            = 1.0
              + std::floor(absl::FDivDuration(now - this->intervalEnds, this->settings.interval));
    this->allowance = std::min(most, std::max(0.0, this->allowance) + passed * step);
    this->intervalEnds = now + this->settings.interval;
}

double CreditGranter::warmSlots(Common::Instant now) const
{
    const auto total = static_cast<double>(this->totalSlots);
    if (this->settings.slowStart <= absl::ZeroDuration()) {
        return total;
    }
    const double part = absl::FDivDuration(now - this->changed, this->settings.slowStart);
    const double cold = total - this->warmAtChange;
    return this->warmAtChange + cold * std::clamp(part, 0.0, 1.0);
}

std::size_t CreditGranter::grantable(Common::Instant now) const
{
    const double usable = std::min(static_cast<double>(this->freeSlots), this->warmSlots(now));
    const double reserved = this->settings.reserve * static_cast<double>(this->totalSlots);
    return wholeSlots(usable - std::ceil(reserved - roundingError));
}

std::size_t CreditGranter::concurrentFor(Common::Instant now, const Common::VmName &name,
                                         const Holder &holder) const
{
    const auto total = static_cast<double>(this->grantable(now));
    std::vector<double> others;
    double heldByOthers = 0.0;
    for (const auto &[otherName, other] : this->holders) {
        if (otherName != name) {
            others.push_back(other.wanted);
            heldByOthers += static_cast<double>(heldBy(now, other));
        }
    }
    // Rounded up, because several shares of less than one slot would leave slots unused.
    const double fair = std::ceil(fairShare(total, holder.wanted, std::move(others)));
    const double grown = static_cast<double>(heldBy(now, holder)) + this->allowance;
    return wholeSlots(std::min({ fair, total - heldByOthers, grown }));
}

double CreditGranter::rateFor(Common::Instant now, const Common::VmName &name,
                              const Holder &holder) const
{
    const double total = this->grantableRate();
    std::vector<double> others;
    double heldByOthers = 0.0;
    for (const auto &[otherName, other] : this->holders) {
        if (otherName != name) {
            others.push_back(other.wantedBytesPerSecond);
            heldByOthers += rateOf(now, other);
        }
    }
    const double fair = fairShare(total, holder.wantedBytesPerSecond, std::move(others));
    return std::max(0.0, std::min(fair, total - heldByOthers));
}

void CreditGranter::requireWithinCaps(Common::Instant now, const Common::VmName &name,
                                      const Grant &grant) const
{
    std::size_t slots = grant.concurrent;
    double rate = grant.bytesPerSecond;
    for (const auto &[otherName, other] : this->holders) {
        if (otherName != name) {
            slots += heldBy(now, other);
            rate += rateOf(now, other);
        }
    }
    const double cap = this->settings.linkBytesPerSecond * this->settings.shiftCap;
    // What was granted before a cap or the slots were lowered stays granted; nothing is added.
    Common::requireInvariant(grant.concurrent == 0 || slots <= this->totalSlots, partName,
                             "credits are granted within the slots",
                             [&] { return this->describe(now); });
    Common::requireInvariant(grant.bytesPerSecond <= 0.0 || rate <= cap * (1.0 + roundingError),
                             partName, "credits are granted within the shift cap of the link",
                             [&] { return this->describe(now); });
}

nlohmann::json CreditGranter::describe(Common::Instant now) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, holder] : this->holders) {
        list.push_back({ { "vm", name.value() },
                         { "in_progress", holder.inProgress },
                         { "held", heldBy(now, holder) },
                         { "bytes_per_second", rateOf(now, holder) },
                         { "grants", holder.grants.size() } });
    }
    return { { "slots", this->totalSlots },
             { "free", this->freeSlots },
             { "in_progress", this->running },
             { "link_bytes_per_second", this->settings.linkBytesPerSecond },
             { "shift_cap", this->settings.shiftCap },
             { "granters", this->settings.granters },
             { "holders", list } };
}

std::size_t CreditGranter::heldBy(Common::Instant now, const Holder &holder)
{
    std::size_t result = holder.inProgress;
    for (const auto &item : holder.grants) {
        if (item.second.expires > now) {
            result = std::max(result, item.second.concurrent);
        }
    }
    return result;
}

double CreditGranter::rateOf(Common::Instant now, const Holder &holder)
{
    double result = 0.0;
    for (const auto &item : holder.grants) {
        if (item.second.expires > now) {
            result = std::max(result, item.second.bytesPerSecond);
        }
    }
    return result;
}

} // namespace Currantfall::Credits
