#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Time.h"
#include "currantfall/Credits/CreditTerms.h"

namespace Currantfall::Credits {

/// One VM's credits from one granter for one service.
class CreditHolder
{
public:
    /// The request to send now, if there is demand and the last one is old enough. `wanted` counts
    /// the concurrent requests that could go to the granter, including those in flight.
    std::optional<CreditRequest> ask(Common::Instant now, std::size_t wanted,
                                     double wantedBytesPerSecond = 0.0);

    /// Ignores answers to other requests than the latest ones, and expired ones.
    void granted(Common::Instant now, const CreditGrant &grant);

    /// Takes room for one request; returns the credit to send with it, or nothing. Bytes that the
    /// granted rate has allowed and that were not used can be saved up for one validity.
    std::optional<CreditId> take(Common::Instant now, std::size_t bytes);
    /// The request that used the credit has ended.
    void giveBack(CreditId credit);

    /// The daemon was paused for longer than the validity: nothing is usable until a new grant.
    void pause();

    /// False once the credit has lapsed; nothing is taken from it then, whatever is in use.
    bool isValid(Common::Instant now) const { return now < this->expires; }
    /// Requests that take() would allow now.
    std::size_t available(Common::Instant now) const;
    /// The rate that may be used now.
    double rate(Common::Instant now) const
    {
        return now < this->expires ? this->bytesPerSecond : 0.0;
    }
    std::size_t inFlight() const { return this->used; }
    /// Requests allowed by take() so far.
    std::uint64_t taken() const { return this->takes; }

private:
    double tokens(Common::Instant now) const;
    nlohmann::json describe(Common::Instant now) const;

    std::uint64_t lastSequence = 0;
    std::uint64_t answeredSequence = 0;
    /// When the requests were made that can still be answered.
    std::map<std::uint64_t, Common::Instant> askedAt;
    std::optional<Common::Instant> lastAsked;
    CreditId credit = 0;
    std::size_t concurrent = 0;
    double bytesPerSecond = 0.0;
    Common::Instant expires;
    double tokensAtChange = 0.0;
    Common::Instant changed;
    std::size_t used = 0;
    std::uint64_t takes = 0;
};

} // namespace Currantfall::Credits
