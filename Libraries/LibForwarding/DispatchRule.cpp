// The estimate for one generation.

#include <LibForwarding/DispatchRule.h>

namespace Wisteria {

absl::Duration DispatchRule::readingTime(const GenerationSize &size)
{
    return absl::Milliseconds(static_cast<double>(size.promptTokens) / prefillTokensPerMs);
}

bool DispatchRule::canEnd(const DispatchQuestion &question)
{
    const bool isFree = question.backlog == absl::ZeroDuration();
    const auto writing = isFree ? absl::ZeroDuration() : leastTokenTime * question.size.expectedOutputTokens;
    return question.backlog + readingTime(question.size) + writing <= question.timeLeft;
}

} // namespace Wisteria
