#include <map>
#include <optional>
#include <utility>

#include <absl/strings/str_format.h>

#include "Commands.h"
#include "Daemons.h"

namespace Currantfall::Tool {

namespace {

using nlohmann::json;

/// What the command found out.
struct Overview
{
    std::string environment;
    /// Absent without --platform or if it can't be read.
    std::optional<Platform::EnvironmentRow> row;
    std::vector<DaemonReport> reports;

    std::map<Common::Revision, std::vector<std::string>> vmsByRevision() const;
    std::vector<std::string> notHeard() const;
    json toJson() const;
    std::string toText() const;
};

std::map<Common::Revision, std::vector<std::string>> Overview::vmsByRevision() const
{
    std::map<Common::Revision, std::vector<std::string>> vms;
    for (const DaemonReport &report : this->reports) {
        if (report.status) {
            vms[report.status->revision].push_back(report.status->vm.value());
        }
    }
    return vms;
}

std::vector<std::string> Overview::notHeard() const
{
    std::vector<std::string> vms;
    for (const DaemonReport &report : this->reports) {
        if (!report.status) {
            vms.push_back(report.daemon.name());
        }
    }
    return vms;
}

json vmToJson(const DaemonReport &report)
{
    json vm = { { "vm", report.daemon.name() },
                { "admin", report.daemon.admin.toString() },
                { "heard", report.status.has_value() },
                { "listed_live", report.daemon.expectedLive() } };
    if (report.status) {
        vm["vm"] = report.status->vm.value();
        vm["zone"] = report.status->zone.value();
        vm["incarnation"] = report.status->incarnation;
        vm["revision"] = report.status->revision;
        vm["state"] = report.status->state;
    } else {
        vm["error"] = report.status.error().toString();
    }
    return vm;
}

json Overview::toJson() const
{
    json vms = json::array();
    for (const DaemonReport &report : this->reports) {
        vms.push_back(vmToJson(report));
    }
    json inForce = json::object();
    for (const auto &[revision, names] : this->vmsByRevision()) {
        inForce[std::to_string(revision)] = names;
    }
    return { { "environment", this->environment },
             { "promoted", this->row ? this->row->toJson() : json() },
             { "in_force", std::move(inForce) },
             { "not_heard", this->notHeard() },
             { "vms", std::move(vms) } };
}

std::string join(const std::vector<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += " " + name;
    }
    return text;
}

std::string Overview::toText() const
{
    std::string text;
    if (this->row) {
        text += absl::StrFormat("%s: revision %d of operator %s, document %s\n", this->environment,
                                this->row->revision(), this->row->operatorName(),
                                this->row->document());
        for (const Platform::DrainEntry &drain : this->row->drains()) {
            text += absl::StrFormat("drain: %s, started by %s at %s\n", drain.target.toString(),
                                    drain.operatorName,
                                    absl::FormatTime(drain.started, absl::UTCTimeZone()));
        }
    }
    for (const auto &[revision, names] : this->vmsByRevision()) {
        text += absl::StrFormat("revision %d in force:%s\n", revision, join(names));
    }
    for (const DaemonReport &report : this->reports) {
        if (report.status && report.status->state != "live") {
            text += report.status->vm.value() + ": " + report.status->state + "\n";
        }
        if (!report.status) {
            text += report.daemon.name() + ": not heard from (" + report.status.error().toString()
                    + ")\n";
        }
    }
    return text;
}

/// Reads the row if there is a platform.
Common::Result<void> readRow(const ToolSettings &settings, Overview &overview)
{
    if (!settings.platform) {
        return {};
    }
    auto client = connectPlatform(settings);
    if (!client) {
        return tl::unexpected<Common::Error>(client.error());
    }
    auto current = revisionStore(*client, settings, overview.environment).current();
    if (!current) {
        return tl::unexpected<Common::Error>(current.error());
    }
    overview.row = std::move(current->row);
    return {};
}

Common::Result<void> requireSettings(const ToolSettings &settings)
{
    if (settings.platform || settings.daemons.empty()) {
        const auto platform = settings.required(settings.platform, "platform");
        const auto environment = settings.required(settings.environment, "environment");
        for (const auto &setting : { platform, environment }) {
            if (!setting) {
                return tl::unexpected<Common::Error>(setting.error());
            }
        }
    }
    return requireArguments(settings, 0, 0);
}

} // namespace

ExitCode status(const ToolSettings &settings, Output &output)
{
    if (auto complete = requireSettings(settings); !complete) {
        return output.invalid(complete.error());
    }
    Overview overview;
    overview.environment = settings.environment.value_or("");
    ExitCode code = ExitCode::Success;
    if (auto read = readRow(settings, overview); !read) {
        // With --daemon the daemons can still be shown while the platform is down.
        if (settings.daemons.empty()) {
            return output.fail(read.error());
        }
        output.warn(read.error().toString());
        code = exitCodeOf(read.error());
    }
    auto daemons = findDaemons(settings);
    if (!daemons) {
        return output.fail(daemons.error());
    }
    overview.reports = askDaemons(*daemons, settings);
    if (!daemons->empty() && overview.notHeard().size() == daemons->size()) {
        code = ExitCode::Unreachable;
    }
    return output.show(overview.toText(), overview.toJson(), code);
}

} // namespace Currantfall::Tool
