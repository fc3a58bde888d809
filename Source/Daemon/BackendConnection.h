#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "currantfall/Common/Mutex.h"
#include "currantfall/Steering/ServerNotice.h"

#include "HttpStream/BoundedClient.h"
#include "Request.h"

namespace Currantfall::Daemon {

/// What an attempt tells about its backend server.
enum class ServerVerdict {
    Unjudged, ///< Nothing: it was not sent, or was cancelled.
    Answered,
    Shed,     ///< The backend server says that it did not run the request.
    Failed,   ///< No connection, a lost connection, or an answer that can't be used.
    TimedOut, ///< No answer by the request's deadline.
};

/// What one attempt at a backend server came to.
struct BackendResult
{
    Common::Answer answer;
    ServerVerdict verdict = ServerVerdict::Unjudged;
    absl::Duration serviceTime = absl::ZeroDuration();
    /// What the answer says about the server itself.
    Steering::ServerNotice notice = {};
    /// When the server's process started; the epoch if the answer does not say.
    absl::Time serverStart = absl::UnixEpoch();
};

/// One warm HTTP connection to a backend server, for one request at a time. execute() belongs to
/// one thread; cancel() may be called from any.
class BackendConnection
{
public:
    /// `address` is "IP:PORT".
    explicit BackendConnection(const std::string &address);
    ~BackendConnection();
    BackendConnection(const BackendConnection &other) = delete;
    BackendConnection &operator=(const BackendConnection &other) = delete;

    /// Sends the request once and reads the whole answer. Never sends it a second time.
    BackendResult execute(const std::string &attempt, const Request &request);

    /// Aborts the execution of `attempt`, if it is the one in progress or the next one. Never
    /// blocks.
    void cancel(const std::string &attempt);

private:
    BackendResult exchange(const std::string &attempt, const Request &request,
                           absl::Duration remaining);
    void requestCancellation(const std::string &attempt);
    void replaceSocket(int descriptor);
    bool wasCancelled(const std::string &attempt) const;
    /// Changes when a new socket is used.
    std::uint64_t socketCount() const;

    std::string address;
    HttpStream::BoundedClient client;
    mutable Common::Mutex mutex;
    std::string current;   // Attempt in progress.
    std::string cancelled; // Attempt cancelled last.
    // Duplicate of the connection's socket. The library's stop() would wait for a connect that is
    // in progress, and the library may close its own descriptor at any time.
    int socket = -1;
    std::uint64_t socketsUsed = 0;
};

} // namespace Currantfall::Daemon
