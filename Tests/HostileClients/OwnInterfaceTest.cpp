#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "Crowd.h"
#include "Deployment/DeploymentFixture.h"

// Clients outside the control of the operator at the product's own interface, on one of ten entry
// VMs that may hold 32 MiB of bodies each. In each test a crowd tries to make it hold more. Numbers
// and bounds do not depend on the speed of the machine.

using namespace Currantfall::Tests;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr std::size_t bodyMemory = 32 * mebibyte;
// The memory of the VM, of which a third is for bodies.
constexpr std::size_t vmMemory = 3 * bodyMemory;
// The limit of the service for bodies. Nothing that is not part of a body may be longer.
constexpr std::size_t bodyBytes = 8 * mebibyte;
constexpr std::size_t mostDescriptors = 1024;
constexpr std::size_t crowdSize = 24;
constexpr int urgentPort = 7001;
constexpr int uploadsPort = 7002;

class OwnInterfaceVm
{
public:
    OwnInterfaceVm() : deployment(options()) { }

    EntryVm &vm() { return this->deployment.vm("entry-1"); }

    /// Largest resident memory that the process has had, in bytes.
    std::size_t peakMemory()
    {
        std::ifstream status("/proc/" + std::to_string(this->vm().process->pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6)) * kibibyte;
            }
        }
        return 0;
    }

    std::size_t openDescriptors()
    {
        const std::filesystem::directory_iterator open(
                "/proc/" + std::to_string(this->vm().process->pid()) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(open), end(open)));
    }

    int statusOf(int port, const std::string &path)
    {
        httplib::Client client(this->vm().address, port);
        const auto response = client.Get(path);
        return response ? response->status : 0;
    }

private:
    static DeploymentOptions options()
    {
        DeploymentOptions options;
        options.vmArguments = { "--body-memory-mb", std::to_string(bodyMemory / mebibyte) };
        return options;
    }

    DeploymentFixture deployment;
};

std::string chunkedHead()
{
    return "POST /scrollcast/recordings HTTP/1.1\r\nHost: shop.example\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

/// Returns how many bytes the VM has taken.
std::size_t checkCrowd(OwnInterfaceVm &vm, const std::vector<ClientScript> &scripts)
{
    Crowd crowd(vm.vm().address, uploadsPort, scripts);
    crowd.send();
    REQUIRE(vm.vm().process->running());
    CHECK(vm.statusOf(urgentPort, "/slotview/availability") == 200);
    CHECK(vm.statusOf(uploadsPort, "/scrollcast/") == 200);
    REQUIRE(vm.vm().process->running());
    CHECK(vm.peakMemory() <= vmMemory);
    CHECK(vm.openDescriptors() <= mostDescriptors);
    return crowd.sentBytes();
}

ClientScript largeChunk()
{
    return { chunkedHead() + "800000\r\n", "x", bodyBytes - 1, "" };
}

ClientScript smallChunks()
{
    return { chunkedHead(), "4\r\nxxxx\r\n", bodyBytes / 4 - 1, "4\r\nxxx" };
}

ClientScript trailers()
{
    return { chunkedHead() + "1\r\nx\r\n0\r\n", "T: " + std::string(1000, 't') + "\r\n",
             64 * kibibyte, "" };
}

} // namespace

// Guards against a VM of the own interface that holds several times the bodies it may hold.
TEST_CASE("Own interface: chunked bodies in one large chunk that stop one byte short")
{
    OwnInterfaceVm vm;
    checkCrowd(vm, std::vector<ClientScript>(crowdSize, largeChunk()));
}

// Guards against the same with bodies that grow a few bytes at a time.
TEST_CASE("Own interface: chunked bodies in very small chunks that stop one byte short")
{
    OwnInterfaceVm vm;
    checkCrowd(vm, std::vector<ClientScript>(crowdSize, smallChunks()));
}

// Guards against a caller's thread that reads trailers for as long as they come.
TEST_CASE("Own interface: trailers without end")
{
    OwnInterfaceVm vm;
    const std::size_t taken = checkCrowd(vm, std::vector<ClientScript>(4, trailers()));
    CHECK(taken <= 4 * bodyBytes);
}

// Guards against limits that a single client inside them meets.
TEST_CASE("Own interface: a single body of the largest size is served in calm")
{
    OwnInterfaceVm vm;
    httplib::Client client(vm.vm().address, uploadsPort);
    const auto response = client.Post("/scrollcast/recordings", std::string(bodyBytes, 'x'),
                                      "application/octet-stream");
    REQUIRE(response);
    CHECK(response->status == 200);
}

// Guards against a VM whose limits hold for each kind of client but not for all of them.
TEST_CASE("Own interface: clients of several kinds at once")
{
    OwnInterfaceVm vm;
    std::vector<ClientScript> scripts;
    for (std::size_t number = 0; number < crowdSize / 3; ++number) {
        scripts.push_back(largeChunk());
        scripts.push_back(smallChunks());
        scripts.push_back(trailers());
    }
    checkCrowd(vm, scripts);
}
