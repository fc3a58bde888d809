#include "SoakFaults.h"

#include <algorithm>
#include <csignal>
#include <random>

namespace Currantfall::Tests {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortestFault { 100 };
constexpr milliseconds longestFault { 2500 };
// Of this many faults, one comes as a series.
constexpr unsigned seriesEvery = 5;
constexpr milliseconds restartDelay { 100 };
// A server goes on for this time after its entry says that it drains.
constexpr milliseconds drainTime { 2000 };
// Before its address is used by another one.
constexpr milliseconds reuseDelay { 2000 };
constexpr int delayMs = 120;
constexpr int usualWorkMs = 15;
constexpr int slowWorkMs = 400;
// A process that is told to end may take this much longer than its settings say, on a busy machine.
constexpr std::chrono::duration<double> shutdownSlack { 2.0 };
// A VM that was started or continued acts within this time.
constexpr milliseconds resumeSlack { 500 };
// A server that leaves without the store knowing goes on for some time after its drain time.
constexpr milliseconds leavingOvertime { 1500 };
// Pauses that servers ask for.
const std::vector<milliseconds> pauses { milliseconds(1000), milliseconds(1800),
                                         milliseconds(3000) };
// After a pause, requests are sent at a limited rate for this time.
constexpr milliseconds pauseReturnTime { 1000 };
// Distinguishes the random numbers of notices from those of other faults.
constexpr std::uint64_t noticeSeed = 0x6e6f74696365;
constexpr std::uint64_t restoreSeed = 0x726573746f7265;
// For this time the store is away when it returns from a copy.
constexpr milliseconds restoreTime { 300 };
// Longest time until the operator and the backend servers have written again what was lost.
constexpr unsigned longestRewriteMs = 1500;

// Of the time of day of a process that starts again.
const std::vector<int> clockShiftsMs { 0, -5000, 0, 3000 };

bool isLinkFault(SoakFaultKind kind)
{
    return kind >= SoakFaultKind::LinkDelayed && kind <= SoakFaultKind::LinkCut;
}

} // namespace

std::string toString(SoakFaultKind kind)
{
    static const std::vector<std::string> names { "kill-vm",
                                                  "stop-vm",
                                                  "pause-vm",
                                                  "reload-vm",
                                                  "link-delayed",
                                                  "link-reset",
                                                  "link-one-way",
                                                  "link-silent",
                                                  "link-cut",
                                                  "store-misbehaves",
                                                  "store-forgets",
                                                  "server-misbehaves",
                                                  "server-slow",
                                                  "server-drains",
                                                  "server-replaced",
                                                  "configure",
                                                  "configure-often",
                                                  "evacuate",
                                                  "server-asks-for-pause",
                                                  "server-leaves",
                                                  "store-restored" };
    return names.at(static_cast<std::size_t>(kind));
}

std::string SoakFault::describe() const
{
    return std::to_string(this->start.count()) + " ms: " + toString(this->kind) + " for "
           + std::to_string(this->duration.count()) + " ms, target " + std::to_string(this->target)
           + ", variant " + std::to_string(this->variant);
}

std::vector<SoakFault> soakFaults(std::uint64_t seed, milliseconds length, milliseconds meanGap)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(1.0 / static_cast<double>(meanGap.count()));
    std::uniform_int_distribution<long> duration(shortestFault.count(), longestFault.count());
    std::uniform_int_distribution<unsigned> choice(0, 9999);
    std::vector<SoakFault> faults;
    std::vector<int> deck;
    milliseconds start(static_cast<long>(gap(random)));
    while (start < length) {
        if (deck.empty()) {
            for (int kind = 0; kind < soakFaultKindCount; ++kind) {
                deck.push_back(kind);
            }
            std::shuffle(deck.begin(), deck.end(), random);
        }
        SoakFault fault;
        fault.kind = static_cast<SoakFaultKind>(deck.back());
        deck.pop_back();
        fault.start = start;
        fault.duration = milliseconds(duration(random));
        fault.target = choice(random);
        fault.variant = choice(random);
        faults.push_back(fault);
        if (choice(random) % seriesEvery == 0) {
            fault.start += fault.duration / 2;
            faults.push_back(fault);
            fault.start += fault.duration;
            faults.push_back(fault);
        }
        start += milliseconds(static_cast<long>(gap(random)));
    }
    std::stable_sort(
            faults.begin(), faults.end(),
            [](const SoakFault &left, const SoakFault &right) { return left.start < right.start; });
    return faults;
}

