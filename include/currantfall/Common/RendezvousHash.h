#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace Currantfall::Common {

/// Rendezvous weight of `candidate` for `key`: XXH3-64 of the candidate, seeded with XXH3-64 of the
/// key. All processes must compute the same value, so it depends on nothing else.
inline std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

/// Returns the name by which a candidate is hashed.
template<typename Function, typename Candidate>
concept CandidateName = requires(const Function &nameOf, const Candidate &candidate)
{
    {
        nameOf(candidate)
        } -> std::convertible_to<std::string_view>;
};

/// The `count` candidates with the highest weights for `key`, best first; all of them if there are
/// fewer. The order does not depend on the order of `candidates`. `nameOf` must return a view into
/// the candidate or a reference to a string of it, not a temporary string.
template<typename Candidate, CandidateName<Candidate> NameOf>
std::vector<Candidate> topCandidates(std::string_view key, std::vector<Candidate> candidates,
                                     std::size_t count, const NameOf &nameOf)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::string_view name = nameOf(candidates[index]);
        order.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), seed), index);
    }
    const auto before = [&](const auto &left, const auto &right) {
        if (left.first != right.first) {
            return left.first > right.first;
        }
        const std::string_view leftName = nameOf(candidates[left.second]);
        const std::string_view rightName = nameOf(candidates[right.second]);
        return leftName < rightName;
    };
    const std::size_t kept = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
                      before);
    std::vector<Candidate> ranked;
    ranked.reserve(kept);
    for (std::size_t position = 0; position < kept; ++position) {
        ranked.push_back(std::move(candidates[order[position].second]));
    }
    return ranked;
}

/// All candidates by descending weight for `key`.
template<typename Candidate, CandidateName<Candidate> NameOf>
std::vector<Candidate> rankCandidates(std::string_view key, std::vector<Candidate> candidates,
                                      const NameOf &nameOf)
{
    const std::size_t count = candidates.size();
    return topCandidates(key, std::move(candidates), count, nameOf);
}

} // namespace Currantfall::Common
