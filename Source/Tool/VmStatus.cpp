#include "VmStatus.h"

#include <utility>

#include "currantfall/Common/Json.h"

namespace Currantfall::Tool {

namespace {

using nlohmann::json;

VmStatus parse(const json &document)
{
    VmStatus status;
    status.vm = Common::VmName(document.at("vm").get<std::string>());
    status.zone = Common::ZoneName(document.at("zone").get<std::string>());
    status.incarnation = document.at("incarnation").get<Common::Incarnation>();
    status.revision = document.at("revision").get<Common::Revision>();
    status.state = document.at("state").get<std::string>();
    for (const json &drain : document.at("drains")) {
        const auto target = Drain::DrainTarget::parse(drain.at("kind").get<std::string>(),
                                                      drain.at("name").get<std::string>());
        if (target) {
            status.held[*target] += drain.at("held").get<std::uint64_t>();
        }
    }
    status.hasServices = document.contains("services");
    const json services = document.value("services", json::object());
    for (const auto &[name, use] : services.items()) {
        // Daemons of an earlier version report the use at the moment only.
        const auto inUse = use.value("mean_in_use", use.at("in_use").get<double>());
        status.services[Common::ServiceName(name)]
                = { use.at("slots").get<std::uint64_t>(), inUse };
    }
    return status;
}

} // namespace

Common::Result<VmStatus> VmStatus::fromText(const std::string &text, const std::string &peer)
{
    try {
        return parse(Common::parseJson(text));
    } catch (const json::exception &error) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read status", peer, error.what());
    }
}

} // namespace Currantfall::Tool
