// Makes sure that the plug-ins of this library are linked into a program, which registers them.

#pragma once

namespace Wisteria::detail {

// Refers to each built-in plug-in, since a linker drops an archive's objects to which nothing refers.
void linkBuiltInPlugins();

} // namespace Wisteria::detail
