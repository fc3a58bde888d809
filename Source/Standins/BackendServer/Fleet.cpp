#include "Fleet.h"

#include <utility>

namespace Currantfall::BackendStandin {

namespace {

bool selects(const std::set<std::string> &names, const std::string &name)
{
    return names.empty() || names.count(name) > 0;
}

} // namespace

Fleet::Host::Host(ServerIdentity identity, const FleetOptions &options, ExecutionLog &log)
    : server(std::move(identity), options.behaviour, options.seed, log),
      http([this] { return this->server.behaviour().connectionCost; })
{ }

Common::Result<std::unique_ptr<Fleet>> Fleet::start(const Configuration::Environment &environment,
                                                    const FleetOptions &options)
{
    std::unique_ptr<Fleet> fleet(new Fleet());
    for (const Configuration::Service &service : environment.services) {
        for (const Configuration::BackendServer &server : service.backendServers) {
            if (!selects(options.zones, server.zone.value())
                || !selects(options.servers, server.name.value())) {
                continue;
            }
            fleet->addServer(service, server, options);
        }
    }
    if (fleet->hosts.empty()) {
        return Common::failure(Common::ErrorCode::NotFound, "select backend servers", {},
                               "no backend server of the document has these zones and names");
    }
    for (std::size_t index = 0; index < fleet->hosts.size(); ++index) {
        const std::string &address = fleet->addresses[index];
        const std::size_t colon = address.find(':');
        auto started = fleet->hosts[index]->http.start(address.substr(0, colon),
                                                       std::stoi(address.substr(colon + 1)));
        if (!started) {
            return tl::unexpected(std::move(started.error()));
        }
    }
    return fleet;
}

void Fleet::addServer(const Configuration::Service &service,
                      const Configuration::BackendServer &server, const FleetOptions &options)
{
    ServerIdentity identity { service.name.value(), server.name.value(), server.zone.value(),
                              server.slots };
    auto host = std::make_unique<Host>(std::move(identity), options, this->log);
    addRoutes(host->http, host->server, this->log,
              [this]() -> const Servers & { return this->serverList; });
    this->serverList.push_back(&host->server);
    this->addresses.push_back(server.address);
    this->hosts.push_back(std::move(host));
}

void Fleet::stop()
{
    for (const auto &host : this->hosts) {
        host->server.stop();
    }
    for (const auto &host : this->hosts) {
        host->http.finish();
    }
}

} // namespace Currantfall::BackendStandin
