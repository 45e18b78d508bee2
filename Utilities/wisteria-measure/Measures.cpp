// Quantiles by Boost.Accumulators, and the figures of a table.

#include "Measures.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <algorithm>
#include <functional>

namespace Wisteria::Measure {

namespace detail {

using Extract = std::function<double(const RunResult &run, const RunResult &reference)>;

struct FigureKind
{
    const char *name;
    const char *unit;
    Extract value;
};

Extract quantileOf(std::vector<double> RunResult::*samples, double probability)
{
    return [=](const RunResult &run, const RunResult &) { return quantile(run.*samples, probability); };
}

double percent(double part, double whole)
{
    return whole > 0 ? 100 * part / whole : 0;
}

double refused(const RunResult &run)
{
    double sum = 0;
    for (const auto &[name, n] : run.refusals)
        sum += static_cast<double>(n);
    return sum;
}

std::vector<FigureKind> figureKinds()
{
    using R = RunResult;
    return {
        {"resume samples", "",
         [](const R &r, const R &) { return static_cast<double>(r.resumeLatencies.size()); }},
        {"resume p50", "s", quantileOf(&R::resumeLatencies, 0.5)},
        {"resume p95", "s", quantileOf(&R::resumeLatencies, 0.95)},
        {"resume p99", "s", quantileOf(&R::resumeLatencies, 0.99)},
        {"resume max", "s", quantileOf(&R::resumeLatencies, 1)},
        {"extra engine work", "%",
         [](const R &r, const R &reference) {
             return 100 * (r.workPerToken() / reference.workPerToken() - 1);
         }},
        {"first token p95 urgent", "s", quantileOf(&R::firstTokenUrgent, 0.95)},
        {"first token p95 patient", "s", quantileOf(&R::firstTokenPatient, 0.95)},
        {"between tokens p95 urgent", "s", quantileOf(&R::gapsUrgent, 0.95)},
        {"between tokens p95 patient", "s", quantileOf(&R::gapsPatient, 0.95)},
        {"urgent answer p99", "s", quantileOf(&R::urgentAnswers, 0.99)},
        {"refused", "%",
         [](const R &r, const R &) { return percent(refused(r), static_cast<double>(r.requests)); }},
        {"retry after p50", "s", quantileOf(&R::retryAfters, 0.5)},
        {"broken off", "", [](const R &r, const R &) { return static_cast<double>(r.brokenOff); }},
        {"attempts a request", "",
         [](const R &r, const R &) {
             return static_cast<double>(r.attempts) / static_cast<double>(r.requests);
         }},
        {"requests", "", [](const R &r, const R &) { return static_cast<double>(r.requests); }},
        {"unanswered", "", [](const R &r, const R &) { return static_cast<double>(r.unanswered); }},
        {"wrong tokens", "", [](const R &r, const R &) { return static_cast<double>(r.wrongTokens); }},
    };
}

Figure spread(const FigureKind &kind, const std::vector<RunResult> &runs,
              const std::vector<RunResult> &references)
{
    std::vector<double> values;
    for (std::size_t n = 0; n < runs.size(); ++n)
        values.push_back(kind.value(runs[n], references[n]));
    return Figure{kind.name, kind.unit, quantile(values, 0.5), std::ranges::min(values),
                  std::ranges::max(values)};
}

// All seeds' samples together, for tails that one run has too few samples of.
RunResult pooled(const std::vector<RunResult> &runs)
{
    RunResult out;
    for (const auto &it : runs)
        out.resumeLatencies.insert(out.resumeLatencies.end(), it.resumeLatencies.begin(),
                                   it.resumeLatencies.end());
    return out;
}

} // namespace detail

double quantile(const std::vector<double> &samples, double probability)
{
    namespace acc = boost::accumulators;
    if (samples.empty())
        return 0;
    // NOTE: The accumulator has no quantile that is as far out as the least or the greatest sample.
    if (probability >= 1 || samples.size() == 1)
        return std::ranges::max(samples);
    // With a cache of all samples the quantile is exact.
    acc::accumulator_set<double, acc::stats<acc::tag::tail_quantile<acc::right>>> set(
        acc::tag::tail<acc::right>::cache_size = samples.size());
    for (double it : samples)
        set(it);
    return acc::quantile(set, acc::quantile_probability = probability);
}

std::vector<Figure> summarise(const std::vector<RunResult> &runs, const std::vector<RunResult> &references)
{
    std::vector<Figure> out;
    for (const auto &kind : detail::figureKinds())
        out.push_back(detail::spread(kind, runs, references));
    const RunResult all = detail::pooled(runs);
    for (double probability : {0.5, 0.95, 0.99, 1.0}) {
        const double value = quantile(all.resumeLatencies, probability);
        const std::string name =
            probability < 1 ? "p" + std::to_string(static_cast<int>(probability * 100)) : "max";
        out.push_back(Figure{"resume " + name + " of all seeds", "s", value, value, value});
    }
    return out;
}

} // namespace Wisteria::Measure
