#pragma once

#include <string>
#include <utility>
#include <vector>

#include "currantfall/Telemetry/LatencyHistogram.h"

namespace Currantfall::Telemetry {

/// Appends `name="value"` with the value escaped, after a comma if there are labels already.
void appendLabel(std::string &labels, const std::string &name, const std::string &value);

/// `name="value",...` with escaped values; empty without labels.
std::string renderLabels(const std::vector<std::pair<std::string, std::string>> &labels);

/// Builds a page in the text exposition format.
class PrometheusText
{
public:
    /// Starts the samples of a metric. `type` is "counter", "gauge" or "histogram".
    void startMetric(const std::string &name, const std::string &type, const std::string &help);
    /// `labels` as rendered by renderLabels().
    void addSample(const std::string &name, const std::string &labels, const std::string &value);
    void addHistogram(const std::string &name, const std::string &labels,
                      const LatencyHistogram &histogram);

    const std::string &text() const { return this->page; }

private:
    std::string page;
};

/// A number as the format has it.
std::string renderNumber(double value);

} // namespace Currantfall::Telemetry
