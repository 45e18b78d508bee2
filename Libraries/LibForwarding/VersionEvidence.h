// The sequential test of one measure: whether the fraction of bad answers of a new version is larger than
// that of the old version.
//
// Evidence is the logarithm of the likelihood ratio of "larger by d" against "equal", summed over periods.
// For the alarm, the sum starts again whenever it falls to zero (CUSUM), so that a version that turns bad
// late is found as soon as one that is bad at once. For the acceptance, Wald's sequential test is repeated.
//
// Evidence is kept by process. The processes that speak most against the version are left out, so that a
// single bad target is not taken for a bad version.

#pragma once

#include <LibCore/Ids.h>

#include <absl/container/btree_map.h>

#include <array>
#include <cstddef>
#include <limits>
#include <vector>

namespace Wisteria {

// Answers of both versions in the same period. Counts are fractions where a histogram is interpolated.
struct ComparedPeriod
{
    struct Part
    {
        // Empty for answers that are not known by process.
        TargetId process;
        double answers{0};
        double bad{0};
    };

    double baselineAnswers{0};
    double baselineBad{0};
    std::vector<Part> candidate;
    // Largest evidence against the version that the period may add.
    double maxGain{std::numeric_limits<double>::infinity()};
};

struct EvidenceLimits
{
    double falseAlarmRate{1e-4};
    double missRate{0.01};
    // Smallest increase of the bad fraction that has to be found, and a larger one that is found sooner.
    double minDegradation{0.1};
    double largeDegradation{0.3};
    // The increase that a decision on few answers has to find.
    double overallDegradation{0.2};
    // The old version's bad fraction is taken to be at least this; used alone without traffic of it.
    double minBaselineFraction{0.02};
    // Bad answers that an alarm needs.
    double minBad{8};
};

class VersionEvidence
{
public:
    // Sums of evidence for an alarm start again this often, at most, in one rollout without being sound by
    // then.
    static constexpr double assumedRestarts = 100;
    // The old version's fraction is remembered over about this many of its answers.
    static constexpr double rememberedAnswers = 1000;
    // With fewer answers, the old version counts as without traffic.
    static constexpr double minRememberedAnswers = 10;
    // One of so many processes in use may be bad without the version being bad; at least one of two.
    static constexpr std::size_t processesPerExcluded = 6;

    explicit VersionEvidence(const EvidenceLimits &limits) : m_limits(limits) { }

    // Takes a period that has ended. `inUse` is the number of candidate processes in use.
    void add(const ComparedPeriod &, std::size_t inUse);
    // Whether the evidence, with that of the unfinished period, suffices for an alarm.
    [[nodiscard]] bool isWorse(const ComparedPeriod &unfinished, std::size_t inUse) const;
    // Whether the latest sequential test that has ended found the version sound.
    [[nodiscard]] bool isAccepted() const { return m_isAccepted; }
    // Evidence, with that of the unfinished period, for an increase of `overallDegradation` since the first
    // period. Sums of several measures or routes can be compared with the threshold of Wald's test together.
    [[nodiscard]] double overallEvidence(const ComparedPeriod &unfinished) const;
    // Evidence against the version since the sum last fell to zero.
    [[nodiscard]] double evidence(std::size_t inUse) const;

private:
    using ByProcess = absl::btree_map<TargetId, double>;

    struct Sum
    {
        ByProcess evidence;
        double bad{0};
    };

    // Sum of the evidence with a limit for the processes that speak most against the version.
    [[nodiscard]] static double limitWorst(const ByProcess &, std::size_t inUse);
    void addTo(Sum &, const ComparedPeriod &, double baselineFraction, double degradation) const;
    // The old version's bad fraction in the period, and an upper estimate that avoids false alarms.
    [[nodiscard]] double estimate(const ComparedPeriod &) const;
    [[nodiscard]] double upperEstimate(const ComparedPeriod &) const;
    [[nodiscard]] std::array<double, 2> degradations() const;
    [[nodiscard]] double alarmThreshold() const;

    EvidenceLimits m_limits;
    // For each of the degradations.
    std::array<Sum, 2> m_alarm;
    Sum m_acceptance;
    // Since the first period.
    Sum m_overall;
    bool m_isAccepted{false};
    // The old version's answers in earlier periods, with decay.
    double m_answers{0};
    double m_bad{0};
};

} // namespace Wisteria
