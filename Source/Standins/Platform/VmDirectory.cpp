#include "VmDirectory.h"

#include <algorithm>
#include <utility>

#include "currantfall/Platform/PlatformClient.h"

namespace Currantfall::Standins {

using nlohmann::json;

Common::Result<void> VmDirectory::preset(const std::string &text)
{
    const json list = json::parse(text, nullptr, false);
    const json body = { { "vms", list } };
    if (auto valid = Platform::parseVmList(body.dump(), {}); !valid) {
        return tl::unexpected<Common::Error>(valid.error());
    }
    const std::lock_guard lock(this->mutex);
    for (const json &entry : list) {
        this->snapshots.back().vms[entry["vm"].get<std::string>()] = entry;
    }
    return {};
}

Common::Result<void> VmDirectory::put(const std::string &vm, json entry, Common::Instant now)
{
    if (entry.is_object()) {
        entry["vm"] = vm;
        if (!entry.contains("state")) {
            entry["state"] = "live";
        }
    }
    const json body = { { "vms", json::array({ entry }) } };
    if (auto valid = Platform::parseVmList(body.dump(), {}); !valid) {
        return tl::unexpected<Common::Error>(valid.error());
    }
    const std::lock_guard lock(this->mutex);
    Vms vms = this->snapshots.back().vms;
    vms[vm] = std::move(entry);
    this->record(std::move(vms), now);
    return {};
}

bool VmDirectory::remove(const std::string &vm, Common::Instant now)
{
    const std::lock_guard lock(this->mutex);
    Vms vms = this->snapshots.back().vms;
    if (vms.erase(vm) == 0) {
        return false;
    }
    this->record(std::move(vms), now);
    return true;
}

Common::Result<void> VmDirectory::setViews(const std::string &text)
{
    json parsed = json::parse(text, nullptr, false);
    bool valid = parsed.is_object();
    for (const auto &view : valid ? parsed : json::object()) {
        valid = valid && view.is_object();
        for (const auto &address : view) {
            valid = valid && address.is_string()
                    && Platform::HostPort::parse(address.get<std::string>());
        }
    }
    if (!valid) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read views", {},
                               "expected {\"HOST\": {\"VM\": \"IP:PORT\"}}");
    }
    const std::lock_guard lock(this->mutex);
    this->views = std::move(parsed);
    return {};
}

json VmDirectory::listing(Common::Instant now, absl::Duration lag, const std::string &host) const
{
    const std::lock_guard lock(this->mutex);
    const Common::Instant moment = now - std::min(lag, maxLag);
    const auto later = std::upper_bound(
            this->snapshots.begin() + 1, this->snapshots.end(), moment,
            [](Common::Instant time, const Snapshot &snapshot) { return time < snapshot.since; });
    json vms = json::array();
    const json view = this->views.value(host, json::object());
    for (const auto &[name, entry] : std::prev(later)->vms) {
        vms.push_back(entry);
        if (view.contains(name)) {
            vms.back()["peer_address"] = view[name];
        }
    }
    return { { "vms", std::move(vms) } };
}

void VmDirectory::record(Vms vms, Common::Instant now)
{
    this->snapshots.push_back({ now, std::move(vms) });
    while (this->snapshots.size() > 1 && this->snapshots[1].since < now - maxLag) {
        this->snapshots.pop_front();
    }
}

} // namespace Currantfall::Standins
