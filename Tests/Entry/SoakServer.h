#pragma once

#include <atomic>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "ExecutionLedger.h"
#include "Support/ScriptedBackend.h"

namespace Currantfall::Tests {

/// What a backend server does with a part of its requests.
enum class ServerFault {
    None,
    Sheds,          ///< Refuses and says that it did not run the request.
    Fails,          ///< Runs the request and answers 500.
    LosesAnswer,    ///< Runs the request and resets the connection.
    Truncates,      ///< Breaks off its response.
    SpoilsAnswer,   ///< Sends bytes that are no response.
    AnswersTwice,   ///< Sends a second response after the whole one.
    AnswersEarly,   ///< Answers before it has read a body.
    OmitsLength,    ///< Ends its response by closing the connection.
    OmitsAndResets, ///< The same, but resets the connection in the middle.
    Hangs,
};
inline constexpr int serverFaultCount = static_cast<int>(ServerFault::Hangs) + 1;

/// A backend server that speaks the platform's protocol. It may end and its address be used by
/// another one. Thread-safe.
class SoakServer
{
public:
    /// Who answers at the address.
    struct Identity
    {
        std::string id;
        std::string service;
        std::string zone;
    };

    SoakServer(ExecutionLedger &ledger, Identity identity, const std::string &address,
               std::uint16_t port);

    Identity identity() const;
    /// Another server uses the address from now on.
    void replace(Identity identity);
    void setFault(ServerFault wanted) { this->fault = wanted; }
    /// Number of requests that have arrived.
    unsigned requestCount() const { return this->requests; }
    /// For `duration`, refuses requests and asks for no requests for `pause`.
    void askForPause(std::chrono::milliseconds duration, std::chrono::milliseconds pause);
    /// From now on all responses announce that the server leaves. Ends with replace().
    void announceLeaving() { this->leaving = true; }
    void setWorkMs(int milliseconds) { this->workMs = milliseconds; }

    /// Host of the server's own listener, behind its link.
    const std::string &address() const { return this->listenAddress; }
    /// The server's next entry in the store. `address` is where entry VMs reach it.
    nlohmann::json nextRow(const std::string &address, const std::string &state);

private:
    void serve(ScriptedConnection &connection);
    bool answer(ScriptedConnection &connection, const std::string &header, const Identity &self);
    void run(ScriptedConnection &connection, const std::string &request, const Identity &self,
             ServerFault applied);
    /// Headers that all responses carry.
    std::string ownHeaders(const Identity &self) const;
    /// Time for which the response to a request of now asks for no requests; zero if it does not.
    std::chrono::milliseconds pauseNow() const;
    void checkUnchanged(const std::string &request);

    ExecutionLedger &ledger;
    mutable std::mutex mutex;
    Identity current;
    std::atomic<ServerFault> fault { ServerFault::None };
    std::atomic<int> workMs { 15 };
    std::atomic<unsigned> requests { 0 };
    std::atomic<unsigned> rows { 0 };
    std::atomic<bool> leaving { false };
    SoakClock::time_point refusesUntil;    ///< Guarded by `mutex`.
    std::chrono::milliseconds pause { 0 }; ///< Guarded by `mutex`.
    std::string listenAddress;
    ScriptedBackend backend;
};

} // namespace Currantfall::Tests
