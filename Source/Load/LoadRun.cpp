#include "Load/LoadRun.h"

#include <algorithm>
#include <atomic>
#include <barrier>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/BoundedRing.h"
#include "currantfall/Common/Time.h"

#include "Load/Caller.h"
#include "Load/Timeline.h"

namespace Currantfall::Load {

namespace {

constexpr std::size_t queueCapacity = 1 << 16;
constexpr absl::Duration pollInterval = absl::Milliseconds(200);

struct Arrival
{
    Common::Instant scheduled;
    std::uint64_t number = 0;
    std::size_t phase = 0;
    Common::Instant phaseEnd;
};

std::vector<Phase> planPhases(const Settings &settings)
{
    if (settings.alternate == 0) {
        return { Phase { !settings.direct.empty(), settings.duration,
                         std::vector<ClassResult>(settings.classes.size()) } };
    }
    std::vector<Phase> phases;
    for (std::size_t index = 0; index < 2 * settings.alternate; ++index) {
        phases.push_back(Phase { index % 2 == 0,
                                 settings.duration / static_cast<double>(2 * settings.alternate),
                                 std::vector<ClassResult>(settings.classes.size()) });
    }
    return phases;
}

/// The arrivals of one class and the threads that serve them.
class ClassLoad
{
public:
    ClassLoad(const Settings &settings, std::size_t index, std::string runId, LookupCache &lookups,
              BalancerFleet *balancers, Timeline &timeline)
        : settings(settings), requestClass(settings.classes.at(index)), index(index),
          runId(std::move(runId)), lookups(lookups), balancers(balancers), timeline(timeline),
          queue(queueCapacity)
    { }

    /// The planned time begins when `ready` has been reached by all threads of all classes.
    void start(const std::vector<Phase> &phases, std::barrier<> &ready)
    {
        this->notSent.resize(phases.size());
        this->results.resize(this->connections(), std::vector<ClassResult>(phases.size()));
        for (std::size_t worker = 0; worker < this->connections(); ++worker) {
            this->workers.emplace_back(
                    [this, worker, &phases, &ready] { this->serve(worker, phases, ready); });
        }
        this->workers.emplace_back([this, &phases, &ready] {
            ready.arrive_and_wait();
            this->generate(phases);
        });
    }

    std::size_t connections() const
    {
        const std::size_t own = this->requestClass.connections;
        return own > 0 ? own : this->settings.connections;
    }

    void finish(std::vector<Phase> &phases)
    {
        for (std::thread &worker : this->workers) {
            worker.join();
        }
        for (std::size_t phase = 0; phase < phases.size(); ++phase) {
            ClassResult &total = phases.at(phase).classes.at(this->index);
            total.notSent = this->notSent.at(phase);
            for (std::vector<ClassResult> &result : this->results) {
                total.merge(std::move(result.at(phase)));
            }
        }
    }

private:
    /// Arrivals never wait for answers.
    void generate(const std::vector<Phase> &phases)
    {
        std::seed_seq seeds { this->settings.seed, static_cast<std::uint64_t>(this->index) };
        std::mt19937_64 random(seeds);
        std::exponential_distribution<double> gap(this->requestClass.rate);
        Common::Instant scheduled = Common::monotonicNow() + absl::Seconds(gap(random));
        Common::Instant phaseEnd = Common::monotonicNow();
        std::uint64_t number = 0;
        for (std::size_t phase = 0; phase < phases.size(); ++phase) {
            phaseEnd = phaseEnd + phases.at(phase).length;
            while (scheduled < phaseEnd) {
                absl::SleepFor(scheduled - Common::monotonicNow());
                if (!this->queue.tryPush(Arrival { scheduled, ++number, phase, phaseEnd })) {
                    ++this->notSent.at(phase);
                }
                scheduled = scheduled + absl::Seconds(gap(random));
            }
        }
        this->generated = true;
        this->queue.close();
    }

    void serve(std::size_t worker, const std::vector<Phase> &phases, std::barrier<> &ready)
    {
        Caller caller(this->settings, this->requestClass, this->lookups, this->balancers);
        if (this->settings.openConnections) {
            caller.openConnections();
        }
        ready.arrive_and_wait();
        while (true) {
            // Read before the queue: only then does an empty queue stay empty.
            const bool last = this->generated;
            const std::optional<Arrival> arrival = this->queue.popWithin(pollInterval);
            if (arrival) {
                this->call(caller, *arrival, phases.at(arrival->phase).direct,
                           this->results.at(worker).at(arrival->phase));
            } else if (last) {
                return;
            }
        }
    }

    void call(Caller &caller, const Arrival &arrival, bool direct, ClassResult &result)
    {
        const absl::Duration late = Common::monotonicNow() - arrival.scheduled;
        if (this->settings.abandonAfter > absl::ZeroDuration()
            && late > this->settings.abandonAfter) {
            ++result.abandoned;
            this->timeline.add(arrival.scheduled, CallOutcome::NotRun, late);
            return;
        }
        std::string id = this->runId + "-" + std::to_string(this->index) + "-"
                         + std::to_string(arrival.number);
        const Caller::Call call
                = direct ? caller.direct(id, arrival.number) : caller.steered(id, arrival.number);
        const Common::Instant now = Common::monotonicNow();
        const absl::Duration latency = now - arrival.scheduled;
        result.add(call.outcome, latency);
        this->timeline.add(arrival.scheduled, call.outcome, latency);
        if (call.outcome == CallOutcome::Answered && now <= arrival.phaseEnd) {
            ++result.answeredInPhase;
        }
        result.attempts += call.attempts;
        result.pauseRefusals += call.pauseRefusals;
        result.leavingResponses += call.leavingResponses;
        if (!this->settings.verify.empty()) {
            result.records.push_back(RequestRecord { std::move(id), call.outcome });
        }
    }

