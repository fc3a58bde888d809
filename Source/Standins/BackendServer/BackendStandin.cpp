#include "BackendStandin.h"

#include <algorithm>
#include <utility>

namespace Currantfall::BackendStandin {

namespace {

// An infinite wait would overflow the clock.
constexpr absl::Duration longestWait = absl::Hours(24 * 365);

} // namespace

BackendStandin::BackendStandin(ServerIdentity identity, Behaviour behaviour, std::uint64_t seed,
                               ExecutionLog &log)
    : serverIdentity(std::move(identity)), seed(serverSeed(seed, this->serverIdentity.server)),
      log(log), current(std::move(behaviour)), coldSince(Common::monotonicNow())
{ }

WorkOutcome BackendStandin::run(const RequestIds &ids, std::optional<absl::Duration> deadline)
{
    WorkOutcome outcome;
    std::unique_lock lock(this->mutex);
    const auto attempt = this->start(ids, outcome);
    if (!attempt) {
        return outcome;
    }
    this->log.started(ids);
    const absl::Duration needed
            = outcome.draw.hang ? absl::InfiniteDuration() : outcome.draw.serviceTime;
    const absl::Duration allowed = deadline.value_or(absl::InfiniteDuration());
    const absl::Duration wait = std::min({ needed, allowed, longestWait });
    (*attempt)->changed.wait_for(lock, absl::ToChronoNanoseconds(wait),
                                 [&attempt] { return (*attempt)->cancelled; });
    outcome.result = this->finish(*attempt, needed <= allowed);
    if (outcome.result == WorkResult::Ran) {
        this->log.ran(ids);
    }
    return outcome;
}

std::optional<BackendStandin::Attempts::iterator> BackendStandin::start(const RequestIds &ids,
                                                                        WorkOutcome &outcome)
{
    this->counts.lastNewWorkMs = absl::ToUnixMillis(absl::Now());
    const Common::Instant now = Common::monotonicNow();
    this->pauseRecord.onRequest(ids.attempt, now);
    if (drawPause(this->current, this->seed, this->arrivals++)) {
        ++this->counts.shed;
        ++this->counts.paused;
        this->pauseRecord.onRefusal(ids.attempt, now, this->current.pauseTime);
        outcome.result = WorkResult::Shed;
        outcome.pause = this->current.pauseTime;
        return std::nullopt;
    }
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
    outcome.draw = draw(this->current, this->seed, this->sequence++, this->warmth(now));
    Attempt &attempt = this->running.emplace_front();
    attempt.id = ids.attempt;
    attempt.hanging = outcome.draw.hang;
    attempt.cancelled = this->stopping && attempt.hanging;
    ++this->counts.started;
    this->counts.maxInUse = std::max(this->counts.maxInUse, this->running.size());
    this->recordLoad();
    return this->running.begin();
}

WorkResult BackendStandin::finish(Attempts::iterator attempt, bool complete)
{
    const bool cancelled = attempt->cancelled;
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

void BackendStandin::interrupt(Attempt &attempt)
{
    attempt.cancelled = true;
    attempt.changed.notify_one();
}

bool BackendStandin::cancel(const std::string &attempt)
{
    const std::lock_guard lock(this->mutex);
    bool found = false;
    for (Attempt &candidate : this->running) {
        if (candidate.id == attempt) {
            found = true;
            interrupt(candidate);
        }
    }
    return found;
}

void BackendStandin::stop()
{
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    for (Attempt &attempt : this->running) {
        if (attempt.hanging) {
            interrupt(attempt);
        }
    }
}

Behaviour BackendStandin::behaviour() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

void BackendStandin::setBehaviour(const Behaviour &behaviour, bool restartCold)
{
    const std::lock_guard lock(this->mutex);
    if (this->current.leaving && !behaviour.leaving) {
        this->startedAt = std::max(absl::Now(), this->startedAt + absl::Milliseconds(1));
    }
    this->current = behaviour;
    if (restartCold) {
        this->coldSince = Common::monotonicNow();
    }
    this->recordLoad();
}

absl::Time BackendStandin::startTime() const
{
    const std::lock_guard lock(this->mutex);
    return this->startedAt;
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
    const std::lock_guard lock(this->mutex);
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
    const std::lock_guard lock(this->mutex);
    return { { "service", this->serverIdentity.service },
             { "server", this->serverIdentity.server },
             { "zone", this->serverIdentity.zone },
             { "slots", this->serverIdentity.slots },
             { "in_use", this->running.size() },
             { "started", this->counts.started },
             { "ran", this->counts.ran },
             { "shed", this->counts.shed },
             { "paused", this->counts.paused },
             { "max_requests_in_pause", this->pauseRecord.mostRequests() },
             { "cancelled", this->counts.cancelled },
             { "expired", this->counts.expired },
             { "slot_overruns", this->counts.slotOverruns },
             { "max_in_use", this->counts.maxInUse },
             { "last_new_work_ms", this->counts.lastNewWorkMs } };
}

} // namespace Currantfall::BackendStandin
