#pragma once

#include <string>

#include "currantfall/Common/Error.h"
#include "currantfall/Membership/Member.h"

namespace Currantfall::Entry {

/// Name of the table of the platform's store in which entry VMs register themselves, keyed by VM
/// name.
extern const std::string vmTable;

/// Bounds of a VM's processor capacity in cores, in settings and rows. The directory compares VMs
/// by it, so that a row out of bounds could take the callers of all other VMs.
constexpr double minProcessorShare = 0.001;
constexpr double maxProcessorShare = 1024;

/// Registration of an entry VM.
struct RegisteredVm
{
    Membership::ListedVm vm;
    double processorShare = 1.0;

    friend bool operator==(const RegisteredVm &left, const RegisteredVm &right) = default;
};

std::string writeVmRow(const RegisteredVm &vm);
/// Fails with InvalidInput if a field is missing, malformed or out of range.
Common::Result<RegisteredVm> readVmRow(const std::string &name, const std::string &value);

} // namespace Currantfall::Entry