std::vector<SoakFault> noticeFaults(std::uint64_t seed, milliseconds length, milliseconds meanGap)
{
    std::mt19937_64 random(seed ^ noticeSeed);
    std::exponential_distribution<double> gap(1.0 / static_cast<double>(meanGap.count()));
    std::uniform_int_distribution<long> duration(shortestFault.count(), longestFault.count());
    std::uniform_int_distribution<unsigned> choice(0, 9999);
    std::vector<SoakFault> faults;
    for (milliseconds start(static_cast<long>(gap(random))); start < length;
         start += milliseconds(static_cast<long>(gap(random)))) {
        SoakFault fault;
        fault.kind = choice(random) % 2 == 0 ? SoakFaultKind::ServerAsksForPause
                                             : SoakFaultKind::ServerLeaves;
        fault.start = start;
        fault.duration = milliseconds(duration(random));
        fault.target = choice(random);
        fault.variant = choice(random);
        faults.push_back(fault);
    }
    return faults;
}

std::vector<SoakFault> restoreFaults(std::uint64_t seed, milliseconds length, milliseconds meanGap)
{
    std::mt19937_64 random(seed ^ restoreSeed);
    std::exponential_distribution<double> gap(1.0 / static_cast<double>(meanGap.count()));
    std::uniform_int_distribution<long> duration(shortestFault.count(), longestFault.count());
    std::uniform_int_distribution<unsigned> choice(0, 9999);
    std::vector<SoakFault> faults;
    for (milliseconds start(static_cast<long>(gap(random))); start < length;
         start += milliseconds(static_cast<long>(gap(random)))) {
        SoakFault fault;
        fault.kind = SoakFaultKind::StoreRestored;
        fault.start = start;
        fault.duration = milliseconds(duration(random));
        fault.target = choice(random);
        fault.variant = choice(random);
        faults.push_back(fault);
    }
    return faults;
}

SoakFaultDriver::SoakFaultDriver(EntryDeployment &deployment)
    : deployment(deployment), vms(deployment.vms().size()), drains(deployment.servers().size(), 0)
{ }

void SoakFaultDriver::run(const std::vector<SoakFault> &faults)
{
    const auto start = Clock::now();
    for (const SoakFault &fault : faults) {
        this->due.push_back({ start + fault.start, [this, fault] { this->begin(fault); } });
    }
    const auto isDown = [](const VmState &vm) { return vm.endExpected || vm.startAt; };
    while (!this->due.empty() || std::any_of(this->vms.begin(), this->vms.end(), isDown)) {
        this->poll();
        pauseBetweenChecks();
    }
    waitUntil([this] {
        this->poll();
        const auto &all = this->deployment.vms();
        return std::all_of(all.begin(), all.end(),
                           [this](const EntryVm &vm) { return this->deployment.ready(vm); });
    });
}

int SoakFaultDriver::restart(EntryVm &vm, int clockShiftMs)
{
    vm.process->terminate();
    const int code = vm.process->wait();
    this->recordEnd(vm, code);
    if (code != 0) {
        this->found.push_back(vm.name + " ended with code " + std::to_string(code) + ": "
                              + vm.process->errors());
    }
    this->deployment.start(vm, clockShiftMs);
    return code;
}

void SoakFaultDriver::addDisruption(const std::string &subject, milliseconds duration)
{
    const auto now = Clock::now();
    this->seenDisruptions.push_back({ subject, now, now + duration + resumeSlack });
}

void SoakFaultDriver::addDelay(const std::string &entry, Clock::time_point begin, bool restarted)
{
    this->seenDelays.push_back({ entry, begin, Clock::now(), restarted });
}

