#include "currantfall/Admission/RetryBudget.h"

#include <algorithm>

namespace Currantfall::Admission {

namespace {

// Ten additions of 0.1 are slightly less than one.
constexpr double wholeToken = 1.0 - 1e-9;

} // namespace

void RetryBudget::recordFirstAttempt()
{
    this->tokens = std::min(this->settings.maximum, this->tokens + this->settings.ratio);
}

bool RetryBudget::tryRetry()
{
    if (this->tokens < wholeToken) {
        return false;
    }
    this->tokens = std::max(0.0, this->tokens - 1.0);
    return true;
}

} // namespace Currantfall::Admission
