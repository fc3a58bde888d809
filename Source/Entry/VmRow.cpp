#include "VmRow.h"

#include "currantfall/Common/Json.h"

namespace Currantfall::Entry {

const std::string vmTable = "entry-vms";

namespace {

// The highest port of a VM is its admin port, portBase + 9.
constexpr std::uint16_t maxPortBase = 65535 - 9;

} // namespace

std::string writeVmRow(const RegisteredVm &registered)
{
    const Membership::ListedVm &vm = registered.vm;
    return nlohmann::json {
        { "zone", vm.zone.value() },
        { "region", vm.region.value() },
        { "address", vm.address },
        { "port_base", vm.portBase },
        { "processor_share", registered.processorShare }
    }.dump();
}

Common::Result<RegisteredVm> readVmRow(const std::string &name, const std::string &value)
{
    const auto row = Common::parseJson(value);
    const auto isText
            = [&row](const char *field) { return row.contains(field) && row[field].is_string(); };
    const auto portBase
            = row.contains("port_base")
                      ? Common::numberIn<std::uint16_t>(row["port_base"], 1, maxPortBase)
                      : std::nullopt;
    const auto processorShare
            = row.contains("processor_share") ? Common::numberIn<double>(
                      row["processor_share"], minProcessorShare, maxProcessorShare)
                                              : std::nullopt;
    if (!row.is_object() || !isText("zone") || !isText("region") || !isText("address") || !portBase
        || !processorShare) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read VM row", name,
                               "a field is missing or malformed");
    }
    RegisteredVm registered;
    Membership::ListedVm &vm = registered.vm;
    vm.vm = Common::VmName(name);
    vm.zone = Common::ZoneName(row["zone"].get<std::string>());
    vm.region = Common::RegionName(row["region"].get<std::string>());
    vm.address = row["address"].get<std::string>();
    vm.portBase = *portBase;
    registered.processorShare = *processorShare;
    return registered;
}

} // namespace Currantfall::Entry