void SoakFaultDriver::after(milliseconds delay, std::function<void()> action)
{
    this->due.push_back({ Clock::now() + delay, std::move(action) });
}

void SoakFaultDriver::poll()
{
    const auto now = Clock::now();
    for (auto entry = this->due.begin(); entry != this->due.end();) {
        if (entry->time > now) {
            ++entry;
            continue;
        }
        const auto action = std::move(entry->action);
        entry = this->due.erase(entry);
        action();
    }
    for (std::size_t index = 0; index < this->vms.size(); ++index) {
        this->checkVm(index);
    }
}

void SoakFaultDriver::checkVm(std::size_t index)
{
    VmState &state = this->vms[index];
    EntryVm &vm = this->deployment.vms()[index];
    const auto now = Clock::now();
    if (state.startAt) {
        if (now >= *state.startAt) {
            const int shift = state.clockShiftMs;
            const auto begin = state.endingSince.value_or(*state.startAt - restartDelay);
            state = VmState();
            this->deployment.start(vm, shift);
            this->addDelay(vm.relayHost, begin, true);
        }
        return;
    }
    if (vm.process->running()) {
        const std::chrono::duration<double> most(EntryDeployment::shutdownGrace());
        if (state.stopSince && !state.pausedWhileStopping
            && now - *state.stopSince > most + shutdownSlack) {
            this->found.push_back(vm.name + " did not end after SIGTERM");
            state.stopSince.reset();
            vm.process->kill();
        }
        return;
    }
    const int code = vm.process->wait();
    this->recordEnd(vm, code);
    // A signal that comes before the program's first instruction ends it as any other program. It
    // has written nothing then.
    constexpr int signalBase = 128;
    const bool early = state.earlySignals.contains(code - signalBase)
                       && vm.process->output().empty() && vm.process->errors().empty();
    const bool endedAsTold = code == 0 || code == signalBase + SIGKILL || early;
    if ((!state.endExpected && !early) || (state.stopSince && !endedAsTold)) {
        this->found.push_back(vm.name + " ended with code " + std::to_string(code) + ": "
                              + vm.process->errors());
    }
    state.startAt = now + restartDelay;
    this->addDisruption(vm.relayHost, restartDelay);
}

void SoakFaultDriver::recordEnd(const EntryVm &vm, int code)
{
    const std::size_t index = static_cast<std::size_t>(&vm - this->deployment.vms().data());
    const nlohmann::json end { { "event", "ended" },
                               { "code", code },
                               { "early_signals", this->vms[index].earlySignals } };
    this->endedLogs[vm.name]
            += vm.process->output() + "\n" + vm.process->errors() + "\n" + end.dump() + "\n";
}

void SoakFaultDriver::sendHandled(std::size_t index, int signal)
{
    ProcessFixture &process = *this->deployment.vms()[index].process;
    // Once the program blocks or handles a signal it always does, so that the answer can only be
    // outdated in the direction that does not matter.
    if (!process.handles(signal)) {
        this->vms[index].earlySignals.insert(signal);
    }
    process.signal(signal);
}

void SoakFaultDriver::begin(const SoakFault &fault)
{
    if (isLinkFault(fault.kind)) {
        this->beginAtLink(fault);
        return;
    }
    switch (fault.kind) {
    case SoakFaultKind::StoreMisbehaves:
    case SoakFaultKind::StoreForgets:
    case SoakFaultKind::StoreRestored:
        this->beginAtStore(fault);
        return;
    case SoakFaultKind::ServerMisbehaves:
    case SoakFaultKind::ServerSlow:
    case SoakFaultKind::ServerDrains:
    case SoakFaultKind::ServerReplaced:
    case SoakFaultKind::ServerAsksForPause:
    case SoakFaultKind::ServerLeaves:
        this->beginAtServer(fault);
        return;
    case SoakFaultKind::Configure:
        this->deployment.configure(fault.variant);
        return;
    case SoakFaultKind::ConfigureOften:
        for (unsigned step = 0; step < 8; ++step) {
            this->after(milliseconds(100 * step), [this, variant = fault.variant + step] {
                this->deployment.configure(variant);
            });
        }
        return;
    case SoakFaultKind::Evacuate: {
        const std::string zone = EntryDeployment::zoneOf(fault.target);
        this->deployment.evacuate(zone, true);
        this->after(fault.duration, [this, zone] { this->deployment.evacuate(zone, false); });
        return;
    }
    default:
        this->beginAtVm(fault);
    }
}

