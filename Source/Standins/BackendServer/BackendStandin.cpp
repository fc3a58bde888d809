#include "BackendStandin.h"

#include <algorithm>
#include <utility>

#include <absl/time/clock.h>

namespace Currantfall::BackendStandin {

BackendStandin::BackendStandin(ServerIdentity identity, Behaviour behaviour, std::uint64_t seed,
                               ExecutionLog &log)
    : serverIdentity(std::move(identity)), seed(serverSeed(seed, this->serverIdentity.server)),
      log(log), current(std::move(behaviour)), coldSince(Common::monotonicNow())
{ }

WorkOutcome BackendStandin::run(const RequestIds &ids, std::optional<absl::Duration> deadline)
{
    WorkOutcome outcome;
    const auto attempt = this->start(ids, outcome);
    if (!attempt) {
        return outcome;
    }
    this->log.started(ids);
    const absl::Duration needed
            = outcome.draw.hang ? absl::InfiniteDuration() : outcome.draw.serviceTime;
    const absl::Duration allowed = deadline.value_or(absl::InfiniteDuration());
    const bool interrupted
            = (*attempt)->interrupted.WaitForNotificationWithTimeout(std::min(needed, allowed));
    outcome.result = this->finish(*attempt, interrupted, needed <= allowed);
    if (outcome.result == WorkResult::Ran) {
        this->log.ran(ids);
    }
    return outcome;
}

std::optional<BackendStandin::Attempts::iterator> BackendStandin::start(const RequestIds &ids,
                                                                        WorkOutcome &outcome)
{
    const absl::MutexLock lock(&this->mutex);
    this->counts.lastNewWorkMs = absl::ToUnixMillis(absl::Now());
    const bool full = this->running.size() >= this->serverIdentity.slots;
    if (full) {
        ++this->counts.slotOverruns;
    }
    if (this->current.draining || (full && this->current.shed)) {
        ++this->counts.shed;
        outcome.result = WorkResult::Shed;
        return std::nullopt;
    }
    outcome.answerDelay = this->current.answerDelay;
    outcome.draw = draw(this->current, this->seed, this->sequence++,
                        this->warmth(Common::monotonicNow()));
    Attempt &attempt = this->running.emplace_front();
    attempt.id = ids.attempt;
    attempt.hanging = outcome.draw.hang;
    if (this->stopping && attempt.hanging) {
        attempt.interrupted.Notify();
    }
    ++this->counts.started;
    this->counts.maxInUse = std::max(this->counts.maxInUse, this->running.size());
    this->recordLoad();
    return this->running.begin();
}

WorkResult BackendStandin::finish(Attempts::iterator attempt, bool interrupted, bool complete)
{
    const absl::MutexLock lock(&this->mutex);
    // A cancellation that arrives after the end of the wait, but before this lock, still counts.
    const bool cancelled = interrupted || attempt->interrupted.HasBeenNotified();
    this->running.erase(attempt);
    this->recordLoad();
    if (cancelled) {
        ++this->counts.cancelled;
        return WorkResult::Cancelled;
    }
    if (!complete) {
        ++this->counts.expired;
        return WorkResult::Expired;
    }
    ++this->counts.ran;
    return WorkResult::Ran;
}

bool BackendStandin::cancel(const std::string &attempt)
{
    const absl::MutexLock lock(&this->mutex);
    bool found = false;
    for (Attempt &candidate : this->running) {
        if (candidate.id != attempt) {
            continue;
        }
        found = true;
        if (!candidate.interrupted.HasBeenNotified()) {
            candidate.interrupted.Notify();
        }
    }
    return found;
}

void BackendStandin::stop()
{
    const absl::MutexLock lock(&this->mutex);
    this->stopping = true;
    for (Attempt &attempt : this->running) {
        if (attempt.hanging && !attempt.interrupted.HasBeenNotified()) {
            attempt.interrupted.Notify();
        }
    }
}

Behaviour BackendStandin::behaviour() const
{
    const absl::MutexLock lock(&this->mutex);
    return this->current;
}

void BackendStandin::setBehaviour(const Behaviour &behaviour, bool restartCold)
{
    const absl::MutexLock lock(&this->mutex);
    this->current = behaviour;
    if (restartCold) {
        this->coldSince = Common::monotonicNow();
    }
    this->recordLoad();
}

double BackendStandin::warmth(Common::Instant now) const
{
    if (this->current.coldStart <= absl::ZeroDuration()) {
        return 1.0;
    }
    return std::min(1.0, absl::FDivDuration(now - this->coldSince, this->current.coldStart));
}

std::string BackendStandin::state(Common::Instant now) const
{
    if (this->current.draining) {
        return "draining";
    }
    return this->warmth(now) < 1.0 ? "starting" : "ready";
}

void BackendStandin::recordLoad()
{
    const Common::Instant now = Common::monotonicNow();
    this->loadReport.record(now, { this->running.size(), this->state(now) });
}

nlohmann::json BackendStandin::health() const
{
    const absl::MutexLock lock(&this->mutex);
    const Common::Instant now = Common::monotonicNow();
    LoadReport::Sample sample { this->running.size(), this->state(now) };
    if (this->current.reportLag > absl::ZeroDuration()) {
        sample = this->loadReport.at(now, this->current.reportLag);
    }
    nlohmann::json json { { "state", sample.state },
                          { "in_use", sample.inUse },
                          { "slots", this->serverIdentity.slots } };
    if (this->current.reportInUse >= 0) {
        json["in_use"] = this->current.reportInUse;
    }
    if (!this->current.reportState.empty()) {
        json["state"] = this->current.reportState;
    }
    return json;
}

nlohmann::json BackendStandin::counters() const
{
    const absl::MutexLock lock(&this->mutex);
    return { { "service", this->serverIdentity.service },
             { "server", this->serverIdentity.server },
             { "zone", this->serverIdentity.zone },
             { "slots", this->serverIdentity.slots },
             { "in_use", this->running.size() },
             { "started", this->counts.started },
             { "ran", this->counts.ran },
             { "shed", this->counts.shed },
             { "cancelled", this->counts.cancelled },
             { "expired", this->counts.expired },
             { "slot_overruns", this->counts.slotOverruns },
             { "max_in_use", this->counts.maxInUse },
             { "last_new_work_ms", this->counts.lastNewWorkMs } };
}

} // namespace Currantfall::BackendStandin
