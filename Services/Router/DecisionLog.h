// One log line for each decision, written by a thread of its own so that a slow disk or terminal delays no
// decision.

#pragma once

#include <LibCore/Ring.h>
#include <LibRouting/Events.h>

#include <atomic>
#include <string>
#include <thread>

namespace Wisteria {

// Thread-safe.
class DecisionLog
{
public:
    DecisionLog();
    // Writes what is queued, then joins.
    ~DecisionLog();

    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    void record(const RecordDecision &decision);
    void recordCall(std::string_view key, std::string_view decision, std::string_view reason);
    void recordLine(std::string line);

private:
    void run();

    Ring<std::string> m_lines;
    // Lines that found the ring full; the next line that fits says how many.
    std::atomic<std::size_t> m_skipped{0};
    std::thread m_thread;
};

} // namespace Wisteria
