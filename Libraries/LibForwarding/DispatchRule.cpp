// The estimate for one generation.

#include <LibForwarding/DispatchRule.h>

namespace Wisteria {

bool DispatchRule::canEnd(const DispatchQuestion &question)
{
    const auto reading =
        absl::Milliseconds(static_cast<double>(question.size.promptTokens) / prefillTokensPerMs);
    const auto writing = leastTokenTime * question.size.expectedOutputTokens;
    return question.backlog + reading + writing <= question.timeLeft;
}

} // namespace Wisteria
