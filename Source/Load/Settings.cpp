#include "Load/Settings.h"

#include <algorithm>
#include <cstdlib>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

// Class descriptions contain commas, at which cxxopts splits by default.
#define CXXOPTS_VECTOR_DELIMITER '\n'
#include <cxxopts.hpp>

namespace Currantfall::Load {

namespace {

using Strings = std::vector<std::string>;

constexpr int maxPort = 65535;
constexpr std::size_t maxConnections = 256;
constexpr std::size_t maxBodyBytes = 16UL * 1024 * 1024;

tl::unexpected<Common::Error> invalid(const std::string &what, std::string detail)
{
    return Common::failure(Common::ErrorCode::InvalidInput, "read " + what, {}, std::move(detail));
}

cxxopts::Options options()
{
    cxxopts::Options all("currantfall-load", "Open-loop load for currantfall.");
    all.add_options()("lookup", "IP:PORT of an entry VM's lookups (repeated)",
                      cxxopts::value<Strings>())(
            "class",
            "service=S,tenant=T,method=M,path=P,rate=R,body-bytes=N,key=yes|no,deadline-ms=D,"
            "key-prefix=P,entry=IP:PORT (repeated)",
            cxxopts::value<Strings>())("direct",
                                       "IP:PORT of a backend server to call directly "
                                       "(repeated)",
                                       cxxopts::value<Strings>())(
            "direct-power-of-two",
            "SERVICE/N=IP:PORT,... calls these servers directly through N independent balancers "
            "(repeated)",
            cxxopts::value<Strings>())("balancer-limit",
                                       "concurrent requests of a balancer, in shares of the slots",
                                       cxxopts::value<double>()->default_value("2"))(
            "balancer-counts-own", "balancers add their own requests to the reported load")(
            "report-interval-ms", "between two reads of the load reports",
            cxxopts::value<int>()->default_value("250"))(
            "client", "address of callers in lookups (repeated, used in turn)",
            cxxopts::value<Strings>())(
            "verify", "IP:PORT of a backend stand-in to ask for executions (repeated)",
            cxxopts::value<Strings>())("duration-s", "length of the run",
                                       cxxopts::value<double>()->default_value("10"))(
            "timeout-ms", "limit of one call", cxxopts::value<int>()->default_value("10000"))(
            "settle-ms", "wait before the verification",
            cxxopts::value<int>()->default_value("1000"))(
            "seed", "of arrivals and request ids",
            cxxopts::value<std::uint64_t>()->default_value("1"))(
            "connections", "of each class", cxxopts::value<std::size_t>()->default_value("32"))(
            "alternate", "pairs of a direct and a steered phase",
            cxxopts::value<std::size_t>()->default_value("0"))(
            "timeline-ms", "length of the intervals of a timeline in the text report; 0 for none",
            cxxopts::value<int>()->default_value("0"))("json", "report as JSON")(
            "help", "this text")("version", "print the version");
    return all;
}

/// Adds options that are set in the environment and absent from the command line.
Strings withEnvironment(int count, const char *const *arguments)
{
    Strings all(arguments, arguments + count);
    const Strings names { "lookup",
                          "class",
                          "direct",
                          "verify",
                          "duration-s",
                          "timeout-ms",
                          "settle-ms",
                          "seed",
                          "connections",
                          "alternate",
                          "direct-power-of-two",
                          "balancer-limit",
                          "report-interval-ms",
                          "client" };
    for (const std::string &name : names) {
        const std::string option = "--" + name;
        const bool given
                = std::any_of(arguments, arguments + count, [&option](const std::string &argument) {
                      return argument == option || argument.starts_with(option + "=");
                  });
        const std::string upper
                = absl::StrReplaceAll(absl::AsciiStrToUpper(name), { { "-", "_" } });
        const char *const value = std::getenv(("CURRANTFALL_" + upper).c_str());
        if (given || value == nullptr) {
            continue;
        }
        for (const std::string &part : Strings(absl::StrSplit(value, ' ', absl::SkipEmpty()))) {
            all.push_back(option);
            all.push_back(part);
        }
    }
    return all;
}

template<typename Value>
Common::Result<std::vector<Value>> parseAll(const cxxopts::ParseResult &parsed,
                                            const std::string &name)
{
    std::vector<Value> values;
    if (parsed.count(name) == 0) {
        return values;
    }
    for (const std::string &text : parsed[name].as<Strings>()) {
        Common::Result<Value> value = Value::parse(text);
        if (!value) {
            return tl::unexpected<Common::Error>(value.error());
        }
        values.push_back(*std::move(value));
    }
    return values;
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
    } else if (name == "key-prefix") {
        target.keyPrefix = value;
    } else if (name == "entry" && Endpoint::parse(value)) {
        target.entry = *Endpoint::parse(value);
    } else {
        return "a class has service, tenant, method, path (from '/'), rate (> 0), body-bytes, "
               "key (yes or no), deadline-ms, key-prefix and entry (IP:PORT), not "
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
    if (settings.duration <= absl::ZeroDuration() || settings.timeout <= absl::ZeroDuration()
        || settings.settle < absl::ZeroDuration()) {
        return invalid("settings", "--duration-s and --timeout-ms must be positive");
    }
    if (settings.balancers.limitFactor <= 0
        || settings.balancers.reportInterval <= absl::ZeroDuration()) {
        return invalid("settings", "--balancer-limit and --report-interval-ms must be positive");
    }
    if (settings.connections == 0 || settings.connections > maxConnections) {
        return invalid("settings", "--connections must be in 1..256");
    }
    return settings;
}

/// Adds the balancers to the settings.
Common::Result<Settings> withBalancers(Settings settings, const cxxopts::ParseResult &parsed)
{
    const auto groups = parseAll<BalancerGroup>(parsed, "direct-power-of-two");
    if (!groups) {
        return tl::unexpected<Common::Error>(groups.error());
    }
    settings.balancers.groups = *groups;
    settings.balancers.limitFactor = parsed["balancer-limit"].as<double>();
    settings.balancers.countsOwn = parsed.count("balancer-counts-own") > 0;
    settings.balancers.reportInterval = absl::Milliseconds(parsed["report-interval-ms"].as<int>());
    for (const BalancerGroup &group : *groups) {
        settings.direct.insert(settings.direct.end(), group.servers.begin(), group.servers.end());
    }
    for (const RequestClass &requestClass : settings.classes) {
        const bool found = std::any_of(groups->begin(), groups->end(), [&](const auto &group) {
            return group.service == requestClass.service;
        });
        if (!groups->empty() && !found) {
            return invalid("settings", "no --direct-power-of-two for " + requestClass.service);
        }
    }
    return check(std::move(settings));
}

Common::Result<Settings> convert(const cxxopts::ParseResult &parsed)
{
    Settings settings;
    const auto lookups = parseAll<Endpoint>(parsed, "lookup");
    const auto direct = parseAll<Endpoint>(parsed, "direct");
    const auto verify = parseAll<Endpoint>(parsed, "verify");
    const auto classes = parseAll<RequestClass>(parsed, "class");
    for (const auto *endpoints : { &lookups, &direct, &verify }) {
        if (!*endpoints) {
            return tl::unexpected<Common::Error>(endpoints->error());
        }
    }
    if (!classes) {
        return tl::unexpected<Common::Error>(classes.error());
    }
    settings.lookups = *lookups;
    settings.direct = *direct;
    settings.verify = *verify;
    settings.classes = *classes;
    settings.duration = absl::Seconds(parsed["duration-s"].as<double>());
    settings.timeout = absl::Milliseconds(parsed["timeout-ms"].as<int>());
    settings.settle = absl::Milliseconds(parsed["settle-ms"].as<int>());
    settings.seed = parsed["seed"].as<std::uint64_t>();
    settings.connections = parsed["connections"].as<std::size_t>();
    settings.alternate = parsed["alternate"].as<std::size_t>();
    settings.timelineInterval = absl::Milliseconds(parsed["timeline-ms"].as<int>());
    settings.json = parsed.count("json") > 0;
    if (parsed.count("client") > 0) {
        settings.clients = parsed["client"].as<Strings>();
    }
    return withBalancers(std::move(settings), parsed);
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
    const Strings all = withEnvironment(count, arguments);
    std::vector<const char *> pointers;
    pointers.reserve(all.size());
    for (const std::string &argument : all) {
        pointers.push_back(argument.c_str());
    }
    try {
        cxxopts::Options definition = options();
        const cxxopts::ParseResult parsed
                = definition.parse(static_cast<int>(pointers.size()), pointers.data());
        if (!parsed.unmatched().empty()) {
            return invalid("settings", "unexpected argument " + parsed.unmatched().front());
        }
        return convert(parsed);
    } catch (const std::exception &error) {
        return invalid("settings", error.what());
    }
}

std::string Settings::help()
{
    return options().help();
}

} // namespace Currantfall::Load
