#include "lab.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Lab {

const char *const callersHost = "hulo84.example";

namespace {

const Clock::time_point origin = Clock::now();
const double longTime = 100.0;

sockaddr_in endpoint(const std::string &host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("bad address " + host);
    }
    return address;
}

int listening(const std::string &host, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = endpoint(host, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        throw std::runtime_error("can't listen on " + host + ":" + std::to_string(port));
    }
    return descriptor;
}

std::string decodeBase64(const std::string &text)
{
    static const std::string alphabet
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    unsigned bits = 0;
    int count = 0;
    for (const char character : text) {
        const auto value = alphabet.find(character);
        if (value == std::string::npos) {
            continue;
        }
        bits = (bits << 6U) | static_cast<unsigned>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>((bits >> static_cast<unsigned>(count)) & 0xFFU);
        }
    }
    return result;
}

std::string encodeBase64(const std::string &bytes)
{
    static const char *alphabet
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        unsigned group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group <<= 8U;
            if (index + offset < bytes.size()) {
                group |= static_cast<unsigned char>(bytes[index + offset]);
            }
        }
        for (std::size_t place = 0; place < 4; ++place) {
            result += index + place <= bytes.size()
                              ? alphabet[(group >> (18U - 6U * place)) & 0x3FU]
                              : '=';
        }
    }
    return result;
}

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string pair = target.substr(
                start + 1, end == std::string::npos ? std::string::npos : end - start - 1);
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)]
                = equals == std::string::npos ? "" : decodePercent(pair.substr(equals + 1));
        start = end;
    }
    return query;
}

std::string answerText(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(Clock::now() - origin).count();
}

void sleepUntil(double time)
{
    std::this_thread::sleep_until(origin
                                  + std::chrono::duration_cast<Clock::duration>(
                                          std::chrono::duration<double>(time)));
}

Record::Record(const std::string &path) : file(std::fopen(path.c_str(), "w"))
{
    if (this->file == nullptr) {
        throw std::runtime_error("can't write " + path);
    }
}

Record::~Record()
{
    std::fclose(this->file);
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%8.3f  %s\n", now(), line.c_str());
    std::fflush(this->file);
}

Addresses::Addresses()
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int number = static_cast<int>(::getpid()) * 7 + attempt;
        this->second = 64 + number % 150;
        this->third = number / 150 % 250;
        try {
            ::close(listening(this->host(1), 8642));
            ::close(listening(this->host(2), Daemon::callersPort));
            return;
        } catch (const std::runtime_error &) {
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

std::string Addresses::host(int number) const
{
    return "127." + std::to_string(this->second) + "." + std::to_string(this->third) + "."
           + std::to_string(number);
}

std::string Head::field(const std::string &name) const
{
    for (const auto &[key, value] : this->fields) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

Stream::~Stream()
{
    ::close(this->descriptor);
}

std::unique_ptr<Stream> Stream::connect(const std::string &host, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = endpoint(host, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return std::make_unique<Stream>(descriptor);
}

bool Stream::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = ::send(this->descriptor, bytes.data() + written,
                                     bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(count);
    }
    return true;
}

bool Stream::fill(double deadline)
{
    while (!this->eof) {
        pollfd state { this->descriptor, POLLIN, 0 };
        const double left = deadline - now();
        if (left <= 0 || ::poll(&state, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
        if (count > 0) {
            this->buffer.append(bytes, static_cast<std::size_t>(count));
            return true;
        }
        this->eof = true;
    }
    return false;
}

std::optional<Head> Stream::readHead(double timeout)
{
    const double deadline = now() + timeout;
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(deadline)) {
            return std::nullopt;
        }
    }
    Head head;
    std::size_t start = 0;
    while (start < end) {
        const std::size_t next = this->buffer.find("\r\n", start);
        const std::string line = this->buffer.substr(start, next - start);
        const std::size_t colon = line.find(':');
        if (start == 0) {
            head.line = line;
        } else if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            head.fields.emplace_back(name, value == std::string::npos ? "" : line.substr(value));
        }
        start = next + 2;
    }
    this->buffer.erase(0, end + 4);
    return head;
}

bool Stream::readBytes(std::size_t count, std::string &bytes, double timeout)
{
    const double deadline = now() + timeout;
    while (this->buffer.size() < count) {
        if (!this->fill(deadline)) {
            return false;
        }
    }
    bytes = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return true;
}

bool Stream::ended(double timeout)
{
    const double deadline = now() + timeout;
    while (this->fill(deadline)) {
    }
    return this->eof;
}

void Stream::shutdown()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

Listener::Listener(const std::string &host, int port, std::function<void(Stream &)> serveStream)
    : descriptor(listening(host, port)), serve(std::move(serveStream)), acceptor([this] {
          while (true) {
              const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
              if (accepted < 0) {
                  return;
              }
              const int on = 1;
              ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
              const auto stream = std::make_shared<Stream>(accepted);
              const std::lock_guard lock(this->mutex);
              this->streams.push_back(stream);
              this->threads.emplace_back([this, stream] {
                  this->serve(*stream);
                  // Tells the peer; the descriptor is closed at the end of the run.
                  stream->shutdown();
              });
          }
      })
{ }

Listener::~Listener()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->descriptor);
    for (const auto &stream : this->streams) {
        stream->shutdown();
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void Listener::endStreams()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
    const std::lock_guard lock(this->mutex);
    for (const auto &stream : this->streams) {
        stream->shutdown();
    }
}

