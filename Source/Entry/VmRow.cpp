#include "VmRow.h"

#include <nlohmann/json.hpp>

namespace Currantfall::Entry {

const std::string vmTable = "entry-vms";

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
    const auto row = nlohmann::json::parse(value, nullptr, false);
    const auto isText
            = [&row](const char *field) { return row.contains(field) && row[field].is_string(); };
    if (!row.is_object() || !isText("zone") || !isText("region") || !isText("address")
        || !row.contains("port_base") || !row["port_base"].is_number_unsigned()
        || !row.contains("processor_share") || !row["processor_share"].is_number()) {
        return Common::failure(Common::ErrorCode::InvalidInput, "read VM row", name,
                               "a field is missing or malformed");
    }
    RegisteredVm registered;
    Membership::ListedVm &vm = registered.vm;
    vm.vm = Common::VmName(name);
    vm.zone = Common::ZoneName(row["zone"].get<std::string>());
    vm.region = Common::RegionName(row["region"].get<std::string>());
    vm.address = row["address"].get<std::string>();
    vm.portBase = row["port_base"].get<std::uint16_t>();
    registered.processorShare = row["processor_share"].get<double>();
    return registered;
}

} // namespace Currantfall::Entry
