// What the fakes of the platform's store and engines share.

#pragma once

#include <cstdint>
#include <string>

namespace Wisteria {

// Returns a loopback address on which nothing listens.
[[nodiscard]] std::string unusedLoopbackAddress();

namespace detail {

// Zero if the text is no number.
[[nodiscard]] std::uint64_t parseNumber(const std::string &text);

} // namespace detail

} // namespace Wisteria
