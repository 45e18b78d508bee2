// Set-up of glog.

#include <LibPlatform/Logging.h>

#include <glog/logging.h>

namespace Wisteria {

void startLogging(const LogSettings &settings, const char *program)
{
    FLAGS_logtostderr = settings.directory.empty();
    FLAGS_log_dir = settings.directory;
    FLAGS_minloglevel = static_cast<int>(settings.level);
    google::InitGoogleLogging(program);
}

} // namespace Wisteria
