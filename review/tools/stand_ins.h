#pragma once

// Stand-ins for the platform's store, upstreams and clients, and the daemon as a separate process.
// They follow PROTOCOL.md and DEPLOY.md of the users' pages. Everything runs on loopback addresses.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>
#include <strings.h>

namespace Review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point started = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - started).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

/// The record of a run: what was sent, answered and run, with the time in seconds.
class Record
{
public:
    explicit Record(const std::string &path) : file(path) { }
    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f  ", now());
        this->file << time << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

// ---- Sockets and HTTP/1.1 ----

struct Address
{
    std::string ip;
    int port = 0;
    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

inline sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/// A socket that listens on the address. The port is chosen if it is 0.
inline int listenOn(Address &address)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in local = socketAddress(address);
    if (::bind(listener, reinterpret_cast<sockaddr *>(&local), sizeof(local)) != 0
        || ::listen(listener, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t length = sizeof(local);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&local), &length);
    address.port = ntohs(local.sin_port);
    return listener;
}

/// A free port below those that the kernel gives to outgoing connections.
inline int freePort(const std::string &ip)
{
    static std::mt19937 random(std::random_device {}());
    while (true) {
        const Address address { ip, 10000 + static_cast<int>(random() % 20000) };
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in local = socketAddress(address);
        const bool free
                = ::bind(probe, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0;
        ::close(probe);
        if (free) {
            return address.port;
        }
    }
}

inline int connectTo(const Address &address)
{
    const int peer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in remote = socketAddress(address);
    const int on = 1;
    ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(peer, reinterpret_cast<const sockaddr *>(&remote), sizeof(remote)) != 0) {
        ::close(peer);
        return -1;
    }
    return peer;
}

inline bool sendAll(int peer, const char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t sent = ::send(peer, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

inline bool sendAll(int peer, const std::string &text)
{
    return sendAll(peer, text.data(), text.size());
}

struct Less
{
    bool operator()(const std::string &left, const std::string &right) const
    {
        return ::strcasecmp(left.c_str(), right.c_str()) < 0;
    }
};

struct Message
{
    std::string firstLine;
    std::map<std::string, std::string, Less> headers;
    std::string body;
    std::size_t bodyBytes = 0;

    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? "" : found->second;
    }
    /// Second word of the first line: the target of a request, the status of a response.
    std::string second() const
    {
        std::istringstream words(this->firstLine);
        std::string first;
        std::string result;
        words >> first >> result;
        return result;
    }
    std::string method() const { return this->firstLine.substr(0, this->firstLine.find(' ')); }
    int status() const { return std::atoi(this->second().c_str()); }
};

/// Reads HTTP messages from a connection.
class Reader
{
public:
    explicit Reader(int peer) : peer(peer) { }

    /// Returns nothing at the end of the stream or after an error. Bodies are counted, and kept
    /// only if `keepBody`. The body of a response without a length ends with the connection.
    std::optional<Message> read(bool keepBody, bool isResponse)
    {
        Message message;
        std::string line;
        if (!this->readLine(message.firstLine)) {
            return std::nullopt;
        }
        while (this->readLine(line) && !line.empty()) {
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[line.substr(0, colon)]
                    = value == std::string::npos ? "" : line.substr(value);
        }
        if (this->ended) {
            return std::nullopt;
        }
        if (::strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                if (!this->readLine(line)) {
                    return std::nullopt;
                }
                const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
                if (!this->readBody(message, size, keepBody) || !this->readLine(line)) {
                    return std::nullopt;
                }
                if (size == 0) {
                    break;
                }
            }
        } else if (message.headers.contains("Content-Length")) {
            const std::size_t size
                    = std::strtoull(message.header("Content-Length").c_str(), nullptr, 10);
            if (!this->readBody(message, size, keepBody)) {
                return std::nullopt;
            }
        } else if (isResponse && message.status() != 204 && message.status() != 304) {
            while (this->fill()) {
                message.bodyBytes += this->buffer.size() - this->position;
                this->position = this->buffer.size();
            }
        }
        return message;
    }

private:
    bool fill()
    {
        if (this->position > 0) {
            this->buffer.erase(0, this->position);
            this->position = 0;
        }
        char bytes[65536];
        const ssize_t received = ::recv(this->peer, bytes, sizeof(bytes), 0);
        if (received <= 0) {
            this->ended = true;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(received));
        return true;
    }
    bool readLine(std::string &line)
    {
        while (true) {
            const auto end = this->buffer.find("\r\n", this->position);
            if (end != std::string::npos) {
                line = this->buffer.substr(this->position, end - this->position);
                this->position = end + 2;
                return true;
            }
            if (!this->fill()) {
                return false;
            }
        }
    }
    bool readBody(Message &message, std::size_t size, bool keep)
    {
        while (size > 0) {
            if (this->position == this->buffer.size() && !this->fill()) {
                return false;
            }
            const std::size_t part = std::min(size, this->buffer.size() - this->position);
            if (keep) {
                message.body.append(this->buffer, this->position, part);
            }
            message.bodyBytes += part;
            this->position += part;
            size -= part;
        }
        return true;
    }

    int peer;
    std::string buffer;
    std::size_t position = 0;
    bool ended = false;
};

/// Accepts connections and serves each of them in a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(int peer)>;

