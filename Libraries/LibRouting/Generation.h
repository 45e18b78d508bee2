// State of one caller's generation and of the attempts that work on it.

#pragma once

#include <LibRouting/AdmissionQueue.h>
#include <LibRouting/Events.h>

#include <optional>
#include <vector>

namespace Wisteria {

enum class AttemptKind { Start, Reattach };

// Whether a token of the attempt has advanced the answer.
enum class AttemptProgress { None, Producing };

struct Attempt
{
    AttemptId id;
    TargetId target;
    AttemptKind kind{AttemptKind::Start};
    // Empty until the engine has assigned a stream id.
    EngineStreamId stream;
    TokenOffset streamStart;
    absl::Time startedAt;
    // Time of the start or of the last token that advanced the answer.
    absl::Time lastProgress;
    AttemptProgress progress{AttemptProgress::None};
};

struct Generation
{
    // Maximum number of concurrent attempts per generation.
    static constexpr std::size_t maxAttempts = 2;

    RequestOpened request;
    // The model when the generation was opened. No attempt starts on targets with another model.
    ModelName model;
    std::string modelVersion;

    // Invariant: every token below this offset was delivered to the caller exactly once, by this or an
    // earlier router.
    TokenOffset next;
    // Invariant: at most maxAttempts attempts, on different targets, each with a prefix that ends at or
    // before `next`.
    std::vector<Attempt> attempts;
    // The attempt whose tokens are delivered. Invariant: empty while several attempts run; otherwise empty or
    // the only attempt.
    std::optional<AttemptId> adopted;
    // Set while the generation waits in the admission queue.
    std::optional<QueuePriority> queuePriority;

    std::uint32_t attemptsStarted{0};
    std::uint32_t attemptsSinceProgress{0};
    // Targets that failed this generation since its last token.
    std::vector<TargetId> failedTargets;
    // Start time of the next attempt while it is in backoff. Its retry budget has already been consumed.
    std::optional<absl::Time> resumeAt;
    // Stalls are not handled before this time.
    absl::Time nextStallCheck{absl::InfinitePast()};
    // Time of the generation's entry in the wake-up queue.
    absl::Time wakeUpAt{absl::InfiniteFuture()};

    [[nodiscard]] const GenerationId &id() const { return request.generation; }
    [[nodiscard]] bool hasDelivered() const { return next.value() > 0; }
    // All requested tokens were delivered; only the finish event of the engine is missing.
    [[nodiscard]] bool hasAllTokens() const
    {
        return request.maxTokens > 0 && next.value() >= request.maxTokens;
    }
    [[nodiscard]] Attempt *find(AttemptId);
};

} // namespace Wisteria
