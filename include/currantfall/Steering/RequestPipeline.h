#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Currantfall::Steering {

/// Whether a request may be handled while earlier requests of its connection are in progress.
enum class PipelineMode {
    Parallel, ///< It may be executed several times, so it can be sent again if it is not answered.
    Alone,    ///< It is handled when all earlier requests have been answered, and alone.
};

/// Bounds of what one connection may have in progress.
struct PipelineLimits
{
    std::size_t requests = 16;
    /// Memory of the requests and of the responses that wait for earlier ones.
    std::size_t bytes = std::size_t { 256 } * 1024;

    friend bool operator==(const PipelineLimits &left, const PipelineLimits &right) = default;
};

/// Requests that a caller has sent on one connection and whose responses have not been written
/// completely (HTTP pipelining, RFC 9112 section 9.3.2). Decides when requests are read, when they
/// are handled, and which response is written next: responses have the order of the requests.
///
/// Callers send requests again that were sent behind a response that closes the connection. A
/// request that must not run twice is therefore handled only if no earlier response can close the
/// connection any more.
class RequestPipeline
{
public:
    using Number = std::uint64_t;

    explicit RequestPipeline(PipelineLimits limits) : limits(limits) { }

    /// Whether the next request may be read. One request may always be read, whatever its size.
    bool mayRead() const;
    /// Adds a request that was read and takes `bytes` of memory. `closing`: the connection closes
    /// after its response, so no other request follows.
    Number add(PipelineMode mode, std::size_t bytes, bool closing);
    /// Returns the requests that are to be handled from now on, in order.
    std::vector<Number> start();
    /// The response to a request that was started, or needs no handling, is complete and takes
    /// `bytes` of memory.
    void finish(Number number, std::size_t bytes);
    /// The request whose response can be written now.
    std::optional<Number> nextResponse() const;
    /// Whether the connection closes after the first response.
    bool closesAfterFirst() const;
    /// The first response has been written.
    void removeFirst();
    /// Closes the connection as soon as the requests that have been started are answered.
    void disableKeepAlive() { this->keepAlive = false; }
    /// Removes the requests that have not been started, and returns them.
    std::vector<Number> dropUnstarted();

    bool empty() const { return this->entries.empty(); }
    std::size_t size() const { return this->entries.size(); }

private:
    enum class State {
        Read,
        Started,
        Finished
    };
    struct Entry
    {
        Number number = 0;
        PipelineMode mode = PipelineMode::Alone;
        std::size_t bytes = 0;
        bool closing = false;
        State state = State::Read;
    };

    PipelineLimits limits;
    std::deque<Entry> entries;
    std::size_t totalBytes = 0;
    Number nextNumber = 0;
    bool keepAlive = true;
};

} // namespace Currantfall::Steering