    Listener(const std::string &ip, Serve serve) : address { ip, 0 }, serve(std::move(serve))
    {
        this->listener = listenOn(this->address);
        std::thread([this] { this->accept(); }).detach();
    }
    const Address &at() const { return this->address; }

private:
    void accept()
    {
        while (true) {
            const int peer = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (peer < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, peer] {
                this->serve(peer);
                ::close(peer);
            }).detach();
        }
    }

    Address address;
    Serve serve;
    int listener = -1;
};

inline std::string base64(const std::string &text)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t index = 0; index < text.size(); index += 3) {
        std::uint32_t bits = 0;
        const std::size_t count = std::min<std::size_t>(3, text.size() - index);
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const unsigned char byte
                    = offset < count ? static_cast<unsigned char>(text[index + offset]) : 0;
            bits = bits << 8U | byte;
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            result += digit <= count ? digits[bits >> (18 - 6 * digit) & 63U] : '=';
        }
    }
    return result;
}

// ---- The platform's store ----

/// Rows in tables, without parts and blobs, which the daemon does not use.
class Store
{
public:
    explicit Store(const std::string &ip)
        : listener(ip, [this](int peer) { this->serve(peer); }) { }
    const Address &at() const { return this->listener.at(); }

    /// What the operator and the upstreams write. `value` is the row's value as text.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->tables[table][key] = { base64(value), ++this->version, false };
        this->changed.notify_all();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->tables[table][key] = { "", ++this->version, true };
        this->changed.notify_all();
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    static std::string decoded(const std::string &text)
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
    static std::map<std::string, std::string> query(const std::string &target)
    {
        std::map<std::string, std::string> result;
        const auto start = target.find('?');
        std::istringstream parts(start == std::string::npos ? "" : target.substr(start + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            const auto equals = part.find('=');
            result[part.substr(0, equals)]
                    = equals == std::string::npos ? "" : decoded(part.substr(equals + 1));
        }
        return result;
    }
    static json shown(const std::string &table, const std::string &key, const Row &row)
    {
        json result { { "table", table }, { "part", "" }, { "key", key }, { "ver", row.version } };
        if (row.deleted) {
            result["deleted"] = true;
        } else {
            result["value"] = row.value;
        }
        return result;
    }
    json answer() const
    {
        return { { "ver", this->version }, { "now_ms", static_cast<std::int64_t>(now() * 1000) } };
    }

    json get(std::map<std::string, std::string> terms)
    {
        const std::lock_guard lock(this->mutex);
        json result = this->answer();
        result["rows"] = json::array();
        result["has_more"] = false;
        for (const auto &[key, row] : this->tables[terms["table"]]) {
            if (!row.deleted && key >= terms["from"]) {
                result["rows"].push_back(shown(terms["table"], key, row));
            }
        }
        return result;
    }
    json feed(std::map<std::string, std::string> terms)
    {
        std::unique_lock lock(this->mutex);
        const std::uint64_t after = std::stoull(terms["after"]);
        const auto until
                = Clock::now() + std::chrono::milliseconds(std::stoull("0" + terms["wait_ms"]));
        std::multimap<std::uint64_t, json> rows;
        while (true) {
            for (const auto &[key, row] : this->tables[terms["table"]]) {
                if (row.version > after) {
                    rows.emplace(row.version, shown(terms["table"], key, row));
                }
            }
            if (!rows.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        json result = this->answer();
        result["rows"] = json::array();
        for (auto &[version, row] : rows) {
            result["rows"].push_back(std::move(row));
        }
        return result;
    }
    /// The system's own writes. The tables of the operator and the upstreams are refused.
    std::pair<int, json> transact(const std::string &body)
    {
        const json call = json::parse(body, nullptr, false);
        const std::lock_guard lock(this->mutex);
        json result = this->answer();
        if (!call.is_object()) {
            return { 400, result };
        }
        for (const char *list : { "puts", "remove" }) {
            for (const json &row : call.value(list, json::array())) {
                if (row["table"] == "op" || row["table"] == "servers") {
                    return { 403, result };
                }
            }
        }
        for (const json &row : call.value("expected", json::array())) {
            const Row &known = this->tables[row["table"]][row["key"]];
            if ((known.deleted ? 0 : known.version) != row["ver"].get<std::uint64_t>()) {
                return { 412, result };
            }
        }
        ++this->version;
        for (const json &row : call.value("puts", json::array())) {
            this->tables[row["table"]][row["key"]] = { row["value"], this->version, false };
        }
        for (const json &row : call.value("remove", json::array())) {
            this->tables[row["table"]][row["key"]] = { "", this->version, true };
        }
        this->changed.notify_all();
        return { 200, this->answer() };
    }

    void serve(int peer)
    {
        Reader reader(peer);
        while (const auto request = reader.read(true, false)) {
            const std::string target = request->second();
            std::pair<int, json> done { 404, json::object() };
            if (target.starts_with("/rows-get?")) {
                done = { 200, this->get(query(target)) };
            } else if (target.starts_with("/rows-feed?")) {
                done = { 200, this->feed(query(target)) };
            } else if (target == "/rows-tx") {
                done = this->transact(request->body);
            }
            const std::string body = done.second.dump();
            if (!sendAll(peer, "HTTP/1.1 " + std::to_string(done.first)
                                       + " -\r\nContent-Type: application/json\r\nContent-Length: "
                                       + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Row>> tables;
    std::uint64_t version = 0;
    Listener listener;
};

// ---- Upstreams ----

struct Run
{
    std::string id;
    std::string upstream;
    std::string service;
    std::string request;
    double at = 0.0;
};

/// A sound upstream. Registers itself in the store and writes there every 1.5 s.
class Upstream
{
public:
    struct Terms
    {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 3;
        double workSeconds = 0.1;
        /// Bytes of a request's body that it reads in a second; unlimited if 0.
        double readRate = 0.0;
    };

    Upstream(Store &store, const std::string &ip, Terms terms, Record &record)
        : terms(std::move(terms)), store(store), record(record),
          listener(ip, [this](int peer) { this->serve(peer); })
    {
        this->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
        std::thread([this] {
            while (true) {
                this->beat();
                sleepFor(1.5);
            }
        }).detach();
    }

    const Terms terms;
    const Address &at() const { return this->listener.at(); }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(this->mutex);
        return this->done;
    }
    /// The entry that it writes.
    json entry()
    {
        const std::lock_guard lock(this->mutex);
        return { { "service", this->terms.service },
                 { "address", this->at().text() },
                 { "zone", this->terms.zone },
                 { "version", "v1" },
                 { "slots", this->terms.slots },
                 { "state", "ready" },
                 { "cold_remaining_ms", 0 },
                 { "seq", this->sequence },
                 { "born", this->born } };
    }

private:
    void beat()
    {
        {
            const std::lock_guard lock(this->mutex);
            ++this->sequence;
        }
        this->store.put("servers", this->terms.id, this->entry().dump());
    }

    std::string loadLine() const
    {
        return "Server-Load: " + std::to_string(this->running) + ",0,"
               + std::to_string(this->terms.slots) + "\r\n";
    }

    void serve(int peer)
    {
        Reader reader(peer);
        while (const auto request = reader.read(false, false)) {
            const std::string id = request->header("Request-Id");
            const std::string echo = id.empty() ? "" : "Request-Id: " + id + "\r\n";
            const std::string name = "Instance-Id: " + this->terms.id + "\r\n";
            if (request->second() == "/health") {
                if (!sendAll(peer, "HTTP/1.1 200 OK\r\n" + name + this->loadLine()
                                           + "Content-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            const std::string expected = request->header("Expect-Instance");
            if (!expected.empty() && expected != this->terms.id) {
                if (!sendAll(peer, "HTTP/1.1 421 Misdirected Request\r\n" + echo + name
                                           + "Content-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            const std::string line = request->method() + " " + request->second();
            {
                const std::lock_guard lock(this->mutex);
                this->done.push_back({ id, this->terms.id, this->terms.service, line, now() });
            }
            this->record.line("run       " + id + "  " + line + "  body "
                              + std::to_string(request->bodyBytes) + "  by " + this->terms.id
                              + " of " + this->terms.service);
            ++this->running;
            sleepFor(this->terms.workSeconds);
            --this->running;
            const std::string body = "answer of " + this->terms.id + " to " + id;
            if (!sendAll(peer, "HTTP/1.1 200 OK\r\n" + echo + "Server-Seal: seal-" + id + "\r\n"
                                       + this->loadLine() + "Content-Length: "
                                       + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }

    Store &store;
    Record &record;
    std::mutex mutex;
    std::vector<Run> done;
    std::atomic<int> running { 0 };
    int sequence = 0;
    std::int64_t born = 0;
    Listener listener;
};

// ---- The daemon ----

/// The daemon of an entry VM as a separate process, with the command of the deploy file and the
/// settings that its template makes of those of DEPLOY.md.
class Daemon
{
public:
    struct Terms
    {
        std::string name;
        std::string ip;
        std::string zone;
        std::string region;
        json zones;
        int memoryMb = 260;
    };

    Daemon(Terms terms, const Address &store, std::string folder)
        : terms(std::move(terms)), folder(std::move(folder))
    {
        const std::string &ip = this->terms.ip;
        this->front = { ip, freePort(ip) };
        this->ready = { ip, freePort(ip) };
        this->control = { ip, freePort(ip) };
        this->directory = { ip, freePort(ip) };
        this->settings = { { "vm", this->terms.name },
                           { "zone", this->terms.zone },
                           { "region", this->terms.region },
                           { "address", ip },
                           { "first_start", false },
                           { "zones", this->terms.zones },
                           { "listeners",
                             { { "callers", this->front.text() },
                               { "readiness", this->ready.text() },
                               { "directory", this->directory.text() },
                               { "peers", this->control.text() } } },
                           { "seeds", json::array() },
                           { "store", { { "address", store.text() } } },
                           { "memory_mb", this->terms.memoryMb },
                           { "max_descriptors", 4100 },
                           { "link_mbit_per_s", 1000.0 },
                           { "processor_share", 0.2 },
                           { "shutdown_grace_s", 6 },
                           { "server_drain_ms", 2000 },
                           { "lookup_ttl_max_s", 5 },
                           { "retries", { { "ratio", 0.2 }, { "extra", 60 }, { "window_s", 10 } } },
                           { "cold", { { "overage", 1.5 }, { "extra", 5 } } } };
    }

    Address front;
    Address ready;
    Address control;
    Address directory;
    json settings;
    const Terms terms;

    void start()
    {
        const std::string path = this->folder + "/" + this->terms.name + ".json";
        std::ofstream(path) << this->settings.dump(2);
        const std::string log = this->folder + "/" + this->terms.name + ".log";
        const pid_t parent = ::getpid();
        const pid_t child = ::fork();
        if (child == 0) {
            // The daemon must not outlive the case, whatever ends it.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(2);
            }
            ::setenv("CURRANTFALL_BOOT", path.c_str(), 1);
            if (std::freopen(log.c_str(), "a", stdout) == nullptr
                || std::freopen(log.c_str(), "a", stderr) == nullptr) {
                ::_exit(2);
            }
            ::execl("target/Source/Daemon/currantfalld", "target/Source/Daemon/currantfalld",
                    "--entry-settings-from", "CURRANTFALL_BOOT", nullptr);
            ::_exit(127);
        }
        this->process = child;
        const std::lock_guard lock(mutex());
        started().push_back(child);
    }
    /// All processes that have not been awaited yet.
    static std::vector<pid_t> &started()
    {
        static std::vector<pid_t> processes;
        return processes;
    }
    pid_t pid() const { return this->process; }
    void signal(int number) const
    {
        if (this->process > 0) {
            ::kill(this->process, number);
        }
    }
    /// Sends the signal and waits until the process has ended.
    void kill(int number)
    {
        if (this->process > 0) {
            ::kill(this->process, number);
            ::waitpid(this->process, nullptr, 0);
            this->forget();
        }
    }
    /// Whether the process has ended by itself.
    bool ended()
    {
        if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
            this->forget();
        }
        return this->process == 0;
    }
    bool isReady() const
    {
        const int peer = connectTo(this->ready);
        if (peer < 0) {
            return false;
        }
        sendAll(peer, "GET /readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
        const auto answer = Reader(peer).read(false, true);
        ::close(peer);
        return answer && answer->status() == 200;
    }
    bool awaitReady(double seconds) const
    {
        for (const double end = now() + seconds; now() < end; sleepFor(0.05)) {
            if (this->isReady()) {
                return true;
            }
        }
        return false;
    }
    /// The end of what the process has logged.
    std::string lastLog() const
    {
        std::ifstream file(this->folder + "/" + this->terms.name + ".log");
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        return text.size() > 3000 ? text.substr(text.size() - 3000) : text;
    }
    /// Resident memory in MB as the kernel reports it: anonymous pages only, without those of the
    /// program's file and its libraries.
    double memoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with("RssAnon:")) {
                return std::strtod(line.c_str() + 8, nullptr) / 1024.0;
            }
        }
        return 0.0;
    }

private:
    void forget()
    {
        const std::lock_guard lock(mutex());
        std::erase(started(), this->process);
        this->process = 0;
    }
    static std::mutex &mutex()
    {
        static std::mutex instance;
        return instance;
    }

    std::string folder;
    pid_t process = 0;
};

// ---- Clients ----

struct Answer
{
    /// 0 if the connection ended without a complete answer.
    int status = 0;
    bool sealed = false;
    std::string body {};
};

/// An id as clients make them.
inline std::string newId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device {}());
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

/// A request of a client on a connection of its own: sends it and reads the answer.
inline Answer request(const Address &front, const std::string &method, const std::string &target,
                      int deadlineMs, Record &record, const std::string &body = "")
{
    const std::string id = newId();
    record.line("sent      " + id + "  " + method + " " + target + "  to " + front.text());
    Answer result;
    const int peer = connectTo(front);
    if (peer >= 0) {
        timeval limit { deadlineMs / 1000 + 1, 0 };
        ::setsockopt(peer, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        const std::string length
                = method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        sendAll(peer, method + " " + target + " HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: "
                              + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
                              + length + "\r\n" + body);
        if (const auto answer = Reader(peer).read(true, true)) {
            result = { answer->status(), !answer->header("Server-Seal").empty(), answer->body };
        }
        ::close(peer);
    }
    record.line("answered  " + id + "  "
                + (result.status == 0 ? "no complete answer" : std::to_string(result.status))
                + (result.sealed ? " sealed: " + result.body : ""));
    return result;
}

inline json service(const std::string &name)
{
    return { { "name", name },     { "health_path", "/health" },
             { "max_conns", 360 }, { "protocol", "h1" },
             { "tls", false },     { "cold_s", 3.0 },
             { "cold_per_s", 1.9 } };
}

inline json route(const std::string &prefix, const std::string &kind, const std::string &service,
                  int timeoutMs, int targetMs)
{
    return { { "name", "r-" + prefix.substr(1, prefix.size() - 2) },
             { "prefix", prefix },
             { "kind", kind },
             { "timeout_ms", timeoutMs },
             { "target_latency_ms", targetMs },
             { "priority", 1 },
             { "service", service },
             { "max_attempts", 2 },
             { "sticky", true },
             { "allowed_regions", json::array() } };
}

/// A configuration of one host.
inline json configuration(int version, const json &services, const json &routes)
{
    return { { "version", "r" + std::to_string(version) },
             { "services", services },
             { "limits",
               { { "max_header_bytes", 16384 },
                 { "max_body_bytes", 67108864 },
                 { "header_timeout_ms", 3000 },
                 { "idle_timeout_ms", 15000 } } },
             { "virtual_hosts",
               json::array({ { { "host", "hulo84.example" }, { "paths", routes } } }) } };
}

// ---- A case ----

/// Folder of the case, temporary folder and the addresses of one run. Ends the process with 2 if
/// the case can't run.
struct Case
{
    explicit Case(const char *folder)
        : record(std::string(folder) + "/record.txt"),
          trouble(std::getenv("TROUBLE") == nullptr
                  || std::strcmp(std::getenv("TROUBLE"), "0") != 0)
    {
        std::signal(SIGPIPE, SIG_IGN);
        char pattern[] = "/tmp/review-XXXXXX";
        this->temporary = ::mkdtemp(pattern);
        std::random_device random;
        this->network = "127." + std::to_string(64 + random() % 128) + "."
                        + std::to_string(random() % 250) + ".";
        this->record.line(this->trouble ? "with the disruption" : "without the disruption");
    }
    /// Ends the run. Threads of stand-ins still run, so nothing is destroyed.
    [[noreturn]] void finish(int status)
    {
        for (const pid_t process : Daemon::started()) {
            ::kill(process, SIGKILL);
        }
        std::filesystem::remove_all(this->temporary);
        ::_exit(status);
    }
    std::string ip(int host) const { return this->network + std::to_string(host); }

    Record record;
    const bool trouble;
    std::string temporary;
    std::string network;
};

} // namespace Review
