#pragma once

#include <cstddef>

#include <tl/expected.hpp>

#include "currantfall/Admission/EntryLimiter.h"
#include "currantfall/Common/Mutex.h"
#include "currantfall/Configuration/Environment.h"

namespace Currantfall::Daemon {

/// The limits of one entry VM on requests and body bytes that it holds, shared by the threads of
/// all ranks: a flood of one rank, tenant or service leaves room for the others. Thread-safe.
class EntryGate
{
public:
    /// Gives its room back when it ends.
    class Permit
    {
    public:
        Permit(EntryGate &gate, Admission::EntryLimiter::Permit permit)
            : gate(&gate), permit(permit)
        { }
        Permit(Permit &&other) noexcept : gate(other.gate), permit(other.permit)
        {
            other.gate = nullptr;
        }
        Permit(const Permit &) = delete;
        Permit &operator=(const Permit &) = delete;
        Permit &operator=(Permit &&) = delete;
        ~Permit();

    private:
        EntryGate *gate;
        Admission::EntryLimiter::Permit permit;
    };

    /// `bytes` limits the bodies held at the same time.
    EntryGate(std::size_t requests, std::size_t bytes);

    /// Applies the ranks and tenants of a document.
    void reconfigure(const Configuration::Environment &environment);

    tl::expected<Permit, Admission::Refusal>
    tryEnter(Common::RankIndex rank, const Admission::FlowKey &flow, std::size_t bytes);

private:
    Admission::EntryLimiterSettings settings;
    Common::Mutex mutex;
    Admission::EntryLimiter limiter;
};

} // namespace Currantfall::Daemon
