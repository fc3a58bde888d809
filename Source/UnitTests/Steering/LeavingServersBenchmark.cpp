#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <catch2/catch.hpp>

#include "currantfall/Peering/FrameCodec.h"
#include "currantfall/Steering/ServerNotices.h"
#include "currantfall/Steering/ServerSelector.h"

// Prints what it changes for callers if VMs tell each other that a server leaves; run with the tag
// [.benchmark]. Simulates VMs, servers and the delays between them without sockets and clocks.

namespace Currantfall::Steering {

namespace {

using Common::Instant;

struct RequestKind
{
    std::string service;
    double perSecond = 0.0;
    absl::Duration work; ///< Service time with a cache miss.
    absl::Duration target;
    bool idempotent = true;
};

struct ServiceModel
{
    std::string name;
    int servers = 0;
    std::uint32_t slots = 0;
};

struct SiteModel
{
    std::string name;
    int vms = 0;
    int zonesPerRegion = 0;
    absl::Duration regionDelay; ///< One way, between two regions.
    absl::Duration drainTime;
    int leavingServers = 0;
    std::vector<ServiceModel> services;
    std::vector<RequestKind> kinds;
};

constexpr int regionCount = 3;
constexpr absl::Duration zoneDelay = absl::Milliseconds(1);
constexpr absl::Duration timeout = absl::Seconds(4);
// A cache hit takes this fraction of the time of a cache miss.
constexpr double cacheHitFraction = 0.33;
// Mean interval between two requests for the same object.
constexpr double objectIntervalSeconds = 4.0;
constexpr absl::Duration warmUp = absl::Seconds(20);
constexpr absl::Duration leavingInterval = absl::Milliseconds(1500);
// Time from the end of the drain time to the end of the server.
constexpr absl::Duration endAfterDrain = absl::Milliseconds(1500);
// Time from the end of a server until its entry is removed on all VMs.
constexpr absl::Duration entryRemovalDelay = absl::Seconds(4);
constexpr absl::Duration runAfterLastEnd = absl::Seconds(6);
constexpr absl::Duration syncInterval = absl::Milliseconds(250);
constexpr std::size_t maxUnreachableAttempts = 3;
constexpr double unreachableFailureWeight = 1.25;

SiteModel bellringer()
{
    return { "bellringer-gslb",
             10,
             2,
             absl::Milliseconds(12),
             absl::Milliseconds(2000),
             8,
             { { "slotview", 12, 3 },
               { "bellbook", 12, 3 },
               { "scrollcast", 12, 3 },
               { "oldnews", 12, 3 } },
             { { "slotview", 48.7, absl::Milliseconds(880), absl::Milliseconds(500), true },
               { "bellbook", 23.4, absl::Milliseconds(1160), absl::Milliseconds(800), false },
               { "scrollcast", 6.37, absl::Milliseconds(1040), absl::Milliseconds(600), false },
               { "oldnews", 10.3, absl::Milliseconds(3520), absl::Milliseconds(4000), true } } };
}

SiteModel bellringerGrown()
{
    return { "bellringer-gslb-grown",
             64,
             2,
             absl::Milliseconds(12),
             absl::Milliseconds(3000),
             24,
             { { "slotview", 106, 3 },
               { "bellbook", 66, 3 },
               { "scrollcast", 16, 3 },
               { "oldnews", 88, 3 } },
             { { "slotview", 490, absl::Milliseconds(1056), absl::Milliseconds(500), true },
               { "bellbook", 236, absl::Milliseconds(1392), absl::Milliseconds(800), false },
               { "scrollcast", 64.1, absl::Milliseconds(1248), absl::Milliseconds(600), false },
               { "oldnews", 104, absl::Milliseconds(4224), absl::Milliseconds(4000), true } } };
}

SiteModel velamarGrown()
{
    return { "velamar-gl-grown",
             79,
             3,
             absl::Milliseconds(55),
             absl::Milliseconds(4000),
             24,
             { { "catalogo", 234, 5 },
               { "pedidos", 141, 5 },
               { "fotos", 36, 5 },
               { "facturas", 207, 5 } },
             { { "catalogo", 1204, absl::Milliseconds(1008), absl::Milliseconds(500), true },
               { "pedidos", 542, absl::Milliseconds(1296), absl::Milliseconds(800), false },
               { "fotos", 147, absl::Milliseconds(1200), absl::Milliseconds(800), false },
               { "facturas", 265, absl::Milliseconds(3936), absl::Milliseconds(4000), true } } };
}

struct Figures
{
    int requests = 0;         ///< After the warm-up.
    int late = 0;             ///< Answers after the target latency.
    int refused = 0;          ///< No server was selected.
    int failed = 0;           ///< Not idempotent and broken off by the end of a server.
    int repeated = 0;         ///< Idempotent and broken off by the end of a server.
    int afterFirstNotice = 0; ///< Reached a leaving server after its first notice on any VM.
    int toEnded = 0;          ///< Sent to a server that had ended.
    int toEndedNonIdempotent = 0;
    int lateMoves = 0; ///< Objects first sent to another server after the end of theirs.
    int moves = 0;     ///< Objects of leaving servers that another server has run.
    int informed = 0;  ///< VMs that knew before the end of the server, over all leaving servers.
    int messages = 0;
    std::uint64_t bytes = 0;
};

struct SimulatedServer
{
    BackendServer entry;
    int region = 0;
    std::vector<Instant> slotFree;
    std::uint32_t active = 0;
    std::set<std::string> cache;
    Instant leavesAt = Instant::infinite();
    Instant endsAt = Instant::infinite();
    Instant firstNotice = Instant::infinite();
    /// Objects that it ran before it began to leave and that no other server has run since then.
    std::set<std::string> objects;
};

struct SimulatedVm
{
    SimulatedVm(const SiteModel &site, const SelectorSettings &settings, int region)
        : region(region), notices(site.drainTime), outcomes(settings.vm),
          selector(settings, this->servers, this->outcomes, this->notices)
    { }

