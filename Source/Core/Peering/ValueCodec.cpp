#include "currantfall/Peering/ValueCodec.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <utility>

#include <xxhash.h>
#include <zstd.h>

#include "currantfall/Peering/FrameCodec.h"

namespace Currantfall::Peering {

namespace {

using Common::ErrorCode;

// VMs with a tenth of a core compress, so the time counts more than the last bytes.
constexpr int compressionLevel = 1;
// The library's limits of the window, up to which it decompresses without further settings.
constexpr int minWindowLog = 10;
constexpr int maxWindowLog = 27;

struct FreeContext
{
    void operator()(ZSTD_CCtx *context) const { ZSTD_freeCCtx(context); }
    void operator()(ZSTD_DCtx *context) const { ZSTD_freeDCtx(context); }
};

} // namespace

std::uint64_t valueHash(std::string_view value)
{
    return std::max<std::uint64_t>(XXH3_64bits(value.data(), value.size()), 1);
}

CompressedValue::CompressedValue(std::string bytes, std::uint64_t baseHash)
    : frame(std::move(bytes)), hash(baseHash)
{ }

CompressedValue CompressedValue::received(std::string bytes, std::uint64_t baseHash)
{
    return { std::move(bytes), baseHash };
}

Common::Result<CompressedValue> CompressedValue::compress(std::string_view value,
                                                          std::string_view base)
{
    const std::string step = "compress value";
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    if (!context) {
        return Common::failure(ErrorCode::Unavailable, step, {}, "out of memory");
    }
    // The window must reach from the end of the value to the start of the base.
    const int windowLog = std::clamp(static_cast<int>(std::bit_width(value.size() + base.size())),
                                     minWindowLog, maxWindowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
    // The usual matches of a fast level do not reach far enough back.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    // The library does not use a base whose memory is that of the value.
    const std::string copy = base.data() == value.data() ? std::string(base) : std::string();
    const std::string_view prefix = copy.empty() ? base : copy;
    if (!prefix.empty()) {
        ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size());
    }
    std::string bytes(ZSTD_compressBound(value.size()), '\0');
    const std::size_t size
            = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), value.data(), value.size());
    if (ZSTD_isError(size) != 0) {
        return Common::failure(ErrorCode::Unavailable, step, {}, ZSTD_getErrorName(size));
    }
    bytes.resize(size);
    bytes.shrink_to_fit();
    return CompressedValue(std::move(bytes), base.empty() ? 0 : valueHash(base));
}

Common::Result<std::string> CompressedValue::decompress(std::string_view base) const
{
    const std::string step = "decompress value";
    if (this->hash != 0 && valueHash(base) != this->hash) {
        return Common::failure(ErrorCode::Conflict, step, {}, "compressed with another base");
    }
    const auto size = ZSTD_getFrameContentSize(this->frame.data(), this->frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
        return Common::failure(ErrorCode::InvalidInput, step, {}, "no frame with a size");
    }
    if (size > maxMessageBytes) {
        return Common::failure(ErrorCode::TooLarge, step, {}, std::to_string(size) + " bytes");
    }
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    if (!context) {
        return Common::failure(ErrorCode::Unavailable, step, {}, "out of memory");
    }
    if (this->hash != 0) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string value(static_cast<std::size_t>(size), '\0');
    const std::size_t written = ZSTD_decompressDCtx(context.get(), value.data(), value.size(),
                                                    this->frame.data(), this->frame.size());
    if (ZSTD_isError(written) != 0 || written != value.size()) {
        return Common::failure(ErrorCode::InvalidInput, step, {}, ZSTD_getErrorName(written));
    }
    return value;
}

} // namespace Currantfall::Peering
