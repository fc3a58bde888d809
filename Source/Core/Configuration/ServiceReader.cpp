#include "ServiceReader.h"

#include <algorithm>
#include <array>

#include "currantfall/Configuration/Ipv4Network.h"

namespace Currantfall::Configuration {

namespace {

constexpr std::uint64_t maxDeadlineMs = 600'000;
constexpr std::uint64_t maxBodyBytes = std::uint64_t { 16 } * 1024 * 1024;
// An owner keeps a thread and a connection for each slot.
constexpr std::uint64_t maxSlots = 1000;

constexpr std::array knownMethods = { "GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH" };

bool isPathCharacter(char character)
{
    return character > ' ' && character < '\x7f' && character != '?' && character != '#';
}

// A route covers everything below it, so that a slash at the end would never match a whole segment.
bool isRoutePath(const std::string &path)
{
    if (path == "/") {
        return true;
    }
    const bool segments = !path.empty() && path.front() == '/' && path.back() != '/'
                          && path.find("//") == std::string::npos;
    return segments && std::all_of(path.begin(), path.end(), isPathCharacter);
}

void readMethod(const Cursor &cursor, NameTable &routeMethods, Route &route)
{
    const auto method = cursor.text();
    if (!method) {
        return;
    }
    if (std::find(knownMethods.begin(), knownMethods.end(), *method) == knownMethods.end()) {
        cursor.fail("one of GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH");
        return;
    }
    routeMethods.define(cursor, *method + " " + route.path);
    route.methods.push_back(*method);
}

Route readRoute(const Cursor &cursor, NameTable &routeMethods)
{
    const MapCursor map(cursor, { "path", "methods", "idempotent" });
    Route route;
    if (const auto path = map.required("path")) {
        route.path = path->text().value_or("/");
        if (!isRoutePath(route.path)) {
            path->fail("a path that starts with '/' and has no query, empty segment or '/' at the "
                       "end");
        }
    }
    for (const Cursor &method : map.items("methods", 1)) {
        readMethod(method, routeMethods, route);
    }
    route.idempotent = map.boolean("idempotent");
    return route;
}

BackendServer readBackendServer(const Cursor &cursor, Definitions &definitions)
{
    const MapCursor map(cursor, { "name", "zone", "address", "slots" });
    BackendServer server;
    server.name = Common::BackendServerName(map.name("name"));
    if (const auto name = map.optional("name")) {
        definitions.backendServers.define(*name, server.name.value());
    }
    server.zone = Common::ZoneName(map.text("zone"));
    if (const auto zone = map.optional("zone")) {
        definitions.zones.resolve(*zone, server.zone.value());
        definitions.zones.use(server.zone.value());
    }
    server.address = map.text("address");
    if (const auto address = map.optional("address")) {
        if (!Ipv4Endpoint::parse(server.address)) {
            address->fail("an IPv4 address and port such as 127.11.1.1:9000");
        }
        definitions.addresses.define(*address, server.address);
    }
    server.slots = map.integer("slots", 1, maxSlots);
    return server;
}

} // namespace

Service readService(const Cursor &cursor, Definitions &definitions)
{
    const MapCursor map(cursor, { "name", "rank", "deadline_ms", "body_limit_bytes", "routes",
                                  "backend_servers" });
    Service service;
    service.name = Common::ServiceName(map.name("name"));
    if (const auto name = map.optional("name")) {
        definitions.services.define(*name, service.name.value());
    }
    const std::string rank = map.text("rank");
    if (const auto rankCursor = map.optional("rank")) {
        service.rank = definitions.ranks.resolve(*rankCursor, rank).value_or(0);
        definitions.ranks.use(rank);
    }
    service.deadline = absl::Milliseconds(map.integer("deadline_ms", 1, maxDeadlineMs));
    service.bodyLimit = map.integer("body_limit_bytes", 0, maxBodyBytes);
    NameTable routeMethods("pair of path and method");
    for (const Cursor &route : map.items("routes", 1)) {
        service.routes.push_back(readRoute(route, routeMethods));
    }
    for (const Cursor &server : map.items("backend_servers", 1)) {
        service.backendServers.push_back(readBackendServer(server, definitions));
    }
    return service;
}

} // namespace Currantfall::Configuration
