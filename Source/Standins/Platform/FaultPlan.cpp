#include "FaultPlan.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Currantfall::Standins {

namespace {

using nlohmann::json;

std::optional<Outage> outageFromJson(const json &value)
{
    if (value == false) {
        return Outage::None;
    }
    if (value == true || value == "close") {
        return Outage::Close;
    }
    return value == "503" ? std::optional(Outage::ServiceUnavailable) : std::nullopt;
}

json outageToJson(Outage outage)
{
    switch (outage) {
    case Outage::None:
        break;
    case Outage::Close:
        return "close";
    case Outage::ServiceUnavailable:
        return "503";
    }
    return false;
}

/// Applies one member; false if it is unknown or malformed.
bool applyMember(const std::string &name, const json &value, Faults &faults)
{
    if (name == "outage") {
        const auto outage = outageFromJson(value);
        faults.outage = outage.value_or(faults.outage);
        return outage.has_value();
    }
    constexpr std::uint64_t limit = 1'000'000'000;
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > limit) {
        return false;
    }
    const auto number = value.get<std::int64_t>();
    if (name == "delay_ms") {
        faults.delay = absl::Milliseconds(number);
    } else if (name == "lose_answers") {
        faults.loseAnswers = static_cast<std::size_t>(number);
    } else if (name == "vm_list_lag_ms") {
        faults.vmListLag = absl::Milliseconds(number);
    } else {
        return false;
    }
    return true;
}

} // namespace

json Faults::toJson() const
{
    return { { "outage", outageToJson(this->outage) },
             { "delay_ms", absl::ToInt64Milliseconds(this->delay) },
             { "lose_answers", this->loseAnswers },
             { "vm_list_lag_ms", absl::ToInt64Milliseconds(this->vmListLag) } };
}

Common::Result<Faults> FaultPlan::apply(const json &change)
{
    if (!change.is_object()) {
        return Common::failure(Common::ErrorCode::InvalidInput, "apply faults", {},
                               "expected an object");
    }
    const std::lock_guard lock(this->mutex);
    Faults next = this->faults;
    for (const auto &[name, value] : change.items()) {
        if (!applyMember(name, value, next)) {
            return Common::failure(Common::ErrorCode::InvalidInput, "apply faults", {},
                                   "unknown or malformed member '" + name + "'");
        }
    }
    this->faults = next;
    return next;
}

Faults FaultPlan::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->faults;
}

bool FaultPlan::takeLostAnswer()
{
    const std::lock_guard lock(this->mutex);
    if (this->faults.loseAnswers == 0) {
        return false;
    }
    --this->faults.loseAnswers;
    return true;
}

} // namespace Currantfall::Standins
