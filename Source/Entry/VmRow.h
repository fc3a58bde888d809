#pragma once

#include <string>

#include "currantfall/Common/Error.h"
#include "currantfall/Membership/Member.h"

namespace Currantfall::Entry {

/// Name of the table of the platform's store in which entry VMs register themselves, keyed by VM
/// name.
extern const std::string vmTable;

/// Registration of an entry VM.
struct RegisteredVm
{
    Membership::ListedVm vm;
    double processorShare = 1.0;

    friend bool operator==(const RegisteredVm &left, const RegisteredVm &right) = default;
};

std::string writeVmRow(const RegisteredVm &vm);
/// Fails with InvalidInput if a field is missing or malformed.
Common::Result<RegisteredVm> readVmRow(const std::string &name, const std::string &value);

} // namespace Currantfall::Entry