Store::Store(const std::string &host, int port, Record &record) : record(record)
{
    this->listener = std::make_unique<Listener>(host, port,
                                                [this](Stream &stream) { this->serve(stream); });
}

void Store::put(const std::string &table, const std::string &key, const json &value)
{
    const std::lock_guard lock(this->mutex);
    this->rows[{ table, "", key }] = Row { value.dump(), ++this->version, false };
    this->changed.notify_all();
    this->record.write("store: " + table + "/" + key + " written and acknowledged: "
                       + value.dump().substr(0, 160));
}

void Store::setSilent(bool wanted)
{
    const std::lock_guard lock(this->mutex);
    this->silent = wanted;
    this->outages += wanted ? 1 : 0;
    this->changed.notify_all();
    this->record.write(wanted ? "store: falls silent" : "store: answers again");
}

double Store::lastFeed(const std::string &table)
{
    const std::lock_guard lock(this->mutex);
    return this->feeds[table];
}

json Store::rowOf(const Key &key, const Row &row) const
{
    json result { { "table", std::get<0>(key) },
                  { "part", std::get<1>(key) },
                  { "key", std::get<2>(key) },
                  { "ver", row.version } };
    if (row.deleted) {
        result["deleted"] = true;
    } else {
        result["value"] = encodeBase64(row.value);
    }
    return result;
}

json Store::transaction(const json &call, int &status)
{
    const std::lock_guard lock(this->mutex);
    const auto keyOf = [](const json &row) {
        return Key { row.at("table"), row.value("part", ""), row.at("key") };
    };
    json conflicts = json::array();
    for (const json &row : call.value("expected", json::array())) {
        const auto found = this->rows.find(keyOf(row));
        const bool exists = found != this->rows.end() && !found->second.deleted;
        if ((exists ? found->second.version : 0) != row.value("ver", std::uint64_t { 0 })) {
            conflicts.push_back(row);
        }
    }
    if (!conflicts.empty()) {
        status = 412;
        return { { "rows", conflicts }, { "ver", this->version } };
    }
    ++this->version;
    for (const json &row : call.value("puts", json::array())) {
        this->rows[keyOf(row)] = Row { decodeBase64(row.at("value")), this->version, false };
    }
    for (const json &row : call.value("remove", json::array())) {
        this->rows[keyOf(row)] = Row { "", this->version, true };
    }
    this->changed.notify_all();
    return { { "ver", this->version } };
}

json Store::get(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(this->mutex);
    const auto textOf = [&query](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    json result { { "rows", json::array() }, { "has_more", false }, { "ver", this->version } };
    for (const auto &[key, row] : this->rows) {
        if (!row.deleted && std::get<0>(key) == textOf("table")
            && std::get<1>(key) == textOf("part") && std::get<2>(key) >= textOf("from")) {
            result["rows"].push_back(this->rowOf(key, row));
        }
    }
    return result;
}

std::optional<json> Store::feed(const std::map<std::string, std::string> &query)
{
    std::unique_lock lock(this->mutex);
    const std::string table = query.at("table");
    const std::uint64_t after = std::stoull(query.at("after"));
    const auto until = Clock::now() + std::chrono::milliseconds(std::stoi(query.at("wait_ms")));
    const std::uint64_t outage = this->outages;
    this->feeds[table] = now();
    while (true) {
        if (this->outages != outage) {
            return std::nullopt;
        }
        std::vector<std::pair<Key, Row>> changes;
        for (const auto &[key, row] : this->rows) {
            if (std::get<0>(key) == table && row.version > after) {
                changes.emplace_back(key, row);
            }
        }
        if (changes.empty() && Clock::now() < until) {
            this->changed.wait_until(lock, until);
            continue;
        }
        std::sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) {
            return left.second.version < right.second.version;
        });
        json result { { "rows", json::array() }, { "ver", this->version } };
        for (const auto &[key, row] : changes) {
            result["rows"].push_back(this->rowOf(key, row));
        }
        return result;
    }
}

