#include <LibBase/TextDelta.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <bit>
#include <cstring>
#include <memory>
#include <zstd.h>

namespace Stagepost {

namespace {

    // Larger than any configuration. Without this limit, a damaged frame header could make a
    // daemon allocate any amount of memory.
    constexpr size_t maxTextBytes = 16u << 20;
    // The cheapest regular level of zstd, since a daemon has an eighth of a core. A delta that
    // adds 1,400 routes takes 18 KB of a configuration of 1.1 MB (stagepost-measure settings).
    constexpr int compressionLevel = 1;
    // The range of window sizes, as powers of two.
    constexpr int minWindowLog = 18;
    constexpr int maxWindowLog = 25;

    using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
    using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

    // The window has to cover the whole base text, or zstd cannot refer to all of it.
    int windowLogFor(size_t bytes)
    {
        return std::clamp(static_cast<int>(std::bit_width(bytes)), minWindowLog, maxWindowLog);
    }

    Error malformedDelta()
    {
        return { ErrorCode::Malformed, "the delta is damaged or was made from another text" };
    }

}

std::string makeDelta(std::string_view from, std::string_view to)
{
    Compressor const compressor(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_windowLog, windowLogFor(from.size() + to.size()));
    ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(compressor.get(), from.data(), from.size());
    auto const hash = hashOf(to);
    std::string delta(sizeof(hash) + ZSTD_compressBound(to.size()), '\0');
    std::memcpy(delta.data(), &hash, sizeof(hash));
    // This cannot fail, since the buffer has the size of ZSTD_compressBound().
    auto const size = ZSTD_compress2(compressor.get(), delta.data() + sizeof(hash), delta.size() - sizeof(hash), to.data(), to.size());
    delta.resize(sizeof(hash) + size);
    delta.shrink_to_fit();
    return delta;
}

Result<std::string> applyDelta(std::string_view from, std::string_view delta)
{
    uint64_t hash = 0;
    if (delta.size() < sizeof(hash))
        return malformedDelta();
    std::memcpy(&hash, delta.data(), sizeof(hash));
    delta.remove_prefix(sizeof(hash));
    auto const size = ZSTD_getFrameContentSize(delta.data(), delta.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxTextBytes)
        return malformedDelta();
    Decompressor const decompressor(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(decompressor.get(), ZSTD_d_windowLogMax, maxWindowLog);
    ZSTD_DCtx_refPrefix(decompressor.get(), from.data(), from.size());
    std::string text(size, '\0');
    auto const written = ZSTD_decompressDCtx(decompressor.get(), text.data(), text.size(), delta.data(), delta.size());
    if (ZSTD_isError(written) || written != size || hashOf(text) != hash)
        return malformedDelta();
    return text;
}

}
