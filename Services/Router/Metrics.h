// Counters and quantiles of one process, shown in the Prometheus text form.

#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

// NOTE: GCC 12 takes a member that the accumulator assigns in its constructor for uninitialized.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#pragma GCC diagnostic pop

#include <cstdint>
#include <map>
#include <string>

namespace Wisteria {

// Thread-safe.
class Metrics
{
public:
    // Names are of the form "generations_total{outcome=\"complete\"}"; the prefix wisteria_ is added.
    void count(const std::string &name, std::uint64_t n = 1);
    void setGauge(const std::string &name, double value);
    // Adds one duration to a summary with quantiles; shown in seconds.
    void observe(const std::string &name, absl::Duration duration);

    [[nodiscard]] std::string render() const;

private:
    using Summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square_quantile>>;

    mutable absl::Mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counters ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, double> m_gauges ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, Summary> m_summaries ABSL_GUARDED_BY(m_mutex);
};

} // namespace Wisteria