    const Settings &settings;
    const RequestClass &requestClass;
    std::size_t index;
    std::string runId;
    LookupCache &lookups;
    BalancerFleet *balancers;
    Timeline &timeline;
    Common::BoundedRing<Arrival> queue;
    std::vector<std::vector<ClassResult>> results;
    std::vector<std::uint64_t> notSent;
    std::vector<std::thread> workers;
    std::atomic<bool> generated = false;
};

Common::Result<void> checkLookups(const Settings &settings, LookupCache &lookups)
{
    if (settings.lookups.empty()) {
        return {};
    }
    for (const RequestClass &requestClass : settings.classes) {
        const std::string client = requestClass.clients.empty() ? "" : requestClass.clients.front();
        const auto entries = lookups.entries(requestClass.service, client);
        if (!entries) {
            return tl::unexpected<Common::Error>(entries.error());
        }
    }
    return {};
}

} // namespace

Common::Result<Executions> readExecutions(const std::vector<Endpoint> &servers,
                                          const std::vector<std::string> &requestIds,
                                          absl::Duration timeout)
{
    const std::string step = "read executions";
    Executions all;
    for (const Endpoint &server : servers) {
        httplib::Client client(server.address, server.port);
        client.set_read_timeout(absl::ToChronoMilliseconds(timeout));
        const std::string question = nlohmann::json { { "requests", requestIds } }.dump();
        const httplib::Result reply
                = client.Post("/_control/executions", question, "application/json");
        if (!reply || reply->status != 200) {
            return Common::failure(Common::ErrorCode::Unavailable, step, server.toString());
        }
        try {
            const nlohmann::json body = nlohmann::json::parse(reply->body);
            for (const auto &[id, counts] : body.at("requests").items()) {
                all[id] += counts.at("ran").get<std::uint64_t>();
            }
        } catch (const nlohmann::json::exception &error) {
            return Common::failure(Common::ErrorCode::InvalidInput, step, server.toString(),
                                   error.what());
        }
    }
    return all;
}

Common::Result<LoadReport> runLoad(const Settings &settings)
{
    LookupCache lookups(settings.lookups, std::min(settings.timeout, absl::Seconds(2)));
    if (const Common::Result<void> checked = checkLookups(settings, lookups); !checked) {
        return tl::unexpected<Common::Error>(checked.error());
    }
    LoadReport report;
    report.phases = planPhases(settings);
    // Request ids of two runs with one seed must differ, as stand-ins count by request id.
    const std::string runId
            = absl::StrCat(absl::Hex(settings.seed), "-", absl::Hex(absl::GetCurrentTimeNanos()));
    std::optional<BalancerFleet> balancers;
    if (!settings.balancers.groups.empty()) {
        balancers.emplace(settings.balancers, settings.seed);
    }
    Timeline timeline(settings.timelineInterval);
    BalancerFleet *const direct = balancers ? &*balancers : nullptr;
    std::vector<std::unique_ptr<ClassLoad>> loads;
    std::size_t threads = 0;
    for (std::size_t index = 0; index < settings.classes.size(); ++index) {
        loads.push_back(
                std::make_unique<ClassLoad>(settings, index, runId, lookups, direct, timeline));
        threads += loads.back()->connections() + 1;
    }
    std::barrier<> ready(static_cast<std::ptrdiff_t>(threads));
    for (const std::unique_ptr<ClassLoad> &load : loads) {
        load->start(report.phases, ready);
    }
    for (const std::unique_ptr<ClassLoad> &load : loads) {
        load->finish(report.phases);
    }
    report.timeline = timeline.toText();
    if (settings.verify.empty()) {
        return report;
    }
    absl::SleepFor(settings.settle);
    std::vector<std::string> requestIds;
    for (const Phase &phase : report.phases) {
        for (const ClassResult &result : phase.classes) {
            for (const RequestRecord &record : result.records) {
                requestIds.push_back(record.id);
            }
        }
    }
    const Common::Result<Executions> executions
            = readExecutions(settings.verify, requestIds, settings.timeout);
    if (!executions) {
        return tl::unexpected<Common::Error>(executions.error());
    }
    report.verified = true;
    for (Phase &phase : report.phases) {
        for (std::size_t index = 0; index < phase.classes.size(); ++index) {
            countViolations(phase.classes.at(index), *executions,
                            settings.classes.at(index).idempotent());
        }
    }
    return report;
}

ClassResult LoadReport::total(std::size_t classIndex, bool direct) const
{
    ClassResult sum;
    for (const Phase &phase : this->phases) {
        if (phase.direct == direct) {
            ClassResult copy = phase.classes.at(classIndex);
            copy.records.clear();
            sum.merge(std::move(copy));
        }
    }
    return sum;
}

bool LoadReport::invariantBroken() const
{
    return std::any_of(this->phases.begin(), this->phases.end(), [](const Phase &phase) {
        return std::any_of(phase.classes.begin(), phase.classes.end(),
                           [](const ClassResult &result) {
                               return result.duplicates > 0 || result.falseNotRun > 0
                                      || result.count(CallOutcome::WrongAnswer) > 0;
                           });
    });
}

} // namespace Currantfall::Load
