#include "DrainHolders.h"

#include <utility>

#include <absl/strings/str_format.h>

namespace Currantfall::Tool {

namespace {

/// The lowest revision that is known to have the drain.
Common::Revision revisionWith(const Platform::EnvironmentRow &row, const Drain::DrainTarget &target)
{
    const Platform::DrainEntry *drain = row.findDrain(target);
    const Platform::HistoryEntry *entry
            = drain == nullptr ? nullptr : row.findOperation(drain->operation);
    // A drain older than the history is in every remembered revision.
    return entry == nullptr ? row.history().front().revision : entry->revision;
}

} // namespace

DrainHolders::DrainHolders(const Platform::EnvironmentRow &row, const Drain::DrainTarget &target,
                           const std::vector<DaemonReport> &reports)
    : target(target)
{
    if (reports.empty()) {
        this->holders.push_back({ "all VMs", 0, "none is listed" });
    }
    for (const DaemonReport &report : reports) {
        this->add(report, revisionWith(row, target));
    }
}

void DrainHolders::add(const DaemonReport &report, Common::Revision since)
{
    if (!report.status) {
        if (report.daemon.expectedLive()) {
            this->holders.push_back({ report.daemon.name(), 0, "not heard from" });
        }
        return;
    }
    const std::string name = report.status->vm.value();
    if (report.status->revision < since) {
        this->holders.push_back(
                { name, 0, absl::StrFormat("still has revision %d", report.status->revision) });
        return;
    }
    const auto held = report.status->held.find(this->target);
    if (held == report.status->held.end()) {
        this->holders.push_back({ name, 0, "does not report this drain" });
    } else if (held->second > 0) {
        this->holders.push_back({ name, held->second, {} });
    }
}

nlohmann::json DrainHolders::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Holder &holder : this->holders) {
        nlohmann::json entry = { { "vm", holder.vm } };
        if (holder.reason.empty()) {
            entry["held"] = holder.held;
        } else {
            entry["unknown"] = holder.reason;
        }
        list.push_back(std::move(entry));
    }
    return { { "kind", Drain::toString(this->target.kind) },
             { "name", this->target.name },
             { "empty", this->empty() },
             { "holders", std::move(list) } };
}

std::string DrainHolders::toText() const
{
    if (this->empty()) {
        return this->target.toString() + ": empty\n";
    }
    std::string text;
    for (const Holder &holder : this->holders) {
        const std::string state = holder.reason.empty() ? absl::StrFormat("holds %d", holder.held)
                                                        : "unknown: " + holder.reason;
        text += absl::StrFormat("%s: %s %s\n", this->target.toString(), holder.vm, state);
    }
    return text;
}

} // namespace Currantfall::Tool