void SoakFaultDriver::beginAtVm(const SoakFault &fault)
{
    const std::size_t index = fault.target % this->vms.size();
    VmState &state = this->vms[index];
    EntryVm &vm = this->deployment.vms()[index];
    if (state.startAt || !vm.process->running()) {
        return;
    }
    state.clockShiftMs = clockShiftsMs[fault.variant % clockShiftsMs.size()];
    if (fault.kind == SoakFaultKind::KillVm) {
        state.endExpected = true;
        state.endingSince = state.endingSince.value_or(Clock::now());
        vm.process->kill();
    } else if (fault.kind == SoakFaultKind::StopVm) {
        state.endExpected = true;
        state.pausedWhileStopping = state.pausedWhileStopping || state.pauses > 0;
        state.stopSince = state.stopSince.value_or(Clock::now());
        state.endingSince = state.endingSince.value_or(Clock::now());
        this->sendHandled(index, SIGTERM);
    } else if (fault.kind == SoakFaultKind::ReloadVm) {
        this->deployment.rewriteSettings(vm, fault.variant);
        this->sendHandled(index, SIGHUP);
    } else {
        ++state.pauses;
        state.pausedWhileStopping = true;
        this->addDisruption(vm.relayHost, fault.duration);
        vm.process->pause();
        this->after(fault.duration, [this, index, pid = vm.process->pid(), begin = Clock::now()] {
            EntryVm &paused = this->deployment.vms()[index];
            this->addDelay(paused.relayHost, begin);
            VmState &now = this->vms[index];
            if (paused.process->pid() == pid && now.pauses > 0 && --now.pauses == 0) {
                paused.process->resume();
            }
        });
    }
}

void SoakFaultDriver::beginAtLink(const SoakFault &fault)
{
    const auto kind = static_cast<LinkKind>(fault.variant % 4);
    const LinkKey link { kind, fault.target % this->deployment.linkCount(kind) };
    if (kind == LinkKind::Server) {
        this->addDisruption(this->deployment.servers()[link.second]->address(), fault.duration);
    }
    const auto begin = Clock::now();
    const auto addDelay = [this, link, begin] {
        if (link.first == LinkKind::Store || link.first == LinkKind::Peers) {
            this->addDelay(this->deployment.vms()[link.second].relayHost, begin);
        }
    };
    if (fault.kind == SoakFaultKind::LinkReset) {
        this->deployment.setLink(link.first, link.second, { { "reset", true } });
        addDelay();
        return;
    }
    this->links[link].push_back(fault.kind);
    this->applyLink(link);
    this->after(fault.duration, [this, link, addDelay, ended = fault.kind] {
        if (ended != SoakFaultKind::LinkDelayed) {
            addDelay();
        }
        auto &inForce = this->links[link];
        inForce.erase(std::find(inForce.begin(), inForce.end(), ended));
        this->applyLink(link);
    });
}

void SoakFaultDriver::applyLink(const LinkKey &link)
{
    const auto &inForce = this->links[link];
    const auto has = [&inForce](SoakFaultKind kind) {
        return std::find(inForce.begin(), inForce.end(), kind) != inForce.end();
    };
    const bool silent = has(SoakFaultKind::LinkSilent);
    this->deployment.setLink(link.first, link.second,
                             { { "delay_ms", has(SoakFaultKind::LinkDelayed) ? delayMs : 0 },
                               { "freeze_to_target", silent },
                               { "freeze_to_caller", silent || has(SoakFaultKind::LinkOneWay) },
                               { "cut", has(SoakFaultKind::LinkCut) } });
}

