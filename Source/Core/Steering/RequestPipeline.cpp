#include "currantfall/Steering/RequestPipeline.h"

#include <algorithm>

namespace Currantfall::Steering {

bool RequestPipeline::mayRead() const
{
    if (this->entries.empty()) {
        return true;
    }
    return !this->entries.back().closing && this->entries.size() < this->limits.requests
           && this->totalBytes < this->limits.bytes;
}

RequestPipeline::Number RequestPipeline::add(PipelineMode mode, std::size_t bytes, bool closing)
{
    this->entries.push_back({ this->nextNumber, mode, bytes, closing, State::Read });
    this->totalBytes += bytes;
    return this->nextNumber++;
}

std::vector<RequestPipeline::Number> RequestPipeline::start()
{
    std::vector<Number> started;
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        Entry &entry = this->entries[index];
        const bool first = index == 0;
        // The response of an earlier request will close the connection.
        if (!first && !this->keepAlive) {
            break;
        }
        if (!first
            && (entry.mode == PipelineMode::Alone
                || this->entries[index - 1].mode == PipelineMode::Alone)) {
            break;
        }
        if (entry.state == State::Read) {
            entry.state = State::Started;
            started.push_back(entry.number);
        }
    }
    return started;
}

void RequestPipeline::finish(Number number, std::size_t bytes)
{
    const auto found
            = std::find_if(this->entries.begin(), this->entries.end(),
                           [number](const Entry &entry) { return entry.number == number; });
    if (found != this->entries.end()) {
        found->state = State::Finished;
        found->bytes += bytes;
        this->totalBytes += bytes;
    }
}

std::optional<RequestPipeline::Number> RequestPipeline::nextResponse() const
{
    if (this->entries.empty() || this->entries.front().state != State::Finished) {
        return std::nullopt;
    }
    return this->entries.front().number;
}

bool RequestPipeline::closesAfterFirst() const
{
    if (this->entries.empty()) {
        return !this->keepAlive;
    }
    // Requests that have been passed on get their responses.
    const bool othersStarted
            = std::any_of(this->entries.begin() + 1, this->entries.end(),
                          [](const Entry &entry) { return entry.state != State::Read; });
    return this->entries.front().closing || (!this->keepAlive && !othersStarted);
}

void RequestPipeline::removeFirst()
{
    if (!this->entries.empty()) {
        this->totalBytes -= this->entries.front().bytes;
        this->entries.pop_front();
    }
}

std::vector<RequestPipeline::Number> RequestPipeline::dropUnstarted()
{
    std::vector<Number> dropped;
    std::erase_if(this->entries, [&](const Entry &entry) {
        if (entry.state != State::Read) {
            return false;
        }
        dropped.push_back(entry.number);
        this->totalBytes -= entry.bytes;
        return true;
    });
    return dropped;
}

} // namespace Currantfall::Steering
