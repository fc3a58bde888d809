#pragma once

#include <compare>
#include <string>
#include <vector>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Drain {

enum class DrainKind {
    BackendServer,
    Vm,
    Zone,
    Region,
};

/// "backend-server", "vm", "zone" or "region", as in the environment row.
std::string toString(DrainKind kind);

/// What an operator takes out of service.
struct DrainTarget
{
    DrainKind kind = DrainKind::BackendServer;
    std::string name;

    /// Reads the kind and name of a drain in the environment row.
    static Common::Result<DrainTarget> parse(const std::string &kind, const std::string &name);

    /// "zone lm-a".
    std::string toString() const;

    // NOLINTNEXTLINE(modernize-use-nullptr): see Common::Name.
    friend auto operator<=>(const DrainTarget &left, const DrainTarget &right) = default;
};

/// True if the document has the target. VMs are not part of the document; they always pass.
bool exists(const Configuration::Environment &environment, const DrainTarget &target);

bool isZoneDrained(const Configuration::Environment &environment,
                   const std::vector<DrainTarget> &drains, const Common::ZoneName &zone);
/// `zone` is the VM's zone.
bool isVmDrained(const Configuration::Environment &environment,
                 const std::vector<DrainTarget> &drains, const Common::VmName &vm,
                 const Common::ZoneName &zone);
bool isBackendServerDrained(const Configuration::Environment &environment,
                            const std::vector<DrainTarget> &drains,
                            const Configuration::BackendServer &server);

} // namespace Currantfall::Drain