    int region = 0;
    ServerTable servers;
    ServerNotices notices;
    FleetOutcomes outcomes;
    ServerSelector selector;
};

struct SimulatedRequest
{
    std::size_t vm = 0;
    const RequestKind *kind = nullptr;
    const Route *route = nullptr;
    std::string object;
    std::string id;
    Instant start;
    std::set<Common::BackendServerName> tried;
    std::size_t unreachableAttempts = 0;
};
using SharedRequest = std::shared_ptr<SimulatedRequest>;

class Simulation
{
public:
    Simulation(const SiteModel &site, bool shareNotices, std::uint64_t seed)
        : site(site), shareNotices(shareNotices), random(seed)
    {
        this->addVms();
        this->addServers();
        for (const RequestKind &kind : this->site.kinds) {
            Route &route = this->routes[kind.service];
            route.name = kind.service;
            route.idempotent = kind.idempotent;
            route.targetLatency = kind.target;
            route.services = { { Common::ServiceName(kind.service), 1.0 } };
        }
    }

    Figures run()
    {
        this->scheduleLeaving();
        for (const RequestKind &kind : this->site.kinds) {
            this->scheduleArrival(kind, Instant());
        }
        this->scheduleSync(Instant());
        while (!this->events.empty() && this->events.top().at < this->end) {
            const Event event = this->events.top();
            this->events.pop();
            event.action(event.at);
        }
        this->figures.informed += this->informedCount;
        return this->figures;
    }

private:
    using Action = std::function<void(Instant)>;
    struct Event
    {
        Instant at;
        std::uint64_t number = 0;
        Action action;

        friend bool operator<(const Event &left, const Event &right)
        {
            return left.at != right.at ? left.at > right.at : left.number > right.number;
        }
    };

