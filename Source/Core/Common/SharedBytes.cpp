#include "currantfall/Common/SharedBytes.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace Currantfall::Common {

namespace {

constexpr std::size_t minBlockBytes = 1024;
constexpr std::size_t maxBlockBytes = std::size_t { 64 } * 1024;

} // namespace

SharedBytes::Content &SharedBytes::ensureContent()
{
    if (!this->content) {
        this->content = std::make_shared<Content>();
    }
    return *this->content;
}

void SharedBytes::expect(std::size_t size)
{
    this->ensureContent().expected = size;
}

void SharedBytes::append(std::string_view text)
{
    if (text.empty()) {
        return;
    }
    Content &target = this->ensureContent();
    while (!text.empty()) {
        if (target.blocks.empty() || target.blocks.back().size == target.blocks.back().capacity) {
            // Blocks double the capacity up to their largest size.
            const std::size_t remaining
                    = target.expected > target.size ? target.expected - target.size : 0;
            const std::size_t wanted
                    = remaining > 0 ? remaining : std::max(text.size(), target.capacity);
            Block block;
            block.capacity = std::clamp(wanted, minBlockBytes, maxBlockBytes);
            block.bytes = std::make_unique_for_overwrite<char[]>(block.capacity);
            target.capacity += block.capacity;
            target.blocks.push_back(std::move(block));
        }
        Block &last = target.blocks.back();
        const std::size_t count = std::min(text.size(), last.capacity - last.size);
        std::memcpy(last.bytes.get() + last.size, text.data(), count);
        last.size += count;
        target.size += count;
        text.remove_prefix(count);
    }
}

std::string_view SharedBytes::block(std::size_t index) const
{
    const Block &block = this->content->blocks[index];
    return { block.bytes.get(), block.size };
}

std::string SharedBytes::toString() const
{
    std::string text;
    text.reserve(this->size());
    for (std::size_t index = 0; index < this->blockCount(); ++index) {
        text += this->block(index);
    }
    return text;
}

void SharedBytes::attach(std::shared_ptr<const void> companion)
{
    this->ensureContent().companion = std::move(companion);
}

} // namespace Currantfall::Common
