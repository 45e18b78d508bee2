// Position in the history of the platform's store.

#pragma once

#include <LibCore/Ids.h>

namespace Wisteria {

// One history of the store. A store that is restored from an older copy goes back to an earlier revision,
// assigns the later ones again and starts a new era. Greater is newer; zero if the store reports no era.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;

// Revisions of different eras are not comparable, so positions are ordered by era first.
struct StorePosition
{
    StoreEra era;
    ObjectVersion revision;

    auto operator<=>(const StorePosition &) const = default;
    bool operator==(const StorePosition &) const = default;
};

} // namespace Wisteria
