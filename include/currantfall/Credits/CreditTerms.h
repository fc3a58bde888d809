#pragma once

#include <cstddef>
#include <cstdint>

#include <absl/time/time.h>

namespace Currantfall::Credits {

/// Names one grant of one granter; 0 means that no credit is needed.
using CreditId = std::uint64_t;

/// How long a holder may use a grant, counted from when it asked.
inline constexpr absl::Duration creditValidity = absl::Seconds(1);
/// How much longer the granter counts it: covers clocks that run at different rates.
inline constexpr absl::Duration creditMargin = absl::Milliseconds(250);
/// Shortest time between two requests of a holder.
inline constexpr absl::Duration creditRequestInterval = absl::Milliseconds(250);

struct CreditRequest
{
    /// Grows with each request of a holder.
    std::uint64_t sequence = 0;
    /// Concurrent requests that the holder could use.
    std::size_t wanted = 0;
    /// Body bytes/s that the holder could use; zero if it does not know.
    double wantedBytesPerSecond = 0.0;

    friend bool operator==(const CreditRequest &left, const CreditRequest &right) = default;
};

struct CreditGrant
{
    /// Of the request that it answers.
    std::uint64_t sequence = 0;
    CreditId credit = 0;
    std::size_t concurrent = 0;
    double bytesPerSecond = 0.0;
    absl::Duration validity = creditValidity;

    friend bool operator==(const CreditGrant &left, const CreditGrant &right) = default;
};

} // namespace Currantfall::Credits
