#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "currantfall/Common/Error.h"
#include "currantfall/Peering/Messages_generated.h"

namespace Currantfall::Peering {

/// The two links of a peer pair.
enum class LinkClass : std::uint16_t {
    Control = 0, ///< Control messages and requests of the first rank.
    Bulk = 1,    ///< Everything else, so that uploads don't delay heartbeats.
};

constexpr std::size_t linkClassCount = 2;
constexpr std::uint16_t protocolVersion = 1;
/// Largest length of the message of one frame, in bytes.
constexpr std::size_t maxMessageBytes = std::size_t { 20 } * 1024 * 1024;
constexpr std::size_t frameHeaderBytes = 8;

std::string toString(LinkClass linkClass);

/// Returns the header and the serialised message. The caller checks the size against
/// frameHeaderBytes + maxMessageBytes.
std::string encodeFrame(std::uint16_t version, LinkClass linkClass, const Wire::MessageT &message);

struct Frame
{
    LinkClass linkClass = LinkClass::Control;
    std::unique_ptr<Wire::MessageT> message;
};

/// Splits a byte stream into verified messages. After an Error the stream can't be continued.
class FrameReader
{
public:
    /// `peer` names the other side in errors.
    explicit FrameReader(std::uint16_t expectedVersion, std::string peer = {});

    /// Adds received bytes. Memory grows with the bytes received, not with the declared length.
    void append(std::string_view bytes);

    /// The next message, or nothing if more bytes are needed.
    Common::Result<std::optional<Frame>> next();

    /// Fails with Truncated if the stream ended inside a frame.
    Common::Result<void> finish() const;

    void setPeer(std::string name) { this->peer = std::move(name); }

private:
    Common::Result<void> readHeader();
    Common::Result<Frame> decode(std::string_view bytes) const;

    std::uint16_t expectedVersion;
    std::string peer;
    std::string buffer;
    std::size_t position = 0; // Bytes of the buffer that were consumed.
    bool headerRead = false;
    std::size_t messageLength = 0;
    LinkClass linkClass = LinkClass::Control;
};

} // namespace Currantfall::Peering
