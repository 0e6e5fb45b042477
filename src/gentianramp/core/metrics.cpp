#include <gentianramp/core/metrics.hpp>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <mutex>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace gentianramp {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using AtomicStorage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using AtomicHistogram = bh::histogram<std::tuple<LogAxis>, AtomicStorage>;

constexpr double LowestLatencySeconds = 1e-5;
constexpr double HighestLatencySeconds = 1e3;
constexpr unsigned LatencyBins = 96;

struct MetricKey
{
    std::string name;
    MetricLabels labels;
    auto operator<=>(const MetricKey &) const = default;
};

struct MetricHelp
{
    std::string text;
    prometheus::MetricType type = prometheus::MetricType::Untyped;
};

void addLabels(prometheus::ClientMetric &metric, const MetricLabels &labels)
{
    for (const MetricLabel &label : labels)
        metric.label.push_back({label.name, label.value});
}

} // namespace

struct Distribution::State
{
    State(double lowest, double highest, unsigned bins)
        : histogram(bh::make_histogram_with(AtomicStorage(), LogAxis(bins, lowest, highest)))
    { }

    std::uint64_t binCount(int bin) const { return histogram.at(bin).load(); }
    int bins() const { return histogram.axis().size(); }

    AtomicHistogram histogram;
    std::atomic<double> sum{0};
};

Distribution::Distribution(double lowest, double highest, unsigned bins)
    : m_state(std::make_unique<State>(lowest, highest, bins))
{ }

Distribution::~Distribution() = default;

void Distribution::record(double value) noexcept
{
    m_state->histogram(value);
    m_state->sum.fetch_add(value, std::memory_order_relaxed);
}

std::uint64_t Distribution::count() const
{
    std::uint64_t total = 0;
    for (int bin = -1; bin <= m_state->bins(); ++bin)
        total += m_state->binCount(bin);
    return total;
}

double Distribution::sum() const
{
    return m_state->sum.load(std::memory_order_relaxed);
}

double Distribution::quantile(double q) const
{
    const auto total = static_cast<double>(count());
    if (total == 0)
        return 0;
    const double wanted = std::clamp(q, 0.0, 1.0) * total;
    double seen = 0;
    const auto &axis = m_state->histogram.axis();
    for (int bin = -1; bin < m_state->bins(); ++bin) {
        seen += static_cast<double>(m_state->binCount(bin));
        if (seen >= wanted)
            return axis.bin(std::max(bin, 0)).upper();
    }
    return axis.bin(m_state->bins() - 1).upper();
}

struct MetricsRegistry::State
{
    mutable std::mutex mutex;
    std::map<std::string, MetricHelp> help;
    std::map<MetricKey, std::unique_ptr<Counter>> counters;
    std::map<MetricKey, std::unique_ptr<Gauge>> gauges;
    std::map<MetricKey, std::unique_ptr<Distribution>> distributions;

    prometheus::ClientMetric clientMetric(const Distribution &distribution) const
    {
        prometheus::ClientMetric metric;
        const Distribution::State &state = *distribution.m_state;
        std::uint64_t cumulative = state.binCount(-1);
        for (int bin = 0; bin < state.bins(); ++bin) {
            cumulative += state.binCount(bin);
            metric.histogram.bucket.push_back(
                {cumulative, state.histogram.axis().bin(bin).upper()});
        }
        cumulative += state.binCount(state.bins());
        metric.histogram.bucket.push_back({cumulative, INFINITY});
        metric.histogram.sample_count = cumulative;
        metric.histogram.sample_sum = distribution.sum();
        return metric;
    }
};

MetricsRegistry::MetricsRegistry()
    : m_state(std::make_unique<State>())
{ }

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(const std::string &name, const std::string &help,
                                  MetricLabels labels)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->help.try_emplace(name, MetricHelp{help, prometheus::MetricType::Counter});
    auto &slot = m_state->counters[MetricKey{name, std::move(labels)}];
    if (!slot)
        slot = std::make_unique<Counter>();
    return *slot;
}

Gauge &MetricsRegistry::gauge(const std::string &name, const std::string &help, MetricLabels labels)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->help.try_emplace(name, MetricHelp{help, prometheus::MetricType::Gauge});
    auto &slot = m_state->gauges[MetricKey{name, std::move(labels)}];
    if (!slot)
        slot = std::make_unique<Gauge>();
    return *slot;
}

Distribution &MetricsRegistry::latency(const std::string &name, const std::string &help,
                                       MetricLabels labels)
{
    return distribution(name, help, LowestLatencySeconds, HighestLatencySeconds, LatencyBins,
                        std::move(labels));
}

Distribution &MetricsRegistry::distribution(const std::string &name, const std::string &help,
                                            double lowest, double highest, unsigned bins,
                                            MetricLabels labels)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->help.try_emplace(name, MetricHelp{help, prometheus::MetricType::Histogram});
    auto &slot = m_state->distributions[MetricKey{name, std::move(labels)}];
    if (!slot)
        slot = std::make_unique<Distribution>(lowest, highest, bins);
    return *slot;
}

std::string MetricsRegistry::prometheusText() const
{
    const std::lock_guard lock(m_state->mutex);
    std::map<std::string, prometheus::MetricFamily> families;
    for (const auto &[name, help] : m_state->help)
        families[name] = {name, help.text, help.type, {}};
    for (const auto &[key, counter] : m_state->counters) {
        prometheus::ClientMetric metric;
        metric.counter.value = static_cast<double>(counter->value());
        addLabels(metric, key.labels);
        families[key.name].metric.push_back(std::move(metric));
    }
    for (const auto &[key, gauge] : m_state->gauges) {
        prometheus::ClientMetric metric;
        metric.gauge.value = gauge->value();
        addLabels(metric, key.labels);
        families[key.name].metric.push_back(std::move(metric));
    }
    for (const auto &[key, distribution] : m_state->distributions) {
        prometheus::ClientMetric metric = m_state->clientMetric(*distribution);
        addLabels(metric, key.labels);
        families[key.name].metric.push_back(std::move(metric));
    }
    std::vector<prometheus::MetricFamily> ordered;
    ordered.reserve(families.size());
    for (auto &[name, family] : families)
        ordered.push_back(std::move(family));
    return prometheus::TextSerializer().Serialize(ordered);
}

} // namespace gentianramp
