#include "currantfall/Admission/AdmissionQueue.h"

#include <algorithm>

namespace Currantfall::Admission {

namespace {

constexpr absl::Duration shortestRetryAfter = absl::Milliseconds(50);
constexpr absl::Duration longestRetryAfter = absl::Seconds(5);
constexpr absl::Duration retryAfterNoCapacity = absl::Seconds(1);
// Keeps the estimate finite for a rank that has got no start for a whole window.
constexpr double leastShare = 0.005;
// More victims than this for one body would trade many requests for one.
constexpr int mostDisplaced = 8;

absl::Duration retryAfterFor(absl::Duration excess)
{
    return std::clamp(excess, shortestRetryAfter, longestRetryAfter);
}

} // namespace

template<QueueDiscipline Discipline>
BasicAdmissionQueue<Discipline>::BasicAdmissionQueue(QueueSettings settings)
    : settings(std::move(settings)), discipline(this->settings.discipline),
      overall(this->settings.initialServiceTime)
{ }

template<QueueDiscipline Discipline>
tl::expected<void, Refusal> BasicAdmissionQueue<Discipline>::offer(Common::Instant now,
                                                                   const QueuedRequest &request)
{
    if (const std::optional<Refusal> refusal = this->lateness(now, request)) {
        return tl::unexpected(*refusal);
    }
    const QueueEntry entry { request, ++this->lastSequence, now };
    if (!this->makeRoom(entry)) {
        const absl::Duration wait = this->expectedWait(request);
        return tl::unexpected(Refusal { Common::Reason::Overloaded, retryAfterFor(wait) });
    }
    const Common::Instant byEstimate
            = request.deadline - this->expectedServiceTime(request.flow.service);
    // A request admitted as a probe starts now although the estimate says that it is too late.
    const Common::Instant latestStart = std::max(byEstimate, now);
    this->discipline.push(entry);
    this->waiting.emplace(request.id, Waiting { entry, latestStart });
    this->expiries.emplace(latestStart.sinceOrigin(), request.id);
    this->waitingBytes += request.bodyBytes;
    return {};
}

template<QueueDiscipline Discipline>
Selection BasicAdmissionQueue<Discipline>::next(Common::Instant now)
{
    this->dropExpired(now);
    for (const QueueEntry &entry : this->discipline.shed(now)) {
        this->takeWaiting(entry.request.id);
        this->report(entry.request, Common::Reason::Overloaded);
    }
    Selection selection;
    selection.dropped = std::exchange(this->dropped, {});
    if (this->freeSlots() == 0) {
        return selection;
    }
    const std::optional<QueueEntry> entry = this->discipline.pop(now);
    if (!entry) {
        return selection;
    }
    this->takeWaiting(entry->request.id);
    this->running.emplace(entry->request.id, entry->request.flow.service);
    this->recentStarts.record(entry->request.rank);
    selection.start = entry->request;
    return selection;
}

template<QueueDiscipline Discipline>
void BasicAdmissionQueue<Discipline>::finished(Common::Instant, RequestId id,
                                               absl::Duration serviceTime)
{
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
        return;
    }
    const auto estimator
            = this->estimators.try_emplace(found->second, this->settings.initialServiceTime).first;
    estimator->second.record(serviceTime);
    this->overall.record(serviceTime);
    this->running.erase(found);
}

template<QueueDiscipline Discipline>
void BasicAdmissionQueue<Discipline>::abandoned(Common::Instant, RequestId id)
{
    this->running.erase(id);
}

template<QueueDiscipline Discipline>
bool BasicAdmissionQueue<Discipline>::cancel(RequestId id)
{
    if (!this->waiting.contains(id)) {
        return false;
    }
    this->discipline.remove(this->takeWaiting(id).entry);
    return true;
}

template<QueueDiscipline Discipline>
void BasicAdmissionQueue<Discipline>::dropAll(Common::Reason reason)
{
    while (!this->expiries.empty()) {
        const Waiting removed = this->takeWaiting(this->expiries.begin()->second);
        this->discipline.remove(removed.entry);
        this->report(removed.entry.request, reason);
    }
}

template<QueueDiscipline Discipline>
void BasicAdmissionQueue<Discipline>::setSlots(Common::Instant, std::size_t slots)
{
    this->settings.slots = slots;
}

template<QueueDiscipline Discipline>
void BasicAdmissionQueue<Discipline>::reconfigure(Common::Instant, QueueSettings newSettings)
{
    newSettings.slots = this->settings.slots;
    this->settings = std::move(newSettings);
    this->discipline = Discipline(this->settings.discipline);
    std::vector<QueueEntry> entries;
    for (const auto &item : this->waiting) {
        entries.push_back(item.second.entry);
    }
    std::sort(entries.begin(), entries.end(), [](const QueueEntry &left, const QueueEntry &right) {
        return left.sequence < right.sequence;
    });
    for (const QueueEntry &entry : entries) {
        this->discipline.push(entry);
    }
}

template<QueueDiscipline Discipline>
std::size_t BasicAdmissionQueue<Discipline>::freeSlots() const
{
    const std::size_t used = this->running.size();
    return used < this->settings.slots ? this->settings.slots - used : 0;
}

template<QueueDiscipline Discipline>
Common::Instant BasicAdmissionQueue<Discipline>::nextExpiry() const
{
    if (this->expiries.empty()) {
        return Common::Instant::infinite();
    }
    return Common::Instant::fromOrigin(this->expiries.begin()->first);
}

