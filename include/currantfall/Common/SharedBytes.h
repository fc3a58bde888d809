#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Currantfall::Common {

/// Bytes that copies share, in blocks: appending never moves what is there, so that a long text
/// takes its size once while it grows.
class SharedBytes
{
public:
    SharedBytes() = default;
    // NOLINTNEXTLINE(google-explicit-constructor)
    SharedBytes(std::string_view text) { this->append(text); }
    // NOLINTNEXTLINE(google-explicit-constructor)
    SharedBytes(const std::string &text) : SharedBytes(std::string_view(text)) { }
    // NOLINTNEXTLINE(google-explicit-constructor)
    SharedBytes(const char *text) : SharedBytes(std::string_view(text)) { }

    /// Appends to the bytes of all copies.
    void append(std::string_view text);
    /// The size that is expected in the end; avoids blocks that are too large.
    void expect(std::size_t size);

    std::size_t size() const { return this->content ? this->content->size : 0; }
    bool empty() const { return this->size() == 0; }
    /// Memory of all blocks.
    std::size_t capacity() const { return this->content ? this->content->capacity : 0; }
    std::size_t blockCount() const { return this->content ? this->content->blocks.size() : 0; }
    std::string_view block(std::size_t index) const;
    std::string toString() const;

    /// Keeps `companion` until the last copy is gone, such as a reservation of the memory.
    void attach(std::shared_ptr<const void> companion);

    friend bool operator==(const SharedBytes &left, const SharedBytes &right)
    {
        return left.toString() == right.toString();
    }

private:
    struct Block
    {
        std::unique_ptr<char[]> bytes;
        std::size_t size = 0;
        std::size_t capacity = 0;
    };
    struct Content
    {
        std::vector<Block> blocks;
        std::size_t size = 0;
        std::size_t capacity = 0;
        std::size_t expected = 0;
        std::shared_ptr<const void> companion;
    };

    Content &ensureContent();

    std::shared_ptr<Content> content;
};

} // namespace Currantfall::Common
