// Processor time and memory of the decision objects, as slopes over their sizes.

#pragma once

namespace Wisteria::Measure {

// Prints the table; the exit status.
[[nodiscard]] int printSlopes();

} // namespace Wisteria::Measure
