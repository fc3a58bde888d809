#pragma once

#include <cstddef>
#include <vector>

#include "currantfall/Common/Names.h"

namespace Currantfall::Admission {

/// The ranks of the most recent starts.
class StartWindow
{
public:
    /// Long enough to see a floor of 5% to within 1%, short enough to follow a flood's end.
    static constexpr std::size_t length = 200;

    void record(Common::RankIndex rank);
    /// Fraction (0..1) of the recent starts that belong to ranks before `rank`.
    double shareBefore(Common::RankIndex rank) const;
    std::size_t count(Common::RankIndex rank) const;

private:
    std::vector<Common::RankIndex> ranks;
    std::size_t next = 0;
    std::vector<std::size_t> counts;
};

} // namespace Currantfall::Admission
