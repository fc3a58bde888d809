#include "ElasticThreadPool.h"

#include <utility>

#include <absl/time/time.h>

namespace Currantfall::Daemon {

namespace {

constexpr absl::Duration idleTimeout = absl::Seconds(10);

} // namespace

ElasticThreadPool::ElasticThreadPool(std::size_t mostThreads, std::function<void()> onFull)
    : mostThreads(mostThreads), onFull(std::move(onFull))
{ }

ElasticThreadPool::~ElasticThreadPool()
{
    this->shutdown();
}

void ElasticThreadPool::enqueue(std::function<void()> task)
{
    const Common::MutexLock lock(&this->mutex);
    this->joinFinished();
    this->tasks.push_back(std::move(task));
    if (this->tasks.size() <= this->idle) {
        return;
    }
    if (this->threads.size() < this->mostThreads) {
        this->startThread();
    } else {
        this->onFull();
    }
}

void ElasticThreadPool::shutdown()
{
    Threads remaining;
    {
        const Common::MutexLock lock(&this->mutex);
        this->stopping = true;
        const auto noThreads = [this] { return this->threads.empty(); };
        this->mutex.Await(absl::Condition(&noThreads));
        remaining.swap(this->finished);
    }
    for (std::thread &thread : remaining) {
        thread.join();
    }
}

void ElasticThreadPool::startThread()
{
    this->threads.emplace_front();
    const auto self = this->threads.begin();
    *self = std::thread([this, self] { this->run(self); });
}

void ElasticThreadPool::run(Threads::iterator self)
{
    this->mutex.Lock();
    while (true) {
        ++this->idle;
        this->mutex.AwaitWithTimeout(absl::Condition(this, &ElasticThreadPool::wakeUp),
                                     idleTimeout);
        --this->idle;
        if (this->tasks.empty()) {
            break;
        }
        const std::function<void()> task = std::move(this->tasks.front());
        this->tasks.pop_front();
        this->mutex.Unlock();
        task();
        this->mutex.Lock();
    }
    this->finished.splice(this->finished.begin(), this->threads, self);
    this->mutex.Unlock();
}

void ElasticThreadPool::joinFinished()
{
    // A finished thread has left the critical section for good, so that join() does not wait for it
    // to take the mutex.
    for (std::thread &thread : this->finished) {
        thread.join();
    }
    this->finished.clear();
}

} // namespace Currantfall::Daemon
