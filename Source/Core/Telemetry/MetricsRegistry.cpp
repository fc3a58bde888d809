#include "currantfall/Telemetry/MetricsRegistry.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include "currantfall/Telemetry/LatencyHistogram.h"

#include "PrometheusText.h"

namespace Currantfall::Telemetry {

namespace {

constexpr std::size_t shardCount = 16;
// Labels other than the known names come from code, so this is only reached by a mistake; it then
// costs one series instead of the memory.
constexpr std::size_t mostSeriesPerName = 256;
const std::string otherName = "other";
const std::string latencyName = "currantfall_request_duration_seconds";

/// Numbers of names; 0 is "other". A name keeps its number when the document changes.
template<typename Name>
class NameTable
{
public:
    void set(const std::vector<Name> &newNames)
    {
        this->known.clear();
        for (const Name &name : newNames) {
            const auto next = static_cast<std::uint32_t>(this->names.size());
            const auto number = this->numbers.try_emplace(name, next).first->second;
            if (number == next) {
                this->names.push_back(name.value());
            }
            this->known.emplace(name, number);
        }
    }

    std::uint32_t numberOf(const Name &name) const
    {
        const auto found = this->known.find(name);
        return found == this->known.end() ? 0 : found->second;
    }

    bool knows(const std::string &name) const { return this->known.contains(Name(name)); }
    const std::string &nameOf(std::uint32_t number) const { return this->names[number]; }

private:
    std::vector<std::string> names = { otherName };
    absl::flat_hash_map<Name, std::uint32_t> numbers;
    absl::flat_hash_map<Name, std::uint32_t> known;
};

struct Names
{
    NameTable<Common::ServiceName> services;
    NameTable<Common::TenantName> tenants;
    NameTable<Common::RankName> ranks;

    bool isUnknown(const std::pair<std::string, std::string> &label) const
    {
        const auto &[name, value] = label;
        return (name == "tenant" && !this->tenants.knows(value))
               || (name == "service" && !this->services.knows(value))
               || (name == "rank" && !this->ranks.knows(value));
    }

    /// `labels`, rendered with "other" in place of unknown names.
    std::string render(const Labels &labels) const
    {
        std::string result;
        for (const auto &label : labels) {
            appendLabel(result, label.first, this->isUnknown(label) ? otherName : label.second);
        }
        return result;
    }
};

struct SeriesKey
{
    std::uint32_t service = 0;
    std::uint32_t tenant = 0;
    std::uint32_t rank = 0;
    Common::Outcome outcome = Common::Outcome::Answered;

    // clang-tidy 14 takes the literal zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const SeriesKey &left, const SeriesKey &right) = default;

    template<typename State>
    friend State AbslHashValue(State state, const SeriesKey &key)
    {
        return State::combine(std::move(state), key.service, key.tenant, key.rank, key.outcome);
    }
};

using Latencies = absl::flat_hash_map<SeriesKey, LatencyHistogram>;
template<typename Value>
using SeriesByLabels = std::map<std::string, Value>;
template<typename Value>
using SeriesByName = std::map<std::string, SeriesByLabels<Value>>;

/// Finds or adds a series. Beyond the limit, all label values become "other".
template<typename Value>
Value &seriesOf(SeriesByName<Value> &byName, const Names &names, const std::string &name,
                const Labels &labels)
{
    SeriesByLabels<Value> &series = byName[name];
    const std::string rendered = names.render(labels);
    const auto found = series.find(rendered);
    if (found != series.end()) {
        return found->second;
    }
    if (series.size() < mostSeriesPerName) {
        return series[rendered];
    }
    std::string overflow;
    for (const auto &label : labels) {
        appendLabel(overflow, label.first, otherName);
    }
    return series[overflow];
}

std::size_t shardOfThread()
{
    static std::atomic<std::size_t> threads { 0 };
    thread_local const std::size_t shard
            = threads.fetch_add(1, std::memory_order_relaxed) % shardCount;
    return shard;
}

} // namespace

// std::mutex instead of Abseil's: Debian builds the latter with deadlock detection, which takes a
// global lock in every Lock(), and without the annotations that ThreadSanitizer needs.
struct MetricsRegistry::State
{
    struct alignas(64) Shard
    {
        mutable std::mutex mutex;
        Names names;
        Latencies latencies;
        SeriesByName<std::uint64_t> counters;
    };

    std::array<Shard, shardCount> shards;
    mutable std::mutex mutex;
    Names names;
    SeriesByName<double> gauges;
    std::map<std::string, std::string> help;

    /// Sums of the shards, in the order of their labels.
    std::map<SeriesKey, LatencyHistogram> mergedLatencies() const
    {
        std::map<SeriesKey, LatencyHistogram> result;
        for (const Shard &shard : this->shards) {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            for (const auto &[key, histogram] : shard.latencies) {
                result[key].merge(histogram);
            }
        }
        return result;
    }

