#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Credits/CreditTerms.h"

namespace Currantfall::Credits {

struct CreditGranterSettings
{
    /// Fraction of the slots that is never granted.
    double reserve = 0.15;
    /// Largest growth of outstanding credits per interval, as a fraction of the slots.
    double maxStep = 0.1;
    absl::Duration interval = absl::Seconds(1);
    /// Time over which the grantable part of cold slots grows from zero to all.
    absl::Duration slowStart = absl::Seconds(10);
    /// Body bytes/s that traffic of other regions may bring over the link, of which this VM grants
    /// one part in `grantingVms`.
    double linkBytesPerSecond = 0.0;
    double shiftCap = 0.0;
    std::size_t grantingVms = 1;
};

/// Grants requests of other regions on the slots that this VM owns for one service.
///
/// A grant names a number of concurrent requests and a rate. It replaces the holder's previous
/// grant; the granter counts the larger of both until the previous one has expired, because the
/// answer may be lost.
class CreditGranter
{
public:
    explicit CreditGranter(CreditGranterSettings settings);

    /// Slots and how many of them are free or run requests on credits. Newly owned slots are cold.
    void setSlots(Common::Instant now, std::size_t total, std::size_t free);
    void reconfigure(CreditGranterSettings settings);

    /// Answers a holder. Nothing if the request is older than one that was answered already.
    std::optional<CreditGrant> request(Common::Instant now, const Common::VmName &holder,
                                       const CreditRequest &request);

    /// Checks and accounts for a request that arrives on a credit. False if the credit is unknown,
    /// expired or used up; the request is `not-run` then.
    [[nodiscard]] bool begin(Common::Instant now, const Common::VmName &holder, CreditId credit,
                             std::size_t bytes);
    /// A request that began on a credit has ended.
    void end(const Common::VmName &holder, CreditId credit);

    /// Concurrent requests that holders may have, in sum.
    std::size_t outstanding(Common::Instant now) const;
    /// Requests in progress on credits.
    std::size_t inProgress() const { return this->running; }

private:
    struct Grant
    {
        CreditId id = 0;
        std::size_t concurrent = 0;
        double bytesPerSecond = 0.0;
        Common::Instant expires;
    };
    struct Holder
    {
        std::uint64_t sequence = 0;
        std::uint64_t generation = 0;
        std::map<CreditId, Grant> grants;
        std::size_t inProgress = 0;
        absl::flat_hash_map<CreditId, std::size_t> inProgressOf;
    };

    void expire(Common::Instant now);
    std::size_t grantable(Common::Instant now) const;
    std::size_t heldBy(const Holder &holder) const;
    double bytesHeldBy(const Holder &holder) const;

    CreditGranterSettings settings;
    std::size_t totalSlots = 0;
    std::size_t freeSlots = 0;
    std::size_t running = 0;
    CreditId lastCredit = 0;
    Common::Instant coldSince;
    std::size_t warmSlots = 0;
    Common::Instant intervalStart;
    std::size_t grownInInterval = 0;
    std::map<Common::VmName, Holder> holders;
};

} // namespace Currantfall::Credits
