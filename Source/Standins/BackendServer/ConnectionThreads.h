#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace Currantfall::BackendStandin {

// The stand-in locks with the standard library, because ThreadSanitizer does not see the
// synchronisation inside Debian's Abseil and reports races that do not exist.

/// Runs each connection on a thread of its own up to a limit; more connections wait. Threads of
/// ended connections are used again. The library's own pool has a fixed size, so that idle
/// keep-alive connections would take all its threads.
class ConnectionThreads : public httplib::TaskQueue
{
public:
    explicit ConnectionThreads(std::size_t limit) : limit(limit) { }

    void enqueue(std::function<void()> connection) override
    {
        const std::lock_guard lock(this->mutex);
        this->waiting.push_back(std::move(connection));
        this->changed.notify_one();
        if (this->idle < this->waiting.size() && this->threads.size() < this->limit) {
            this->threads.emplace_back([this] { this->work(); });
        }
    }

    void shutdown() override
    {
        {
            const std::lock_guard lock(this->mutex);
            this->ended = true;
        }
        this->changed.notify_all();
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
                std::unique_lock lock(this->mutex);
                ++this->idle;
                this->changed.wait(lock, [this] { return this->ended || !this->waiting.empty(); });
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

    const std::size_t limit;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> waiting;
    std::vector<std::thread> threads;
    std::size_t idle = 0;
    bool ended = false;
};

} // namespace Currantfall::BackendStandin
