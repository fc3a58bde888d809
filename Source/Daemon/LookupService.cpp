#include "LookupService.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include <nlohmann/json.hpp>

#include "currantfall/Placement/LookupPlanner.h"

#include "CallerLocation.h"
#include "CallerResponse.h"
#include "Settings.h"

namespace Currantfall::Daemon {

namespace {

using Common::Reason;

constexpr int keepAliveIdleSeconds = 5;
constexpr int statusBadRequest = 400;

std::atomic<std::uint64_t> lastSeed { 0 };

nlohmann::ordered_json describeEntry(const LookupSnapshot &snapshot,
                                     const Configuration::Service &service,
                                     const Membership::Member &member)
{
    const bool self = member.vm == snapshot.self;
    const std::string &prefix = self ? snapshot.ownKeyPrefix : member.keyPrefix;
    nlohmann::ordered_json entry = {
        { "vm", member.vm.value() },
        { "zone", member.zone.value() },
        { "address", member.address },
        { "port", rankPortOf(member.portBase, service.rank) },
    };
    if (!prefix.empty()) {
        entry["key_prefix"] = prefix;
    }
    return entry;
}

} // namespace

Common::Result<std::unique_ptr<LookupService>>
LookupService::start(const std::string &address, std::uint16_t port, std::size_t connections,
                     const Published<LookupSnapshot> &snapshots,
                     Telemetry::MetricsRegistry &metrics)
{
    auto created
            = std::unique_ptr<LookupService>(new LookupService(connections, snapshots, metrics));
    created->listener.routes().Get(
            "/v1/lookup",
            [service = created.get()](const httplib::Request &in, httplib::Response &out) {
                service->lookUp(in, out);
            });
    const auto started = created->listener.start(address, port, "listen for lookups");
    if (!started) {
        return tl::unexpected(started.error());
    }
    return created;
}

LookupService::LookupService(std::size_t connections, const Published<LookupSnapshot> &snapshots,
                             Telemetry::MetricsRegistry &metrics)
    : snapshots(snapshots), metrics(metrics), listener(connections, keepAliveIdleSeconds)
{ }

void LookupService::lookUp(const httplib::Request &in, httplib::Response &out)
{
    this->metrics.addToCounter("currantfall_lookups_total");
    const auto snapshot = this->snapshots.read();
    if (snapshot->environment == nullptr) {
        writeAnswer(Common::notRun(Reason::NoConfiguration,
                                   "no environment document is in force yet", absl::Seconds(1)),
                    "lookup", out);
        return;
    }
    const std::string client
            = in.has_param("client") ? in.get_param_value("client") : in.remote_addr;
    const auto address = parseAddress(client);
    if (!address) {
        writeAnswer(Common::notRun(Reason::NoRoute, "client must be an IPv4 address"), "lookup",
                    out);
        out.status = statusBadRequest;
        return;
    }
    const Configuration::Service *service = snapshot->environment->findService(
            Common::ServiceName(in.get_param_value("service")));
    if (service == nullptr) {
        writeAnswer(Common::notRun(Reason::NoRoute, "the document has no such service"), "lookup",
                    out);
        return;
    }
    const auto zone = zoneOfCaller(*snapshot->environment, snapshot->clientBlocks.get(), *address);
    nlohmann::ordered_json entries = nlohmann::ordered_json::array();
    for (const Common::VmName &vm :
         Placement::LookupPlanner::plan(*snapshot->environment, snapshot->members, service->name,
                                        zone.value_or(snapshot->zone), ++lastSeed)) {
        if (const Membership::Member *member = snapshot->view->find(vm)) {
            entries.push_back(describeEntry(*snapshot, *service, *member));
        }
    }
    const nlohmann::ordered_json body = {
        { "service", service->name.value() },
        { "revision", snapshot->revision },
        { "ttl_ms", absl::ToInt64Milliseconds(snapshot->environment->lookupTtl) },
        { "entries", entries },
    };
    out.set_content(body.dump() + "\n", "application/json");
}

} // namespace Currantfall::Daemon