void Store::serve(Stream &stream)
{
    while (const auto head = stream.readHead(longTime)) {
        const std::size_t space = head->line.find(' ');
        const std::string target
                = head->line.substr(space + 1, head->line.rfind(' ') - space - 1);
        const std::string length = head->field("content-length");
        std::string body;
        if (!length.empty() && !stream.readBytes(std::stoul(length), body, longTime)) {
            return;
        }
        {
            const std::lock_guard lock(this->mutex);
            if (this->silent) {
                this->record.write("store: gets " + target + ", no answer");
            }
        }
        std::unique_lock lock(this->mutex);
        const bool unanswered = this->silent;
        lock.unlock();
        int status = 200;
        std::optional<json> result;
        if (!unanswered) {
            const std::string path = target.substr(0, target.find('?'));
            if (path == "/rows-tx") {
                result = this->transaction(json::parse(body), status);
            } else if (path == "/rows-get") {
                result = this->get(queryOf(target));
            } else if (path == "/rows-feed") {
                result = this->feed(queryOf(target));
            } else {
                status = 404;
                result = json::object();
            }
        }
        if (!result) {
            // A connection on which a response is lost delivers nothing further.
            while (stream.readHead(longTime)) {
            }
            return;
        }
        (*result)["now_ms"] = static_cast<std::int64_t>(now() * 1000);
        if (!stream.write(answerText(status, "Content-Type: application/json\r\n",
                                     result->dump()))) {
            return;
        }
    }
}

Server::Server(std::string id, std::string serviceName, std::string zoneName,
               std::string hostAddress, int portNumber, Record &record)
    : name(std::move(id)), service(std::move(serviceName)), zone(std::move(zoneName)),
      host(std::move(hostAddress)), port(portNumber), record(record)
{
    this->listener = std::make_unique<Listener>(this->host, this->port,
                                                [this](Stream &stream) { this->serve(stream); });
}

json Server::entry(const std::string &state, int sequence) const
{
    return { { "service", this->service },
             { "address", this->host + ":" + std::to_string(this->port) },
             { "zone", this->zone },
             { "version", "v1" },
             { "slots", 50 },
             { "state", state },
             { "cold_remaining_ms", 0 },
             { "seq", sequence },
             { "born", 1767225600000 } };
}

void Server::exit()
{
    this->record.write("server " + this->name + " exits");
    this->listener->endStreams();
}

std::vector<Arrival> Server::ran()
{
    const std::lock_guard lock(this->mutex);
    return this->arrivals;
}

void Server::serve(Stream &stream)
{
    while (const auto head = stream.readHead(longTime)) {
        const std::string length = head->field("content-length");
        std::string body;
        if (!length.empty() && !stream.readBytes(std::stoul(length), body, longTime)) {
            return;
        }
        const std::string id = head->field("request-id");
        const std::string expected = head->field("expect-instance");
        const std::string identity = "Instance-Id: " + this->name + "\r\n";
        std::string answer;
        if (head->line.find(" /health ") != std::string::npos) {
            answer = answerText(200, identity + "Server-Load: 0,0,50\r\n", "");
        } else if (id.empty()) {
            answer = answerText(400, identity + "Not-Executed: 1\r\n", "");
        } else if (!expected.empty() && expected != this->name) {
            answer = answerText(421, identity + "Request-Id: " + id + "\r\n", "");
        } else {
            {
                const std::lock_guard lock(this->mutex);
                this->arrivals.push_back({ now(), this->name, this->service, id, head->line, body });
            }
            this->record.write("server " + this->name + " (" + this->service + ") runs " + id + ": "
                               + head->line + ", body of " + std::to_string(body.size())
                               + " bytes");
            const std::size_t work = head->line.find("/work");
            if (work != std::string::npos) {
                Lab::sleepFor(std::stoi(head->line.substr(work + 5)) / 1000.0);
            }
            answer = answerText(200,
                                "Request-Id: " + id + "\r\nServer-Seal: seal-" + this->name + "-"
                                        + id + "\r\nServer-Load: 1,0,50\r\n",
                                this->name + " ran " + id);
        }
        if (!stream.write(answer)) {
            return;
        }
    }
}

