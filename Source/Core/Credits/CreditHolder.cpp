#include "currantfall/Credits/CreditHolder.h"

#include <algorithm>
#include <iterator>

#include "currantfall/Common/Invariant.h"

namespace Currantfall::Credits {

std::optional<CreditRequest> CreditHolder::ask(Common::Instant now, std::size_t wanted,
                                               double wantedBytesPerSecond)
{
    const bool tooEarly = this->lastAsked && now - *this->lastAsked < creditRequestInterval;
    if (wanted == 0 || tooEarly) {
        return std::nullopt;
    }
    std::erase_if(this->askedAt,
                  [now](const auto &item) { return now - item.second >= creditValidity; });
    ++this->lastSequence;
    this->askedAt.emplace(this->lastSequence, now);
    this->lastAsked = now;
    return CreditRequest { this->lastSequence, wanted, wantedBytesPerSecond };
}

void CreditHolder::granted(Common::Instant now, const CreditGrant &grant)
{
    const auto asked = this->askedAt.find(grant.sequence);
    if (asked == this->askedAt.end() || grant.sequence <= this->answeredSequence) {
        return;
    }
    this->answeredSequence = grant.sequence;
    const double saved = this->tokens(now);
    this->credit = grant.credit;
    this->concurrent = grant.concurrent;
    this->bytesPerSecond = grant.bytesPerSecond;
    // Counted from the request, which the granter got later than that.
    this->expires = asked->second + std::min(grant.validity, creditValidity);
    this->tokensAtChange = saved;
    this->changed = now;
    this->askedAt.erase(this->askedAt.begin(), std::next(asked));
}

std::optional<CreditId> CreditHolder::take(Common::Instant now, std::size_t bytes)
{
    const double saved = this->tokens(now);
    if (this->available(now) == 0 || static_cast<double>(bytes) > saved) {
        return std::nullopt;
    }
    this->tokensAtChange = saved - static_cast<double>(bytes);
    this->changed = now;
    ++this->used;
    ++this->takes;
    Common::requireInvariant(
            this->isValid(now) && this->used <= this->concurrent && this->tokensAtChange >= 0.0,
            "credit-holder", "a credit is used before it lapses and within what was granted",
            [&] { return this->describe(now); });
    return this->credit;
}

nlohmann::json CreditHolder::describe(Common::Instant now) const
{
    return { { "credit", this->credit },
             { "concurrent", this->concurrent },
             { "used", this->used },
             { "bytes_per_second", this->bytesPerSecond },
             { "tokens", this->tokensAtChange },
             { "expires_in_ms", absl::ToInt64Milliseconds(this->expires - now) } };
}

void CreditHolder::giveBack(CreditId)
{
    if (this->used > 0) {
        --this->used;
    }
}

void CreditHolder::pause()
{
    // Also ignores answers to requests from before the pause.
    this->askedAt.clear();
    this->concurrent = 0;
    this->bytesPerSecond = 0.0;
    this->tokensAtChange = 0.0;
}

std::size_t CreditHolder::available(Common::Instant now) const
{
    if (!this->isValid(now) || this->used >= this->concurrent) {
        return 0;
    }
    return this->concurrent - this->used;
}

double CreditHolder::tokens(Common::Instant now) const
{
    const absl::Duration elapsed
            = std::max(absl::ZeroDuration(), std::min(now, this->expires) - this->changed);
    const double most = this->bytesPerSecond * absl::ToDoubleSeconds(creditValidity);
    const double earned = this->bytesPerSecond * absl::ToDoubleSeconds(elapsed);
    return std::min(most, this->tokensAtChange + earned);
}

} // namespace Currantfall::Credits
