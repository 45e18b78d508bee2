// cpp-httplib clients with one timeout for all of their steps.

#pragma once

#include <LibCore/Address.h>

#include <absl/time/time.h>
#include <httplib.h>

namespace Wisteria {

[[nodiscard]] httplib::Client makeHttpClient(const Address &address, absl::Duration timeout);

// Whether a failed request can be proved not to have reached the other side: the connection itself was
// refused.
[[nodiscard]] bool wasNeverSent(httplib::Error error);

} // namespace Wisteria
