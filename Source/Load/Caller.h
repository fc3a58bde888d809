#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <httplib.h>

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
    };

    Caller(const Settings &settings, const RequestClass &requestClass, LookupCache &lookups);

    /// Opens a connection to each backend server that is called directly and to each entry VM of
    /// the lookups.
    void openConnections();

    /// Calls through an entry VM: the next one after a failed connection, a lost answer that may be
    /// repeated, or not-run; two more tries at most. `number` spreads
    /// requests over the clients of the class.
    Call steered(const std::string &requestId, std::uint64_t number);

    /// Calls a backend server once; `number` spreads requests over the servers.
    Call direct(const std::string &requestId, std::uint64_t number);

private:
    httplib::Client &client(const Endpoint &endpoint);
    const std::string &clientAddress(std::uint64_t number) const;
    httplib::Request request(const std::string &requestId, const std::string &path) const;
    CallOutcome send(const Endpoint &endpoint, const httplib::Request &request,
                     const std::string &requestId, bool isSteered);
    CallOutcome classify(const httplib::Response &response, const httplib::Request &request,
                         const std::string &requestId, bool isSteered) const;

    const Settings &settings;
    const RequestClass &requestClass;
    LookupCache &lookups;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients;
};

} // namespace Currantfall::Load
