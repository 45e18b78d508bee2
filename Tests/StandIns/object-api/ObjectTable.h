// The stored objects with their versions, and the faults of the stand-in object API.

#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Wisteria::StandIns {

struct ObjectRecord
{
    std::uint64_t version{0};
    std::string body;
};

struct ObjectStats
{
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t watches{0};
    std::uint64_t conflicts{0};
};

enum class ReplyFate { Delivered, Lost };

struct WriteResult
{
    // Empty when the precondition did not hold.
    std::optional<std::uint64_t> version;
    ReplyFate reply{ReplyFate::Delivered};
};

class ObjectTable
{
public:
    [[nodiscard]] std::optional<ObjectRecord> read(const std::string &key);
    // Writes when the version is `expected`; zero means that there must be none.
    [[nodiscard]] WriteResult write(const std::string &key, const std::string &body, std::uint64_t expected);
    // Waits for a version above `after`; ends early when the API goes down.
    [[nodiscard]] std::optional<ObjectRecord> watch(const std::string &key, std::uint64_t after,
                                                    absl::Duration timeout);

    void goDown(absl::Duration duration);
    void loseReplies(std::uint64_t count);
    void setDelay(absl::Duration delay);
    void clearFaults();

    [[nodiscard]] bool isDown() const;
    [[nodiscard]] absl::Duration delay() const;
    [[nodiscard]] ObjectStats stats() const;

private:
    mutable absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::map<std::string, ObjectRecord> m_objects ABSL_GUARDED_BY(m_mutex);
    // One counter for all objects, so that a version never comes back.
    std::uint64_t m_lastVersion ABSL_GUARDED_BY(m_mutex){0};
    ObjectStats m_stats ABSL_GUARDED_BY(m_mutex);
    absl::Time m_downUntil ABSL_GUARDED_BY(m_mutex){absl::InfinitePast()};
    std::uint64_t m_repliesToLose ABSL_GUARDED_BY(m_mutex){0};
    absl::Duration m_delay ABSL_GUARDED_BY(m_mutex){absl::ZeroDuration()};
};

} // namespace Wisteria::StandIns
