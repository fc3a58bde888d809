#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "BackendStandin.h"
#include "Behaviour.h"
#include "ConnectionServer.h"
#include "ExecutionLog.h"
#include "RequestHandler.h"
#include "currantfall/Common/Error.h"
#include "currantfall/Configuration/Environment.h"

namespace Currantfall::BackendStandin {

struct FleetOptions
{
    /// Only servers of these zones and with these names; empty sets select all.
    std::set<std::string> zones;
    std::set<std::string> servers;
    Behaviour behaviour;
    std::uint64_t seed = 1;
};

/// The backend servers of a document, each on its own address.
class Fleet
{
public:
    /// Fails if nothing is selected or an address can't be bound.
    static Common::Result<std::unique_ptr<Fleet>>
    start(const Configuration::Environment &environment, const FleetOptions &options);

    ~Fleet() { this->stop(); }

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    const Servers &servers() const { return this->serverList; }

    /// Finishes the requests in progress and ends all threads.
    void stop();

private:
    struct Host
    {
        Host(ServerIdentity identity, const FleetOptions &options, ExecutionLog &log);

        BackendStandin server;
        ConnectionServer http;
    };

    Fleet() = default;

    void addServer(const Configuration::Service &service,
                   const Configuration::BackendServer &server, const FleetOptions &options);

    ExecutionLog log;
    Servers serverList;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::string> addresses;
};

} // namespace Currantfall::BackendStandin
