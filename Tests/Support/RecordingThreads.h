#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace Currantfall::Tests {

/// Threads of callers that run until they are told to stop, and the records that they make.
template<typename Record>
class RecordingThreads
{
public:
    /// Runs `loop` with the index of each thread. It must return soon after stopping() is true.
    void start(std::size_t count, const std::function<void(std::size_t index)> &loop)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->threads.emplace_back([loop, index] { loop(index); });
        }
    }

    bool stopping() const { return this->stopRequested; }

    void add(Record record)
    {
        const std::lock_guard lock(this->mutex);
        this->records.push_back(std::move(record));
        ++this->added;
    }

    std::size_t completed() const { return this->added; }

    /// Ends the threads and returns all records.
    std::vector<Record> finish()
    {
        this->stopRequested = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
        const std::lock_guard lock(this->mutex);
        return this->records;
    }

private:
    std::atomic<bool> stopRequested { false };
    std::atomic<std::size_t> added { 0 };
    std::mutex mutex;
    std::vector<Record> records;
    std::vector<std::thread> threads;
};

} // namespace Currantfall::Tests
