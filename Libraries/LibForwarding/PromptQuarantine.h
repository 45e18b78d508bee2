// Decides which parts of prompts end the targets that process them, so that requests with such a part are no
// longer forwarded.
//
// Load pattern: one part of a prompt ends each target that begins to write an answer on it. Requests with the
// part arrive at all routers, no two alike; sound requests share their other parts and run on the same
// targets when these end. Targets also end for other reasons, many of them at the same moment.
//
// Evidence is the end of a target's process together with its suspect runs: requests on which it had not
// written for long. Each part of a suspect run is suspect, unless a target has written an answer on it and
// lived on about the same time. A verdict takes several independent ends, and each end counts for one verdict
// only: the part with the most independent ends explains them, and parts that were merely beside it lose
// theirs. Parts that a target has ever lived on come after the others. A verdict names all parts that its
// suspect runs have in common, since any of them may be the cause; a request is barred if it has them all.
//
// Targets that end at about the same time may have a cause of their own in common, such as the loss of their
// failure domain, and requests that arrive together often share parts. Such ends are one piece of evidence,
// unless a run with the part was sent after the end before: then the part has met another target, and that
// one ended, too.
//
// Routers exchange their evidence, not their verdicts, and merge it in any order and any number of times. A
// verdict ends when a target writes on the part and lives on. To find out, one router forwards one request
// with the part after a delay that grows with each further end.
//
// Performs no I/O.

#pragma once

#include <LibForwarding/Request.h>
#include <LibForwarding/TargetNotices.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace Wisteria {

// The end of one process of a target, by an id that all routers derive alike.
using TargetEndId = StrongId<struct TargetEndIdTag, std::uint64_t>;

// Sorted, each part once.
using PromptParts = std::vector<PromptPartId>;

// A run that was lost with its target.
struct SuspectRun
{
    PromptParts parts;
    // Ends after which the run, or another one with the same parts, was sent. Sorted. Named rather than
    // derived from times, which differ between routers by more than it takes to send a run on.
    std::vector<TargetEndId> after;

    bool operator==(const SuspectRun &) const = default;
};

// What a router tells the others. Ages count from the time of the report.
struct PromptEvidence
{
    struct End
    {
        TargetEndId id;
        absl::Duration age;
        std::vector<SuspectRun> runs;

        bool operator==(const End &) const = default;
    };
    struct Survival
    {
        PromptPartId part;
        absl::Duration age;

        bool operator==(const Survival &) const = default;
    };

    std::vector<End> ends;
    std::vector<Survival> survivals;

    bool operator==(const PromptEvidence &) const = default;
};

// What changed by new evidence.
struct QuarantineChange
{
    // Evidence was added or withdrawn.
    bool isNews{false};
    std::vector<PromptParts> newVerdicts;
    std::vector<PromptParts> liftedVerdicts;
};

class PromptQuarantine
{
public:
    // Number of independent ends that a verdict takes. A bystander is rarely on three ending targets in a row
    // without a sign of life in between.
    static constexpr std::size_t endsForVerdict = 3;
    // A target that has written an answer for this long lives on. Targets that end on a part do so with the
    // first tokens.
    static constexpr absl::Duration survivalTime = absl::Seconds(1);
    // Ends within this time are one piece of evidence. The runs of a target that falls silent are not all
    // lost at the same moment.
    static constexpr absl::Duration maxEventSpread = absl::Milliseconds(1500);
    // A sign of life clears a part of ends that come up to this much later, so that requests whose prompts
    // are still being processed don't become suspect.
    static constexpr absl::Duration trustTime = absl::Seconds(2);
    // Lost connections become evidence if the end of the process is confirmed within this time.
    static constexpr absl::Duration confirmationTime = absl::Seconds(10);
    static constexpr absl::Duration evidenceLifetime = absl::Minutes(10);
    // A verdict without further ends is forgotten after this time, as the memory is bounded.
    static constexpr absl::Duration verdictLifetime = absl::Hours(24);
    // Delay from the last end to the first trial; it grows by the factor with each trial that ends a target.
    static constexpr absl::Duration firstTrialDelay = absl::Seconds(60);
    static constexpr double trialDelayFactor = 8;
    static constexpr absl::Duration maxTrialDelay = absl::Hours(12);
    // Time in which a trial has ended a target or has not.
    static constexpr absl::Duration trialTime = absl::Seconds(30);
    // Evidence that supports no verdict is reported to other groups for this long.
    static constexpr absl::Duration reportTime = absl::Seconds(10);
    // Number of reports that news is part of.
    static constexpr int newsReports = 3;

    static constexpr std::size_t maxEnds = 256;
    static constexpr std::size_t maxRunsPerEnd = 16;
    static constexpr std::size_t maxPartsPerRun = 32;
    static constexpr std::size_t maxEndsBeforeRun = 8;
    static constexpr std::size_t maxSurvivals = 4096;
    static constexpr std::size_t maxReportedEnds = 24;
    static constexpr std::size_t maxReportedSurvivals = 32;

    // Evidence of this router.
    //
    // The connection of a run was lost, or the run was given up, before the target had written for
    // survivalTime. This becomes evidence when the end of the process is confirmed. A target may end on a run
    // that has just been given up; without that run, only the bystanders of the end would be suspect.
    // `startedAt` is the time at which the run was sent to the target.
    void recordLostRun(const TargetProcess &, const PromptParts &, absl::Time startedAt, absl::Time now);
    // The process that the target's lost runs were sent to has ended.
    QuarantineChange confirmEnd(const TargetId &, absl::Time now);
    // The directory lists this process, so earlier ones of the target or at its address have ended.
    QuarantineChange confirmEarlierEnds(const TargetProcess &, absl::Time now);
    // A target has written an answer on these parts and lives on.
    QuarantineChange recordSurvival(const PromptParts &, absl::Time now);

