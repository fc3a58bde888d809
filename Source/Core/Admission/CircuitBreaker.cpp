#include "currantfall/Admission/CircuitBreaker.h"

#include <algorithm>

namespace Currantfall::Admission {

CircuitBreaker::CircuitBreaker(Settings settings)
    : settings(settings), openTime(settings.initialOpenTime)
{ }

bool CircuitBreaker::tryAttempt(Common::Instant now)
{
    switch (this->state(now)) {
    case State::Closed:
        return true;
    case State::Open:
        return false;
    case State::HalfOpen:
        break;
    }
    if (this->probing && now < this->probeEnds) {
        return false;
    }
    if (this->probing) {
        this->failed(now);
        return false;
    }
    this->probing = true;
    this->probeEnds = now + this->settings.probeTimeout;
    return true;
}

void CircuitBreaker::attemptNotMade()
{
    this->probing = false;
}

void CircuitBreaker::succeeded()
{
    this->failures = 0;
    this->opened = false;
    this->probing = false;
    this->openTime = this->settings.initialOpenTime;
}

void CircuitBreaker::failed(Common::Instant now)
{
    if (this->opened && !this->probing) {
        // An attempt from before the breaker opened.
        return;
    }
    if (this->probing) {
        this->probing = false;
        this->openTime = std::min(this->openTime * 2, this->settings.longestOpenTime);
        this->open(now);
        return;
    }
    ++this->failures;
    if (this->failures >= this->settings.failuresToOpen) {
        this->open(now);
    }
}

CircuitBreaker::State CircuitBreaker::state(Common::Instant now) const
{
    if (!this->opened) {
        return State::Closed;
    }
    return now < this->openUntil ? State::Open : State::HalfOpen;
}

Common::Instant CircuitBreaker::nextAttempt(Common::Instant now) const
{
    switch (this->state(now)) {
    case State::Closed:
        return now;
    case State::Open:
        return this->openUntil;
    case State::HalfOpen:
        break;
    }
    return this->probing ? std::max(now, this->probeEnds) : now;
}

void CircuitBreaker::open(Common::Instant now)
{
    this->opened = true;
    this->openUntil = now + this->openTime;
}

} // namespace Currantfall::Admission
