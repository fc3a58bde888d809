#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Mutex.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Common/Outcome.h"
#include "currantfall/Common/Time.h"

namespace Currantfall::Daemon {

/// A request on its way to a backend server. Shared and never changed once made.
struct Request
{
    std::string id; ///< For logs; the same on every hop.
    Common::ServiceName service;
    Common::RankIndex rank = 0;
    Common::TenantName tenant;
    std::string method;
    std::string path; ///< With the query, as the backend server gets it.
    std::vector<Common::Header> headers;
    std::string body;
    std::string key;                 ///< Empty without an idempotency key.
    Common::RegionName callerRegion; ///< Empty if no client block names it.
    bool idempotent = false;
    Common::Instant deadline;
};

using SharedRequest = std::shared_ptr<const Request>;

/// Called exactly once with the answer.
using AnswerHandler = std::function<void(Common::Answer)>;

/// The slot in which a caller's thread waits for its answer.
class Completion
{
public:
    /// Has no effect if await() has given up. Called at most once.
    void complete(Common::Answer result);

    /// Waits until complete() has been called or `timeout` has passed; an answer that comes later
    /// than that is dropped.
    Common::Answer await(absl::Duration timeout);

private:
    Common::Mutex mutex;
    bool done = false;
    bool completed = false; // Unlike `done`, not set when the waiting thread gives up.
    Common::Answer answer;
};

} // namespace Currantfall::Daemon
