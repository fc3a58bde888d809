#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <thread>

#include <httplib.h>

#include "currantfall/Common/Mutex.h"

namespace Currantfall::Daemon {

/// Task queue for cpp-httplib that starts threads as connections arrive, up to a limit, and ends
/// them when idle. cpp-httplib's own pool would start all threads of every rank at once.
class ElasticThreadPool : public httplib::TaskQueue
{
public:
    /// `onFull` is called for each task that has to wait because all threads are busy.
    ElasticThreadPool(std::size_t mostThreads, std::function<void()> onFull);
    ~ElasticThreadPool() override;

    void enqueue(std::function<void()> task) override;
    /// Runs the queued tasks, then joins all threads.
    void shutdown() override;

private:
    using Threads = std::list<std::thread>;

    void startThread();
    void run(Threads::iterator self);
    bool wakeUp() const { return this->stopping || !this->tasks.empty(); }
    void joinFinished();

    const std::size_t mostThreads;
    const std::function<void()> onFull;
    Common::Mutex mutex;
    std::deque<std::function<void()>> tasks;
    Threads threads;
    Threads finished;
    std::size_t idle = 0;
    bool stopping = false;
};

} // namespace Currantfall::Daemon
