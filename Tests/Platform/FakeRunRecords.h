// When engines worked on streams, as the engines themselves saw it.

#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Wisteria {

// The engine works on the request from its acceptance until it ends the stream, or until it drops the request
// because its connection has closed.
struct FakeRunSpan
{
    using Time = std::chrono::steady_clock::time_point;

    std::string request;
    std::string engine;
    Time begin;
    // Unset while the engine works on it.
    std::optional<Time> end;

    [[nodiscard]] std::chrono::milliseconds overlapWith(const FakeRunSpan &other) const
    {
        const auto now = std::chrono::steady_clock::now();
        const auto last = std::min(end.value_or(now), other.end.value_or(now));
        const auto overlap = last - std::max(begin, other.begin);
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::max(overlap, std::chrono::steady_clock::duration::zero()));
    }
};

class FakeRunRecords
{
public:
    // Identifies a span until the end of the test.
    std::size_t begin(const std::string &request, const std::string &engine)
    {
        m_spans.push_back({request, engine, std::chrono::steady_clock::now(), std::nullopt});
        return m_spans.size() - 1;
    }

    // The first end counts.
    void end(std::size_t span)
    {
        auto &end = m_spans.at(span).end;
        if (!end)
            end = std::chrono::steady_clock::now();
    }

    [[nodiscard]] const std::vector<FakeRunSpan> &spans() const { return m_spans; }

    // The longest time for which two engines worked on one request.
    [[nodiscard]] std::chrono::milliseconds longestOverlap() const
    {
        std::chrono::milliseconds longest{0};
        for (auto it = m_spans.begin(); it != m_spans.end(); ++it) {
            for (auto other = std::next(it); other != m_spans.end(); ++other) {
                if (it->request == other->request)
                    longest = std::max(longest, it->overlapWith(*other));
            }
        }
        return longest;
    }

private:
    std::vector<FakeRunSpan> m_spans;
};

} // namespace Wisteria
