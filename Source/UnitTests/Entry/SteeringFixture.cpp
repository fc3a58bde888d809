#include "SteeringFixture.h"

namespace Currantfall::Entry::Tests {

namespace {

constexpr const char *serviceName = "bellbook";

Steering::Route route(const std::string &prefix, bool idempotent)
{
    Steering::Route result;
    result.name = prefix;
    result.host = "h.example";
    result.prefix = prefix;
    result.idempotent = idempotent;
    result.targetLatency = absl::Milliseconds(500);
    result.services = { { Common::ServiceName(serviceName), 1.0 } };
    return result;
}

} // namespace

EntrySettings loopbackSettings()
{
    EntrySettings settings;
    settings.vm = Common::VmName("vm-1");
    settings.zone = Common::ZoneName("a");
    settings.region = Common::RegionName("west");
    settings.address = "127.0.0.1";
    settings.zones = { { Common::ZoneName("a"), Common::RegionName("west") },
                       { Common::ZoneName("b"), Common::RegionName("east") } };
    settings.callers = { "127.0.0.1", 0 };
    settings.memoryBytes = std::size_t { 64 } * 1024 * 1024;
    settings.maxDescriptors = 1024;
    settings.retries = { 0.2, 60.0, absl::Seconds(10) };
    settings.cold = { 1.5, 5.0 };
    settings.serverDrainTime = absl::Seconds(2);
    return settings;
}

SteeringFixture::SteeringFixture()
    : settings(loopbackSettings()), log("vm-1", { 0, 64 }),
      steering(this->context, this->settings, this->log, this->metrics)
{
    const Quotas::QuotaVm vm { this->settings.vm, this->settings.zone, 1.0 };
    this->steering.quotas().keeper().setPlan(Quotas::QuotaPlan({ vm }), true,
                                             Common::monotonicNow());
    this->configure();
}

void SteeringFixture::addServer(const std::string &name, std::uint16_t port,
                                const std::string &zone)
{
    Steering::BackendServer server;
    server.name = Common::BackendServerName(name);
    server.service = Common::ServiceName(serviceName);
    server.address = "127.0.0.1";
    server.port = port;
    server.zone = Common::ZoneName(zone);
    server.slots = 3;
    this->steering.servers().put(server, Common::monotonicNow());
}

void SteeringFixture::configure(absl::Duration timeout, std::uint32_t maxAttempts,
                                const std::vector<Common::RegionName> &homes,
                                const Steering::CallerLimits &limits,
                                std::vector<Tenants::Tenant> tenants)
{
    std::vector<Steering::Route> routes { route("/read/", true), route("/write/", false) };
    for (Steering::Route &each : routes) {
        each.timeout = timeout;
        each.maxAttempts = maxAttempts;
        each.allowedRegions = homes;
    }
    const Steering::ServiceSettings terms { Common::ServiceName(serviceName), "/health", 100, 2.0 };
    this->steering.setConfiguration(std::make_shared<const Steering::RoutingConfiguration>(
            1, std::vector { terms }, routes, limits, Tenants::TenantTable(std::move(tenants))));
}

Adapter::HttpRequest SteeringFixture::request(const std::string &path, const std::string &id)
{
    using boost::beast::http::verb;
    Adapter::HttpRequest result(path.starts_with("/write/") ? verb::post : verb::get, path, 11);
    result.set("Host", "h.example");
    result.set("Request-Id", id);
    result.set("Deadline-Ms", "4000");
    result.set("Cookie", "Affinity-Key=1");
    return result;
}

std::optional<Adapter::HttpResponse>
SteeringFixture::run(const Adapter::HttpRequest &request,
                     std::optional<absl::Duration> disconnectAfter)
{
    std::optional<Adapter::HttpResponse> response;
    const auto caller = std::make_shared<CallerState>(this->context);
    boost::asio::steady_timer timer(this->context);
    if (disconnectAfter) {
        timer.expires_after(toChrono(*disconnectAfter));
        timer.async_wait([caller](const IoError &error) {
            if (!error) {
                caller->onDisconnected();
            }
        });
    }
    boost::asio::co_spawn(
            this->context,
            [](SteeringFixture &fixture, const Adapter::HttpRequest &request, SharedCaller caller,
               std::optional<Adapter::HttpResponse> &response) -> Task {
                response = co_await fixture.steering.handle(request, caller);
                // Attempts that outlive the request continue in runFor().
                fixture.context.stop();
            }(*this, request, caller, response),
            boost::asio::detached);
    this->context.restart();
    this->context.run();
    timer.cancel();
    return response;
}

std::shared_ptr<std::optional<Adapter::HttpResponse>>
SteeringFixture::startRequest(const Adapter::HttpRequest &request)
{
    auto response = std::make_shared<std::optional<Adapter::HttpResponse>>();
    boost::asio::co_spawn(
            this->context,
            [](SteeringFixture &fixture, Adapter::HttpRequest request,
               std::shared_ptr<std::optional<Adapter::HttpResponse>> response) -> Task {
                const auto caller = std::make_shared<CallerState>(fixture.context);
                *response = co_await fixture.steering.handle(request, caller);
            }(*this, request, response),
            boost::asio::detached);
    return response;
}

void SteeringFixture::runFor(absl::Duration duration)
{
    this->context.restart();
    this->context.run_for(toChrono(duration));
}

bool SteeringFixture::runUntil(const std::function<bool()> &condition)
{
    const Common::Instant end = Common::monotonicNow() + absl::Seconds(20);
    while (!condition()) {
        if (Common::monotonicNow() >= end) {
            return false;
        }
        this->runFor(absl::Milliseconds(5));
    }
    return true;
}

} // namespace Currantfall::Entry::Tests
