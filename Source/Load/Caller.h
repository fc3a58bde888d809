#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>

#include "Load/BalancerFleet.h"
#include "Load/LookupCache.h"
#include "Load/Results.h"
#include "Load/Settings.h"

namespace Currantfall::Load {

/// Makes the calls of one thread, with one keep-alive connection per address.
class Caller
{
public:
    struct Call
    {
        CallOutcome outcome = CallOutcome::Unreachable;
        std::uint64_t attempts = 0;
        std::uint64_t pauseRefusals = 0;
        std::uint64_t leavingResponses = 0;
    };

    /// Direct calls go through `balancers` if there are any.
    Caller(const Settings &settings, const RequestClass &requestClass, LookupCache &lookups,
           BalancerFleet *balancers = nullptr);

    /// Opens a connection to each entry VM of the lookups and to each backend server that is called
    /// directly; balancers open their own.
    void openConnections();

    /// Calls through an entry VM: the next one after a failed connection, a lost answer that may be
    /// repeated, or not-run; two more tries at most. `number` spreads requests over the clients of
    /// the class.
    Call steered(const std::string &requestId, std::uint64_t number);

    /// Calls a backend server once; `number` spreads requests over the servers.
    Call direct(const std::string &requestId, std::uint64_t number);

private:
    Call balanced(const std::string &requestId, std::uint64_t number);
    Common::Result<std::vector<Entry>> entries(std::uint64_t number);
    httplib::Client &client(const Endpoint &endpoint);
    const std::string &clientAddress(std::uint64_t number) const;
    httplib::Request request(const std::string &requestId, const std::string &path) const;
    /// Makes one attempt and counts in `call` what the response says about the backend server.
    CallOutcome send(httplib::Client &client, const httplib::Request &request,
                     const std::string &requestId, bool isSteered, Call &call) const;
    CallOutcome classify(const httplib::Response &response, const httplib::Request &request,
                         const std::string &requestId, bool isSteered) const;

    const Settings &settings;
    const RequestClass &requestClass;
    LookupCache &lookups;
    BalancerFleet *balancers;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients;
};

} // namespace Currantfall::Load
