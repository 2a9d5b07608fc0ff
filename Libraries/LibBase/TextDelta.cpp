#include <LibBase/TextDelta.h>

#include <LibBase/Hash.h>
#include <algorithm>
#include <bit>
#include <cstring>
#include <memory>
#include <zstd.h>

namespace Stagepost {

namespace {

    // More than any configuration has: a damaged head must not make a daemon allocate it.
    constexpr size_t largestText = 16u << 20;
    // Of zstd's ordinary levels the cheapest: a daemon has an eighth of a core, and what
    // leads to 1,400 more routes is 18 KB of 1.1 MB (stagepost-measure settings).
    constexpr int level = 1;
    // Window sizes that zstd takes, as powers of two.
    constexpr int leastWindow = 18;
    constexpr int largestWindow = 25;

    using Compressor = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
    using Decompressor = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

    // The whole of the first text has to lie within the window.
    int windowFor(size_t bytes)
    {
        return std::clamp(static_cast<int>(std::bit_width(bytes)), leastWindow, largestWindow);
    }

    Error notLeading()
    {
        return { ErrorCode::Malformed, "a delta does not lead to its text" };
    }

}

std::string makeDelta(std::string_view from, std::string_view to)
{
    Compressor const compressor(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_windowLog, windowFor(from.size() + to.size()));
    ZSTD_CCtx_setParameter(compressor.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(compressor.get(), from.data(), from.size());
    auto const hash = hashOf(to);
    std::string delta(sizeof(hash) + ZSTD_compressBound(to.size()), '\0');
    std::memcpy(delta.data(), &hash, sizeof(hash));
    // It cannot fail: the bound holds whatever the text is.
    auto const size = ZSTD_compress2(compressor.get(), delta.data() + sizeof(hash), delta.size() - sizeof(hash), to.data(), to.size());
    delta.resize(sizeof(hash) + size);
    delta.shrink_to_fit();
    return delta;
}

Result<std::string> applyDelta(std::string_view from, std::string_view delta)
{
    uint64_t hash = 0;
    if (delta.size() < sizeof(hash))
        return notLeading();
    std::memcpy(&hash, delta.data(), sizeof(hash));
    delta.remove_prefix(sizeof(hash));
    auto const size = ZSTD_getFrameContentSize(delta.data(), delta.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > largestText)
        return notLeading();
    Decompressor const decompressor(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(decompressor.get(), ZSTD_d_windowLogMax, largestWindow);
    ZSTD_DCtx_refPrefix(decompressor.get(), from.data(), from.size());
    std::string text(size, '\0');
    auto const written = ZSTD_decompressDCtx(decompressor.get(), text.data(), text.size(), delta.data(), delta.size());
    if (ZSTD_isError(written) || written != size || hashOf(text) != hash)
        return notLeading();
    return text;
}

}
