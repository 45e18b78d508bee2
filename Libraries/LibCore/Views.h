// Conversions between the kinds of string views: Debian builds Abseil with its own type, and Boost has
// another.

#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace Wisteria {

[[nodiscard]] inline absl::string_view abslView(std::string_view text)
{
    return {text.data(), text.size()};
}

// For any type with data() and size(), such as Boost's and Abseil's views.
template <typename View>
[[nodiscard]] std::string_view stdView(const View &text)
{
    return {text.data(), text.size()};
}

} // namespace Wisteria
