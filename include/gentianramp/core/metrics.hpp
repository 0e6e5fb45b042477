#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gentianramp {

/// One label of a metric.
struct MetricLabel
{
    std::string name;
    std::string value;
    auto operator<=>(const MetricLabel &) const = default;
};

using MetricLabels = std::vector<MetricLabel>;

/// Number that only grows.
class Counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// Number that goes up and down.
class Gauge
{
public:
    void set(double value) noexcept { m_value.store(value, std::memory_order_relaxed); }
    double value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value{0};
};

/// Distribution over logarithmic bins; safe to fill from any thread without a lock.
class Distribution
{
public:
    /// Bins between @p lowest and @p highest, both above zero.
    Distribution(double lowest, double highest, unsigned bins);
    ~Distribution();

    void record(double value) noexcept;
    std::uint64_t count() const;
    double sum() const;
    /// Value below which the share @p q (0 to 1) of the records lies, to the width of a bin.
    double quantile(double q) const;

private:
    friend class MetricsRegistry;
    struct State;
    std::unique_ptr<State> m_state;
};

/// Owns the metrics of a process and writes them as Prometheus text.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();

    /// Returns the metric of that name and labels, made at the first call. The reference stays
    /// valid as long as the registry; callers on the path of a request keep it.
    Counter &counter(const std::string &name, const std::string &help, MetricLabels labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, MetricLabels labels = {});
    /// Distribution of seconds from 10 microseconds to 1000 s.
    Distribution &latency(const std::string &name, const std::string &help,
                          MetricLabels labels = {});
    Distribution &distribution(const std::string &name, const std::string &help, double lowest,
                               double highest, unsigned bins, MetricLabels labels = {});

    /// All metrics in the Prometheus text format.
    std::string prometheusText() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianramp
