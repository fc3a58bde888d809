#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"
#include "currantfall/Platform/HostPort.h"
#include "currantfall/Quotas/QuotaTerms.h"
#include "currantfall/Steering/RetryAllowance.h"
#include "currantfall/Steering/ServerSelector.h"

namespace Currantfall::Entry {

/// Settings of an entry VM that takes its configuration from the platform's store. Read from a JSON
/// file.
struct EntrySettings
{
    Common::VmName vm;
    Common::ZoneName zone;
    Common::RegionName region;
    std::string address; ///< IPv4 address of this VM.
    std::map<Common::ZoneName, Common::RegionName> zones;
    Platform::HostPort callers;
    Platform::HostPort readiness;
    Platform::HostPort directory;
    Platform::HostPort peers;
    Platform::HostPort metrics;
    /// Peer addresses of some VMs, for a start while the store is unavailable. They may be
    /// outdated.
    std::vector<Platform::HostPort> seeds;
    Platform::HostPort store;
    std::size_t memoryBytes = 0;
    std::size_t maxDescriptors = 0;
    /// Processor capacity in cores. Determines how many callers the directory sends to this VM.
    double processorShare = 1.0;
    /// Time from SIGTERM until the process is killed with SIGKILL.
    absl::Duration shutdownGrace;
    /// All VMs start for the first time.
    bool firstStart = false;
    absl::Duration lookupTtlMax;
    /// Time for which a backend server may get requests after it has announced that it leaves. Zero
    /// if the file does not say.
    absl::Duration serverDrainTime;
    Steering::RetryLimits retries;
    Steering::ColdRateLimit cold;
    /// By how much all VMs together may exceed the limit of a tenant; not at all if the file does
    /// not say.
    Quotas::QuotaTolerance quotaTolerance;

    /// Fails with InvalidInput and a message with the invalid field and the expected value. Unknown
    /// fields are ignored.
    static Common::Result<EntrySettings> parse(const std::string &text);
    static Common::Result<EntrySettings> readFile(const std::string &path);

    friend bool operator==(const EntrySettings &left, const EntrySettings &right) = default;
};

} // namespace Currantfall::Entry