void SoakFaultDriver::beginAtStore(const SoakFault &fault)
{
    if (fault.kind == SoakFaultKind::StoreForgets) {
        this->deployment.store().forgetHistory();
        return;
    }
    if (fault.kind == SoakFaultKind::StoreRestored) {
        this->beginRestore(fault);
        return;
    }
    static const std::vector<StoreFault> variants { StoreFault::Refuses, StoreFault::Silent,
                                                    StoreFault::Slow, StoreFault::LosesAnswers };
    this->deployment.store().setFault(variants[fault.variant % variants.size()]);
    this->after(fault.duration, [this, begin = Clock::now()] {
        this->deployment.store().setFault(StoreFault::None);
        this->addDelay("", begin);
    });
}

void SoakFaultDriver::beginRestore(const SoakFault &fault)
{
    // The stand-in keeps one copy.
    if (this->restoring) {
        return;
    }
    this->restoring = true;
    this->deployment.store().saveCopy();
    this->after(fault.duration, [this, fault] {
        StoreStandin &store = this->deployment.store();
        store.setFault(StoreFault::Refuses);
        const auto begin = Clock::now();
        const auto lost = this->deployment.restoreStore();
        this->after(restoreTime, [this] { this->deployment.store().setFault(StoreFault::None); });
        const milliseconds delay = restoreTime + milliseconds(fault.variant % longestRewriteMs);
        this->after(delay, [this, lost, begin] {
            this->deployment.writeAgain(lost);
            this->addDelay("", begin);
            this->restoring = false;
        });
    });
}

void SoakFaultDriver::beginAtServer(const SoakFault &fault)
{
    const std::size_t index = fault.target % this->deployment.servers().size();
    SoakServer &server = *this->deployment.servers()[index];
    if (fault.kind == SoakFaultKind::ServerSlow) {
        server.setWorkMs(slowWorkMs);
        this->after(fault.duration, [&server] { server.setWorkMs(usualWorkMs); });
        return;
    }
    if (fault.kind == SoakFaultKind::ServerMisbehaves) {
        server.setFault(static_cast<ServerFault>(1 + fault.variant % (serverFaultCount - 1)));
        this->after(fault.duration, [&server] { server.setFault(ServerFault::None); });
        return;
    }
    if (fault.kind == SoakFaultKind::ServerAsksForPause) {
        const milliseconds pause = pauses[fault.variant % pauses.size()];
        server.askForPause(fault.duration, pause);
        this->latestPauseEnd = std::max(this->latestPauseEnd,
                                        Clock::now() + fault.duration + pause + pauseReturnTime);
        return;
    }
    if (this->drains[index] > 0) {
        return;
    }
    if (fault.kind == SoakFaultKind::ServerLeaves) {
        this->beginLeaving(index);
        return;
    }
    ++this->drains[index];
    const std::string service = server.identity().service;
    milliseconds end = drainTime;
    if (fault.kind == SoakFaultKind::ServerDrains) {
        this->deployment.registerServer(index, "draining");
        this->after(end, [this, index] { this->deployment.unregisterServer(index); });
    } else {
        // It ends at once and only its entry's removal tells so.
        end = milliseconds(0);
        this->deployment.unregisterServer(index);
        server.replace({ "i-gone", "none", server.identity().zone });
    }
    this->after(end + reuseDelay, [this, index, service] {
        this->deployment.replaceServer(index, service);
        --this->drains[index];
    });
}

void SoakFaultDriver::beginLeaving(std::size_t index)
{
    ++this->drains[index];
    SoakServer &server = *this->deployment.servers()[index];
    const std::string service = server.identity().service;
    server.announceLeaving();
    const milliseconds end = drainTime + leavingOvertime;
    this->after(end, [this, index, &server] {
        this->deployment.unregisterServer(index);
        server.replace({ "i-gone", "none", server.identity().zone });
    });
    this->after(end + reuseDelay, [this, index, service] {
        this->deployment.replaceServer(index, service);
        --this->drains[index];
    });
}

} // namespace Currantfall::Tests
