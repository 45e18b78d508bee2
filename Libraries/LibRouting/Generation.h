// One caller's answer in the making, and the engine streams that work on it.

#pragma once

#include <LibRouting/AdmissionQueue.h>
#include <LibRouting/Events.h>

#include <optional>
#include <vector>

namespace Wisteria {

enum class AttemptKind { Start, Reattach };

// Whether an attempt has brought a token past its prefix.
enum class AttemptProgress { None, Producing };

struct Attempt
{
    AttemptId id;
    TargetId target;
    AttemptKind kind{AttemptKind::Start};
    // Empty until the engine named it.
    EngineStreamId stream;
    TokenOffset streamStart;
    absl::Time startedAt;
    // The start, or the last token that counted.
    absl::Time lastProgress;
    AttemptProgress progress{AttemptProgress::None};
};

struct Generation
{
    // Streams that work on one generation at once.
    static constexpr std::size_t maxAttempts = 2;

    RequestOpened request;
    // The model at opening. No attempt starts on targets of another one.
    ModelName model;
    std::string modelVersion;

    // Invariant: every offset below was delivered to the caller exactly once, here or by earlier routers.
    TokenOffset next;
    // Invariant: at most maxAttempts, on different targets, each with the prefix below `next`.
    std::vector<Attempt> attempts;
    // Invariant: empty while several attempts race; else empty or the only attempt.
    std::optional<AttemptId> adopted;
    // Set while the generation waits for a slot.
    std::optional<QueuePriority> queuePriority;

    std::uint32_t attemptsStarted{0};
    std::uint32_t attemptsSinceProgress{0};
    // Targets that failed the generation since its last token.
    std::vector<TargetId> failedTargets;
    // When the next attempt is made, while it is put off. Its share of the retry budget is taken already.
    std::optional<absl::Time> resumeAt;
    // Silences are not looked at again before.
    absl::Time nextStallCheck{absl::InfinitePast()};
    // When the generation is due in the wake-up queue.
    absl::Time wakeUpAt{absl::InfiniteFuture()};

    [[nodiscard]] const GenerationId &id() const { return request.generation; }
    [[nodiscard]] bool hasDelivered() const { return next.value() > 0; }
    // All tokens are there; only the engine's closing word is missing.
    [[nodiscard]] bool hasAllTokens() const
    {
        return request.maxTokens > 0 && next.value() >= request.maxTokens;
    }
    [[nodiscard]] Attempt *find(AttemptId);
};

} // namespace Wisteria
