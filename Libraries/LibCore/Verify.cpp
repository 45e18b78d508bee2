// Ends the process when an invariant is broken: going on could repeat or mix answers.

#include <LibCore/Verify.h>

#include <cstdio>
#include <cstdlib>

namespace Wisteria::detail {

void verificationFailed(const char *expression, const char *file, int line)
{
    std::fprintf(stderr, "VERIFY failed: %s at %s:%d\n", expression, file, line);
    std::abort();
}

} // namespace Wisteria::detail
