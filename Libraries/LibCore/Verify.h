// A check of an invariant that stays on in release builds.

#pragma once

namespace Wisteria::detail {

// Prints the broken invariant to standard error and aborts the process.
[[noreturn]] void verificationFailed(const char *expression, const char *file, int line);

} // namespace Wisteria::detail

#define VERIFY(expression)                                                                                   \
    do {                                                                                                     \
        if (!(expression))                                                                                   \
            ::Wisteria::detail::verificationFailed(#expression, __FILE__, __LINE__);                         \
    } while (false)
