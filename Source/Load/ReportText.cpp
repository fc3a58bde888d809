#include "Load/ReportText.h"

#include <utility>
#include <vector>

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace Currantfall::Load {

namespace {

double milliseconds(absl::Duration duration)
{
    return absl::ToDoubleMilliseconds(duration);
}

bool hasPhase(const LoadReport &report, bool direct)
{
    for (const Phase &phase : report.phases) {
        if (phase.direct == direct) {
            return true;
        }
    }
    return false;
}

absl::Duration lengthOf(const LoadReport &report, bool direct)
{
    absl::Duration length = absl::ZeroDuration();
    for (const Phase &phase : report.phases) {
        if (phase.direct == direct) {
            length += phase.length;
        }
    }
    return length;
}

/// Verified answers per second of the phases.
double goodput(const ClassResult &result, absl::Duration length)
{
    return static_cast<double>(result.answeredInPhase) / absl::ToDoubleSeconds(length);
}

/// Steered against the direct phase before it.
struct PairRatio
{
    std::size_t pair = 0;
    double p50 = 0;
    double p99 = 0;
    double addedP50 = 0; // Milliseconds.
    double addedP99 = 0;
};

std::vector<PairRatio> pairRatios(const LoadReport &report, std::size_t classIndex)
{
    std::vector<PairRatio> ratios;
    for (std::size_t index = 0; index + 1 < report.phases.size(); index += 2) {
        const LatencyHistogram &direct = report.phases.at(index).classes.at(classIndex).answered;
        const LatencyHistogram &steered
                = report.phases.at(index + 1).classes.at(classIndex).answered;
        if (direct.count() == 0 || steered.count() == 0) {
            continue;
        }
        const double directP50 = milliseconds(direct.quantile(0.5));
        const double directP99 = milliseconds(direct.quantile(0.99));
        const double steeredP50 = milliseconds(steered.quantile(0.5));
        const double steeredP99 = milliseconds(steered.quantile(0.99));
        ratios.push_back(PairRatio { index / 2 + 1, steeredP50 / directP50, steeredP99 / directP99,
                                     steeredP50 - directP50, steeredP99 - directP99 });
    }
    return ratios;
}

nlohmann::json toJson(const ClassResult &result, const RequestClass &requestClass, bool direct,
                      absl::Duration length, bool verified)
{
    nlohmann::json outcomes;
    for (std::size_t index = 0; index < callOutcomes; ++index) {
        outcomes[toString(static_cast<CallOutcome>(index))] = result.outcomes.at(index);
    }
    nlohmann::json json { { "service", requestClass.service },
                          { "tenant", requestClass.tenant },
                          { "method", requestClass.method },
                          { "path", requestClass.path },
                          { "direct", direct },
                          { "requests", result.requests() },
                          { "not_sent", result.notSent },
                          { "abandoned", result.abandoned },
                          { "attempts", result.attempts },
                          { "goodput_per_s", goodput(result, length) },
                          { "outcomes", outcomes },
                          { "pause_refusals", result.pauseRefusals },
                          { "leaving_responses", result.leavingResponses },
                          { "wrong_answers", result.count(CallOutcome::WrongAnswer) },
                          { "p50_ms", milliseconds(result.answered.quantile(0.5)) },
                          { "p90_ms", milliseconds(result.answered.quantile(0.9)) },
                          { "p99_ms", milliseconds(result.answered.quantile(0.99)) },
                          { "p999_ms", milliseconds(result.answered.quantile(0.999)) },
                          { "max_ms", milliseconds(result.answered.maximum()) } };
    if (verified) {
        json["duplicates"] = result.duplicates;
        json["false_not_run"] = result.falseNotRun;
    }
    return json;
}

std::string line(const ClassResult &result, const RequestClass &requestClass, bool direct,
                 absl::Duration length, bool verified)
{
    const LatencyHistogram &times = result.answered;
    std::string text = absl::StrFormat(
            "%-8s %-36s %8d %9.1f %8.2f %8.2f %8.2f %8.2f %8.2f %7d %7d %7d %7d %7d %7d %7d",
            direct ? "direct" : "steered", requestClass.toString(), result.requests(),
            goodput(result, length), milliseconds(times.quantile(0.5)),
            milliseconds(times.quantile(0.9)), milliseconds(times.quantile(0.99)),
            milliseconds(times.quantile(0.999)), milliseconds(times.maximum()),
            result.count(CallOutcome::NotRun), result.count(CallOutcome::OutcomeUnknown),
            result.count(CallOutcome::Unreachable), result.count(CallOutcome::ErrorAnswer),
            result.count(CallOutcome::WrongAnswer), result.notSent, result.abandoned);
    if (verified) {
        text += absl::StrFormat(" %7d %7d", result.duplicates, result.falseNotRun);
    }
    return text + "\n";
}

/// Empty if no backend server said that it leaves or pauses.
std::string noticeLine(const ClassResult &result, const RequestClass &requestClass, bool direct)
{
    if (result.pauseRefusals == 0 && result.leavingResponses == 0) {
        return {};
    }
    return absl::StrFormat(
            "%-8s %-36s %d refusals by pausing servers, %d responses by leaving servers\n",
            direct ? "direct" : "steered", requestClass.toString(), result.pauseRefusals,
            result.leavingResponses);
}

} // namespace

std::string reportText(const LoadReport &report, const Settings &settings)
{
    std::string text = absl::StrFormat(
            "%-8s %-36s %8s %9s %8s %8s %8s %8s %8s %7s %7s %7s %7s %7s %7s %7s%s\n", "path",
            "class", "requests", "goodput/s", "p50 ms", "p90 ms", "p99 ms", "p999 ms", "max ms",
            "not-run", "unknown", "unreach", "error", "wrong", "notsent", "abandon",
            report.verified ? "    dup. falsenr" : "");
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        for (const bool direct : { true, false }) {
            if (hasPhase(report, direct)) {
                text += line(report.total(index, direct), settings.classes.at(index), direct,
                             lengthOf(report, direct), report.verified);
            }
        }
    }
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        for (const bool direct : { true, false }) {
            text += noticeLine(report.total(index, direct), settings.classes.at(index), direct);
        }
    }
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        for (const PairRatio &ratio : pairRatios(report, index)) {
            text += absl::StrFormat(
                    "pair %d %s: steered/direct p50 %.3f (%+.3f ms), p99 %.3f (%+.3f ms)\n",
                    ratio.pair, settings.classes.at(index).toString(), ratio.p50, ratio.addedP50,
                    ratio.p99, ratio.addedP99);
        }
    }
    return text + report.timeline;
}

std::string reportJson(const LoadReport &report, const Settings &settings)
{
    nlohmann::json classes = nlohmann::json::array();
    nlohmann::json ratios = nlohmann::json::array();
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        for (const bool direct : { true, false }) {
            if (hasPhase(report, direct)) {
                classes.push_back(toJson(report.total(index, direct), settings.classes.at(index),
                                         direct, lengthOf(report, direct), report.verified));
            }
        }
        for (const PairRatio &ratio : pairRatios(report, index)) {
            ratios.push_back({ { "class", settings.classes.at(index).toString() },
                               { "pair", ratio.pair },
                               { "p50_ratio", ratio.p50 },
                               { "p99_ratio", ratio.p99 },
                               { "added_p50_ms", ratio.addedP50 },
                               { "added_p99_ms", ratio.addedP99 } });
        }
    }
    const nlohmann::json json { { "classes", classes },
                                { "pairs", ratios },
                                { "verified", report.verified },
                                { "invariant_broken", report.invariantBroken() } };
    return json.dump() + "\n";
}

} // namespace Currantfall::Load
