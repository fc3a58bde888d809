#pragma once

#include <compare>
#include <cstdint>

namespace Currantfall::Steering {

/// Order of the values that one writer gives to a row, from the writer's own counters. Unlike
/// versions of the store, it is comparable across eras.
class WriterOrder
{
public:
    constexpr WriterOrder() = default;
    /// `run` identifies the start of the writer and increases with each start; `number` increases
    /// with each value of the run.
    constexpr WriterOrder(std::int64_t run, std::uint64_t number)
        : runNumber(run), valueNumber(number)
    { }

    constexpr std::int64_t run() const { return this->runNumber; }
    constexpr std::uint64_t number() const { return this->valueNumber; }

    // NOLINTNEXTLINE(modernize-use-nullptr): see Common::Name.
    friend auto operator<=>(const WriterOrder &left, const WriterOrder &right) = default;

private:
    // The order of the members is the order of comparison.
    std::int64_t runNumber = 0;
    std::uint64_t valueNumber = 0;
};

} // namespace Currantfall::Steering
