#include <unistd.h>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "Support/ProcessFixture.h"

using namespace Currantfall::Tests;

namespace {

/// An entry VM that can reach neither the platform nor a peer.
class IsolatedVm
{
public:
    IsolatedVm()
        : address("127.39." + std::to_string(getpid() / 250 % 250) + "."
                  + std::to_string(getpid() % 250 + 1)),
          process(CURRANTFALLD_PATH, { "--vm", "entry-1", "--zone", "lm-a", "--region",
                                       "lower-mainland", "--environment", "production", "--address",
                                       this->address, "--platform", this->address + ":6999" })
    {
        waitUntil([this] {
            httplib::Client client(this->address, 7009);
            return static_cast<bool>(client.Get("/healthz"));
        });
    }

    std::string address;
    ProcessFixture process;
};

} // namespace

TEST_CASE("A VM without a configuration refuses, and claims not-run only where it knows")
{
    IsolatedVm vm;
    httplib::Client admin(vm.address, 7009);
    CHECK(admin.Get("/healthz")->status == 503);
    httplib::Client caller(vm.address, 7001);
    const auto query = caller.Get("/slotview/availability");
    REQUIRE(query);
    CHECK(query->status == 503);
    CHECK(query->get_header_value("Currantfall-Outcome") == "not-run");
    // Another copy of a keyed request may have run elsewhere.
    const auto booking
            = caller.Post("/bellbook/bookings", { { "Idempotency-Key", "1~entry-2~1~-~0~1.a" } },
                          "x", "text/plain");
    REQUIRE(booking);
    CHECK(booking->get_header_value("Currantfall-Outcome") == "outcome-unknown");
    httplib::Client lookups(vm.address, 7000);
    CHECK(lookups.Get("/v1/lookup?service=bellbook")->status == 503);
}

TEST_CASE("A VM without a configuration stops cleanly")
{
    IsolatedVm vm;
    vm.process.terminate();
    CHECK(vm.process.wait() == 0);
}

TEST_CASE("Unknown, missing and malformed settings end the daemon with exit code 2")
{
    const std::vector<std::vector<std::string>> invalid {
        { "--unknown", "x" },
        { "--vm", "entry-1" },
        { "--vm", "Entry 1", "--zone", "a", "--region", "r", "--environment", "e", "--address",
          "127.0.0.1", "--platform", "127.0.0.1:1" },
        { "--vm", "e", "--zone", "a", "--region", "r", "--environment", "e", "--address", "nowhere",
          "--platform", "127.0.0.1:1" },
        { "--vm", "e", "--zone", "a", "--region", "r", "--environment", "e", "--address",
          "127.0.0.1", "--platform", "127.0.0.1:1", "--port-base", "65530" },
        { "--vm", "e", "--zone", "a", "--region", "r", "--environment", "e", "--address",
          "127.0.0.1", "--platform", "127.0.0.1:1", "--log-level", "loud" },
        { "--vm", "e", "--zone", "a", "--region", "r", "--environment", "e", "--address",
          "127.0.0.1", "--platform", "nowhere" },
    };
    for (const auto &arguments : invalid) {
        ProcessFixture daemon(CURRANTFALLD_PATH, arguments);
        INFO(arguments.back());
        CHECK(daemon.wait() == 2);
    }
}