    SeriesByName<std::uint64_t> mergedCounters() const
    {
        SeriesByName<std::uint64_t> result;
        for (const Shard &shard : this->shards) {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            for (const auto &[name, series] : shard.counters) {
                for (const auto &[labels, value] : series) {
                    result[name][labels] += value;
                }
            }
        }
        return result;
    }

    std::string helpOf(const std::string &name) const
    {
        const auto found = this->help.find(name);
        return found == this->help.end() ? name : found->second;
    }

    std::string labelsOf(const SeriesKey &key) const
    {
        return renderLabels({ { "service", this->names.services.nameOf(key.service) },
                              { "tenant", this->names.tenants.nameOf(key.tenant) },
                              { "rank", this->names.ranks.nameOf(key.rank) },
                              { "outcome", Common::toString(key.outcome) } });
    }
};

MetricsRegistry::MetricsRegistry() : state(std::make_unique<State>()) { }

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::setKnownNames(const std::vector<Common::ServiceName> &services,
                                    const std::vector<Common::TenantName> &tenants,
                                    const std::vector<Common::RankName> &ranks)
{
    // The copy of the shards spares the request path a lock that all threads share. The copy here
    // is changed first, so that it has a name for every number in a shard.
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->names.services.set(services);
    this->state->names.tenants.set(tenants);
    this->state->names.ranks.set(ranks);
    for (State::Shard &shard : this->state->shards) {
        const std::lock_guard<std::mutex> shardLock(shard.mutex);
        shard.names = this->state->names;
    }
}

void MetricsRegistry::recordLatency(const RequestLabels &labels, absl::Duration latency)
{
    State::Shard &shard = this->state->shards[shardOfThread()];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const SeriesKey key { shard.names.services.numberOf(labels.service),
                          shard.names.tenants.numberOf(labels.tenant),
                          shard.names.ranks.numberOf(labels.rank), labels.outcome };
    shard.latencies[key].record(latency);
}

void MetricsRegistry::addToCounter(const std::string &name, const Labels &labels,
                                   std::uint64_t count)
{
    State::Shard &shard = this->state->shards[shardOfThread()];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    seriesOf(shard.counters, shard.names, name, labels) += count;
}

void MetricsRegistry::setGauge(const std::string &name, double value, const Labels &labels)
{
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    seriesOf(this->state->gauges, this->state->names, name, labels) = value;
}

void MetricsRegistry::describe(const std::string &name, const std::string &help)
{
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    this->state->help[name] = help;
}

absl::Duration MetricsRegistry::quantile(double q, const Common::ServiceName &service,
                                         const Common::RankName &rank,
                                         const Common::TenantName &tenant) const
{
    const auto latencies = this->state->mergedLatencies();
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    const Names &names = this->state->names;
    LatencyHistogram merged;
    for (const auto &[key, histogram] : latencies) {
        const bool matches
                = (service.empty() || names.services.nameOf(key.service) == service.value())
                  && (rank.empty() || names.ranks.nameOf(key.rank) == rank.value())
                  && (tenant.empty() || names.tenants.nameOf(key.tenant) == tenant.value());
        if (matches) {
            merged.merge(histogram);
        }
    }
    return merged.quantile(q);
}

std::uint64_t MetricsRegistry::counter(const std::string &name, const Labels &labels) const
{
    const auto counters = this->state->mergedCounters();
    const auto series = counters.find(name);
    if (series == counters.end()) {
        return 0;
    }
    const auto found = series->second.find(renderLabels(labels));
    return found == series->second.end() ? 0 : found->second;
}

std::string MetricsRegistry::toPrometheus() const
{
    const auto latencies = this->state->mergedLatencies();
    const auto counters = this->state->mergedCounters();
    const std::lock_guard<std::mutex> lock(this->state->mutex);
    PrometheusText page;
    if (!latencies.empty()) {
        page.startMetric(latencyName, "histogram", "Time from arrival of a request to its answer.");
    }
    for (const auto &[key, histogram] : latencies) {
        page.addHistogram(latencyName, this->state->labelsOf(key), histogram);
    }
    for (const auto &[name, series] : counters) {
        page.startMetric(name, "counter", this->state->helpOf(name));
        for (const auto &[labels, value] : series) {
            page.addSample(name, labels, absl::StrCat(value));
        }
    }
    for (const auto &[name, series] : this->state->gauges) {
        page.startMetric(name, "gauge", this->state->helpOf(name));
        for (const auto &[labels, value] : series) {
            page.addSample(name, labels, renderNumber(value));
        }
    }
    return page.text();
}

} // namespace Currantfall::Telemetry
