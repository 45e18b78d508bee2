// Attempt lookup by id.

#include <LibRouting/Generation.h>

#include <algorithm>

namespace Wisteria {

Attempt *Generation::find(AttemptId id)
{
    auto it = std::ranges::find(attempts, id, &Attempt::id);
    return it == attempts.end() ? nullptr : &*it;
}

} // namespace Wisteria
