#pragma once

#include <string>

#include "currantfall/Common/Error.h"
#include "currantfall/Membership/Member.h"

namespace Currantfall::Entry {

/// The table of the platform's store in which entry VMs register themselves by name.
extern const std::string vmTable;

std::string writeVmRow(const Membership::ListedVm &vm);
/// InvalidInput if a field is missing or malformed.
Common::Result<Membership::ListedVm> readVmRow(const std::string &name, const std::string &value);

} // namespace Currantfall::Entry
