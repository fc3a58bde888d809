#include "ZoneLinks.h"

#include <algorithm>
#include <stdexcept>

#include <httplib.h>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;

constexpr int relayPort = 7008;
constexpr int platformPort = 7900;
constexpr int controlPort = 7901;
constexpr int platformHost = 100;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

ZoneLinks::ZoneLinks(std::vector<std::string> zones, std::vector<LinkedVm> vms,
                     std::string platform, const std::function<std::string(int, int)> &host)
    : zones(std::move(zones)), control(host(0, 1))
{
    for (int from = 0; from < static_cast<int>(this->zones.size()); ++from) {
        const std::string &zone = this->zones[from];
        this->relays.push_back({ zone, "", "",
                                 host(from + 1, platformHost) + ":" + std::to_string(platformPort),
                                 platform });
        for (int to = 0; to < static_cast<int>(vms.size()); ++to) {
            if (vms[to].zone != zone) {
                this->relays.push_back({ zone, vms[to].zone, vms[to].name,
                                         host(from + 1, to + 1) + ":" + std::to_string(relayPort),
                                         vms[to].peerAddress });
            }
        }
    }
}

json ZoneLinks::platformViews() const
{
    json views = json::object();
    for (const Relay &relay : this->relays) {
        if (!relay.vm.empty()) {
            views[this->platformOf(relay.from)][relay.vm] = relay.listen;
        }
    }
    return views;
}

std::string ZoneLinks::platformOf(const std::string &zone) const
{
    for (const Relay &relay : this->relays) {
        if (relay.from == zone && relay.to.empty()) {
            return relay.listen;
        }
    }
    throw std::runtime_error("no zone " + zone);
}

void ZoneLinks::start()
{
    std::vector<std::string> arguments { "--control",
                                         this->control + ":" + std::to_string(controlPort) };
    for (const Relay &relay : this->relays) {
        arguments.insert(arguments.end(), { "--listen", relay.listen, "--target", relay.target });
    }
    this->process = std::make_unique<ProcessFixture>(STANDIN_LINK_PATH, arguments);
    waitUntil([this] {
        httplib::Client client(this->control, controlPort);
        if (!this->process->running()) {
            throw std::runtime_error("standin-link ended: " + this->process->errors());
        }
        return static_cast<bool>(client.Get("/_control"));
    });
}

void ZoneLinks::set(const std::string &zone, const std::string &otherZone,
                    const json &settings) const
{
    this->apply(
            [&](const Relay &relay) {
                return (relay.from == zone && relay.to == otherZone)
                       || (relay.from == otherZone && relay.to == zone);
            },
            settings);
}

void ZoneLinks::setPlatform(const std::string &zone, const json &settings) const
{
    this->apply([&](const Relay &relay) { return relay.from == zone && relay.to.empty(); },
                settings);
}

void ZoneLinks::isolate(const std::vector<std::string> &group, bool cut) const
{
    this->apply(
            [&](const Relay &relay) {
                return contains(group, relay.from) != contains(group, relay.to);
            },
            { { "cut", cut } });
}

void ZoneLinks::setAll(const json &settings) const
{
    this->apply([](const Relay &relay) { return !relay.to.empty(); }, settings);
}

void ZoneLinks::apply(const std::function<bool(const Relay &)> &chosen, const json &settings) const
{
    httplib::Client client(this->control, controlPort);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    for (const Relay &relay : this->relays) {
        if (!chosen(relay)) {
            continue;
        }
        json body = settings;
        body["listen"] = relay.listen;
        const auto response = client.Post("/_control", body.dump(), "application/json");
        if (!response || response->status != 200) {
            throw std::runtime_error("the link " + relay.listen + " could not be set");
        }
    }
}

} // namespace Currantfall::Tests