    void at(Instant time, Action action)
    {
        this->events.push({ time, this->nextNumber++, std::move(action) });
    }

    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->random); }

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(this->random);
    }

    absl::Duration delay(int from, int to) const
    {
        return from == to ? zoneDelay : this->site.regionDelay;
    }

    /// Wall clocks of all VMs and servers agree.
    static absl::Time wallTime(Instant now) { return absl::UnixEpoch() + now.sinceOrigin(); }

    Common::ZoneName zone(int number) const
    {
        return Common::ZoneName("zone-" + std::to_string(number));
    }

    int regionOf(int zone) const { return zone / this->site.zonesPerRegion; }

    void addVms()
    {
        const int zones = regionCount * this->site.zonesPerRegion;
        SelectorSettings settings;
        for (int number = 0; number < zones; ++number) {
            settings.regions[this->zone(number)]
                    = Common::RegionName("region-" + std::to_string(this->regionOf(number)));
        }
        for (int number = 0; number < this->site.vms; ++number) {
            settings.vm = Common::VmName("entry-" + std::to_string(number));
            settings.zone = this->zone(number % zones);
            settings.region = settings.regions[settings.zone];
            this->vms.push_back(std::make_unique<SimulatedVm>(this->site, settings,
                                                              this->regionOf(number % zones)));
        }
    }

    void addServers()
    {
        const int zones = regionCount * this->site.zonesPerRegion;
        for (const ServiceModel &service : this->site.services) {
            for (int number = 0; number < service.servers; ++number) {
                SimulatedServer server;
                server.entry.name = Common::BackendServerName(
                        absl::StrFormat("i-%08x", static_cast<std::uint32_t>(this->random())));
                server.entry.service = Common::ServiceName(service.name);
                server.entry.zone = this->zone(number % zones);
                server.entry.slots = service.slots;
                server.region = this->regionOf(number % zones);
                server.slotFree.resize(service.slots);
                for (const auto &vm : this->vms) {
                    vm->servers.put(server.entry, Instant());
                }
                this->servers.emplace(server.entry.name, std::move(server));
            }
        }
    }

    void scheduleLeaving()
    {
        std::vector<Common::BackendServerName> names;
        for (const auto &[name, server] : this->servers) {
            names.push_back(name);
        }
        std::shuffle(names.begin(), names.end(), this->random);
        Instant time = Instant() + warmUp;
        for (int number = 0; number < this->site.leavingServers; ++number) {
            SimulatedServer &server = this->servers.at(names[static_cast<std::size_t>(number)]);
            server.leavesAt = time;
            server.endsAt = time + this->site.drainTime + endAfterDrain;
            this->at(server.endsAt, [this, &server](Instant now) {
                for (const auto &vm : this->vms) {
                    const bool known
                            = vm->notices.use(server.entry, now) != ServerUse::Unrestricted;
                    this->informedCount += known ? 1 : 0;
                }
            });
            this->at(server.endsAt + entryRemovalDelay, [this, &server](Instant) {
                for (const auto &vm : this->vms) {
                    vm->servers.remove(server.entry.name);
                    vm->outcomes.forget(server.entry.name);
                }
            });
            this->end = server.endsAt + runAfterLastEnd;
            time = time + leavingInterval;
        }
    }

    void scheduleArrival(const RequestKind &kind, Instant after)
    {
        const double gap = -std::log(1.0 - this->uniform()) / kind.perSecond;
        this->at(after + absl::Seconds(gap), [this, &kind](Instant now) {
            this->scheduleArrival(kind, now);
            auto request = std::make_shared<SimulatedRequest>();
            request->vm = this->below(this->vms.size());
            request->kind = &kind;
            request->route = &this->routes[kind.service];
            const auto objects = static_cast<std::size_t>(kind.perSecond * objectIntervalSeconds);
            request->object = std::to_string(this->below(objects));
            request->id = std::to_string(this->nextNumber);
            request->start = now;
            this->figures.requests += this->measured(*request) ? 1 : 0;
            this->send(request, now);
        });
    }

    /// Reports of outcomes and moved objects go to all VMs, as in the entry daemon.
    void scheduleSync(Instant now)
    {
        for (const auto &vm : this->vms) {
            const OutcomeReport report = vm->outcomes.takeReport(now);
            const std::vector<ObjectMove> moves = vm->selector.takeMoves();
            if (report.servers.empty() && moves.empty()) {
                continue;
            }
            this->toPeers(*vm, now, [report, moves](SimulatedVm &peer, Instant received) {
                if (!report.servers.empty()) {
                    peer.outcomes.apply(report, received);
                }
                for (const ObjectMove &move : moves) {
                    peer.selector.applyMove(move, received);
                }
            });
        }
        for (const auto &vm : this->vms) {
            vm->notices.advance(vm->servers, now);
        }
        this->at(now + syncInterval, [this](Instant next) { this->scheduleSync(next); });
    }

    void toPeers(const SimulatedVm &from, Instant now,
                 const std::function<void(SimulatedVm &, Instant)> &action)
    {
        for (const auto &vm : this->vms) {
            if (vm.get() != &from) {
                this->at(now + this->delay(from.region, vm->region),
                         [&peer = *vm, action](Instant received) { action(peer, received); });
            }
        }
    }

    bool measured(const SimulatedRequest &request) const
    {
        return request.start >= Instant() + warmUp;
    }

    void send(const SharedRequest &request, Instant now)
    {
        SimulatedVm &vm = *this->vms[request->vm];
        const absl::Duration waited = now - request->start;
        SelectionRequest selectionRequest;
        selectionRequest.route = request->route;
        selectionRequest.service = Common::ServiceName(request->kind->service);
        selectionRequest.object = request->object;
        selectionRequest.requestId = request->id;
        selectionRequest.remaining = timeout - waited;
        selectionRequest.waited = waited;
        selectionRequest.tried = request->tried;
        const Selection selection = vm.selector.select(selectionRequest, nullptr, now);
        if (const auto *wait = std::get_if<WaitUntil>(&selection)) {
            this->at(wait->time, [this, request](Instant next) { this->send(request, next); });
            return;
        }
        const auto *choice = std::get_if<SendTo>(&selection);
        if (choice == nullptr) {
            this->figures.refused += this->measured(*request) ? 1 : 0;
            return;
        }
        vm.selector.onSent(selectionRequest, *choice, now);
        const Common::BackendServerName name = choice->server->server().name;
        request->tried.insert(name);
        SimulatedServer &server = this->servers.at(name);
        this->at(now + this->delay(vm.region, server.region),
                 [this, request, &server, sent = now, hit = choice->cacheHit](Instant arrived) {
                     this->arrive(request, server, sent, hit, arrived);
                 });
    }

    void arrive(const SharedRequest &request, SimulatedServer &server, Instant sent,
                bool expectedHit, Instant now)
    {
        const absl::Duration back = this->delay(this->vms[request->vm]->region, server.region);
        if (now >= server.endsAt) {
            ++this->figures.toEnded;
            this->figures.toEndedNonIdempotent += request->kind->idempotent ? 0 : 1;
            this->at(now + back, [this, request, &server](Instant received) {
                this->onUnreachable(request, server, received);
            });
            return;
        }
        this->figures.afterFirstNotice += now > server.firstNotice ? 1 : 0;
        const bool hit = !server.cache.insert(request->object).second;
        if (!hit) {
            this->noteCacheMiss(*request, server, now);
        }
        if (now < server.leavesAt) {
            server.objects.insert(request->object);
        }
        const auto slot = std::min_element(server.slotFree.begin(), server.slotFree.end());
        const Instant finish
                = std::max(now, *slot) + request->kind->work * (hit ? cacheHitFraction : 1.0);
        *slot = finish;
        ++server.active;
        if (finish > server.endsAt) {
            this->at(server.endsAt + back, [this, request, &server](Instant received) {
                this->onBroken(request, server, received);
            });
            return;
        }
        this->at(finish, [this, request, &server, sent, expectedHit, back](Instant finished) {
            --server.active;
            const LoadReport load { std::min(server.active, server.entry.slots),
                                    server.active - std::min(server.active, server.entry.slots),
                                    server.entry.slots };
            const bool leaving = finished >= server.leavesAt;
            this->at(finished + back, [this, request, &server, sent, expectedHit, load,
                                       leaving](Instant received) {
                this->onAnswered(request, server, sent, expectedHit, load, leaving, received);
            });
        });
    }

    /// Counts the run of an object whose server leaves or has ended.
    void noteCacheMiss(const SimulatedRequest &request, const SimulatedServer &server, Instant now)
    {
        for (auto &[name, other] : this->servers) {
            if (&other == &server || other.entry.service != server.entry.service
                || now <= other.leavesAt || other.objects.erase(request.object) == 0) {
                continue;
            }
            ++this->figures.moves;
            this->figures.lateMoves += now >= other.endsAt ? 1 : 0;
        }
    }

    void onAnswered(const SharedRequest &request, SimulatedServer &server, Instant sent,
                    bool expectedHit, const LoadReport &load, bool leaving, Instant now)
    {
        SimulatedVm &vm = *this->vms[request->vm];
        const Common::BackendServerName &name = server.entry.name;
        if (leaving) {
            server.firstNotice = std::min(server.firstNotice, now);
            this->onNotice(vm, server, sent, now);
        }
        if (ServerRecord *record = vm.servers.find(name)) {
            record->onEnd(now, AttemptEnd::Answered, &load);
        }
        vm.outcomes.onAnswered(name, now);
        vm.selector.onAnswered(server.entry.service, expectedHit, now - sent);
        if (this->measured(*request)) {
            this->figures.late += now - request->start > request->kind->target ? 1 : 0;
        }
    }

    void onNotice(SimulatedVm &vm, const SimulatedServer &server, Instant sent, Instant now)
    {
        const ServerIncarnation incarnation = ServerIncarnation::of(server.entry);
        const ServerNotice notice = ServerNotice::read({ "1" }, {}, false);
        const NoticeEffect effect
                = vm.notices.apply(incarnation, notice, wallTime(sent), vm.servers, now);
        if (!this->shareNotices || !effect.leavingStarted) {
            return;
        }
        const int peers = this->site.vms - 1;
        this->figures.messages += peers;
        this->figures.bytes += messageBytes(server.entry) * static_cast<std::uint64_t>(peers);
        this->toPeers(vm, now, [incarnation, notice, sent](SimulatedVm &peer, Instant received) {
            peer.notices.apply(incarnation, notice, wallTime(sent), peer.servers, received);
        });
    }

    /// Size of a message with the name and the start time of the server and the name of the VM.
    static std::uint64_t messageBytes(const BackendServer &server)
    {
        Peering::Wire::SlotReleaseT release;
        release.backend_server = server.name.value();
        release.vm = "entry-10";
        release.incarnation = 1764892800000;
        Peering::Wire::MessageT message;
        message.body.Set(std::move(release));
        return Peering::encodeFrame(Peering::protocolVersion, Peering::LinkClass::Control, message)
                .size();
    }

    void onUnreachable(const SharedRequest &request, const SimulatedServer &server, Instant now)
    {
        SimulatedVm &vm = *this->vms[request->vm];
        if (ServerRecord *record = vm.servers.find(server.entry.name)) {
            record->onEnd(now, AttemptEnd::Unreachable, nullptr);
        }
        vm.outcomes.onFailed(server.entry.name, now, unreachableFailureWeight);
        if (++request->unreachableAttempts < maxUnreachableAttempts) {
            this->send(request, now);
        } else {
            this->figures.refused += this->measured(*request) ? 1 : 0;
        }
    }

    void onBroken(const SharedRequest &request, const SimulatedServer &server, Instant now)
    {
        SimulatedVm &vm = *this->vms[request->vm];
        if (ServerRecord *record = vm.servers.find(server.entry.name)) {
            record->onEnd(now, AttemptEnd::Broken, nullptr);
        }
        vm.outcomes.onFailed(server.entry.name, now);
        if (request->kind->idempotent) {
            ++this->figures.repeated;
            this->send(request, now);
        } else {
            ++this->figures.failed;
        }
    }

    SiteModel site;
    bool shareNotices = false;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<SimulatedVm>> vms;
    std::map<Common::BackendServerName, SimulatedServer> servers;
    std::map<std::string, Route> routes;
    std::priority_queue<Event> events;
    std::uint64_t nextNumber = 0;
    Instant end;
    int informedCount = 0;
    Figures figures;
};

