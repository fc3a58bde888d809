#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Entry/StoreStandin.h"
#include "Support/AddressBlock.h"
#include "Support/ProcessFixture.h"
#include "Support/ScriptedBackend.h"

namespace Currantfall::Tests {

/// Limits of the VM and of what its configuration allows callers.
struct VmLimits
{
    int memoryMb = 96;
    int maxDescriptors = 256;
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 8 } * 1024 * 1024;
};

/// The entry VM's process with stand-ins for the platform's store and for the backend servers of
/// one service. It has an idempotent route (/read/) and one that is not idempotent (/write/).
class SingleEntryVm
{
public:
    /// Backend servers answer each request with `responseBytes` bytes.
    explicit SingleEntryVm(VmLimits limits = {}, std::size_t responseBytes = 16);
    ~SingleEntryVm();
    SingleEntryVm(const SingleEntryVm &) = delete;
    SingleEntryVm &operator=(const SingleEntryVm &) = delete;

    const std::string &host() const { return this->vmHost; }
    static constexpr int callersPort = 8641;
    static constexpr int directoryPort = 8644;

    bool running() { return this->process->running(); }
    /// Largest resident memory that the process has had, in bytes.
    std::size_t peakMemory() const;
    std::size_t memoryLimit() const;
    std::size_t openDescriptors() const;
    std::size_t descriptorLimit() const;

    /// Sends bytes over a new connection and returns the status of the response; 0 if the VM closes
    /// the connection before.
    int statusOf(const std::string &request, int port = callersPort) const;
    /// The status of a question to the directory over a new connection.
    int statusOfLookup() const;
    /// The status of a GET without a body over a new connection.
    int statusOfOrdinaryRequest() const;

private:
    std::string address(int network, int index) const;

    VmLimits limits;
    AddressBlock addresses;
    std::string directory;
    std::string vmHost;
    std::unique_ptr<StoreStandin> store;
    std::vector<std::unique_ptr<ScriptedBackend>> servers;
    std::optional<ProcessFixture> process;
};

} // namespace Currantfall::Tests
