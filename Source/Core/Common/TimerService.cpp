#include "currantfall/Common/TimerService.h"

#include <utility>

namespace Currantfall::Common {

TimerService::SubscriptionId TimerService::subscribeOnce(Instant due, Callback callback)
{
    return this->insert({ absl::ZeroDuration(), std::move(callback), due });
}

TimerService::SubscriptionId TimerService::subscribeEvery(Instant now, absl::Duration period,
                                                          Callback callback)
{
    return this->insert({ period, std::move(callback), now + period });
}

void TimerService::unsubscribe(SubscriptionId id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return;
    }
    this->dueOrder.erase({ found->second.due.sinceOrigin(), id });
    this->entries.erase(found);
}

void TimerService::advance(Instant now)
{
    while (!this->dueOrder.empty() && this->dueOrder.begin()->first.first <= now.sinceOrigin()) {
        const SubscriptionId id = this->dueOrder.begin()->second;
        this->dueOrder.erase(this->dueOrder.begin());
        const auto found = this->entries.find(id);
        // The callback is copied because it may unsubscribe itself.
        const Callback callback = found->second.callback;
        if (found->second.period > absl::ZeroDuration()) {
            found->second.due = now + found->second.period;
            this->dueOrder.emplace(std::pair(found->second.due.sinceOrigin(), id), id);
        } else {
            this->entries.erase(found);
        }
        callback(now);
    }
}

Instant TimerService::nextDue() const
{
    if (this->dueOrder.empty()) {
        return Instant::infinite();
    }
    return Instant::fromOrigin(this->dueOrder.begin()->first.first);
}

TimerService::SubscriptionId TimerService::insert(Entry entry)
{
    const SubscriptionId id = ++this->lastId;
    this->dueOrder.emplace(std::pair(entry.due.sinceOrigin(), id), id);
    this->entries.emplace(id, std::move(entry));
    return id;
}

} // namespace Currantfall::Common
