#include "currantfall/Platform/PlatformClient.h"

#include <algorithm>
#include <optional>
#include <system_error>
#include <utility>

#include <httplib.h>

#include "currantfall/Common/Json.h"
#include "currantfall/Platform/HostPort.h"

namespace Currantfall::Platform {

namespace {

using Common::ErrorCode;

/// Documents are some hundred KB at design size; the limit bounds the memory of a reader.
constexpr std::size_t maxAnswerBytes = 64UL << 20U;

tl::unexpected<Common::Error> unanswered(std::errc code, const std::string &step,
                                         const std::string &peer, std::string detail)
{
    return tl::unexpected<Common::Error>(
            Common::Error(std::make_error_code(code), step, peer, std::move(detail)));
}

std::string rowPath(const std::string &table, const std::string &key)
{
    return "/tables/" + table + "/rows/" + key;
}

/// The start of a body, for error messages.
std::string excerpt(const std::string &body)
{
    constexpr std::size_t limit = 200;
    return body.substr(0, limit);
}

/// One request of a client: its limits, the answer and the translation of failures.
class Exchange
{
public:
    Exchange(httplib::Client &client, PlatformTimeouts timeouts, const std::string &peer,
             std::string step, Common::Instant deadline)
        : client(client), timeouts(timeouts), peer(peer), step(std::move(step)), deadline(deadline)
    { }

    Common::Result<httplib::Response> run(httplib::Request request)
    {
        const Common::Instant start = Common::monotonicNow();
        const absl::Duration remaining = this->deadline - start;
        if (remaining <= absl::ZeroDuration()) {
            return Common::failure(ErrorCode::Unavailable, this->step, this->peer,
                                   "the deadline passed before the request was sent");
        }
        this->limit(remaining);
        bool tooLarge = false;
        std::string body;
        request.content_receiver
                = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
                      tooLarge = body.size() + size > maxAnswerBytes;
                      if (tooLarge || Common::monotonicNow() > this->deadline) {
                          return false;
                      }
                      body.append(data, size);
                      return true;
                  };
        httplib::Response response;
        httplib::Error error = httplib::Error::Success;
        if (!this->client.send(request, response, error)) {
            return this->describe(error, tooLarge, Common::monotonicNow() - start);
        }
        response.body = std::move(body);
        return this->accept(std::move(response));
    }

private:
    /// The connect and read phases get half of the remaining time each, so that their sum keeps the
    /// deadline.
    void limit(absl::Duration remaining)
    {
        const absl::Duration half = remaining / 2;
        this->readLimit = std::min(this->timeouts.read, half);
        const timeval connect = absl::ToTimeval(std::min(this->timeouts.connect, half));
        const timeval read = absl::ToTimeval(this->readLimit);
        this->client.set_connection_timeout(connect.tv_sec, connect.tv_usec);
        this->client.set_read_timeout(read.tv_sec, read.tv_usec);
        this->client.set_write_timeout(read.tv_sec, read.tv_usec);
    }

    Common::Result<httplib::Response> describe(httplib::Error error, bool tooLarge,
                                               absl::Duration elapsed) const
    {
        if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
            return Common::failure(ErrorCode::Unavailable, this->step, this->peer,
                                   "no connection; the request was not sent");
        }
        if (tooLarge) {
            return unanswered(std::errc::message_size, this->step, this->peer,
                              "the answer exceeds the limit");
        }
        if (elapsed >= this->readLimit) {
            return unanswered(std::errc::timed_out, this->step, this->peer,
                              "no answer to a request that was sent");
        }
        return unanswered(std::errc::connection_reset, this->step, this->peer,
                          "the connection ended without an answer");
    }

    Common::Result<httplib::Response> accept(httplib::Response response) const
    {
        const std::string detail
                = "status " + std::to_string(response.status) + ": " + excerpt(response.body);
        switch (response.status) {
        case 200:
        case 201:
        case 204:
            return response;
        case 404:
            return Common::failure(ErrorCode::NotFound, this->step, this->peer);
        case 412:
            return Common::failure(ErrorCode::Conflict, this->step, this->peer);
        case 429: // A rate limit refuses before any effect, so the caller may simply try again.
            return Common::failure(ErrorCode::Unavailable, this->step, this->peer, detail);
        default:
            break;
        }
        if (response.status >= 400 && response.status < 500) {
            return Common::failure(ErrorCode::Refused, this->step, this->peer, detail);
        }
        // A 5xx may come from a relay after the service itself has executed the request.
        return unanswered(std::errc::io_error, this->step, this->peer, detail);
    }

    httplib::Client &client;
    PlatformTimeouts timeouts;
    const std::string &peer;
    std::string step;
    Common::Instant deadline;
    absl::Duration readLimit = absl::ZeroDuration();
};

httplib::Request makeRequest(const std::string &method, const std::string &path)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    return request;
}

std::optional<RowVersion> rowVersion(const httplib::Response &response)
{
    const std::string tag = response.get_header_value("ETag");
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    return tag.substr(1, tag.size() - 2);
}

