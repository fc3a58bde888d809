#include "FaultDriver.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include <httplib.h>

namespace Currantfall::Tests {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr unsigned vmCount = 10;
constexpr int backendPort = 9000;
constexpr milliseconds checkInterval { 250 };
constexpr double faultShare = 0.2; // Of the requests at a backend server that a fault hits.

json usualBehaviour()
{
    return { { "draining", false },
             { "hang", 0 },
             { "truncate", 0 },
             { "mismatch", 0 },
             { "close_after_run", 0 },
             { "report_in_use", -1 },
             { "report_state", "" },
             { "leaving", false },
             { "pause", 0 } };
}

json behaviourOf(FaultKind kind, unsigned choice)
{
    switch (kind) {
    case FaultKind::BackendSheds:
        return { { "draining", true } };
    case FaultKind::BackendHangs:
        return { { "hang", faultShare } };
    case FaultKind::BackendTruncates:
        return { { "truncate", faultShare } };
    case FaultKind::BackendMismatches:
        return { { "mismatch", faultShare } };
    case FaultKind::BackendCloses:
        return { { "close_after_run", faultShare } };
    case FaultKind::BackendLeaves:
        return { { "leaving", true } };
    case FaultKind::BackendPauses:
        return { { "pause", choice % 2 == 0 ? 1.0 : faultShare } };
    default:
        return choice % 2 == 0 ? json { { "report_in_use", 0 } }
                               : json { { "report_in_use", 99 }, { "report_state", "draining" } };
    }
}

std::string lastLines(const std::string &text, std::size_t bytes)
{
    return text.size() <= bytes ? text : text.substr(text.size() - bytes);
}

std::string replaced(std::string text, const std::string &before, const std::string &after)
{
    const std::size_t at = text.find(before);
    if (at == std::string::npos) {
        throw std::runtime_error("the document has no " + before);
    }
    return text.replace(at, before.size(), after);
}

} // namespace

FaultDriver::FaultDriver(DeploymentFixture &deployment) : deployment(deployment)
{
    for (unsigned number = 1; number <= vmCount; ++number) {
        this->vms["entry-" + std::to_string(number)] = {};
    }
    this->writeVariants();
}

void FaultDriver::writeVariants()
{
    const std::string path = this->deployment.documentPath();
    std::ifstream file(path);
    std::stringstream stream;
    stream << file.rdbuf();
    const std::string text = stream.str();
    const std::string server = "{name: bellbook-lm-a-1";
    const std::size_t at = text.find(server);
    std::string fewerSlots = text;
    fewerSlots.replace(text.find("slots: 3", at), std::string("slots: 3").size(), "slots: 1");
    const std::vector<std::string> variants {
        replaced(text, "ttl_ms: 2000", "ttl_ms: 1500"),
        fewerSlots,
        replaced(text, "reserve: 0.15", "reserve: 0.3"),
    };
    this->documents.push_back(path);
    for (std::size_t index = 0; index < variants.size(); ++index) {
        this->documents.push_back(path + "." + std::to_string(index));
        std::ofstream(this->documents.back()) << variants[index];
    }
}

void FaultDriver::run(const std::vector<Fault> &faults)
{
    const Clock::time_point start = Clock::now();
    auto next = faults.begin();
    const auto allRunning = [this] {
        return std::all_of(this->vms.begin(), this->vms.end(), [](const auto &entry) {
            return entry.second.condition == VmCondition::Running;
        });
    };
    while (next != faults.end() || !this->due.empty() || !this->tools.empty() || !allRunning()) {
        while (next != faults.end() && Clock::now() >= start + next->start) {
            this->begin(*next);
            ++next;
        }
        this->poll();
        pauseBetweenChecks();
    }
}

void FaultDriver::begin(const Fault &fault)
{
    ++this->faultCounts[toString(fault.kind)];
    switch (fault.kind) {
    case FaultKind::KillVm:
    case FaultKind::StopVm:
    case FaultKind::PauseVm:
        this->beginAtVm(fault);
        break;
    case FaultKind::PlatformOutage:
    case FaultKind::PlatformSlow:
    case FaultKind::LoseAnswers:
        this->beginAtPlatform(fault);
        break;
    case FaultKind::Promote:
        this->promote(fault.choice);
        break;
    case FaultKind::Rollback:
        this->startTool({ "rollback" });
        break;
    case FaultKind::DrainServer:
        this->beginDrain(fault, "backend-server");
        break;
    case FaultKind::DrainVm:
        this->beginDrain(fault, "vm");
        break;
    case FaultKind::DrainZone:
        this->beginDrain(fault, "zone");
        break;
    case FaultKind::TwoOperators:
        this->startTool({ "promote", this->documents[fault.choice % this->documents.size()] },
                        "first");
        this->startTool({ "drain", "start", "backend-server", fault.target }, "second");
        this->after(fault.duration, [this, fault] {
            this->startTool({ "drain", "finish", "backend-server", fault.target }, "second");
        });
        break;
    default:
        this->beginAtBackend(fault);
        break;
    }
}

