#include "Load/Settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <limits>
#include <optional>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "currantfall/Common/CommandLine.h"

namespace Currantfall::Load {

namespace {

using Common::CommandLine;
using Common::Flag;
using Strings = std::vector<std::string>;

constexpr int maxPort = 65535;
constexpr std::size_t maxConnections = 1024;
constexpr std::size_t maxBodyBytes = 16UL * 1024 * 1024;
constexpr long longestMs = 3600L * 1000;

tl::unexpected<Common::Error> invalid(const std::string &what, std::string detail)
{
    return Common::failure(Common::ErrorCode::InvalidInput, "read " + what, {}, std::move(detail));
}

const std::vector<Flag> &flags()
{
    static const std::vector<Flag> all {
        { "lookup", "an entry VM's lookups", "IP:PORT", true },
        // Without a variable: commas separate the fields of a class.
        { "class",
          "service=S,tenant=T,method=M,path=P,rate=R,body-bytes=N,key=yes|no,deadline-ms=D,"
          "clients=IP+IP...,connections=N,key-prefix=P,entry=IP:PORT",
          "FIELDS", true, false },
        { "direct", "a backend server to call directly", "IP:PORT", true },
        // Without a variable: commas separate the servers of a group.
        { "direct-power-of-two", "servers to call directly through N independent balancers",
          "SERVICE/N=IP:PORT,IP:PORT...", true, false },
        { "balancer-limit", "concurrent requests of a balancer, in shares of the slots (2)",
          "FACTOR" },
        { "balancer-counts-own", "balancers add their own requests to the reported load", "" },
        { "report-interval-ms", "between two reads of the load reports (250)", "MS" },
        { "verify", "a backend stand-in to ask for executions", "IP:PORT", true },
        { "duration-s", "length of the run (10)", "SECONDS" },
        { "timeout-ms", "limit of one call (10000)", "MS" },
        { "abandon-after-ms", "latest sending of a planned request (0: without limit)", "MS" },
        { "settle-ms", "wait before the verification (1000)", "MS" },
        { "seed", "of arrivals and request ids (1)", "NUMBER" },
        { "connections", "of each class without its own number (32)", "NUMBER" },
        { "alternate", "pairs of a direct and a steered phase (0)", "NUMBER" },
        { "open-connections", "opens all connections before the first request", "" },
        { "timeline-ms", "intervals of a timeline in the text report (0: none)", "MS" },
        { "json", "report as JSON", "", false, false },
        { "help", "this text", "", false, false },
        { "version", "print the version", "", false, false },
    };
    return all;
}

template<typename Value>
Common::Result<void> readAll(const CommandLine &line, const std::string &name,
                             std::vector<Value> &values)
{
    for (const std::string &text : line.values(name)) {
        Common::Result<Value> value = Value::parse(text);
        if (!value) {
            return tl::unexpected<Common::Error>(value.error());
        }
        values.push_back(*std::move(value));
    }
    return {};
}

bool isIpv4(const std::string &text)
{
    in_addr parsed {};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

/// Sets one field of a class. Returns what was expected instead if the value is invalid.
std::optional<std::string> setField(RequestClass &target, const std::string &name,
                                    const std::string &value)
{
    double number = 0;
    const bool isNumber = absl::SimpleAtod(value, &number) && number >= 0;
    if (name == "service") {
        target.service = value;
    } else if (name == "tenant") {
        target.tenant = value;
    } else if (name == "method") {
        target.method = value;
    } else if (name == "path" && value.starts_with('/')) {
        target.path = value;
    } else if (name == "rate" && isNumber && number > 0 && number <= 1e6) {
        target.rate = number;
    } else if (name == "body-bytes" && isNumber && number <= maxBodyBytes) {
        target.bodyBytes = static_cast<std::size_t>(number);
    } else if (name == "key" && (value == "yes" || value == "no")) {
        target.key = value == "yes";
    } else if (name == "deadline-ms" && isNumber) {
        target.deadline = absl::Milliseconds(number);
    } else if (name == "connections" && isNumber && number >= 1 && number <= maxConnections) {
        target.connections = static_cast<std::size_t>(number);
    } else if (name == "clients") {
        const Strings clients = absl::StrSplit(value, '+');
        if (!std::all_of(clients.begin(), clients.end(), isIpv4)) {
            return "clients are IPv4 addresses joined by '+', not " + value;
        }
        target.clients.insert(target.clients.end(), clients.begin(), clients.end());
    } else if (name == "key-prefix") {
        target.keyPrefix = value;
    } else if (name == "entry" && Endpoint::parse(value)) {
        target.entry = *Endpoint::parse(value);
    } else {
        return "a class has service, tenant, method, path (from '/'), rate (> 0), body-bytes, "
               "key (yes or no), deadline-ms, clients, connections (1..1024), key-prefix and "
               "entry (IP:PORT), not "
               + name + "=" + value;
    }
    return std::nullopt;
}

Common::Result<Settings> check(Settings settings)
{
    if (settings.classes.empty()) {
        return invalid("settings", "at least one --class is required");
    }
    const bool steered = settings.direct.empty() || settings.alternate > 0;
    if (steered && settings.lookups.empty()) {
        return invalid("settings", "--lookup is required for steered requests");
    }
    if (settings.alternate > 0 && settings.direct.empty()) {
        return invalid("settings", "--alternate requires --direct");
    }
    const std::vector<BalancerGroup> &groups = settings.balancers.groups;
    for (const RequestClass &requestClass : settings.classes) {
        const bool found = std::any_of(groups.begin(), groups.end(), [&](const auto &group) {
            return group.service == requestClass.service;
        });
        if (!groups.empty() && !found) {
            return invalid("settings", "no --direct-power-of-two for " + requestClass.service);
        }
    }
    return settings;
}

/// Reads a number above 0 that may have a fraction.
Common::Result<double> readPositive(const CommandLine &line, const std::string &name,
                                    const std::string &fallback)
{
    double number = 0;
    const std::string text = line.valueOr(name, fallback);
    if (!absl::SimpleAtod(text, &number) || !(number > 0 && number <= 1e6)) {
        return invalid("settings",
                       "--" + name + ": expected a number above 0, found '" + text + "'");
    }
    return number;
}

/// Adds the balancers, and their servers to those that are called directly.
Common::Result<void> readBalancers(const CommandLine &line, Settings &settings)
{
    BalancerSettings &balancers = settings.balancers;
    auto groups = readAll(line, "direct-power-of-two", balancers.groups);
    if (!groups) {
        return groups;
    }
    const auto limitFactor = readPositive(line, "balancer-limit", "2");
    const auto reportInterval = line.number("report-interval-ms", 250, 1, longestMs);
    if (!limitFactor) {
        return tl::unexpected<Common::Error>(limitFactor.error());
    }
    if (!reportInterval) {
        return tl::unexpected<Common::Error>(reportInterval.error());
    }
    balancers.limitFactor = *limitFactor;
    balancers.reportInterval = absl::Milliseconds(*reportInterval);
    balancers.countsOwn = line.enabled("balancer-counts-own");
    for (const BalancerGroup &group : balancers.groups) {
        settings.direct.insert(settings.direct.end(), group.servers.begin(), group.servers.end());
    }
    return {};
}

Common::Result<void> readDuration(const CommandLine &line, Settings &settings)
{
    const auto seconds = readPositive(line, "duration-s", "10");
    if (!seconds) {
        return tl::unexpected<Common::Error>(seconds.error());
    }
    settings.duration = absl::Seconds(*seconds);
    return {};
}

Common::Result<void> readNumbers(const CommandLine &line, Settings &settings)
{
    const auto timeout = line.number("timeout-ms", 10000, 1, longestMs);
    const auto abandonAfter = line.number("abandon-after-ms", 0, 0, longestMs);
    const auto settle = line.number("settle-ms", 1000, 0, longestMs);
    const auto seed = line.number("seed", 1, 0, std::numeric_limits<long>::max());
    const auto connections = line.number("connections", 32, 1, maxConnections);
    const auto alternate = line.number("alternate", 0, 0, 1000);
    const auto timeline = line.number("timeline-ms", 0, 0, longestMs);
    for (const auto *number :
         { &timeout, &abandonAfter, &settle, &seed, &connections, &alternate, &timeline }) {
        if (!*number) {
            return tl::unexpected<Common::Error>(number->error());
        }
    }
    settings.timeout = absl::Milliseconds(*timeout);
    settings.abandonAfter = absl::Milliseconds(*abandonAfter);
    settings.settle = absl::Milliseconds(*settle);
    settings.seed = static_cast<std::uint64_t>(*seed);
    settings.connections = static_cast<std::size_t>(*connections);
    settings.alternate = static_cast<std::size_t>(*alternate);
    settings.timelineInterval = absl::Milliseconds(*timeline);
    return readDuration(line, settings);
}

Common::Result<Settings> convert(const CommandLine &line)
{
    Settings settings;
    for (const auto &read :
         { readAll(line, "lookup", settings.lookups), readAll(line, "direct", settings.direct),
           readAll(line, "verify", settings.verify), readAll(line, "class", settings.classes),
           readBalancers(line, settings), readNumbers(line, settings) }) {
        if (!read) {
            return tl::unexpected<Common::Error>(read.error());
        }
    }
    settings.openConnections = line.enabled("open-connections");
    settings.json = line.enabled("json");
    return check(std::move(settings));
}

} // namespace

bool RequestClass::idempotent() const
{
    return !this->key && (this->method == "GET" || this->method == "HEAD");
}

std::string RequestClass::toString() const
{
    const std::string owner = this->tenant.empty() ? "" : " " + this->tenant;
    return this->service + owner + " " + this->method + " " + this->path;
}

Common::Result<RequestClass> RequestClass::parse(const std::string &text)
{
    RequestClass parsed;
    for (const std::string &field : Strings(absl::StrSplit(text, ','))) {
        const Strings parts = absl::StrSplit(field, absl::MaxSplits('=', 1));
        if (parts.size() != 2) {
            return invalid("class", "expected name=value, found " + field);
        }
        if (const std::optional<std::string> problem = setField(parsed, parts[0], parts[1])) {
            return invalid("class", *problem);
        }
    }
    if (parsed.service.empty()) {
        return invalid("class", "the service is missing in " + text);
    }
    return parsed;
}

Common::Result<Endpoint> Endpoint::parse(const std::string &text)
{
    const Strings parts = absl::StrSplit(text, ':');
    int port = 0;
    if (parts.size() != 2 || parts[0].empty() || !absl::SimpleAtoi(parts[1], &port) || port < 1
        || port > maxPort) {
        return invalid("address", "expected IP:PORT, found " + text);
    }
    return Endpoint { parts[0], port };
}

Common::Result<Settings> Settings::parse(int count, const char *const *arguments)
{
    const auto line = CommandLine::parse(flags(), "CURRANTFALL_", count, arguments);
    if (!line) {
        return tl::unexpected<Common::Error>(line.error());
    }
    if (!line->positional().empty()) {
        return invalid("settings", "unexpected argument " + line->positional().front());
    }
    return convert(*line);
}

std::string Settings::help()
{
    return "Open-loop load for currantfall.\nUsage: currantfall-load FLAG...\n\n"
           + CommandLine::describe(flags());
}

} // namespace Currantfall::Load
