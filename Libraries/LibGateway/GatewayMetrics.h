// Counters, gauges and latency histograms of a gateway, rendered in the Prometheus text format.

#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace Wisteria {

// Histogram with cumulative buckets.
class LatencyHistogram
{
public:
    // Upper bounds in seconds. They cover latency objectives from 0.1 s to 4.5 s.
    static constexpr std::array<double, 12> bounds = {0.01, 0.025, 0.05, 0.1, 0.2, 0.35,
                                                      0.7,  1.5,   3,    4.5, 10,  25};

    void observe(absl::Duration);
    void render(const std::string &name, const std::string &labels, std::string &out) const;

private:
    std::array<std::uint64_t, bounds.size()> m_counts{};
    std::uint64_t m_count{0};
    double m_sum{0};
};

class GatewayMetrics
{
public:
    // Names omit the prefix "wisteria_"; labels have the form `outcome="complete"`.
    void increment(const std::string &name, const std::string &labels, std::uint64_t n = 1);
    void setGauge(const std::string &name, double value) { setGauge(name, "", value); }
    void setGauge(const std::string &name, const std::string &labels, double value);
    void observe(const std::string &name, const std::string &labels, absl::Duration);

    [[nodiscard]] std::string render() const;

private:
    std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
    std::map<std::string, std::map<std::string, double>> m_gauges;
    std::map<std::string, std::map<std::string, LatencyHistogram>> m_histograms;
};

} // namespace Wisteria
