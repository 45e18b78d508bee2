// The progress line appears only where it cannot mix with the answer.

#include <wisteria-call/TokenPrinter.h>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <iostream>

namespace Wisteria {

TokenPrinter::TokenPrinter(CallerClock &clock, bool showsProgress)
    : m_clock(clock), m_began(clock.now()), m_showsProgress(showsProgress)
{
}

ErrorOr<std::unique_ptr<TokenPrinter>> TokenPrinter::create(const std::string &traceFile, CallerClock &clock)
{
    bool showsProgress = isatty(STDERR_FILENO) && !isatty(STDOUT_FILENO) && traceFile != "-";
    std::unique_ptr<TokenPrinter> printer(new TokenPrinter(clock, showsProgress));
    if (traceFile == "-") {
        printer->m_trace = &std::cerr;
    } else if (!traceFile.empty()) {
        printer->m_traceFile.open(traceFile);
        if (!printer->m_traceFile)
            return makeError(ErrorCode::InvalidRequest, "cannot write " + traceFile);
        printer->m_trace = &printer->m_traceFile;
    }
    return printer;
}

void TokenPrinter::print(const Token &token)
{
    ++m_tokens;
    std::cout << token.text << std::flush;
    if (m_trace)
        trace(token);
    if (m_showsProgress)
        std::cerr << "\r\033[K" << m_tokens << " tokens, " << absl::ToInt64Seconds(m_clock.now() - m_began)
                  << " s, target " << token.id.target << std::flush;
}

void TokenPrinter::trace(const Token &token)
{
    nlohmann::ordered_json json{{"offset", token.id.offset.value()},
                                {"target", token.id.target.value()},
                                {"stream", token.id.stream.value()},
                                {"router", token.router.value()},
                                {"ms", absl::ToInt64Milliseconds(m_clock.now() - m_began)}};
    *m_trace << json.dump() << "\n" << std::flush;
}

void TokenPrinter::finish()
{
    if (m_showsProgress)
        std::cerr << "\r\033[K" << std::flush;
    if (m_tokens > 0)
        std::cout << std::endl;
}

} // namespace Wisteria
