#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Outcome.h"

namespace Currantfall::Telemetry {

/// Labels of a request's latency.
struct RequestLabels
{
    Common::ServiceName service;
    Common::TenantName tenant;
    Common::RankName rank;
    Common::Outcome outcome = Common::Outcome::Answered;

    friend bool operator==(const RequestLabels &left, const RequestLabels &right) = default;
};

using Labels = std::vector<std::pair<std::string, std::string>>;

/// Metrics of one process. Thread-safe; recording locks one of several shards only.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// Names that get series of their own; all others count as "other". Callers choose the tenant
    /// header freely, and series must not grow with what they send.
    void setKnownNames(const std::vector<Common::ServiceName> &services,
                       const std::vector<Common::TenantName> &tenants,
                       const std::vector<Common::RankName> &ranks);

    void recordLatency(const RequestLabels &labels, absl::Duration latency);

    /// Names are full Prometheus names, such as "currantfall_forwards_total".
    void addToCounter(const std::string &name, const Labels &labels = {}, std::uint64_t count = 1);
    void setGauge(const std::string &name, double value, const Labels &labels = {});
    /// Sets the HELP text of a counter or gauge.
    void describe(const std::string &name, const std::string &help);

    /// The latency quantile `q` (0..1) over all series that match; empty names match all. Zero if
    /// nothing was recorded.
    absl::Duration quantile(double q, const Common::ServiceName &service = {},
                            const Common::RankName &rank = {},
                            const Common::TenantName &tenant = {}) const;
    std::uint64_t counter(const std::string &name, const Labels &labels = {}) const;

    /// Prometheus text exposition format, version 0.0.4.
    std::string toPrometheus() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Currantfall::Telemetry
