#include "Behaviour.h"

#include <functional>
#include <map>

namespace Currantfall::BackendStandin {

namespace {

using Json = nlohmann::json;

constexpr double maxMilliseconds = 3'600'000;

// A field reads its JSON value into a behaviour, returns false if it is invalid, and writes it.
struct Field
{
    std::function<bool(Behaviour &, const Json &)> read;
    std::function<Json(const Behaviour &)> write;
};

Field milliseconds(absl::Duration Behaviour::*member)
{
    return { [member](Behaviour &behaviour, const Json &value) {
                const double number = value.is_number() ? value.get<double>() : -1;
                behaviour.*member = absl::Milliseconds(number);
                return number >= 0 && number <= maxMilliseconds;
            },
             [member](const Behaviour &behaviour) {
                 return absl::ToDoubleMilliseconds(behaviour.*member);
             } };
}

Field number(double Behaviour::*member, double least, double greatest)
{
    return { [=](Behaviour &behaviour, const Json &value) {
                behaviour.*member = value.is_number() ? value.get<double>() : least - 1;
                return behaviour.*member >= least && behaviour.*member <= greatest;
            },
             [member](const Behaviour &behaviour) { return behaviour.*member; } };
}

Field flag(bool Behaviour::*member)
{
    return { [member](Behaviour &behaviour, const Json &value) {
                behaviour.*member = value.is_boolean() && value.get<bool>();
                return value.is_boolean();
            },
             [member](const Behaviour &behaviour) { return behaviour.*member; } };
}

Field distribution()
{
    return { [](Behaviour &behaviour, const Json &value) {
                behaviour.distribution
                        = value == "fixed" ? Distribution::Fixed : Distribution::Exponential;
                return value == "fixed" || value == "exponential";
            },
             [](const Behaviour &behaviour) {
                 return behaviour.distribution == Distribution::Fixed ? "fixed" : "exponential";
             } };
}

Field reportInUse()
{
    return { [](Behaviour &behaviour, const Json &value) {
                behaviour.reportInUse = value.is_number_integer() ? value.get<std::int64_t>() : -2;
                return behaviour.reportInUse >= -1;
            },
             [](const Behaviour &behaviour) { return behaviour.reportInUse; } };
}

Field reportState()
{
    return { [](Behaviour &behaviour, const Json &value) {
                behaviour.reportState = value.is_string() ? value.get<std::string>() : "";
                return value.is_string();
            },
             [](const Behaviour &behaviour) { return behaviour.reportState; } };
}

const std::map<std::string, Field> &fields()
{
    static const std::map<std::string, Field> all = {
        { "service_time_ms", milliseconds(&Behaviour::serviceTime) },
        { "distribution", distribution() },
        { "connection_cost_ms", milliseconds(&Behaviour::connectionCost) },
        { "cold_start_ms", milliseconds(&Behaviour::coldStart) },
        { "cold_factor", number(&Behaviour::coldFactor, 1, 1000) },
        { "shed", flag(&Behaviour::shed) },
        { "draining", flag(&Behaviour::draining) },
        { "leaving", flag(&Behaviour::leaving) },
        { "pause", number(&Behaviour::pause, 0, 1) },
        { "pause_ms", milliseconds(&Behaviour::pauseTime) },
        { "report_lag_ms", milliseconds(&Behaviour::reportLag) },
        { "report_in_use", reportInUse() },
        { "report_state", reportState() },
        { "answer_delay_ms", milliseconds(&Behaviour::answerDelay) },
        { "truncate", number(&Behaviour::truncate, 0, 1) },
        { "hang", number(&Behaviour::hang, 0, 1) },
        { "close_after_run", number(&Behaviour::closeAfterRun, 0, 1) },
        { "mismatch", number(&Behaviour::mismatch, 0, 1) },
    };
    return all;
}

tl::unexpected<Common::Error> invalid(const std::string &detail)
{
    return Common::failure(Common::ErrorCode::InvalidInput, "change behaviour", {}, detail);
}

} // namespace

Common::Result<Behaviour> changed(const Behaviour &current, const Json &changes)
{
    if (!changes.is_object()) {
        return invalid("a JSON object is expected");
    }
    Behaviour behaviour = current;
    for (const auto &[key, value] : changes.items()) {
        const auto field = fields().find(key);
        if (field == fields().end()) {
            return invalid("unknown field " + key);
        }
        if (!field->second.read(behaviour, value)) {
            return invalid("invalid value of " + key);
        }
    }
    return behaviour;
}

Json toJson(const Behaviour &behaviour)
{
    Json json = Json::object();
    for (const auto &[key, field] : fields()) {
        json[key] = field.write(behaviour);
    }
    return json;
}

} // namespace Currantfall::BackendStandin