void FaultDriver::beginAtVm(const Fault &fault)
{
    VmState &state = this->vms.at(fault.target);
    if (state.condition != VmCondition::Running) {
        // Another fault has hit the VM; the next kinds of the schedule come as planned.
        --this->faultCounts[toString(fault.kind)];
        ++this->faultCounts["skipped"];
        return;
    }
    this->checkProcess(fault.target);
    ProcessFixture &process = *this->deployment.vm(fault.target).process;
    const std::string name = fault.target;
    if (fault.kind == FaultKind::PauseVm) {
        state.condition = VmCondition::Paused;
        process.pause();
        this->after(fault.duration, [this, name] {
            this->deployment.vm(name).process->resume();
            this->vms.at(name).condition = VmCondition::Running;
        });
        return;
    }
    if (fault.kind == FaultKind::KillVm) {
        state.condition = VmCondition::Down;
        process.kill();
        this->after(fault.duration, [this, name] { this->startAgain(name); });
        return;
    }
    state.condition = VmCondition::Stopping; // checkProcess() sees its end.
    process.terminate();
}

void FaultDriver::beginAtPlatform(const Fault &fault)
{
    constexpr unsigned mostDelayMs = 1500;
    constexpr unsigned mostLost = 3;
    if (fault.kind == FaultKind::PlatformOutage) {
        this->deployment.setPlatformFaults(
                { { "outage", fault.choice % 2 == 0 ? "close" : "503" } });
        this->after(fault.duration, [this] {
            this->deployment.setPlatformFaults({ { "outage", false } });
        });
        return;
    }
    if (fault.kind == FaultKind::PlatformSlow) {
        this->deployment.setPlatformFaults({ { "delay_ms", fault.choice % mostDelayMs } });
        this->after(fault.duration, [this] {
            this->deployment.setPlatformFaults({ { "delay_ms", 0 } });
        });
        return;
    }
    this->deployment.setPlatformFaults({ { "lose_answers", 1 + fault.choice % mostLost } });
    this->promote(fault.choice);
}

void FaultDriver::promote(unsigned choice)
{
    this->startTool({ "promote", this->documents[choice % this->documents.size()] });
}

void FaultDriver::beginDrain(const Fault &fault, const std::string &kind)
{
    std::vector<std::string> arguments { "drain", "start", kind, fault.target };
    if (fault.choice % 2 == 0) {
        arguments.emplace_back("--force");
    }
    this->startTool(arguments);
    this->after(fault.duration, [this, fault, kind] {
        this->startTool({ "drain", "finish", kind, fault.target });
    });
}

void FaultDriver::beginAtBackend(const Fault &fault)
{
    const json behaviour = behaviourOf(fault.kind, fault.choice);
    // Of one server, or of all servers of its zone.
    const std::string scope = fault.choice % 3 == 0 ? "zone" : "";
    this->setBackend(fault.target, behaviour, scope);
    this->after(fault.duration, [this, fault, behaviour, scope] {
        json usual = json::object();
        for (const auto &[field, value] : behaviour.items()) {
            usual[field] = usualBehaviour().at(field);
        }
        this->setBackend(fault.target, usual, scope);
    });
}

void FaultDriver::setBackend(const std::string &server, const json &behaviour,
                             const std::string &scope) const
{
    // "bellbook-lm-a-2" is the second server of the second service of its zone.
    constexpr std::size_t zoneLength = 4;
    const std::size_t dash = server.find('-');
    const std::string network
            = this->deployment.clientIn(server.substr(dash + 1, zoneLength)); // x.x.200.200
    const std::string service = server.substr(0, dash) == "slotview" ? "1" : "2";
    const std::string address = network.substr(0, network.find(".200.200")) + "." + service + "."
                                + server.substr(server.size() - 1);
    httplib::Client client(address, backendPort);
    if (!client.Post("/_control/behaviour?scope=" + scope, behaviour.dump(), "application/json")) {
        throw std::runtime_error("backend server " + server + " takes no behaviour");
    }
}

void FaultDriver::startTool(const std::vector<std::string> &arguments,
                            const std::string &operatorName)
{
    std::string name;
    for (const std::string &argument : arguments) {
        name += (name.empty() ? "" : " ") + argument;
    }
    this->tools.push_back({ name, this->deployment.startTool(arguments, operatorName) });
}

void FaultDriver::after(milliseconds delay, std::function<void()> action)
{
    this->due.push_back({ Clock::now() + delay, std::move(action) });
}

