#include "currantfall/Peering/FrameCodec.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace Currantfall;
using namespace Currantfall::Peering;

namespace {

Wire::MessageT heartbeat(const std::string &vm, std::uint64_t sequence)
{
    Wire::HeartbeatT value;
    value.vm = vm;
    value.sequence = sequence;
    Wire::MessageT message;
    message.body.Set(std::move(value));
    return message;
}

Wire::MessageT forward(const std::string &path, const std::vector<std::uint8_t> &body)
{
    Wire::ForwardRequestT value;
    value.path = path;
    value.body = body;
    Wire::MessageT message;
    message.body.Set(std::move(value));
    return message;
}

std::string header(std::uint32_t length, std::uint16_t version)
{
    std::string bytes = encodeFrame(version, LinkClass::Bulk, heartbeat("a", 1));
    bytes.resize(frameHeaderBytes);
    for (std::size_t index = 0; index < 4; ++index) {
        bytes[index] = static_cast<char>((length >> (8 * index)) & 0xFFU);
    }
    return bytes;
}

/// Reads frames until more bytes are needed or an error occurs; empty on an error.
std::optional<std::vector<Frame>> readAll(FrameReader &reader)
{
    std::vector<Frame> frames;
    while (true) {
        auto frame = reader.next();
        if (!frame) {
            return std::nullopt;
        }
        if (!*frame) {
            return frames;
        }
        frames.push_back(std::move(**frame));
    }
}

void requireError(FrameReader &reader, Common::ErrorCode code)
{
    const auto frame = reader.next();
    REQUIRE_FALSE(frame.has_value());
    REQUIRE(frame.error().code() == code);
    REQUIRE(frame.error().peer() == "vm-b");
    REQUIRE_FALSE(frame.error().step().empty());
}

} // namespace

// Guards against messages that depend on how TCP splits the stream.
TEST_CASE("Messages survive any split of the byte stream")
{
    REQUIRE(rc::check("round trip", [](const std::vector<std::string> &paths,
                                       const std::vector<std::uint8_t> &body) {
        std::string stream;
        for (const std::string &path : paths) {
            stream += encodeFrame(protocolVersion, LinkClass::Bulk, forward(path, body));
        }
        FrameReader reader(protocolVersion);
        std::vector<Frame> frames;
        while (!stream.empty()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
            reader.append(std::string_view(stream).substr(0, size));
            stream.erase(0, size);
            auto more = readAll(reader);
            RC_ASSERT(more.has_value());
            std::move(more->begin(), more->end(), std::back_inserter(frames));
        }
        RC_ASSERT(reader.finish().has_value());
        RC_ASSERT(frames.size() == paths.size());
        for (std::size_t index = 0; index < frames.size(); ++index) {
            RC_ASSERT(frames[index].linkClass == LinkClass::Bulk);
            const Wire::ForwardRequestT *request = frames[index].message->body.AsForwardRequest();
            RC_ASSERT(request != nullptr);
            RC_ASSERT(request->path == paths[index]);
            RC_ASSERT(request->body == body);
        }
    }));
}

// Guards against crashes and messages without a body after corruption; the sanitizer builds run it
// as well.
TEST_CASE("Corrupt bytes give an error or a valid message")
{
    REQUIRE(rc::check("corrupt", [](const std::string &path,
                                    const std::vector<std::uint8_t> &body) {
        std::string stream = encodeFrame(protocolVersion, LinkClass::Bulk, forward(path, body));
        const auto changes = *rc::gen::inRange<int>(1, 8);
        for (int change = 0; change < changes; ++change) {
            stream[*rc::gen::inRange<std::size_t>(0, stream.size())] = *rc::gen::arbitrary<char>();
        }
        FrameReader reader(protocolVersion);
        reader.append(stream);
        const auto frames = readAll(reader);
        if (frames) {
            RC_ASSERT(std::all_of(frames->begin(), frames->end(), [](const Frame &frame) {
                return frame.message->body.value != nullptr;
            }));
        }
    }));
}

TEST_CASE("Bad, oversized and truncated frames are errors with step and peer")
{
    FrameReader reader(protocolVersion, "vm-b");
    SECTION("wrong version")
    {
        reader.append(header(64, protocolVersion + 1));
        requireError(reader, Common::ErrorCode::InvalidInput);
    }
    SECTION("oversized")
    {
        reader.append(header(maxMessageBytes + 1, protocolVersion));
        requireError(reader, Common::ErrorCode::TooLarge);
    }
    SECTION("not a message")
    {
        reader.append(header(64, protocolVersion) + std::string(64, '\xFF'));
        requireError(reader, Common::ErrorCode::InvalidInput);
    }
    SECTION("no body")
    {
        reader.append(encodeFrame(protocolVersion, LinkClass::Control, Wire::MessageT()));
        requireError(reader, Common::ErrorCode::InvalidInput);
    }
    SECTION("truncated at close")
    {
        // The largest legal length: waiting for it must not fail or allocate.
        reader.append(header(maxMessageBytes, protocolVersion) + "x");
        const auto frame = reader.next();
        REQUIRE(frame.has_value());
        REQUIRE_FALSE(frame->has_value());
        const auto end = reader.finish();
        REQUIRE_FALSE(end.has_value());
        REQUIRE(end.error().code() == Common::ErrorCode::Truncated);
        REQUIRE(end.error().peer() == "vm-b");
    }
}
