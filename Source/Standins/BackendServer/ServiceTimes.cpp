#include "ServiceTimes.h"

#include <algorithm>
#include <array>
#include <cmath>

#include <xxhash.h>

namespace Currantfall::BackendStandin {

namespace {

// Differs from all purposes of draw().
constexpr std::uint64_t pausePurpose = 1000;

// A number in [0, 1) for one purpose of one request.
double unitInterval(std::uint64_t seed, std::uint64_t sequence, std::uint64_t purpose)
{
    const std::array<std::uint64_t, 2> input { sequence, purpose };
    const std::uint64_t hash = XXH3_64bits_withSeed(input.data(), sizeof(input), seed);
    constexpr unsigned mantissaBits = 53;
    return std::ldexp(static_cast<double>(hash >> (64U - mantissaBits)),
                      -static_cast<int>(mantissaBits));
}

} // namespace

Draw draw(const Behaviour &behaviour, std::uint64_t seed, std::uint64_t sequence, double warmth)
{
    std::uint64_t purpose = 0;
    const auto next = [&] { return unitInterval(seed, sequence, purpose++); };
    Draw result;
    const double exponential = -std::log1p(-next());
    const double scale = behaviour.distribution == Distribution::Fixed ? 1.0 : exponential;
    const double cold = 1.0 + (behaviour.coldFactor - 1.0) * (1.0 - std::clamp(warmth, 0.0, 1.0));
    result.serviceTime = behaviour.serviceTime * scale * cold;
    result.truncate = next() < behaviour.truncate;
    result.hang = next() < behaviour.hang;
    result.closeAfterRun = next() < behaviour.closeAfterRun;
    result.mismatch = next() < behaviour.mismatch;
    return result;
}

bool drawPause(const Behaviour &behaviour, std::uint64_t seed, std::uint64_t arrival)
{
    return unitInterval(seed, arrival, pausePurpose) < behaviour.pause;
}

std::uint64_t serverSeed(std::uint64_t seed, const std::string &server)
{
    return XXH3_64bits_withSeed(server.data(), server.size(), seed);
}

} // namespace Currantfall::BackendStandin
