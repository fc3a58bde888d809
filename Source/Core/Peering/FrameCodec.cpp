#include "currantfall/Peering/FrameCodec.h"

#include <utility>
#include <vector>

#include <flatbuffers/flatbuffers.h>

namespace Currantfall::Peering {

namespace {

using Common::ErrorCode;

// The schema nests four tables deep; record handovers are its largest messages.
constexpr flatbuffers::uoffset_t maxTableDepth = 16;
constexpr flatbuffers::uoffset_t maxTables = 200'000;

void putLittleEndian(std::string &target, std::size_t offset, std::uint32_t value, int bytes)
{
    for (int index = 0; index < bytes; ++index) {
        target[offset + static_cast<std::size_t>(index)]
                = static_cast<char>((value >> (8 * index)) & 0xFFU);
    }
}

std::uint32_t littleEndianAt(std::string_view source, std::size_t offset, int bytes)
{
    std::uint32_t value = 0;
    for (int index = 0; index < bytes; ++index) {
        const char byte = source[offset + static_cast<std::size_t>(index)];
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(byte)) << (8 * index);
    }
    return value;
}

} // namespace

std::string toString(LinkClass linkClass)
{
    return linkClass == LinkClass::Control ? "control" : "bulk";
}

std::string encodeFrame(std::uint16_t version, LinkClass linkClass, const Wire::MessageT &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::Message::Pack(builder, &message));
    const std::size_t length = builder.GetSize();
    std::string frame(frameHeaderBytes, '\0');
    frame.reserve(frameHeaderBytes + length);
    putLittleEndian(frame, 0, static_cast<std::uint32_t>(length), 4);
    putLittleEndian(frame, 4, version, 2);
    putLittleEndian(frame, 6, static_cast<std::uint16_t>(linkClass), 2);
    frame.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), length);
    return frame;
}

FrameReader::FrameReader(std::uint16_t expectedVersion, std::string peer)
    : expectedVersion(expectedVersion), peer(std::move(peer))
{ }

void FrameReader::append(std::string_view bytes)
{
    // Moving the rest to the front keeps the buffer no larger than the unread bytes; it is done
    // once per read from the socket, not once per frame.
    this->buffer.erase(0, this->position);
    this->position = 0;
    this->buffer.append(bytes);
}

Common::Result<std::optional<Frame>> FrameReader::next()
{
    if (!this->headerRead) {
        if (this->buffer.size() - this->position < frameHeaderBytes) {
            return std::optional<Frame>();
        }
        const Common::Result<void> header = this->readHeader();
        if (!header) {
            return tl::unexpected(header.error());
        }
    }
    if (this->buffer.size() - this->position < this->messageLength) {
        return std::optional<Frame>();
    }
    Common::Result<Frame> frame = this->decode(
            std::string_view(this->buffer).substr(this->position, this->messageLength));
    if (!frame) {
        return tl::unexpected(frame.error());
    }
    this->position += this->messageLength;
    this->headerRead = false;
    if (this->position == this->buffer.size() && this->buffer.capacity() > maxMessageBytes / 16) {
        // One large frame must not hold its memory for the rest of the link's life.
        this->buffer = {};
        this->position = 0;
    }
    return std::optional<Frame>(std::move(*frame));
}

Common::Result<void> FrameReader::finish() const
{
    if (this->headerRead || this->position != this->buffer.size()) {
        return Common::failure(ErrorCode::Truncated, "read frame", this->peer,
                               "stream ended inside a frame");
    }
    return {};
}

Common::Result<void> FrameReader::readHeader()
{
    const std::string_view header = std::string_view(this->buffer).substr(this->position);
    const std::uint32_t length = littleEndianAt(header, 0, 4);
    const std::uint32_t version = littleEndianAt(header, 4, 2);
    const std::uint32_t linkClassValue = littleEndianAt(header, 6, 2);
    if (version != this->expectedVersion) {
        return Common::failure(ErrorCode::InvalidInput, "read frame header", this->peer,
                               "protocol version " + std::to_string(version) + ", expected "
                                       + std::to_string(this->expectedVersion));
    }
    if (linkClassValue >= linkClassCount) {
        return Common::failure(ErrorCode::InvalidInput, "read frame header", this->peer,
                               "unknown link class " + std::to_string(linkClassValue));
    }
    if (length > maxMessageBytes) {
        return Common::failure(ErrorCode::TooLarge, "read frame header", this->peer,
                               "message of " + std::to_string(length) + " bytes");
    }
    this->position += frameHeaderBytes;
    this->headerRead = true;
    this->messageLength = length;
    this->linkClass = static_cast<LinkClass>(linkClassValue);
    return {};
}

Common::Result<Frame> FrameReader::decode(std::string_view bytes) const
{
    // FlatBuffers needs an aligned start, which a position inside the buffer does not give.
    const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
    flatbuffers::Verifier verifier(aligned.data(), aligned.size(), maxTableDepth, maxTables);
    if (!Wire::VerifyMessageBuffer(verifier)) {
        return Common::failure(ErrorCode::InvalidInput, "verify message", this->peer,
                               "not a valid FlatBuffers message");
    }
    const Wire::Message *root = Wire::GetMessage(aligned.data());
    if (root->body_type() == Wire::Body::NONE || root->body() == nullptr) {
        return Common::failure(ErrorCode::InvalidInput, "verify message", this->peer,
                               "message without a body");
    }
    Frame frame;
    frame.linkClass = this->linkClass;
    frame.message.reset(root->UnPack());
    // A union type that this version does not know passes the verifier and unpacks to nothing.
    if (frame.message->body.value == nullptr) {
        return Common::failure(ErrorCode::InvalidInput, "verify message", this->peer,
                               "unknown message type");
    }
    return frame;
}

} // namespace Currantfall::Peering
