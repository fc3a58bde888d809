#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "currantfall/Admission/MemoryBudget.h"
#include "currantfall/Common/Time.h"

#include "Asio.h"

namespace Currantfall::Entry {

/// Connection state of the caller of a request that is in progress. Cancelling the timer resumes
/// the coroutine that handles the request.
struct CallerState
{
    explicit CallerState(boost::asio::io_context &context,
                         Common::Instant arrivedAt = Common::monotonicNow(),
                         Admission::SharedOwner memoryOwner = nullptr)
        : wakeTimer(context), arrivedAt(arrivedAt), memoryOwner(std::move(memoryOwner))
    { }

    /// The caller has closed its connection.
    void onDisconnected()
    {
        this->disconnected = true;
        this->wakeTimer.cancel();
    }

    /// Whether the caller still waits for the response. Asks the connection, because the event loop
    /// of a busy VM learns late that a caller has closed it.
    bool waits()
    {
        if (!this->responded && !this->disconnected && this->isOpen && !this->isOpen()) {
            this->onDisconnected();
        }
        return !this->disconnected && !this->responded;
    }

    boost::asio::steady_timer wakeTimer;
    /// When the request was received. It may have waited for earlier requests of its connection
    /// since.
    const Common::Instant arrivedAt;
    /// What the caller's connection makes the process hold.
    const Admission::SharedOwner memoryOwner;
    /// Whether the caller's connection is open. Unset once the connection may have been destroyed.
    std::function<bool()> isOpen;
    bool disconnected = false;
    /// The response has been determined. The caller's connection may have been destroyed since.
    bool responded = false;
};
using SharedCaller = std::shared_ptr<CallerState>;

} // namespace Currantfall::Entry
