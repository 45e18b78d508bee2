// Quantiles are estimates by the extended P-square algorithm (Raatikainen 1987), as Boost.Accumulators gives
// it: constant memory whatever the number of observations.

#include <Router/Metrics.h>

#include <absl/strings/str_cat.h>

#include <array>

namespace Wisteria {

namespace detail {

constexpr std::array quantiles = {0.5, 0.95, 0.99};
constexpr std::array probabilities = {0.25, 0.5, 0.75, 0.95, 0.99, 0.999};

} // namespace detail

void Metrics::count(const std::string &name, std::uint64_t n)
{
    absl::MutexLock lock(&m_mutex);
    m_counters[name] += n;
}

void Metrics::setGauge(const std::string &name, double value)
{
    absl::MutexLock lock(&m_mutex);
    m_gauges[name] = value;
}

void Metrics::observe(const std::string &name, absl::Duration duration)
{
    namespace accumulators = boost::accumulators;
    absl::MutexLock lock(&m_mutex);
    auto it =
        m_summaries.try_emplace(name, accumulators::extended_p_square_probabilities = detail::probabilities)
            .first;
    it->second(absl::ToDoubleSeconds(duration));
}

std::string Metrics::render() const
{
    namespace accumulators = boost::accumulators;
    std::string buf;
    absl::MutexLock lock(&m_mutex);
    for (const auto &[name, value] : m_counters)
        absl::StrAppend(&buf, "wisteria_", name, " ", value, "\n");
    for (const auto &[name, value] : m_gauges)
        absl::StrAppend(&buf, "wisteria_", name, " ", value, "\n");
    for (const auto &[name, summary] : m_summaries) {
        for (double q : detail::quantiles) {
            double value = accumulators::quantile(summary, accumulators::quantile_probability = q);
            absl::StrAppend(&buf, "wisteria_", name, "{quantile=\"", q, "\"} ", value, "\n");
        }
        absl::StrAppend(&buf, "wisteria_", name, "_sum ", accumulators::sum(summary), "\n");
        absl::StrAppend(&buf, "wisteria_", name, "_count ", accumulators::count(summary), "\n");
    }
    return buf;
}

} // namespace Wisteria
