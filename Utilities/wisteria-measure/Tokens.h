// Token texts that prove their lineage: each is a hash over the text before it and the stream that made it.

#pragma once

#include <LibCore/Ids.h>

#include <xxhash.h>

#include <cstring>
#include <string>

namespace Wisteria::Measure {

// The text that the stream generates after the text `previous`; empty before the first token.
[[nodiscard]] inline std::string tokenAfter(const std::string &previous, const EngineStreamId &stream)
{
    const std::uint64_t salt = XXH3_64bits(stream.value().data(), stream.value().size());
    const std::uint64_t hash = XXH3_64bits_withSeed(previous.data(), previous.size(), salt);
    std::string text(sizeof(hash), '\0');
    std::memcpy(text.data(), &hash, sizeof(hash));
    return text;
}

} // namespace Wisteria::Measure