void FaultDriver::poll()
{
    for (auto entry = this->due.begin(); entry != this->due.end();) {
        if (Clock::now() < entry->time) {
            ++entry;
            continue;
        }
        const auto action = std::move(entry->action);
        entry = this->due.erase(entry);
        action();
    }
    this->reapTools();
    for (const auto &entry : this->vms) {
        this->checkProcess(entry.first);
    }
    if (Clock::now() >= this->nextCheck) {
        for (const auto &entry : this->vms) {
            this->checkVm(entry.first);
        }
        this->nextCheck = Clock::now() + checkInterval;
    }
}

void FaultDriver::reapTools()
{
    constexpr int mostExitCode = 4;
    constexpr int invalidInput = 2;
    for (auto tool = this->tools.begin(); tool != this->tools.end();) {
        if (tool->process.running()) {
            ++tool;
            continue;
        }
        const int code = tool->process.wait();
        // Refused, unreachable and lost races are usual under faults.
        if (code == invalidInput || code > mostExitCode) {
            this->violation("'" + tool->name + "' ended with " + std::to_string(code) + ": "
                            + tool->process.errors());
        }
        tool = this->tools.erase(tool);
    }
}

void FaultDriver::checkProcess(const std::string &name)
{
    VmState &state = this->vms.at(name);
    const auto &process = this->deployment.vm(name).process;
    if (state.condition == VmCondition::Down || process->running()) {
        return;
    }
    constexpr std::size_t logBytes = 3000;
    const int code = process->wait();
    if (state.condition != VmCondition::Stopping || code != 0) {
        this->violation(name + " ended with " + std::to_string(code) + ": "
                        + lastLines(process->errors(), logBytes));
    }
    this->startAgain(name);
}

void FaultDriver::startAgain(const std::string &name)
{
    this->vms.at(name) = {};
    this->deployment.startVm(this->deployment.vm(name));
}

void FaultDriver::checkVm(const std::string &name)
{
    VmState &state = this->vms.at(name);
    if (state.condition != VmCondition::Running) {
        return;
    }
    const json status = this->deployment.status(this->deployment.vm(name));
    if (!status.contains("incarnation")) {
        return; // It starts, or its steering thread is busy.
    }
    const auto incarnation = status.at("incarnation").get<std::uint64_t>();
    const auto revision = status.at("revision").get<std::uint64_t>();
    if (incarnation == state.incarnation && revision < state.revision) {
        this->violation(name + " went from revision " + std::to_string(state.revision) + " to "
                        + std::to_string(revision));
    }
    state.incarnation = incarnation;
    state.revision = revision;
    if (status.at("slot_overruns") != 0) {
        this->violation(name + " has slot overruns: " + status.at("slot_overruns").dump());
    }
}

void FaultDriver::violation(const std::string &text)
{
    std::cout << "VIOLATION " << text << std::endl;
    this->found.push_back(text);
}

void FaultDriver::settle()
{
    this->deployment.setPlatformFaults(
            { { "outage", false }, { "delay_ms", 0 }, { "lose_answers", 0 } });
    this->setBackend("slotview-lm-a-1", usualBehaviour(), "all");
    waitUntil([this] {
        return this->deployment.runTool({ "promote", this->deployment.documentPath() }) == 0;
    });
    this->finishAllDrains();
    std::uint64_t highest = 0;
    for (const auto &entry : this->vms) {
        this->deployment.waitReady(this->deployment.vm(entry.first));
        const json status = this->deployment.status(this->deployment.vm(entry.first));
        highest = std::max(highest, status.value("revision", std::uint64_t { 0 }));
    }
    waitUntil([&] {
        this->poll();
        return std::all_of(this->vms.begin(), this->vms.end(), [&](const auto &entry) {
            return this->deployment.status(this->deployment.vm(entry.first))
                           .value("revision", std::uint64_t { 0 })
                   >= highest;
        });
    });
    this->deployment.waitAllSlotsOwned();
    waitUntil([this] {
        this->poll();
        return this->deployment.executionSummary().at("totals").at("in_use") == 0;
    });
}

void FaultDriver::finishAllDrains()
{
    // The list of one VM may be older than the last change, so every VM must have none.
    waitUntil([this] {
        this->poll();
        bool none = true;
        for (const auto &entry : this->vms) {
            const json status = this->deployment.status(this->deployment.vm(entry.first));
            const json drains = status.value("drains", json());
            none = none && drains.is_array() && drains.empty();
            for (const json &drain : drains.is_array() ? drains : json::array()) {
                this->deployment.runTool({ "drain", "finish", drain.at("kind").get<std::string>(),
                                           drain.at("name").get<std::string>() });
            }
        }
        return none;
    });
}

} // namespace Currantfall::Tests
