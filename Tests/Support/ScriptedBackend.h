#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace Currantfall::Tests {

/// How a peer has ended its connection.
enum class PeerClose {
    None,    ///< It has not, or has sent bytes.
    InOrder, ///< What it sent before is delivered.
    Reset    ///< What it sent before may be lost.
};

/// One connection of a scripted server.
class ScriptedConnection
{
public:
    explicit ScriptedConnection(int descriptor) : descriptor(descriptor) { }

    /// The next request, header and body as they arrived; empty if the peer has closed.
    std::string readRequest();
    /// Reads the header only.
    std::string readHeader();
    /// Reads the body that follows a header; nothing if the peer closes before its end.
    std::optional<std::string> readBody(const std::string &header);
    void write(const std::string &bytes);
    /// Waits until the peer closes; true if it did so before `milliseconds` have passed.
    bool closedWithin(int milliseconds);
    /// The same, with the way in which it did so.
    PeerClose awaitClose(int milliseconds);
    /// Sends the end of the stream; the peer's bytes can still be read.
    void closeSending();
    /// Closes with a reset.
    void reset();

private:
    int descriptor;
    std::string buffer;
};

/// A backend server on a loopback port that does what the test's script says, with a thread for
/// each connection.
class ScriptedBackend
{
public:
    using Script = std::function<void(ScriptedConnection &connection)>;

    /// Listens on `address`; port 0 selects a free port. Throws if it can't.
    explicit ScriptedBackend(Script script, const std::string &address = "127.0.0.1",
                             std::uint16_t port = 0);
    ~ScriptedBackend();
    ScriptedBackend(const ScriptedBackend &) = delete;
    ScriptedBackend &operator=(const ScriptedBackend &) = delete;

    std::uint16_t port() const { return this->listenPort; }
    /// From now on connections are refused; open ones stay.
    void stopListening();
    int connections() const { return this->accepted; }

private:
    void accept();

    Script script;
    int listener = -1;
    std::uint16_t listenPort = 0;
    std::atomic<int> accepted { 0 };
    std::mutex mutex;
    std::vector<int> open;
    std::vector<std::thread> workers;
    std::thread acceptor;
};

/// The value of a header in a request's text; empty if there is none.
std::string headerOf(const std::string &request, const std::string &name);

/// A whole response to the request. Each of `headers` ends with a line break.
std::string responseTo(const std::string &request, const std::string &status,
                       const std::string &headers, const std::string &body);

/// The same with a signature.
std::string answerTo(const std::string &request, const std::string &body,
                     const std::string &status = "200 OK", const std::string &headers = "");

} // namespace Currantfall::Tests
