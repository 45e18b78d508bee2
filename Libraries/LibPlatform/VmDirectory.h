// The platform's list of live and leaving VMs. It lags.

#pragma once

#include <LibCore/Error.h>
#include <LibMembership/Events.h>

#include <memory>
#include <string>
#include <vector>

namespace Wisteria {

class VmDirectory
{
public:
    virtual ~VmDirectory() = default;

    // Blocks up to the client's timeout. Errors: ConnectionFailed, ProtocolViolation.
    [[nodiscard]] virtual ErrorOr<std::vector<VmEntry>> list() = 0;
};

// The list over HTTP at "IP:port". Errors: InvalidSettings.
[[nodiscard]] ErrorOr<std::unique_ptr<VmDirectory>> createHttpVmDirectory(const std::string &address,
                                                                          absl::Duration timeout);

} // namespace Wisteria
