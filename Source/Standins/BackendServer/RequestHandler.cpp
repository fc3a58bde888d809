#include "RequestHandler.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include "Answer.h"
#include "ConnectionServer.h"

namespace Currantfall::BackendStandin {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxContentBytes = std::size_t { 16 } * 1024 * 1024;
constexpr int badRequest = 400;
constexpr int unavailable = 503;
constexpr int deadlinePassed = 504;

void answerJson(httplib::Response &response, const Json &json, int status = 200)
{
    response.status = status;
    response.set_content(json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n",
                         "application/json");
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end ? std::optional(value) : std::nullopt;
}

void addToTotals(Json &totals, const Json &counters)
{
    for (const char *const name : { "started", "ran", "shed", "paused", "cancelled", "expired",
                                    "slot_overruns", "in_use", "slots" }) {
        totals[name]
                = totals.value(name, std::uint64_t { 0 }) + counters[name].get<std::uint64_t>();
    }
    for (const char *const name : { "max_in_use", "max_requests_in_pause", "last_new_work_ms" }) {
        totals[name] = std::max(totals.value(name, std::int64_t { 0 }),
                                counters[name].get<std::int64_t>());
    }
}

// Routes of one server; the handlers share it.
class Routes
{
public:
    Routes(BackendStandin &server, const ExecutionLog &log,
           std::function<const Servers &()> servers)
        : server(server), log(log), servers(std::move(servers))
    { }

    void health(httplib::Response &response) const
    {
        answerJson(response, this->server.health());
        this->stateStart(response);
    }

    void cancel(const httplib::Request &request, httplib::Response &response) const
    {
        const bool cancelled = this->server.cancel(request.get_param_value("attempt"));
        answerJson(response, { { "cancelled", cancelled } });
    }

    void showBehaviour(httplib::Response &response) const
    {
        answerJson(response, toJson(this->server.behaviour()));
    }

    // ?scope=zone or ?scope=all changes more servers of the process than this one.
    void changeBehaviour(const httplib::Request &request, httplib::Response &response) const
    {
        const Json changes = Json::parse(request.body, nullptr, false);
        const auto checked = changed(Behaviour(), changes);
        if (!checked) {
            answerJson(response, { { "error", checked.error().toString() } }, badRequest);
            return;
        }
        const std::string scope = request.get_param_value("scope");
        for (BackendStandin *target : this->servers()) {
            const bool sameZone = target->identity().zone == this->server.identity().zone;
            if (target == &this->server || scope == "all" || (scope == "zone" && sameZone)) {
                target->setBehaviour(changed(target->behaviour(), changes).value(),
                                     changes.contains("cold_start_ms"));
            }
        }
        this->showBehaviour(response);
    }

    void executions(httplib::Response &response) const
    {
        Json json = this->log.summary();
        json["servers"] = Json::array();
        json["totals"] = Json::object();
        for (const BackendStandin *target : this->servers()) {
            json["servers"].push_back(target->counters());
            addToTotals(json["totals"], json["servers"].back());
        }
        answerJson(response, json);
    }

    void executionCounts(const httplib::Request &request, httplib::Response &response) const
    {
        answerJson(response, this->log.counts(Json::parse(request.body, nullptr, false)));
    }

    void work(const httplib::Request &request, httplib::Response &response) const
    {
        this->serve(request, response);
        this->stateStart(response);
        // Also in answers to requests that came before the server was told to leave.
        if (this->server.behaviour().leaving) {
            response.set_header("Currantfall-Leaving", "1");
        }
    }

private:
    void stateStart(httplib::Response &response) const
    {
        response.set_header("Currantfall-Started-Ms",
                            absl::StrCat(absl::ToUnixMillis(this->server.startTime())));
    }

    void serve(const httplib::Request &request, httplib::Response &response) const
    {
        const RequestIds ids { request.get_header_value("Idempotency-Key"),
                               request.get_header_value("Currantfall-Attempt"),
                               request.get_header_value("Currantfall-Request") };
        std::optional<absl::Duration> deadline;
        if (request.has_header("Currantfall-Deadline-Ms")) {
            const auto value = parseNumber(request.get_header_value("Currantfall-Deadline-Ms"));
            if (!value) {
                answerJson(response, { { "error", "invalid Currantfall-Deadline-Ms" } },
                           badRequest);
                return;
            }
            deadline = absl::Milliseconds(*value);
        }
        const WorkOutcome outcome = this->server.run(ids, deadline);
        response.set_header("Currantfall-Attempt", ids.attempt);
        response.set_header("Currantfall-Finished",
                            outcome.result == WorkResult::Ran ? "yes" : "no");
        if (outcome.result == WorkResult::Ran) {
            this->answer(request, outcome, response);
            return;
        }
        refuse(outcome, response);
    }

