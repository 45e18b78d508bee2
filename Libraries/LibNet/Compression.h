// Compression of bodies between routers, by zlib (RFC 1950), which HTTP calls "deflate".

#pragma once

#include <LibCore/Error.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace Wisteria {

[[nodiscard]] std::string compressBytes(std::string_view);
// Errors: InvalidRequest for bytes that are damaged, cut short, or larger than `maxBytes` when expanded.
[[nodiscard]] ErrorOr<std::string> expandBytes(std::string_view, std::size_t maxBytes);

} // namespace Wisteria
