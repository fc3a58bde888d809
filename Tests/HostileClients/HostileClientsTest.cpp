#include <catch2/catch.hpp>

#include "Crowd.h"
#include "SingleEntryVm.h"

// Clients outside the control of the operator. In each test a crowd tries to make the VM hold more
// than its machine has; the VM must live, stay within its memory and descriptors and answer an
// ordinary request while the crowd's connections are still open. Numbers and bounds do not depend
// on the speed of the machine.

using namespace Currantfall::Tests;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr std::size_t bodyBytes = 8 * mebibyte;
// Bodies of so many clients have twice the memory of the VM.
constexpr std::size_t uploadingClients = 24;

std::string head(const std::string &line, const std::string &fields)
{
    return line + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\n"
           + fields;
}

std::string chunkedHead()
{
    return head("POST /write/1", "Transfer-Encoding: chunked\r\n\r\n");
}

void checkAfterwards(SingleEntryVm &vm)
{
    REQUIRE(vm.running());
    CHECK(vm.statusOfOrdinaryRequest() == 200);
    CHECK(vm.statusOfLookup() == 200);
    REQUIRE(vm.running());
    CHECK(vm.peakMemory() <= vm.memoryLimit());
    CHECK(vm.openDescriptors() <= vm.descriptorLimit());
}

void checkCrowd(SingleEntryVm &vm, const std::vector<ClientScript> &scripts,
                int port = SingleEntryVm::callersPort)
{
    Crowd crowd(vm.host(), port, scripts);
    crowd.send();
    INFO("the crowd sent " << crowd.sentBytes() << " bytes");
    checkAfterwards(vm);
}

} // namespace

TEST_CASE("Trailers without end")
{
    SingleEntryVm vm;
    const ClientScript client { chunkedHead() + "1\r\nx\r\n0\r\n",
                                "T: " + std::string(1000, 't') + "\r\n", 64 * kibibyte, "" };
    checkCrowd(vm, std::vector<ClientScript>(4, client));
}

TEST_CASE("A chunk extension without end")
{
    SingleEntryVm vm;
    const ClientScript client { chunkedHead() + "1;e=", std::string(1024, 'e'), 64 * kibibyte, "" };
    checkCrowd(vm, std::vector<ClientScript>(4, client));
}

TEST_CASE("Chunk extensions of many small chunks")
{
    SingleEntryVm vm;
    const ClientScript client { chunkedHead(), "1;e=" + std::string(4096, 'e') + "\r\nx\r\n",
                                8 * kibibyte, "" };
    checkCrowd(vm, std::vector<ClientScript>(uploadingClients, client));
}

TEST_CASE("Chunked bodies in one large chunk that stop one byte short")
{
    SingleEntryVm vm;
    const ClientScript client { chunkedHead() + "800000\r\n", "x", bodyBytes - 1, "" };
    checkCrowd(vm, std::vector<ClientScript>(uploadingClients, client));
}

TEST_CASE("Chunked bodies in very small chunks that stop one byte short")
{
    SingleEntryVm vm;
    const ClientScript client { chunkedHead(), "4\r\nxxxx\r\n", bodyBytes / 4 - 1, "4\r\nxxx" };
    checkCrowd(vm, std::vector<ClientScript>(uploadingClients, client));
}

TEST_CASE("Chunked bodies that are sent to their end")
{
    SingleEntryVm vm;
    const ClientScript client { chunkedHead(), "10000\r\n" + std::string(0x10000, 'x') + "\r\n",
                                bodyBytes / 0x10000, "0\r\n\r\n" };
    checkCrowd(vm, std::vector<ClientScript>(uploadingClients, client));
}

TEST_CASE("Bodies with a length that stop one byte short")
{
    SingleEntryVm vm;
    const ClientScript client { head("POST /write/1", "Content-Length: 8388608\r\n\r\n"), "x",
                                bodyBytes - 1, "" };
    checkCrowd(vm, std::vector<ClientScript>(uploadingClients, client));
}

TEST_CASE("Heads of many small fields that do not end")
{
    VmLimits limits;
    limits.maxDescriptors = 1024;
    SingleEntryVm vm(limits);
    const ClientScript client { head("GET /read/1", ""), "a:\r\n", 4000, "" };
    checkCrowd(vm, std::vector<ClientScript>(400, client));
}

TEST_CASE("Heads without end")
{
    SingleEntryVm vm;
    const ClientScript client { head("GET /read/1", ""), "Field: value\r\n", mebibyte, "" };
    checkCrowd(vm, std::vector<ClientScript>(uploadingClients, client));
}

TEST_CASE("Pipelined requests whose responses are not read")
{
    VmLimits limits;
    limits.maxDescriptors = 4096;
    SingleEntryVm vm(limits, mebibyte);
    const ClientScript client { "", head("GET /read/1", "\r\n"), 16, "" };
    checkCrowd(vm, std::vector<ClientScript>(40, client));
}

TEST_CASE("Connections that only open")
{
    SingleEntryVm vm;
    checkCrowd(vm, std::vector<ClientScript>(400, ClientScript()));
}

TEST_CASE("Trailers without end at the directory")
{
    SingleEntryVm vm;
    const ClientScript client { "GET /resolve HTTP/1.1\r\nHost: shop.example\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                                "T: " + std::string(1000, 't') + "\r\n", 64 * kibibyte, "" };
    checkCrowd(vm, std::vector<ClientScript>(4, client), SingleEntryVm::directoryPort);
}

TEST_CASE("Connections to the directory that only open")
{
    SingleEntryVm vm;
    checkCrowd(vm, std::vector<ClientScript>(400, ClientScript()), SingleEntryVm::directoryPort);
}

TEST_CASE("Chunk sizes that overflow")
{
    SingleEntryVm vm;
    std::vector<ClientScript> scripts;
    for (const std::string size :
         { "8000000000000000", "ffffffffffffffff", "7fffffffffffffff", "10000000000000000",
           "fffffffffffffffffffffffff", "-1", "0x10", "" }) {
        scripts.push_back({ chunkedHead() + size + "\r\n", "x", mebibyte, "" });
    }
    checkCrowd(vm, scripts);
}

TEST_CASE("A single body of the largest size is served in calm")
{
    SingleEntryVm vm;
    std::string request = chunkedHead();
    SECTION("in large chunks, with a trailer")
    {
        request += "800000\r\n" + std::string(bodyBytes, 'x') + "\r\n0\r\nT: t\r\n\r\n";
    }
    SECTION("in very small chunks")
    {
        for (std::size_t sent = 0; sent < bodyBytes; sent += 16) {
            request += "10\r\nxxxxxxxxxxxxxxxx\r\n";
        }
        request += "0\r\n\r\n";
    }
    SECTION("with a length")
    {
        request = head("POST /write/1", "Content-Length: 8388608\r\n\r\n")
                  + std::string(bodyBytes, 'x');
    }
    CHECK(vm.statusOf(request) == 200);
    checkAfterwards(vm);
}
