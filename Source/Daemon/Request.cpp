#include "Request.h"

#include <utility>

#include "currantfall/Common/Invariant.h"

namespace Currantfall::Daemon {

void Completion::complete(Common::Answer result)
{
    const Common::MutexLock lock(&this->mutex);
    Common::requireInvariant(!this->completed, "completion", "a request is completed once", [&] {
        return nlohmann::json { { "first", Common::toString(this->answer.outcome) },
                                { "second", Common::toString(result.outcome) },
                                { "reason", Common::toString(result.reason) },
                                { "message", result.message } };
    });
    this->completed = true;
    if (this->done) {
        return;
    }
    this->answer = std::move(result);
    this->done = true;
}

Common::Answer Completion::await(absl::Duration timeout)
{
    const Common::MutexLock lock(&this->mutex);
    if (!this->mutex.AwaitWithTimeout(absl::Condition(&this->done), timeout)) {
        this->done = true;
        return Common::outcomeUnknown(Common::Reason::TimedOut,
                                      "no answer before the deadline of the request");
    }
    return std::move(this->answer);
}

} // namespace Currantfall::Daemon
