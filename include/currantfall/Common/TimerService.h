#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Common {

/// Delivers timer callbacks to subscribers in the order of their due times. It has no thread of its
/// own: the owner calls advance() with the current time, which keeps subscribers deterministic.
/// Not thread-safe.
class TimerService
{
public:
    using Callback = std::function<void(Instant now)>;
    using SubscriptionId = std::uint64_t;

    /// Calls `callback` once, at `due` or later.
    SubscriptionId subscribeOnce(Instant due, Callback callback);

    /// Calls `callback` every `period`, first at `now + period`. Periods missed during a pause are
    /// not made up for: the next one is due one period after the late call.
    SubscriptionId subscribeEvery(Instant now, absl::Duration period, Callback callback);

    /// Does nothing if the subscription has ended.
    void unsubscribe(SubscriptionId id);

    /// Runs every callback that is due at `now`. Callbacks may subscribe and unsubscribe.
    void advance(Instant now);

    /// The due time of the next callback, or Instant::infinite().
    Instant nextDue() const;

private:
    struct Entry
    {
        absl::Duration period; // Zero for a single call.
        Callback callback;
        Instant due;
    };

    SubscriptionId insert(Entry entry);

    SubscriptionId lastId = 0;
    absl::flat_hash_map<SubscriptionId, Entry> entries;
    std::map<std::pair<absl::Duration, SubscriptionId>, SubscriptionId> dueOrder;
};

} // namespace Currantfall::Common
