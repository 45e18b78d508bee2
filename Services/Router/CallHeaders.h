// The request headers that completions and calls share.

#pragma once

#include <LibCore/Error.h>
#include <LibCore/Ids.h>

#include <absl/time/time.h>
#include <httplib.h>

namespace Wisteria {

// Errors: InvalidRequest when the header is absent or malformed.
[[nodiscard]] ErrorOr<WorkspaceName> readWorkspace(const httplib::Request &request);
// When the caller stops waiting, on the monotonic clock; `fallback` from now where it does not say.
// Errors: InvalidRequest.
[[nodiscard]] ErrorOr<absl::Time> readDeadline(const httplib::Request &request, absl::Duration fallback);

// The caller's count of its requests under one key, from 1; zero where it does not say. Errors:
// InvalidRequest.
[[nodiscard]] ErrorOr<std::uint32_t> readAttempt(const httplib::Request &request);

} // namespace Wisteria
