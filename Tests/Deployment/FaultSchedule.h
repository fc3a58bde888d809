#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Currantfall::Tests {

enum class FaultKind {
    KillVm,
    StopVm,
    PauseVm,
    PlatformOutage,
    PlatformSlow,
    LoseAnswers,
    Promote,
    Rollback,
    DrainServer,
    DrainVm,
    DrainZone,
    TwoOperators,
    BackendSheds,
    BackendHangs,
    BackendTruncates,
    BackendMismatches,
    BackendCloses,
    BackendMisleads,
    BackendLeaves,
    BackendPauses,
};

std::string toString(FaultKind kind);

/// One fault of a run. Faults may overlap.
struct Fault
{
    FaultKind kind = FaultKind::KillVm;
    std::chrono::milliseconds start { 0 };
    /// Until the VM is started or resumed, the drain is finished, or the stand-in behaves again.
    std::chrono::milliseconds duration { 0 };
    std::string target;  ///< VM, backend server or zone.
    unsigned choice = 0; ///< Selects a variant of the fault.

    nlohmann::json toJson() const;
};

/// The faults of `length`, in the order of their start. They depend on the arguments only. Kinds
/// are dealt from a shuffled deck, so that every kind comes once in each round. Servers that leave
/// and pause come in addition, so that the other faults of a seed are the same with and without.
std::vector<Fault> faultSchedule(std::uint64_t seed, std::chrono::milliseconds length,
                                 std::chrono::milliseconds meanGap);

} // namespace Currantfall::Tests
