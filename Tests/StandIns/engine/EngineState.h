// What the engine has loaded and its role, which orders with a fencing number change.

#pragma once

#include <StandIns/common/StandIn.h>

#include <absl/base/thread_annotations.h>
#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>

namespace Wisteria::StandIns {

enum class FencingCheck { On, Off };

class EngineState
{
public:
    EngineState(const std::string &model, const std::string &version, FencingCheck check)
        : m_check(check),
          m_state(
              {{"model", model}, {"model_version", version}, {"adapters", Json::array()}, {"role", "mixed"}})
    {
    }

    [[nodiscard]] Json toJson() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_state;
    }

    [[nodiscard]] bool serves(const std::string &model) const
    {
        absl::MutexLock lock(&m_mutex);
        auto loaded = m_state["model"].get<std::string>();
        return loaded.empty() || loaded == model;
    }

    void handlePut(const httplib::Request &request, httplib::Response &response)
    {
        auto json = readObject(request, response);
        if (!json)
            return;
        std::uint64_t n = 0;
        if (!absl::SimpleAtoi(request.get_header_value("Fencing-Number"), &n))
            return answerError(response, statusBadRequest, "Fencing-Number must be a number");
        absl::MutexLock lock(&m_mutex);
        if (m_check == FencingCheck::On && n < m_highestFencingNumber)
            return answerError(response, statusConflict, "a greater fencing number was seen");
        m_highestFencingNumber = std::max(m_highestFencingNumber, n);
        for (const auto *field : {"model", "model_version", "adapters", "role"}) {
            if (json->contains(field))
                m_state[field] = (*json)[field];
        }
        answer(response, statusOk, m_state);
    }

private:
    const FencingCheck m_check;
    mutable absl::Mutex m_mutex;
    Json m_state ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_highestFencingNumber ABSL_GUARDED_BY(m_mutex){0};
};

} // namespace Wisteria::StandIns
