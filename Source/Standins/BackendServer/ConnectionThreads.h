#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

namespace Currantfall::BackendStandin {

/// Runs each connection on a thread of its own up to a limit; more connections wait. Threads of
/// ended connections are used again. The library's own pool has a fixed size, so that idle
/// keep-alive connections would take all its threads.
class ConnectionThreads : public httplib::TaskQueue
{
public:
    explicit ConnectionThreads(std::size_t limit) : limit(limit) { }

    void enqueue(std::function<void()> connection) override
    {
        const absl::MutexLock lock(&this->mutex);
        this->waiting.push_back(std::move(connection));
        if (this->idle < this->waiting.size() && this->threads.size() < this->limit) {
            this->threads.emplace_back([this] { this->work(); });
        }
    }

    void shutdown() override
    {
        {
            const absl::MutexLock lock(&this->mutex);
            this->ended = true;
        }
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

private:
    void work()
    {
        while (true) {
            std::function<void()> connection;
            {
                const absl::MutexLock lock(&this->mutex);
                ++this->idle;
                this->mutex.Await(absl::Condition(this, &ConnectionThreads::wakes));
                --this->idle;
                if (this->waiting.empty()) {
                    return;
                }
                connection = std::move(this->waiting.front());
                this->waiting.pop_front();
            }
            connection();
        }
    }

    bool wakes() const { return this->ended || !this->waiting.empty(); }

    const std::size_t limit;
    absl::Mutex mutex;
    std::deque<std::function<void()>> waiting;
    std::vector<std::thread> threads;
    std::size_t idle = 0;
    bool ended = false;
};

} // namespace Currantfall::BackendStandin
