// Hash that is the same in every process, for choices that routers make independently and must agree on.

#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace Wisteria {

[[nodiscard]] inline std::uint64_t stableHash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace Wisteria
