#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <tl/expected.hpp>

#include "currantfall/Admission/AdaptiveLifo.h"
#include "currantfall/Admission/Discipline.h"
#include "currantfall/Admission/RankedFair.h"
#include "currantfall/Admission/ServiceTimeEstimator.h"
#include "currantfall/Admission/StartWindow.h"
#include "currantfall/Admission/StrictPriority.h"
#include "currantfall/Admission/WeightedFair.h"

namespace Currantfall::Admission {

struct QueueSettings
{
    DisciplineSettings discipline;
    /// Requests that may run at the same time.
    std::size_t slots = 0;
    std::size_t maxQueued = 0;
    std::size_t maxQueuedBytes = 0;
    /// Assumed until the first measurement of a service.
    absl::Duration initialServiceTime = absl::Milliseconds(50);
};

/// What the owner does next.
struct Selection
{
    /// The request to start now; it holds a slot until finished() or abandoned().
    std::optional<QueuedRequest> start;
    /// Requests that have left the queue since the last call; each is `not-run`.
    std::vector<DroppedRequest> dropped;
};

/// Queue and slot accounting of one owner. A request is admitted only if it can start early enough
/// to end within its deadline. Every admitted request leaves exactly once: started, dropped or
/// cancelled. AdmissionQueue.cpp instantiates it for every discipline.
template<QueueDiscipline Discipline>
class BasicAdmissionQueue
{
public:
    explicit BasicAdmissionQueue(QueueSettings settings);

    /// Admits or refuses a request. A refused request is `not-run`. Admission may displace a queued
    /// request, which the following next() reports.
    tl::expected<void, Refusal> offer(Common::Instant now, const QueuedRequest &request);

    /// Called until `start` is empty, after each offer(), finished(), abandoned() and setSlots(),
    /// and at nextExpiry().
    Selection next(Common::Instant now);

    /// Frees the slot of a started request and learns its service time.
    void finished(Common::Instant now, RequestId id, absl::Duration serviceTime);
    /// Frees the slot of a started request whose time says nothing about the service.
    void abandoned(Common::Instant now, RequestId id);
    /// Removes a queued request. Returns false if it is not queued (any more).
    bool cancel(RequestId id);

    /// Drops every queued request, for example because the servers have another owner now. The
    /// following next() reports them.
    void dropAll(Common::Reason reason);

    /// May be below the number of slots in use; no request starts then until enough have ended.
    void setSlots(Common::Instant now, std::size_t slots);
    /// Applies another document, except for its slots. Queued requests stay.
    void reconfigure(Common::Instant now, QueueSettings settings);

    std::size_t slots() const { return this->settings.slots; }
    std::size_t inUse() const { return this->running.size(); }
    std::size_t freeSlots() const;
    std::size_t queued() const { return this->waiting.size(); }
    std::size_t queuedBytes() const { return this->waitingBytes; }
    std::size_t queuedOf(Common::RankIndex rank) const { return this->discipline.queuedOf(rank); }
    /// When the next queued request expires.
    Common::Instant nextExpiry() const;
    /// High estimate of a service's time.
    absl::Duration expectedServiceTime(const Common::ServiceName &service) const;
    /// Wait of a request that is offered now.
    absl::Duration expectedWait(const QueuedRequest &request) const;

private:
    struct Waiting
    {
        QueueEntry entry;
        Common::Instant latestStart;
    };
    using ExpiryKey = std::pair<absl::Duration, RequestId>;

    /// Nothing if the request can start early enough.
    std::optional<Refusal> lateness(Common::Instant now, const QueuedRequest &request) const;
    bool fits(const QueuedRequest &request) const;
    bool makeRoom(const QueueEntry &entry);
    Waiting takeWaiting(RequestId id);
    void dropExpired(Common::Instant now);
    void report(const QueuedRequest &request, Common::Reason reason);
    absl::Duration timePerStart() const;

    QueueSettings settings;
    Discipline discipline;
    absl::flat_hash_map<RequestId, Waiting> waiting;
    std::set<ExpiryKey> expiries;
    absl::flat_hash_map<RequestId, Common::ServiceName> running;
    absl::flat_hash_map<Common::ServiceName, ServiceTimeEstimator> estimators;
    ServiceTimeEstimator overall;
    StartWindow recentStarts;
    std::vector<DroppedRequest> dropped;
    std::size_t waitingBytes = 0;
    std::uint64_t lastSequence = 0;
};

extern template class BasicAdmissionQueue<RankedFair>;
extern template class BasicAdmissionQueue<StrictPriority>;
extern template class BasicAdmissionQueue<WeightedFair>;
extern template class BasicAdmissionQueue<AdaptiveLifo>;

using AdmissionQueue = BasicAdmissionQueue<RankedFair>;

} // namespace Currantfall::Admission
