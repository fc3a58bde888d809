#include "Daemons.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include <httplib.h>

#include "currantfall/Common/Time.h"

#include "Commands.h"

namespace Currantfall::Tool {

namespace {

Common::Result<VmStatus> askDaemon(const Daemon &daemon, absl::Duration timeout)
{
    auto status = fetch(daemon.admin, "/status", timeout).and_then([&](const std::string &body) {
        return VmStatus::fromText(body, daemon.admin.toString());
    });
    // A VM that was replaced may have got the address of another one.
    if (status && daemon.listed && daemon.listed->vm != status->vm) {
        return Common::failure(Common::ErrorCode::Refused, "read status", daemon.admin.toString(),
                               "answered as " + status->vm.value());
    }
    return status;
}

} // namespace

std::string Daemon::name() const
{
    return this->listed ? this->listed->vm.value() : this->admin.toString();
}

bool Daemon::expectedLive() const
{
    return !this->listed || this->listed->state == Platform::VmState::Live;
}

Platform::HostPort Daemon::lookups() const
{
    return { this->admin.host, this->admin.port - adminPortOffset };
}

Common::Result<std::vector<Daemon>> findDaemons(const ToolSettings &settings)
{
    std::vector<Daemon> daemons;
    for (const Platform::HostPort &admin : settings.daemons) {
        daemons.push_back({ admin, std::nullopt });
    }
    if (!daemons.empty()) {
        return daemons;
    }
    auto client = connectPlatform(settings);
    if (!client) {
        return tl::unexpected<Common::Error>(client.error());
    }
    const auto vms = client->listVms(Common::monotonicNow() + settings.timeout);
    if (!vms) {
        return tl::unexpected<Common::Error>(vms.error());
    }
    for (const Platform::ListedVm &vm : *vms) {
        daemons.push_back({ { vm.address, vm.portBase + adminPortOffset }, vm });
    }
    return daemons;
}

std::vector<DaemonReport> askDaemons(const std::vector<Daemon> &daemons,
                                     const ToolSettings &settings)
{
    std::vector<DaemonReport> reports;
    reports.reserve(daemons.size());
    for (const Daemon &daemon : daemons) {
        reports.push_back(
                { daemon, Common::failure(Common::ErrorCode::Unavailable, "read status",
                                          daemon.admin.toString(),
                                          "the time limit was reached before it was asked") });
    }
    std::atomic<std::size_t> next = 0;
    const Common::Instant deadline = Common::monotonicNow() + settings.timeout / 2;
    const auto work = [&] {
        for (std::size_t i = next++; i < reports.size(); i = next++) {
            const absl::Duration remaining = deadline - Common::monotonicNow();
            if (remaining <= absl::ZeroDuration()) {
                return;
            }
            reports[i].status
                    = askDaemon(reports[i].daemon, std::min(remaining, settings.daemonTimeout()));
        }
    };
    constexpr std::size_t maxThreads = 64;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(maxThreads, reports.size()); ++i) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return reports;
}

Common::Result<std::string> fetch(const Platform::HostPort &server, const std::string &path,
                                  absl::Duration timeout)
{
    const std::string step = "GET " + path;
    httplib::Client client(server.host, server.port);
    const timeval limit = absl::ToTimeval(timeout / 2);
    client.set_connection_timeout(limit.tv_sec, limit.tv_usec);
    client.set_read_timeout(limit.tv_sec, limit.tv_usec);
    client.set_tcp_nodelay(true);
    const auto response = client.Get(path);
    if (!response) {
        return Common::failure(Common::ErrorCode::Unavailable, step, server.toString(),
                               httplib::to_string(response.error()));
    }
    if (response->status != 200) {
        return Common::failure(Common::ErrorCode::Refused, step, server.toString(),
                               "status " + std::to_string(response->status) + ": "
                                       + response->body);
    }
    return response->body;
}

} // namespace Currantfall::Tool
