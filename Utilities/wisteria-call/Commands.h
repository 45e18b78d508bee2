// The two subcommands of wisteria-call. Each takes the arguments that follow its name.

#pragma once

#include <LibCaller/CallerClient.h>
#include <LibConfig/Settings.h>

#include <string>
#include <vector>

namespace Wisteria {

// An answer began and did not arrive whole, or broke the protocol.
inline constexpr int exitInterrupted = 4;

[[nodiscard]] int runComplete(const std::vector<std::string> &arguments);
[[nodiscard]] int runCall(const std::vector<std::string> &arguments);

[[nodiscard]] CallerOptions callerOptions(const CallerSettings &settings);

} // namespace Wisteria
