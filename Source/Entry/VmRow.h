#pragma once

#include <string>

#include "currantfall/Common/Error.h"
#include "currantfall/Membership/Member.h"

namespace Currantfall::Entry {

/// The table of the platform's store in which entry VMs register themselves by name.
extern const std::string vmTable;

/// What an entry VM registers.
struct RegisteredVm
{
    Membership::ListedVm vm;
    double processorShare = 1.0;

    friend bool operator==(const RegisteredVm &left, const RegisteredVm &right) = default;
};

std::string writeVmRow(const RegisteredVm &vm);
/// InvalidInput if a field is missing or malformed.
Common::Result<RegisteredVm> readVmRow(const std::string &name, const std::string &value);

} // namespace Currantfall::Entry