template<QueueDiscipline Discipline>
absl::Duration
BasicAdmissionQueue<Discipline>::expectedServiceTime(const Common::ServiceName &service) const
{
    const auto found = this->estimators.find(service);
    return found == this->estimators.end() ? this->settings.initialServiceTime
                                           : found->second.high();
}

template<QueueDiscipline Discipline>
absl::Duration BasicAdmissionQueue<Discipline>::expectedWait(const QueuedRequest &request) const
{
    if (this->settings.slots == 0) {
        return absl::InfiniteDuration();
    }
    const WorkAhead ahead = this->discipline.workAhead(request);
    const double free
            = static_cast<double>(this->settings.slots) - static_cast<double>(this->running.size());
    const double own = ahead.own + 1.0 - free;
    double starts = (ahead.higher + own) / std::max(1.0 - ahead.lowerFloors, leastShare);
    if (ahead.higher > 0.0) {
        // The higher ranks' queues don't tell how much more of them will arrive; what they have
        // taken recently does.
        const double left = 1.0 - this->recentStarts.shareBefore(request.rank);
        starts = std::max(starts, own / std::max({ left, ahead.floor, leastShare }));
    }
    if (ahead.floor > 0.0) {
        starts = std::min(starts, (ahead.own + 1.0 + std::max(0.0, -free)) / ahead.floor);
    }
    return this->timePerStart() * std::max(0.0, starts);
}

template<QueueDiscipline Discipline>
std::optional<Refusal> BasicAdmissionQueue<Discipline>::lateness(Common::Instant now,
                                                                 const QueuedRequest &request) const
{
    if (this->settings.slots == 0) {
        return Refusal { Common::Reason::NoCapacity, retryAfterNoCapacity };
    }
    if (request.deadline <= now) {
        return Refusal { Common::Reason::DeadlineTooShort, absl::ZeroDuration() };
    }
    if (this->running.empty() && this->waiting.empty()) {
        // Without work there are no measurements: an estimate that is too high would refuse
        // everything for ever. One request at a time corrects it.
        return std::nullopt;
    }
    const absl::Duration slack
            = request.deadline - now - this->expectedServiceTime(request.flow.service);
    if (slack < absl::ZeroDuration()) {
        return Refusal { Common::Reason::DeadlineTooShort, absl::ZeroDuration() };
    }
    const absl::Duration wait = this->expectedWait(request);
    if (wait > slack) {
        return Refusal { Common::Reason::Overloaded, retryAfterFor(wait - slack) };
    }
    return std::nullopt;
}

template<QueueDiscipline Discipline>
bool BasicAdmissionQueue<Discipline>::fits(const QueuedRequest &request) const
{
    return this->waiting.size() < this->settings.maxQueued
           && this->waitingBytes + request.bodyBytes <= this->settings.maxQueuedBytes;
}

template<QueueDiscipline Discipline>
bool BasicAdmissionQueue<Discipline>::makeRoom(const QueueEntry &entry)
{
    if (entry.request.bodyBytes > this->settings.maxQueuedBytes || this->settings.maxQueued == 0
        || this->waiting.contains(entry.request.id) || this->running.contains(entry.request.id)) {
        return false;
    }
    for (int displaced = 0; !this->fits(entry.request); ++displaced) {
        if (displaced == mostDisplaced) {
            return false;
        }
        const std::optional<QueueEntry> victim
                = this->discipline.displace(entry, this->settings.maxQueued);
        if (!victim) {
            return false;
        }
        this->takeWaiting(victim->request.id);
        this->report(victim->request, Common::Reason::Overloaded);
    }
    return true;
}

template<QueueDiscipline Discipline>
typename BasicAdmissionQueue<Discipline>::Waiting
BasicAdmissionQueue<Discipline>::takeWaiting(RequestId id)
{
    const auto found = this->waiting.find(id);
    Waiting removed = found->second;
    this->waiting.erase(found);
    this->expiries.erase({ removed.latestStart.sinceOrigin(), id });
    this->waitingBytes -= removed.entry.request.bodyBytes;
    return removed;
}

template<QueueDiscipline Discipline>
void BasicAdmissionQueue<Discipline>::dropExpired(Common::Instant now)
{
    while (!this->expiries.empty() && this->expiries.begin()->first < now.sinceOrigin()) {
        const Waiting removed = this->takeWaiting(this->expiries.begin()->second);
        this->discipline.remove(removed.entry);
        this->report(removed.entry.request, Common::Reason::DeadlineTooShort);
    }
}

template<QueueDiscipline Discipline>
void BasicAdmissionQueue<Discipline>::report(const QueuedRequest &request, Common::Reason reason)
{
    const absl::Duration wait = this->expectedWait(request);
    this->dropped.push_back({ request, { reason, retryAfterFor(wait) } });
}

template<QueueDiscipline Discipline>
absl::Duration BasicAdmissionQueue<Discipline>::timePerStart() const
{
    return this->overall.mean() / static_cast<double>(this->settings.slots);
}

template class BasicAdmissionQueue<RankedFair>;
template class BasicAdmissionQueue<StrictPriority>;
template class BasicAdmissionQueue<WeightedFair>;
template class BasicAdmissionQueue<AdaptiveLifo>;

} // namespace Currantfall::Admission
