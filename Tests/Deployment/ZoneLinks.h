#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Support/ProcessFixture.h"

namespace Currantfall::Tests {

/// Where a VM of the deployment accepts peers.
struct LinkedVm
{
    std::string name;
    std::string zone;
    std::string peerAddress; ///< "IP:PORT".
};

/// Relays between the availability zones of a deployment, and between each zone and the platform.
/// Daemons of a zone are shown peer addresses of relays for the VMs of other zones; links within a
/// zone are direct. A link between zones is dialled from either side, so that both directions are
/// set together.
class ZoneLinks
{
public:
    /// `host(third, fourth)` gives addresses that nothing else uses.
    ZoneLinks(std::vector<std::string> zones, std::vector<LinkedVm> vms, std::string platform,
              const std::function<std::string(int, int)> &host);

    /// Argument of the platform stand-in: peer addresses by the address that a zone dials.
    nlohmann::json platformViews() const;
    /// The platform as daemons of the zone reach it.
    std::string platformOf(const std::string &zone) const;

    /// Starts the relay with the platform running.
    void start();

    /// `settings` as in POST /_control of standin-link, for example {"cut", true}.
    void set(const std::string &zone, const std::string &otherZone,
             const nlohmann::json &settings) const;
    void setPlatform(const std::string &zone, const nlohmann::json &settings) const;
    /// Cuts or heals the zones of one group from all zones outside it, and from the platform.
    void isolate(const std::vector<std::string> &group, bool cut) const;
    /// All links between different zones, but not those to the platform.
    void setAll(const nlohmann::json &settings) const;

private:
    struct Relay
    {
        std::string from; ///< Zone that dials.
        std::string to;   ///< Zone of the VM; empty for the platform.
        std::string vm;
        std::string listen;
        std::string target;
    };

    void apply(const std::function<bool(const Relay &)> &chosen,
               const nlohmann::json &settings) const;

    std::vector<std::string> zones;
    std::string control;
    std::vector<Relay> relays;
    std::unique_ptr<ProcessFixture> process;
};

} // namespace Currantfall::Tests
