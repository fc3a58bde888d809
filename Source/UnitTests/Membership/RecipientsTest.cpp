#include "currantfall/Membership/Recipients.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

using namespace Currantfall::Membership;
using Currantfall::Common::VmName;

namespace {

using Links = std::map<VmName, std::vector<VmName>>;

/// Messages that each VM gets if all that get one for the first time pass it on.
std::map<VmName, int> spread(const Links &links, const VmName &from)
{
    std::map<VmName, int> received { { from, 0 } };
    std::deque<std::pair<VmName, Recipients>> queue;
    const auto send = [&](const VmName &sender, Recipients recipients) {
        recipients.add(sender);
        const auto targets = recipients.addMissing(links.at(sender));
        for (const VmName &target : targets) {
            queue.emplace_back(target, recipients);
        }
    };
    send(from, {});
    while (!queue.empty()) {
        const auto [vm, recipients] = queue.front();
        queue.pop_front();
        if (++received[vm] == 1) {
            send(vm, recipients);
        }
    }
    return received;
}

} // namespace

// Guards against messages that grow with the square of the number of VMs.
TEST_CASE("VMs that are all linked get a message once")
{
    Links links;
    for (int vm = 0; vm < 10; ++vm) {
        for (int peer = 0; peer < 10; ++peer) {
            if (peer != vm) {
                links[VmName("vm-" + std::to_string(vm))].emplace_back("vm-"
                                                                       + std::to_string(peer));
            }
        }
    }
    const auto received = spread(links, VmName("vm-3"));
    REQUIRE(received.size() == 10);
    for (const auto &[vm, count] : received) {
        CHECK(count == (vm == VmName("vm-3") ? 0 : 1));
    }
}

// Guards against VMs that a message does not reach because its first sender has no link to them.
TEST_CASE("A message reaches VMs by way of others")
{
    const Links links { { VmName("a"), { VmName("b") } },
                        { VmName("b"), { VmName("a"), VmName("c"), VmName("d") } },
                        { VmName("c"), { VmName("b"), VmName("d") } },
                        { VmName("d"), { VmName("b"), VmName("c") } } };
    const auto received = spread(links, VmName("a"));
    CHECK(received.at(VmName("c")) == 1);
    CHECK(received.at(VmName("d")) == 1);
}

TEST_CASE("Recipients that come over the wire are known in any order")
{
    Recipients first;
    first.add(VmName("a"));
    first.add(VmName("b"));
    first.add(VmName("a"));
    REQUIRE(first.hashes().size() == 2);
    const Recipients copy({ first.hashes()[1], first.hashes()[0] });
    CHECK(copy == first);
    CHECK(copy.contains(VmName("b")));
    CHECK_FALSE(copy.contains(VmName("c")));
}
