// The operators' interface of the routers. A change is retried at other routers under the same change id, so
// that it takes effect once at most.

#pragma once

#include <LibCaller/AttemptPacer.h>
#include <LibCaller/HttpTransport.h>
#include <LibConfig/Change.h>
#include <LibConfig/Settings.h>

#include <nlohmann/json.hpp>

namespace Wisteria {

// How a change ended. An error's code tells: Conflict with `conflict` set, StoreOutcomeUnknown when the
// change may yet take effect, any other without effect.
struct ChangeFailure
{
    Error error;
    std::optional<ChangeConflict> conflict;
};

class AdminClient
{
public:
    // An empty change id is replaced by a new one.
    AdminClient(const OperatorSettings &settings, std::string changeId);

    [[nodiscard]] ErrorOr<FleetConfiguration> configuration();
    [[nodiscard]] ErrorOr<nlohmann::json> status();
    // The status that the router at this very address gives.
    [[nodiscard]] ErrorOr<nlohmann::json> statusAt(const std::string &address);
    [[nodiscard]] ErrorOr<void> drainAt(const std::string &address);
    // Makes the change and prints the version in which it is in force. On failure, failure() says more.
    [[nodiscard]] ErrorOr<void> apply(Edit edit);

    [[nodiscard]] const std::optional<ChangeFailure> &failure() const { return m_failure; }
    [[nodiscard]] const std::string &changeId() const { return m_changeId; }

private:
    [[nodiscard]] ErrorOr<nlohmann::json> get(const std::string &path);
    [[nodiscard]] ErrorOr<nlohmann::json> getAt(const std::string &address, const std::string &path);
    [[nodiscard]] tl::expected<ConfigVersion, ChangeFailure> submit(const std::string &body);
    [[nodiscard]] AttemptPacer makePacer();

    const OperatorSettings m_settings;
    MachineClock m_clock;
    HttpTransport m_transport;
    SeededRandom m_random;
    EntryPoints m_entryPoints;
    const std::string m_changeId;
    std::optional<ChangeFailure> m_failure;
};

} // namespace Wisteria
