// Ensures that the built-in plug-ins of this library are linked and therefore registered.

#pragma once

namespace Wisteria::detail {

// References every built-in plug-in, because the linker drops archive members that nothing references.
void linkBuiltInPlugins();

} // namespace Wisteria::detail
