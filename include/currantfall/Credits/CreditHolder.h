#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <absl/time/time.h>

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
                                     double wantedBytesPerSecond);

    /// Ignores answers to other requests than the latest ones, and expired ones.
    void granted(Common::Instant now, const CreditGrant &grant);

    /// Takes room for one request; returns the credit to send with it, or nothing.
    std::optional<CreditId> take(Common::Instant now, std::size_t bytes);
    /// The request that used the credit has ended.
    void giveBack(CreditId credit);

    /// The daemon was paused for longer than the validity: nothing is usable until a new grant.
    void pause();

    /// Requests that take() would allow now.
    std::size_t available(Common::Instant now) const;
    std::size_t inFlight() const { return this->used; }

private:
    std::uint64_t lastSequence = 0;
    std::uint64_t answeredSequence = 0;
    std::map<std::uint64_t, Common::Instant> askedAt;
    Common::Instant lastAsked;
    bool everAsked = false;
    CreditId credit = 0;
    std::size_t concurrent = 0;
    double bytesPerSecond = 0.0;
    Common::Instant expires;
    double byteTokens = 0.0;
    Common::Instant tokensAt;
    std::size_t used = 0;
};

} // namespace Currantfall::Credits
