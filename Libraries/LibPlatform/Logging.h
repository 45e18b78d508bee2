// Set-up of glog, the same for all daemons.

#pragma once

#include <LibConfig/Settings.h>

namespace Wisteria {

// VMs have no disks, so the log goes to standard error, where the operators' collector takes it, unless the
// settings name a directory.
void startLogging(const LogSettings &settings, const char *program);

} // namespace Wisteria