std::optional<std::string> textMember(const nlohmann::json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string() || found->get<std::string>().empty()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<ListedVm> parseVm(const nlohmann::json &entry)
{
    if (!entry.is_object()) {
        return std::nullopt;
    }
    const auto vm = textMember(entry, "vm");
    const auto zone = textMember(entry, "zone");
    const auto region = textMember(entry, "region");
    const auto address = textMember(entry, "address");
    const auto state = textMember(entry, "state");
    const auto port = entry.find("port_base");
    if (!vm || !zone || !region || !address || !state || port == entry.end()
        || !port->is_number_unsigned()) {
        return std::nullopt;
    }
    // The highest port of a VM is its admin port, port_base + 9.
    constexpr std::uint64_t highestPortBase = 65535 - 9;
    const auto portBase = port->get<std::uint64_t>();
    if (portBase < 1 || portBase > highestPortBase || (*state != "live" && *state != "leaving")) {
        return std::nullopt;
    }
    std::optional<HostPort> peerAddress;
    if (entry.contains("peer_address")) {
        const auto text = textMember(entry, "peer_address");
        const auto parsed = HostPort::parse(text.value_or(""));
        if (!parsed) {
            return std::nullopt;
        }
        peerAddress = *parsed;
    }
    return ListedVm {
        Common::VmName(*vm),         Common::ZoneName(*zone),
        Common::RegionName(*region), *address,
        static_cast<int>(portBase),  *state == "live" ? VmState::Live : VmState::Leaving,
        std::move(peerAddress)
    };
}

} // namespace

Common::Result<std::vector<ListedVm>> parseVmList(const std::string &body, const std::string &peer)
{
    const auto json = Common::parseJson(body);
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array()) {
        return Common::failure(ErrorCode::InvalidInput, "list VMs", peer,
                               "expected an object with the array 'vms'");
    }
    std::vector<ListedVm> vms;
    for (const auto &entry : json["vms"]) {
        const auto vm = parseVm(entry);
        if (!vm) {
            return Common::failure(ErrorCode::InvalidInput, "list VMs", peer,
                                   "malformed entry: " + excerpt(entry.dump()));
        }
        vms.push_back(*vm);
    }
    return vms;
}

bool isResultUnknown(const Common::Error &error)
{
    return error.code().category() == std::generic_category();
}

bool isUnreachable(const Common::Error &error)
{
    return error.code() == make_error_code(ErrorCode::Unavailable) || isResultUnknown(error);
}

Common::Result<PlatformClient> PlatformClient::create(const std::string &address,
                                                      PlatformTimeouts timeouts)
{
    const auto parsed = HostPort::parse(address);
    if (!parsed) {
        return tl::unexpected<Common::Error>(parsed.error());
    }
    auto client = std::make_unique<httplib::Client>(parsed->host, parsed->port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return PlatformClient(address, timeouts, std::move(client));
}

PlatformClient::PlatformClient(std::string address, PlatformTimeouts timeouts,
                               std::unique_ptr<httplib::Client> client)
    : peer(std::move(address)), timeouts(timeouts), client(std::move(client))
{ }

PlatformClient::PlatformClient(PlatformClient &&other) noexcept = default;
PlatformClient &PlatformClient::operator=(PlatformClient &&other) noexcept = default;
PlatformClient::~PlatformClient() = default;

Common::Result<VersionedRow>
PlatformClient::readRow(const std::string &table, const std::string &key, Common::Instant deadline)
{
    const std::string step = "read row " + table + "/" + key;
    Exchange exchange(*this->client, this->timeouts, this->peer, step, deadline);
    return exchange.run(makeRequest("GET", rowPath(table, key)))
            .and_then([&](const httplib::Response &response) -> Common::Result<VersionedRow> {
                const auto version = rowVersion(response);
                auto value = Common::parseJson(response.body);
                if (!version || value.is_discarded()) {
                    return Common::failure(ErrorCode::InvalidInput, step, this->peer,
                                           "expected a JSON body and an ETag");
                }
                return VersionedRow { std::move(value), *version };
            });
}

Common::Result<RowVersion> PlatformClient::writeRow(const std::string &table,
                                                    const std::string &key,
                                                    const nlohmann::json &value,
                                                    const WriteCondition &condition,
                                                    Common::Instant deadline)
{
    const std::string step = "write row " + table + "/" + key;
    httplib::Request request = makeRequest("PUT", rowPath(table, key));
    request.body = value.dump();
    request.set_header("Content-Type", "application/json");
    if (condition) {
        request.set_header("If-Match", "\"" + *condition + "\"");
    } else {
        request.set_header("If-None-Match", "*");
    }
    Exchange exchange(*this->client, this->timeouts, this->peer, step, deadline);
    return exchange.run(std::move(request))
            .and_then([&](const httplib::Response &response) -> Common::Result<RowVersion> {
                const auto version = rowVersion(response);
                if (!version) {
                    return unanswered(std::errc::bad_message, step, this->peer, "expected an ETag");
                }
                return *version;
            });
}

Common::Result<void> PlatformClient::putObject(const std::string &name, const std::string &bytes,
                                               Common::Instant deadline)
{
    httplib::Request request = makeRequest("PUT", "/objects/" + name);
    request.body = bytes;
    request.set_header("Content-Type", "application/octet-stream");
    Exchange exchange(*this->client, this->timeouts, this->peer, "store object " + name, deadline);
    return exchange.run(std::move(request)).map([](const httplib::Response &) {});
}

Common::Result<std::string> PlatformClient::getObject(const std::string &name,
                                                      Common::Instant deadline)
{
    Exchange exchange(*this->client, this->timeouts, this->peer, "read object " + name, deadline);
    return exchange.run(makeRequest("GET", "/objects/" + name))
            .map([](const httplib::Response &response) { return response.body; });
}

Common::Result<std::vector<ListedVm>> PlatformClient::listVms(Common::Instant deadline)
{
    Exchange exchange(*this->client, this->timeouts, this->peer, "list VMs", deadline);
    return exchange.run(makeRequest("GET", "/vms"))
            .and_then([&](const httplib::Response &response) {
                return parseVmList(response.body, this->peer);
            });
}

} // namespace Currantfall::Platform