Daemon::Daemon(const std::string &directory, const std::string &vmName, const std::string &host,
               const std::string &zone, const std::string &storeAddress, Record &record)
    : vm(vmName), address(host), record(record)
{
    const auto at = [&host](int port) { return host + ":" + std::to_string(port); };
    // As deploy/entry.json.template, with the bounds of the small site.
    const json settings {
        { "vm", vmName },
        { "zone", zone },
        { "region", "lower-mainland" },
        { "address", host },
        { "first_start", true },
        { "zones", { { "burnaby-a", "lower-mainland" }, { "surrey-b", "lower-mainland" } } },
        { "listeners",
          { { "callers", at(callersPort) },
            { "readiness", at(readinessPort) },
            { "directory", at(8644) },
            { "peers", at(8649) } } },
        { "seeds", { at(8649) } },
        { "store", { { "address", storeAddress } } },
        { "memory_mb", 260 },
        { "max_descriptors", 4100 },
        { "link_mbit_per_s", 1000.0 },
        { "processor_share", 0.2 },
        { "shutdown_grace_s", 6 },
        { "server_drain_ms", 2000 },
        { "lookup_ttl_max_s", 5 },
        { "retries", { { "ratio", 0.2 }, { "extra", 60 }, { "window_s", 10 } } },
        { "cold", { { "overage", 1.5 }, { "extra", 5 } } }
    };
    const std::string path = directory + "/" + vmName + ".json";
    std::ofstream(path) << settings.dump(2);
    const std::string boot = "CURRANTFALL_BOOT=" + path;
    const std::string program = "target/Source/Daemon/currantfalld";
    std::vector<std::string> words { program, "--entry-settings-from", "CURRANTFALL_BOOT" };
    std::vector<char *> arguments;
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::string variable = boot;
    char *environment[] = { variable.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string output = directory + "/" + vmName + ".out";
    posix_spawn_file_actions_addopen(&actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_TRUNC,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int error = ::posix_spawn(&this->pid, program.c_str(), &actions, nullptr,
                                    arguments.data(), environment);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("can't start " + program + ": " + std::strerror(error));
    }
    this->record.write("daemon " + vmName + " started");
}

Daemon::~Daemon()
{
    if (!this->status) {
        ::kill(this->pid, SIGKILL);
        (void)this->awaitEnd(5);
    }
}

bool Daemon::awaitReady(double timeout)
{
    const double deadline = now() + timeout;
    while (now() < deadline) {
        if (const auto stream = Stream::connect(this->address, readinessPort)) {
            stream->write("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            const auto head = stream->readHead(1);
            if (head && head->line.find(" 200") != std::string::npos) {
                this->record.write("daemon " + this->vm + " is ready");
                return true;
            }
        }
        Lab::sleepFor(0.1);
    }
    return false;
}

void Daemon::signal(int number)
{
    this->record.write("daemon " + this->vm + " gets " + ::strsignal(number));
    ::kill(this->pid, number);
}

std::optional<int> Daemon::awaitEnd(double timeout)
{
    const double deadline = now() + timeout;
    while (!this->status) {
        int state = 0;
        if (::waitpid(this->pid, &state, WNOHANG) == this->pid) {
            this->status = state;
            break;
        }
        if (now() >= deadline) {
            return std::nullopt;
        }
        Lab::sleepFor(0.02);
    }
    return this->status;
}

Answer readAnswer(Stream &stream, double timeout)
{
    Answer answer;
    const double deadline = now() + timeout;
    const auto head = stream.readHead(timeout);
    if (!head) {
        return answer;
    }
    answer.status = std::atoi(head->line.c_str() + std::strlen("HTTP/1.1 "));
    answer.id = head->field("request-id");
    answer.seal = head->field("server-seal");
    answer.closes = head->field("connection") == "close";
    const std::string length = head->field("content-length");
    answer.complete = stream.readBytes(length.empty() ? 0 : std::stoul(length), answer.body,
                                       deadline - now());
    return answer;
}

std::string request(const std::string &method, const std::string &path, const std::string &id,
                    const std::string &fields, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + callersHost + "\r\nRequest-Id: " + id
           + "\r\nDeadline-Ms: 4000\r\n" + fields + "\r\n" + body;
}

json serviceEntry(const std::string &name)
{
    return { { "name", name }, { "health_path", "/health" }, { "max_conns", 360 },
             { "protocol", "h1" }, { "tls", false }, { "cold_s", 3.0 }, { "cold_per_s", 1.9 } };
}

json routeEntry(const std::string &name, const std::string &kind, const std::string &service,
                int timeoutMs)
{
    return { { "name", name },
             { "prefix", "/" + name + "/" },
             { "kind", kind },
             { "timeout_ms", timeoutMs },
             { "target_latency_ms", 800 },
             { "priority", 1 },
             { "service", service },
             { "max_attempts", 2 },
             { "sticky", true },
             { "allowed_regions", json::array() } };
}

json configuration(int version, const std::vector<std::string> &services,
                   const std::vector<json> &routes)
{
    json entries = json::array();
    for (const std::string &service : services) {
        entries.push_back(serviceEntry(service));
    }
    json paths = json::array();
    for (const json &route : routes) {
        paths.push_back(route);
    }
    return { { "version", "r" + std::to_string(version) },
             { "services", entries },
             { "limits",
               { { "max_header_bytes", 16384 },
                 { "max_body_bytes", 67108864 },
                 { "header_timeout_ms", 3000 },
                 { "idle_timeout_ms", 15000 } } },
             { "virtual_hosts", json::array({ { { "host", callersHost }, { "paths", paths } } }) } };
}

} // namespace Lab
