#include "PrometheusText.h"

#include <cmath>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

namespace Currantfall::Telemetry {

namespace {

std::string withLabel(std::string labels, const std::string &name, const std::string &value)
{
    appendLabel(labels, name, value);
    return labels;
}

} // namespace

void appendLabel(std::string &labels, const std::string &name, const std::string &value)
{
    if (!labels.empty()) {
        labels += ',';
    }
    labels += name;
    labels += "=\"";
    if (value.find_first_of("\\\"\n") == std::string::npos) {
        labels += value;
    } else {
        labels += absl::StrReplaceAll(value,
                                      { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } });
    }
    labels += '"';
}

std::string renderLabels(const std::vector<std::pair<std::string, std::string>> &labels)
{
    std::string result;
    for (const auto &[name, value] : labels) {
        appendLabel(result, name, value);
    }
    return result;
}

std::string renderNumber(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0.0 ? "+Inf" : "-Inf";
    }
    return absl::StrFormat("%.12g", value);
}

void PrometheusText::startMetric(const std::string &name, const std::string &type,
                                 const std::string &help)
{
    const std::string escaped = absl::StrReplaceAll(help, { { "\\", "\\\\" }, { "\n", "\\n" } });
    absl::StrAppend(&this->page, "# HELP ", name, " ", escaped, "\n");
    absl::StrAppend(&this->page, "# TYPE ", name, " ", type, "\n");
}

void PrometheusText::addSample(const std::string &name, const std::string &labels,
                               const std::string &value)
{
    this->page += name;
    if (!labels.empty()) {
        absl::StrAppend(&this->page, "{", labels, "}");
    }
    absl::StrAppend(&this->page, " ", value, "\n");
}

void PrometheusText::addHistogram(const std::string &name, const std::string &labels,
                                  const LatencyHistogram &histogram)
{
    const std::string bucketName = name + "_bucket";
    for (const LatencyHistogram::Bucket &bucket : histogram.thinned()) {
        const std::string edge = absl::StrFormat("%.4g", absl::ToDoubleSeconds(bucket.upperEdge));
        this->addSample(bucketName, withLabel(labels, "le", edge),
                        absl::StrCat(bucket.cumulativeCount));
    }
    this->addSample(bucketName, withLabel(labels, "le", "+Inf"), absl::StrCat(histogram.count()));
    this->addSample(name + "_sum", labels, renderNumber(absl::ToDoubleSeconds(histogram.sum())));
    this->addSample(name + "_count", labels, absl::StrCat(histogram.count()));
}

} // namespace Currantfall::Telemetry
