#pragma once

#include <compare>

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace Currantfall::Common {

/// A point on one process's monotonic clock. Values of different processes are not comparable.
class Instant
{
public:
    constexpr Instant() = default;

    /// The instant `sinceOrigin` after the clock's origin.
    static constexpr Instant fromOrigin(absl::Duration sinceOrigin) { return Instant(sinceOrigin); }
    /// An instant later than every other.
    static constexpr Instant infinite() { return Instant(absl::InfiniteDuration()); }

    constexpr absl::Duration sinceOrigin() const { return this->elapsed; }

    friend constexpr bool operator==(Instant left, Instant right)
    {
        return left.elapsed == right.elapsed;
    }
    friend constexpr bool operator<(Instant left, Instant right)
    {
        return left.elapsed < right.elapsed;
    }
    friend constexpr bool operator>(Instant left, Instant right) { return right < left; }
    friend constexpr bool operator<=(Instant left, Instant right) { return !(right < left); }
    friend constexpr bool operator>=(Instant left, Instant right) { return !(left < right); }
    friend constexpr bool operator!=(Instant left, Instant right) { return !(left == right); }
    friend Instant operator+(Instant instant, absl::Duration delta)
    {
        return Instant(instant.elapsed + delta);
    }
    friend Instant operator-(Instant instant, absl::Duration delta)
    {
        return Instant(instant.elapsed - delta);
    }
    friend absl::Duration operator-(Instant left, Instant right)
    {
        return left.elapsed - right.elapsed;
    }

private:
    constexpr explicit Instant(absl::Duration sinceOrigin) : elapsed(sinceOrigin) { }

    absl::Duration elapsed = absl::ZeroDuration();
};

/// The current instant of the system's monotonic clock, which goes on while a VM is suspended: what
/// has lapsed in that time must not be used. Library state machines never call this: they take the
/// time as a value.
Instant monotonicNow();

} // namespace Currantfall::Common
