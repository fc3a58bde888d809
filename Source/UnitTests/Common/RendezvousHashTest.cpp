#include "currantfall/Common/RendezvousHash.h"

#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Currantfall::Common;

namespace {

const std::string &nameOf(const std::string &name)
{
    return name;
}

} // namespace

// Guards against owners that differ between VMs and against needless moves when a VM leaves.
TEST_CASE("The ranking does not depend on the order of candidates nor on absent ones")
{
    REQUIRE(rc::check("stable", [](const std::string &key) {
        auto names = *rc::gen::unique<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        const auto ranked = rankCandidates(key, names, nameOf);
        RC_ASSERT(std::is_permutation(ranked.begin(), ranked.end(), names.begin(), names.end()));
        std::reverse(names.begin(), names.end());
        RC_ASSERT(rankCandidates(key, names, nameOf) == ranked);
        RC_PRE(!names.empty());
        const std::string removed = *rc::gen::elementOf(names);
        std::erase(names, removed);
        auto expected = ranked;
        std::erase(expected, removed);
        RC_ASSERT(rankCandidates(key, names, nameOf) == expected);
        expected.resize(std::min<std::size_t>(expected.size(), 2));
        RC_ASSERT(topCandidates(key, names, 2, nameOf) == expected);
    }));
}

// A change of the hash would make daemons of two versions choose different owners.
TEST_CASE("Weights are those of XXH3-64 seeded with the key")
{
    REQUIRE(rendezvousWeight("key", "vm-1")
            == XXH3_64bits_withSeed("vm-1", 4, XXH3_64bits("key", 3)));
    REQUIRE(rendezvousWeight("key", "vm-1") != rendezvousWeight("key", "vm-2"));
}
