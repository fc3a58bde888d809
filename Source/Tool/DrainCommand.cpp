#include <algorithm>
#include <utility>

#include "currantfall/Common/Time.h"
#include "currantfall/Drain/HeadroomCheck.h"

#include "Commands.h"
#include "Daemons.h"
#include "Documents.h"
#include "DrainHolders.h"
#include "HeadroomTarget.h"
#include "LoadSurvey.h"

namespace Currantfall::Tool {

namespace {

using Common::ErrorCode;

/// One run of the command.
struct Run
{
    const ToolSettings &settings;
    Output &output;
    Platform::PlatformClient &client;
    std::string environment;
    Drain::DrainTarget target;

    Platform::RevisionStore<Platform::PlatformClient> store() const
    {
        return revisionStore(this->client, this->settings, this->environment);
    }
};

Common::Result<std::vector<DaemonReport>> askAll(const Run &run)
{
    return findDaemons(run.settings).map([&](const std::vector<Daemon> &daemons) {
        return askDaemons(daemons, run.settings);
    });
}

/// With --force the refusal becomes a warning.
Common::Result<void> refuseUnlessForced(const Run &run, const Common::Error &refusal)
{
    if (!run.settings.force) {
        return tl::unexpected<Common::Error>(refusal);
    }
    run.output.warn("forced: " + refusal.toString());
    return {};
}

Common::Result<void> requireTarget(const Run &run, const Configuration::Environment &environment,
                                   const std::vector<DaemonReport> &reports)
{
    if (!Drain::exists(environment, run.target)) {
        return Common::failure(ErrorCode::NotFound, "start drain", {},
                               run.target.toString() + " is not in the document in force");
    }
    const bool listed
            = std::any_of(reports.begin(), reports.end(), [&](const DaemonReport &report) {
                  return report.daemon.name() == run.target.name
                         || (report.status && report.status->vm.value() == run.target.name);
              });
    if (run.target.kind == Drain::DrainKind::Vm && !listed) {
        return Common::failure(ErrorCode::NotFound, "start drain", {},
                               run.target.toString() + " is not on the list of VMs");
    }
    return {};
}

Common::Result<void> requireHeadroom(const Run &run, const Configuration::Environment &environment,
                                     const Platform::EnvironmentRow &row,
                                     const std::vector<DaemonReport> &reports)
{
    std::vector<Drain::DrainTarget> drains;
    for (const Platform::DrainEntry &drain : row.drains()) {
        drains.push_back(drain.target);
    }
    const auto verdict = Drain::HeadroomCheck::create().and_then([&](const auto &check) {
        return check.evaluate(environment, drains,
                              headroomTarget(run.target, environment, drains, reports),
                              serviceLoads(reports, environment, drains));
    });
    if (!verdict) {
        return refuseUnlessForced(run, verdict.error());
    }
    if (verdict->allowed()) {
        return {};
    }
    std::string detail = "the remaining capacity would be overloaded:";
    for (const Drain::Overload &overload : verdict->overloads) {
        detail += " " + overload.toString() + ";";
    }
    return refuseUnlessForced(run,
                              Common::Error(make_error_code(ErrorCode::Refused), "check headroom",
                                            {}, detail + " --force drains nevertheless"));
}

Common::Result<void> checkDrain(const Run &run, const Platform::EnvironmentRow &row)
{
    const auto environment = fetchDocument(run.client, row.document(),
                                           Common::monotonicNow() + run.settings.timeout);
    if (!environment) {
        return tl::unexpected<Common::Error>(environment.error());
    }
    const auto reports = askAll(run);
    if (!reports) {
        return tl::unexpected<Common::Error>(reports.error());
    }
    return requireTarget(run, *environment, *reports)
            .and_then([&]() -> Common::Result<void> {
                const auto complete = requireLoadData(*reports);
                return complete ? complete : refuseUnlessForced(run, complete.error());
            })
            .and_then([&] { return requireHeadroom(run, *environment, row, *reports); });
}

ExitCode start(const Run &run, const std::string &operatorName)
{
    const auto row = run.store().startDrain(
            run.target, operatorName,
            [&](const Platform::EnvironmentRow &base) { return checkDrain(run, base); });
    return row ? showRevision(run.environment, *row, run.output) : run.output.fail(row.error());
}

ExitCode finish(const Run &run, const std::string &operatorName)
{
    const auto row = run.store().finishDrain(run.target, operatorName);
    return row ? showRevision(run.environment, *row, run.output) : run.output.fail(row.error());
}

ExitCode showHolders(const Run &run)
{
    const auto current = run.store().current();
    if (!current) {
        return run.output.fail(current.error());
    }
    if (current->row.findDrain(run.target) == nullptr) {
        return run.output.fail(Common::Error(make_error_code(ErrorCode::NotFound), "drain status",
                                             {}, run.target.toString() + " is not being drained"));
    }
    const auto reports = askAll(run);
    if (!reports) {
        return run.output.fail(reports.error());
    }
    const DrainHolders holders(current->row, run.target, *reports);
    return run.output.show(holders.toText(), holders.toJson());
}

Common::Result<void> requireAction(const ToolSettings &settings)
{
    const std::string &action = settings.arguments.front();
    if (action == "start" || action == "finish" || action == "status") {
        return {};
    }
    return Common::failure(ErrorCode::InvalidInput, "read settings", {},
                           "expected drain start, finish or status, found '" + action + "'");
}

} // namespace

ExitCode drain(const ToolSettings &settings, Output &output)
{
    auto complete
            = requireArguments(settings, 3, 3).and_then([&] { return requireAction(settings); });
    if (!complete) {
        return output.invalid(complete.error());
    }
    const std::string &action = settings.arguments[0];
    const auto target = Drain::DrainTarget::parse(settings.arguments[1], settings.arguments[2]);
    if (!target) {
        return output.invalid(target.error());
    }
    const auto environment = settings.required(settings.environment, "environment");
    if (!environment) {
        return output.invalid(environment.error());
    }
    const auto operatorName = settings.required(settings.operatorName, "operator");
    if (!operatorName && action != "status") {
        return output.invalid(operatorName.error());
    }
    auto client = connectPlatform(settings);
    if (!client) {
        return output.invalid(client.error());
    }
    const Run run { settings, output, *client, *environment, *target };
    if (action == "start") {
        return start(run, *operatorName);
    }
    return action == "finish" ? finish(run, *operatorName) : showHolders(run);
}

} // namespace Currantfall::Tool
