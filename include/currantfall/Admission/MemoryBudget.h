#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <absl/time/time.h>

#include "currantfall/Common/Time.h"

namespace Currantfall::Admission {

struct MemoryBudgetSettings
{
    /// Memory of all holdings together, in bytes.
    std::size_t bytes = 0;
    /// Holdings above this size may only take `largeFraction` of the memory, so that large ones
    /// never leave a small one without any.
    std::size_t smallBytes = std::size_t { 64 } * 1024;
    double largeFraction = 0.9;
    /// A holding that moved fewer bytes per second in the last `progressWindow` is stalled.
    double minProgressPerSecond = 16.0 * 1024;
    absl::Duration progressWindow = absl::Seconds(1);

    friend bool operator==(const MemoryBudgetSettings &left, const MemoryBudgetSettings &right)
            = default;
};

/// When a holding may be revoked.
enum class Revocation {
    Always,      ///< Incomplete: what it holds can be sent again or was not asked for.
    WhenStalled, ///< Complete, and the peer only has to take it.
    Never,       ///< In use.
};

/// A peer, and the memory that it makes the process hold.
struct MemoryOwner
{
    std::size_t bytes = 0;
};
using SharedOwner = std::shared_ptr<MemoryOwner>;

/// Limits the memory that peers can make a process hold, whatever the number of peers.
///
/// If a holding grows over the limit, others are revoked until it fits:
/// - those that are stalled, of the owner with the most memory first, because a peer that holds
///   much and moves little may never end;
/// - if none is stalled, the latest holding of the owners with much memory, because those before it
///   are closer to their end. The holding that grows may itself be the one, but not before complete
///   ones of an owner that has more than twice as much.
///
/// A handle; copies refer to the same budget. Not thread-safe.
class MemoryBudget
{
private:
    struct State;

public:
    /// Memory that one peer makes the process hold. Returned when destroyed.
    class Holding
    {
    public:
        ~Holding();
        Holding(const Holding &) = delete;
        Holding &operator=(const Holding &) = delete;

        /// Changes the size to `bytes`; growth counts as progress. Returns false if the memory is
        /// not available or this holding has been revoked before; its size is zero from then on.
        /// Holdings that are not revoked always are never refused, because their bytes exist.
        bool resize(std::size_t bytes, Common::Instant now);
        /// The peer has moved bytes that do not change the size.
        void noteProgress(std::size_t bytes, Common::Instant now);
        void setRevocation(Revocation wanted);

        std::size_t size() const { return this->bytes; }
        bool revoked() const { return this->isRevoked; }

    private:
        friend class MemoryBudget;
        Holding(std::shared_ptr<State> state, std::function<void()> onRevoked, SharedOwner owner,
                Common::Instant openedAt);
        bool stalled(Common::Instant now) const;
        void setSize(std::size_t size);
        /// Revokes holdings until this one fits. Returns false if that is this one, or none is
        /// left.
        bool makeRoom(Common::Instant now);

        std::shared_ptr<State> state;
        std::function<void()> onRevoked;
        SharedOwner owner;
        Common::Instant openedAt;
        std::size_t bytes = 0;
        /// Bytes that were moved in the window that began at `windowStart`, and in the one before.
        double moved = 0.0;
        double movedBefore = 0.0;
        Common::Instant windowStart;
        Revocation revocation = Revocation::Always;
        bool isRevoked = false;
    };
    using SharedHolding = std::shared_ptr<Holding>;

    explicit MemoryBudget(MemoryBudgetSettings settings);

    /// An empty holding that may always be revoked. `onRevoked` is called when others need its
    /// memory, and must free it. Without `owner` the holding has an owner of its own.
    SharedHolding open(std::function<void()> onRevoked, Common::Instant now,
                       SharedOwner owner = nullptr);
    /// A holding for bytes that are in use. It may exceed the limit.
    SharedHolding openInUse(std::size_t bytes, Common::Instant now, SharedOwner owner = nullptr);
    /// Whether a holding of this size would fit if everything that may be revoked were.
    bool couldHold(std::size_t bytes) const;

    std::size_t used() const;
    /// Number of holdings that were revoked, including those that could not grow.
    std::size_t revocations() const;

private:
    std::shared_ptr<State> state;
};

} // namespace Currantfall::Admission
