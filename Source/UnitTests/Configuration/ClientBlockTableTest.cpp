#include "currantfall/Configuration/ClientBlockTable.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "currantfall/Configuration/DocumentReader.h"

#include "Documents.h"

namespace Currantfall::Configuration {

namespace {

using Block = ClientBlockTable::Block;

std::uint32_t ip(const std::string &text)
{
    return parseIpv4Address(text).value();
}

Block block(const std::string &cidr, ZoneIndex zone)
{
    return { Ipv4Network::parse(cidr).value(), zone };
}

std::optional<ZoneIndex> naiveLookup(const std::vector<Block> &blocks, std::uint32_t address)
{
    const Block *best = nullptr;
    for (const Block &candidate : blocks) {
        const bool longer
                = best == nullptr || candidate.network.prefixLength > best->network.prefixLength;
        if (longer && candidate.network.contains(address)) {
            best = &candidate;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<ZoneIndex>(best->zone);
}

// Networks nest and touch often if they lie in few different places.
Block randomBlock()
{
    const auto length = *rc::gen::element<std::uint8_t>(0, 1, 8, 9, 15, 16, 24, 30, 31, 32);
    const auto top = *rc::gen::element<std::uint32_t>(0, 0x7f, 0x80, 0xff);
    const auto low = *rc::gen::element<std::uint32_t>(0, 1, 2, 3, 0xffff, 0x10000, 0xffffff);
    const std::uint64_t mask = ~std::uint64_t { 0 } << (32U - length);
    const auto address = static_cast<std::uint32_t>(((top << 24U) | low) & mask);
    return { { address, length }, *rc::gen::inRange<ZoneIndex>(0, 3) };
}

} // namespace

TEST_CASE("Malformed networks and addresses are refused")
{
    for (const std::string text :
         { "", "1.2.3.4", "1.2.3.4/33", "1.2.3.0/ 8", "1.2.3.4/31x", "1.2.3/24", "1.2.3.4.5/8",
           "256.0.0.0/8", "01.0.0.0/8", "-1.0.0.0/8", "127.0.0.1/8", "1..2.3/32" }) {
        INFO(text);
        REQUIRE_FALSE(Ipv4Network::parse(text));
    }
    for (const std::string text : { "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "h:80" }) {
        INFO(text);
        REQUIRE_FALSE(Ipv4Endpoint::parse(text));
    }
    REQUIRE(Ipv4Network::parse("0.0.0.0/0")->lastAddress() == UINT32_MAX);
    REQUIRE(Ipv4Network::parse("10.1.2.3/32")->toString() == "10.1.2.3/32");
}

TEST_CASE("A network that occurs twice is refused, because its zone would be arbitrary")
{
    REQUIRE_FALSE(ClientBlockTable::create({ block("10.0.0.0/8", 0), block("10.0.0.0/8", 1) }));
}

TEST_CASE("A client of a zone's block is not sent to the zone of the enclosing block")
{
    const Environment environment = parseEnvironment(exampleText("bellringer")).value();
    const auto table = ClientBlockTable::fromEnvironment(environment).value();
    REQUIRE(zonesInOrder(environment).at(4) == Common::ZoneName("is-a"));
    REQUIRE(table.lookup(ip("127.15.3.4")) == ZoneIndex { 4 });
    REQUIRE(table.lookup(ip("127.9.0.0")) == ZoneIndex { 0 });
    REQUIRE(table.lookup(ip("127.16.3.4")) == ZoneIndex { 5 });
    REQUIRE(table.lookup(ip("127.17.0.0")) == std::nullopt);
    REQUIRE(table.lookup(ip("128.0.0.0")) == std::nullopt);
}

TEST_CASE("The table finds the same zones as a search of all blocks")
{
    rc::prop("longest prefix match", [] {
        std::vector<Block> blocks = *rc::gen::container<std::vector<Block>>(
                rc::gen::exec([] { return randomBlock(); }));
        std::sort(blocks.begin(), blocks.end(), [](const Block &left, const Block &right) {
            return left.network < right.network;
        });
        const auto last = std::unique(blocks.begin(), blocks.end(),
                                      [](const Block &left, const Block &right) {
                                          return left.network == right.network;
                                      });
        blocks.erase(last, blocks.end());
        const auto table = ClientBlockTable::create(blocks);
        RC_ASSERT(table.has_value());
        std::vector<std::uint32_t> addresses { 0, UINT32_MAX };
        for (const Block &block : blocks) {
            const std::uint32_t first = block.network.address;
            const std::uint32_t end = block.network.lastAddress();
            addresses.insert(addresses.end(), { first, first - 1, end, end + 1 });
        }
        for (const std::uint32_t address : addresses) {
            RC_ASSERT(table->lookup(address) == naiveLookup(blocks, address));
        }
    });
}

TEST_CASE("The table of the design size stays within 8 bytes per interval")
{
    constexpr std::uint32_t blockCount = 2'200'000;
    std::vector<Block> blocks;
    blocks.reserve(blockCount);
    for (std::uint32_t index = 0; index < blockCount; ++index) {
        blocks.push_back({ { index << 8U, 24 }, static_cast<ZoneIndex>(index % 55) });
    }
    const auto table = ClientBlockTable::create(std::move(blocks));
    REQUIRE(table);
    REQUIRE(table->intervalCount() == blockCount + 1);
    REQUIRE(table->byteSize() <= 8 * table->intervalCount());
    REQUIRE(table->lookup((1'234'567U << 8U) + 7) == ZoneIndex { 1'234'567 % 55 });
}

} // namespace Currantfall::Configuration
