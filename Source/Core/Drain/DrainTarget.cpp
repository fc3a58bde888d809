#include "currantfall/Drain/DrainTarget.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Currantfall::Drain {

namespace {

constexpr std::array allKinds
        = { DrainKind::BackendServer, DrainKind::Vm, DrainKind::Zone, DrainKind::Region };

bool contains(const std::vector<DrainTarget> &drains, DrainKind kind, const std::string &name)
{
    return std::find(drains.begin(), drains.end(), DrainTarget { kind, name }) != drains.end();
}

bool hasBackendServer(const Configuration::Environment &environment, const std::string &name)
{
    for (const Configuration::Service &service : environment.services) {
        for (const Configuration::BackendServer &server : service.backendServers) {
            if (server.name.value() == name) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

std::string toString(DrainKind kind)
{
    switch (kind) {
    case DrainKind::BackendServer:
        return "backend-server";
    case DrainKind::Vm:
        return "vm";
    case DrainKind::Zone:
        return "zone";
    case DrainKind::Region:
        return "region";
    }
    return "backend-server";
}

Common::Result<DrainTarget> DrainTarget::parse(const std::string &kind, const std::string &name)
{
    const auto found = std::find_if(allKinds.begin(), allKinds.end(), [&kind](DrainKind known) {
        return Drain::toString(known) == kind;
    });
    if (found == allKinds.end()) {
        return Common::failure(Common::ErrorCode::InvalidInput, "parse drain target", {},
                               "unknown kind " + kind);
    }
    if (!Common::isValidName(name)) {
        return Common::failure(Common::ErrorCode::InvalidInput, "parse drain target", {},
                               "invalid name " + name);
    }
    return DrainTarget { *found, name };
}

std::string DrainTarget::toString() const
{
    return Drain::toString(this->kind) + " " + this->name;
}

bool exists(const Configuration::Environment &environment, const DrainTarget &target)
{
    switch (target.kind) {
    case DrainKind::BackendServer:
        return hasBackendServer(environment, target.name);
    case DrainKind::Vm:
        return true;
    case DrainKind::Zone:
        return environment.regionOf(Common::ZoneName(target.name)) != nullptr;
    case DrainKind::Region:
        return std::any_of(environment.regions.begin(), environment.regions.end(),
                           [&target](const Configuration::Region &region) {
                               return region.name.value() == target.name;
                           });
    }
    return false;
}

bool isZoneDrained(const Configuration::Environment &environment,
                   const std::vector<DrainTarget> &drains, const Common::ZoneName &zone)
{
    if (contains(drains, DrainKind::Zone, zone.value())) {
        return true;
    }
    const Configuration::Region *const region = environment.regionOf(zone);
    return region != nullptr && contains(drains, DrainKind::Region, region->name.value());
}

bool isVmDrained(const Configuration::Environment &environment,
                 const std::vector<DrainTarget> &drains, const Common::VmName &vm,
                 const Common::ZoneName &zone)
{
    return contains(drains, DrainKind::Vm, vm.value()) || isZoneDrained(environment, drains, zone);
}

bool isBackendServerDrained(const Configuration::Environment &environment,
                            const std::vector<DrainTarget> &drains,
                            const Configuration::BackendServer &server)
{
    return contains(drains, DrainKind::BackendServer, server.name.value())
           || isZoneDrained(environment, drains, server.zone);
}

} // namespace Currantfall::Drain