    static void refuse(const WorkOutcome &outcome, httplib::Response &response)
    {
        if (outcome.draw.hang) {
            ConnectionServer::closeWithoutAnswer();
            return;
        }
        if (outcome.result == WorkResult::Shed) {
            response.set_header("Currantfall-Shed", "not-run");
            if (outcome.pause > absl::ZeroDuration()) {
                response.set_header("Retry-After",
                                    absl::StrCat(absl::ToDoubleSeconds(outcome.pause)));
            }
            answerJson(response, { { "finished", false }, { "reason", "shed" } }, unavailable);
            return;
        }
        const bool expired = outcome.result == WorkResult::Expired;
        answerJson(response,
                   { { "finished", false }, { "reason", expired ? "expired" : "cancelled" } },
                   expired ? deadlinePassed : unavailable);
    }

    void answer(const httplib::Request &request, const WorkOutcome &outcome,
                httplib::Response &response) const
    {
        absl::SleepFor(outcome.answerDelay);
        if (outcome.draw.closeAfterRun) {
            ConnectionServer::closeWithoutAnswer();
            return;
        }
        RequestFacts facts { request.method,
                             request.target,
                             request.body,
                             request.get_header_value("Currantfall-Request"),
                             request.get_header_value("Currantfall-Attempt"),
                             std::min<std::size_t>(
                                     parseNumber(request.get_param_value("bytes")).value_or(0),
                                     maxContentBytes) };
        if (outcome.draw.mismatch) {
            facts.request = "mismatched";
            facts.attempt = "mismatched";
            response.headers.erase("Currantfall-Attempt");
            response.set_header("Currantfall-Attempt", facts.attempt);
        }
        std::string body = answerBody(this->server.identity(), facts);
        const char *const type
                = facts.contentBytes > 0 ? "application/octet-stream" : "application/json";
        if (outcome.draw.truncate) {
            sendHalf(std::move(body), type, response);
            return;
        }
        response.set_content(body, type);
    }

    static void sendHalf(std::string body, const char *type, httplib::Response &response)
    {
        const std::size_t length = body.size();
        response.set_content_provider(
                length, type,
                [body = std::move(body)](std::size_t, std::size_t, httplib::DataSink &sink) {
                    sink.write(body.data(), body.size() / 2);
                    return false;
                });
    }

    BackendStandin &server;
    const ExecutionLog &log;
    std::function<const Servers &()> servers;
};

} // namespace

void addRoutes(httplib::Server &http, BackendStandin &server, const ExecutionLog &log,
               std::function<const Servers &()> servers)
{
    using Request = httplib::Request;
    using Response = httplib::Response;
    const auto routes = std::make_shared<const Routes>(server, log, std::move(servers));
    http.Get("/_health",
             [routes](const Request &, Response &response) { routes->health(response); });
    http.Post("/_control/cancel", [routes](const Request &request, Response &response) {
        routes->cancel(request, response);
    });
    http.Get("/_control/behaviour",
             [routes](const Request &, Response &response) { routes->showBehaviour(response); });
    http.Post("/_control/behaviour", [routes](const Request &request, Response &response) {
        routes->changeBehaviour(request, response);
    });
    http.Get("/_control/executions",
             [routes](const Request &, Response &response) { routes->executions(response); });
    http.Post("/_control/executions", [routes](const Request &request, Response &response) {
        routes->executionCounts(request, response);
    });
    const httplib::Server::Handler work = [routes](const Request &request, Response &response) {
        routes->work(request, response);
    };
    http.Get("/.*", work);
    http.Post("/.*", work);
    http.Put("/.*", work);
    http.Patch("/.*", work);
    http.Delete("/.*", work);
    http.Options("/.*", work);
}

} // namespace Currantfall::BackendStandin