void print(const SiteModel &site, bool shareNotices, std::uint64_t seed, const Figures &figures)
{
    const auto perServer = [&site](double value) { return value / site.leavingServers; };
    std::cout << absl::StrFormat(
            "| %s | %d | %s | %d | %d | %.1f | %.1f | %.2f (%.2f) | %.2f | %.2f | %.1f | %.1f | "
            "%.1f | %.1f | %.0f | %.0f |\n",
            site.name, site.vms, shareNotices ? "tell" : "own", seed, figures.requests,
            perServer(figures.informed), perServer(figures.afterFirstNotice),
            perServer(figures.toEnded), perServer(figures.toEndedNonIdempotent),
            perServer(figures.repeated), perServer(figures.failed), perServer(figures.lateMoves),
            perServer(figures.moves), perServer(figures.late), perServer(figures.refused),
            perServer(figures.messages), perServer(static_cast<double>(figures.bytes)) / site.vms)
              << std::flush;
}

} // namespace

TEST_CASE("Leaving servers with and without messages between VMs", "[.benchmark]")
{
    std::cout << "| site | VMs | way | seed | requests | VMs that know | after first notice | to "
                 "ended (not "
                 "idempotent) | broken, repeated | broken, failed | objects moved late | objects "
                 "moved | late | refused | messages | bytes a VM |\n"
                 "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const SiteModel &site : { bellringer(), bellringerGrown(), velamarGrown() }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            for (const bool shareNotices : { false, true }) {
                print(site, shareNotices, seed, Simulation(site, shareNotices, seed).run());
            }
        }
    }
}

} // namespace Currantfall::Steering
