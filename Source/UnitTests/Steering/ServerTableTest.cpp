#include "currantfall/Steering/ServerTable.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Currantfall;
using namespace Currantfall::Steering;

// The lists of services and the limits of slots are completed when they are used; they must be
// those of a table that is built anew from the same servers.
TEST_CASE("A table of servers that has changed is the same as one built anew")
{
    rc::check([] {
        ServerTable changed;
        std::map<Common::BackendServerName, BackendServer> servers;
        const int steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            const std::string name = "i-" + std::to_string(*rc::gen::inRange(0, 6));
            const Common::BackendServerName key(name);
            const std::uint64_t before = changed.generation();
            const bool present = servers.contains(key);
            if (*rc::gen::inRange(0, 4) == 0) {
                changed.remove(key);
                servers.erase(key);
                RC_ASSERT((changed.generation() != before) == present);
            } else {
                BackendServer server;
                server.name = key;
                server.service = Common::ServiceName("s" + std::to_string(*rc::gen::inRange(0, 3)));
                server.slots = static_cast<std::uint32_t>(*rc::gen::element(1, 3, 65'535));
                changed.put(server, Common::Instant());
                servers[key] = server;
                RC_ASSERT(changed.generation() != before);
            }
            // Several changes between two uses, or one.
            if (*rc::gen::inRange(0, 3) != 0) {
                continue;
            }
            ServerTable rebuilt;
            for (const auto &[serverName, server] : servers) {
                rebuilt.put(server, Common::Instant());
            }
            RC_ASSERT(changed.size() == servers.size());
            for (int service = 0; service < 3; ++service) {
                const Common::ServiceName serviceName("s" + std::to_string(service));
                const auto &list = changed.ofService(serviceName);
                const auto &expected = rebuilt.ofService(serviceName);
                RC_ASSERT(std::equal(list.begin(), list.end(), expected.begin(), expected.end(),
                                     [](const ServerRecord *left, const ServerRecord *right) {
                                         return left->server() == right->server()
                                                && left->plausibleSlots()
                                                           == right->plausibleSlots();
                                     }));
            }
            for (const auto &[serverName, server] : servers) {
                RC_ASSERT(changed.find(serverName)->plausibleSlots()
                          == rebuilt.find(serverName)->plausibleSlots());
            }
        }
    });
}
