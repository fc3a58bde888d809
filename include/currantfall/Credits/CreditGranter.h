#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

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
    /// Body bytes/s of the link: `shiftCap` of it may be used by traffic of other regions, of which
    /// this granter grants one part in `granters`. With several links, the smallest one counts.
    double linkBytesPerSecond = 0.0;
    double shiftCap = 0.0;
    /// Granters of the region: its VMs times its services.
    std::size_t granters = 1;
};

/// What became of a credit that came with a request.
enum class CreditUse {
    Begun,
    Unknown, ///< Never granted to this holder, or lapsed and forgotten.
    Lapsed,
    UsedUp, ///< The holder has as many requests in progress as the credit allows.
};

std::string toString(CreditUse use);

/// Grants requests of other regions on the slots that this VM owns for one service.
///
/// A grant names a number of concurrent requests and a rate. It replaces the holder's previous
/// grant; the granter counts the larger of both until the previous one has expired, because the
/// answer may be lost. If holders want more than there is, each gets its max-min fair share.
class CreditGranter
{
public:
    explicit CreditGranter(CreditGranterSettings settings);

    /// Slots, and how many of them no work of the own region uses: those that are free or run
    /// requests on credits. Newly owned slots are cold.
    void setSlots(Common::Instant now, std::size_t total, std::size_t free);
    void reconfigure(CreditGranterSettings settings);

    /// Answers a holder. Nothing if the request is not newer than one that was answered already and
    /// whose grant has not expired.
    std::optional<CreditGrant> request(Common::Instant now, const Common::VmName &holder,
                                       const CreditRequest &request);

    /// Checks and accounts for a request that arrives on a credit. Unless it has begun, the request
    /// is `not-run`. `bytes` have already used the link; the holder keeps them within its rate.
    [[nodiscard]] CreditUse begin(Common::Instant now, const Common::VmName &holder,
                                  CreditId credit, std::size_t bytes);
    /// A request that began on a credit has ended.
    void end(const Common::VmName &holder, CreditId credit);

    /// Concurrent requests that holders may have, in sum.
    std::size_t outstanding(Common::Instant now) const;
    /// Requests in progress on credits.
    std::size_t inProgress() const { return this->running; }
    /// Body bytes/s of this granter's part of the link cap.
    double grantableRate() const;
    /// Body bytes received on credits.
    std::uint64_t bytesReceived() const { return this->received; }

private:
    struct Grant
    {
        std::size_t concurrent = 0;
        double bytesPerSecond = 0.0;
        Common::Instant expires;
    };
    struct Holder
    {
        std::uint64_t sequence = 0;
        double wanted = 0.0;
        double wantedBytesPerSecond = 0.0;
        std::map<CreditId, Grant> grants;
        std::size_t inProgress = 0;
    };
    using Holders = std::map<Common::VmName, Holder>;

    void expire(Common::Instant now);
    void advanceInterval(Common::Instant now);
    double warmSlots(Common::Instant now) const;
    std::size_t grantable(Common::Instant now) const;
    std::size_t concurrentFor(Common::Instant now, const Common::VmName &name,
                              const Holder &holder) const;
    double rateFor(Common::Instant now, const Common::VmName &name, const Holder &holder) const;
    /// After a grant: it fits into what the slots and the link allow.
    void requireWithinCaps(Common::Instant now, const Common::VmName &name,
                           const Grant &grant) const;
    nlohmann::json describe(Common::Instant now) const;
    static std::size_t heldBy(Common::Instant now, const Holder &holder);
    static double rateOf(Common::Instant now, const Holder &holder);

    CreditGranterSettings settings;
    std::size_t totalSlots = 0;
    std::size_t freeSlots = 0;
    std::size_t running = 0;
    std::uint64_t received = 0;
    CreditId lastCredit = 0;
    double warmAtChange = 0.0;
    Common::Instant changed;
    Common::Instant intervalEnds;
    /// Growth that is still allowed in this interval; parts of a slot add up over intervals.
    double allowance = 0.0;
    Holders holders;
};

} // namespace Currantfall::Credits
