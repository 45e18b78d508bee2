// Counting and rendering. Boost.Accumulators has no cumulative buckets, which dashboards need in order to
// aggregate over routers, so the histogram uses a plain array.

#include <LibGateway/GatewayMetrics.h>

#include <absl/strings/str_cat.h>

namespace Wisteria {

namespace detail {

std::string seriesName(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : absl::StrCat(name, "{", labels, "}");
}

} // namespace detail

void LatencyHistogram::observe(absl::Duration duration)
{
    const double seconds = absl::ToDoubleSeconds(duration);
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        if (seconds <= bounds[i])
            ++m_counts[i];
    }
    ++m_count;
    m_sum += seconds;
}

void LatencyHistogram::render(const std::string &name, const std::string &labels, std::string &out) const
{
    const std::string prefix = labels.empty() ? "" : labels + ",";
    for (std::size_t i = 0; i < bounds.size(); ++i)
        absl::StrAppend(&out, name, "_bucket{", prefix, "le=\"", bounds[i], "\"} ", m_counts[i], "\n");
    absl::StrAppend(&out, name, "_bucket{", prefix, "le=\"+Inf\"} ", m_count, "\n");
    absl::StrAppend(&out, detail::seriesName(name + "_sum", labels), " ", m_sum, "\n");
    absl::StrAppend(&out, detail::seriesName(name + "_count", labels), " ", m_count, "\n");
}

void GatewayMetrics::increment(const std::string &name, const std::string &labels, std::uint64_t n)
{
    m_counters[name][labels] += n;
}

void GatewayMetrics::setGauge(const std::string &name, const std::string &labels, double value)
{
    m_gauges[name][labels] = value;
}

void GatewayMetrics::observe(const std::string &name, const std::string &labels, absl::Duration duration)
{
    m_histograms[name][labels].observe(duration);
}

std::string GatewayMetrics::render() const
{
    std::string out;
    for (const auto &[name, series] : m_counters) {
        absl::StrAppend(&out, "# TYPE wisteria_", name, " counter\n");
        for (const auto &[labels, n] : series)
            absl::StrAppend(&out, "wisteria_", detail::seriesName(name, labels), " ", n, "\n");
    }
    for (const auto &[name, series] : m_gauges) {
        absl::StrAppend(&out, "# TYPE wisteria_", name, " gauge\n");
        for (const auto &[labels, value] : series)
            absl::StrAppend(&out, "wisteria_", detail::seriesName(name, labels), " ", value, "\n");
    }
    for (const auto &[name, series] : m_histograms) {
        absl::StrAppend(&out, "# TYPE wisteria_", name, " histogram\n");
        for (const auto &[labels, histogram] : series)
            histogram.render("wisteria_" + name, labels, out);
    }
    return out;
}

} // namespace Wisteria