    // Evidence of other routers.
    //
    // What the routers of the own group have not heard yet. Each item is returned a few times, since reports
    // get lost.
    [[nodiscard]] PromptEvidence takeNews(absl::Time now);
    enum class EvidenceScope {
        // What supports the verdicts.
        Verdicts,
        // Also recent evidence.
        Recent,
    };
    [[nodiscard]] PromptEvidence evidence(EvidenceScope, absl::Time now) const;
    enum class EvidenceSource {
        // The sender has told the whole own group.
        OwnGroup,
        // The own group has to hear it from this router.
        OtherGroup,
    };
    QuarantineChange merge(const PromptEvidence &, EvidenceSource, absl::Time now);

    struct Verdict
    {
        // A request is barred if it has all of these parts.
        PromptParts parts;
        std::size_t ends{0};
        std::size_t independentEnds{0};
        absl::Time lastEndAt;
        absl::Time nextTrialAt;
    };
    // The verdict that bars a request with these parts; null if none does.
    [[nodiscard]] const Verdict *verdictOn(const PromptParts &) const;
    // Routers take turns in making trials, each for trialTime, so that a trial is made also if some of them
    // are down or get no request. Routers that know the same others agree on whose turn it is, alive or not:
    // a router does not hear often enough of those in other groups.
    [[nodiscard]] static bool isTrialOwner(const Verdict &, const RouterId &self,
                                           const std::vector<RouterId> &others, absl::Time now);
    // Starts the trial of a verdict that is due. False if it isn't due, or a trial is under way. Trials begin
    // in the first half of a turn, so that the next router hears of an end before its own turn.
    [[nodiscard]] bool tryStartTrial(const Verdict &, absl::Time now);
    [[nodiscard]] const std::vector<Verdict> &verdicts() const { return m_verdicts; }

    // Drops evidence that is too old.
    QuarantineChange expire(absl::Time now);

private:
    struct End
    {
        // When the first router noticed it.
        absl::Time at;
        // Invariant: not empty; each run once, not empty, and without parts that survived near the end.
        std::vector<SuspectRun> runs;
        // A verdict explains the end.
        bool isExplained{false};
        // Reports that still have to contain it.
        int newsReportsLeft{0};

        [[nodiscard]] bool hasPart(PromptPartId) const;
        // One of these ends after which a run with the part was sent.
        [[nodiscard]] std::optional<TargetEndId> endBeforeRun(const std::vector<TargetEndId> &,
                                                              PromptPartId) const;
        // One run has all of these parts.
        [[nodiscard]] bool hasRunWith(const PromptParts &) const;
    };
    struct LostRuns
    {
        TargetProcess process;
        // Starts of the runs, by their parts.
        absl::btree_map<PromptParts, absl::Time> startedAt;
        absl::Time at;
    };
    struct Survival
    {
        absl::Time at;
        // Other routers have evidence against the part, so it is reported until then.
        absl::Time reportUntil{absl::InfinitePast()};
        int newsReportsLeft{0};
    };
    struct IndependentEnd
    {
        TargetEndId id;
        // The end that shows it to be independent of those shortly before. It need not be independent itself.
        std::optional<TargetEndId> before;
    };
    using EndsByPart = absl::btree_map<PromptPartId, std::vector<TargetEndId>>;

    // Adds the lost runs of the process that ended. Returns whether that changed anything.
    bool addLostRuns(TargetEndId, absl::Time now);
    // The last end with one of the parts, unless it is too long ago to matter.
    [[nodiscard]] std::optional<TargetEndId> lastEndBefore(absl::Time, const PromptParts &) const;
    // Adds runs to an end, which is then part of so many reports. Returns whether that changed anything.
    bool addEnd(TargetEndId, absl::Time at, const std::vector<SuspectRun> &, int newsReports, absl::Time now);
    // Returns whether the part was suspect.
    bool addSurvival(PromptPartId, absl::Time at, int newsReports, absl::Time now);
    // Whoever reported evidence against the part does not know of the survival yet.
    static void announceSurvival(Survival &, int newsReports, absl::Time now);
    [[nodiscard]] bool isCleared(PromptPartId, absl::Time endAt) const;
    // Returns the parts that are not cleared.
    [[nodiscard]] PromptParts suspectParts(const PromptParts &, absl::Time endAt, absl::Time now);
    void limitEnds();
    void limitSurvivals();
    [[nodiscard]] EndsByPart unexplainedEndsByPart() const;
    // The ends with this part that are independent of each other, in order of time.
    [[nodiscard]] std::vector<IndependentEnd> independentEnds(PromptPartId, std::vector<TargetEndId>) const;
    // The ends that other routers need in order to reach the same verdict.
    [[nodiscard]] std::vector<TargetEndId> endsSupporting(const Verdict &) const;
    // The parts that all suspect runs with this part have in common.
    [[nodiscard]] PromptParts commonParts(PromptPartId, const std::vector<TargetEndId> &) const;
    [[nodiscard]] Verdict makeVerdict(PromptParts, const std::vector<TargetEndId> &) const;
    // The verdict on the part that explains the most, if its independent unexplained ends are enough.
    [[nodiscard]] std::optional<Verdict> nextVerdict();
    // Derives the verdicts from the evidence.
    void judge(QuarantineChange &);

    absl::btree_map<TargetEndId, End> m_ends;
    absl::flat_hash_map<PromptPartId, Survival> m_survivals;
    absl::flat_hash_map<TargetId, LostRuns> m_lostRuns;
    std::vector<Verdict> m_verdicts;
    // By the first part of the verdict.
    absl::flat_hash_map<PromptPartId, absl::Time> m_trialUntil;
};

} // namespace Wisteria
