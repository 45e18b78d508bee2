// Shows a generation as it arrives: the text on standard output, a progress line on a terminal, and a trace.

#pragma once

#include <LibCaller/CallerClient.h>

#include <fstream>
#include <memory>
#include <ostream>

namespace Wisteria {

class TokenPrinter
{
public:
    // The trace file: empty for none, "-" for standard error. Errors: InvalidRequest.
    [[nodiscard]] static ErrorOr<std::unique_ptr<TokenPrinter>> create(const std::string &traceFile,
                                                                       CallerClock &clock);

    void print(const Token &token);
    // Ends the lines of answer and progress.
    void finish();

    [[nodiscard]] std::uint64_t tokens() const { return m_tokens; }

private:
    TokenPrinter(CallerClock &clock, bool showsProgress);

    void trace(const Token &token);

    CallerClock &m_clock;
    const absl::Time m_began;
    const bool m_showsProgress;
    std::ofstream m_traceFile;
    // Null when there is no trace.
    std::ostream *m_trace{nullptr};
    std::uint64_t m_tokens{0};
};

} // namespace Wisteria
