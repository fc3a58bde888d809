#pragma once

// Stand-ins for the cases of review/REPORT-2.md: a platform's store, backend servers and callers,
// and the daemon as a child process. They follow PROTOCOL.md as far as the cases need it.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace Lab {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Seconds since the start of the program.
double now();
void sleepUntil(double time);
inline void sleepFor(double seconds) { sleepUntil(now() + seconds); }

/// Writes record.txt, one line for each event.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void write(const std::string &line);

private:
    std::mutex mutex;
    std::FILE *file;
};

/// Loopback addresses of one run: 127.A.B.1 to 127.A.B.254, none of which is in use.
class Addresses
{
public:
    Addresses();
    std::string host(int number) const;

private:
    int second = 0;
    int third = 0;
};

/// A message head: first line and fields, names in lower case.
struct Head
{
    std::string line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string field(const std::string &name) const;
};

/// A connected socket with a read buffer.
class Stream
{
public:
    explicit Stream(int descriptor) : descriptor(descriptor) { }
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;
    static std::unique_ptr<Stream> connect(const std::string &host, int port);

    bool write(const std::string &bytes);
    /// Reads a head; nothing at the end of the stream or after `timeout` seconds.
    std::optional<Head> readHead(double timeout);
    bool readBytes(std::size_t count, std::string &bytes, double timeout);
    /// Whether the peer has ended the stream (only valid while nothing is buffered).
    bool ended(double timeout);
    void shutdown();

private:
    bool fill(double deadline);
    int descriptor;
    std::string buffer;
    bool eof = false;
};

/// Accepts connections and serves each in a thread of its own.
class Listener
{
public:
    Listener(const std::string &host, int port, std::function<void(Stream &)> serve);
    ~Listener();
    /// Accepts no more connections and ends those that are open.
    void endStreams();

private:
    int descriptor;
    std::function<void(Stream &)> serve;
    std::thread acceptor;
    std::mutex mutex;
    std::list<std::shared_ptr<Stream>> streams;
    std::list<std::thread> threads;
};

/// The platform's metadata store: /rows-tx, /rows-get and /rows-feed.
class Store
{
public:
    Store(const std::string &host, int port, Record &record);
    void put(const std::string &table, const std::string &key, const json &value);
    /// Calls that arrive, or that wait for an answer, get none; as if the store were silent.
    void setSilent(bool silent);
    /// Time at which the latest /rows-feed of `table` arrived.
    double lastFeed(const std::string &table);

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    using Key = std::tuple<std::string, std::string, std::string>; // table, part, key
    void serve(Stream &stream);
    json rowOf(const Key &key, const Row &row) const;
    json transaction(const json &call, int &status);
    json get(const std::map<std::string, std::string> &query);
    /// Nothing if the store has become silent meanwhile.
    std::optional<json> feed(const std::map<std::string, std::string> &query);

    Record &record;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::uint64_t version = 0;
    bool silent = false;
    std::uint64_t outages = 0;
    std::map<std::string, double> feeds;
    std::unique_ptr<Listener> listener;
};

struct Arrival
{
    double time = 0;
    std::string server;
    std::string service;
    std::string id;
    std::string line;
    std::string body;
};

/// A backend server. The path "/.../workMS" says how long a request takes.
class Server
{
public:
    Server(std::string id, std::string service, std::string zone, std::string host, int port,
           Record &record);
    json entry(const std::string &state = "ready", int sequence = 10) const;
    /// Ends the server: its connections are closed, and work in progress is lost.
    void exit();
    const std::string &id() const { return this->name; }
    /// Requests that it ran.
    std::vector<Arrival> ran();

private:
    void serve(Stream &stream);
    std::string name;
    std::string service;
    std::string zone;
    std::string host;
    int port;
    Record &record;
    std::mutex mutex;
    std::vector<Arrival> arrivals;
    std::unique_ptr<Listener> listener;
};

/// The daemon, started as deploy/system.toml says.
class Daemon
{
public:
    Daemon(const std::string &directory, const std::string &vm, const std::string &host,
           const std::string &zone, const std::string &storeAddress, Record &record);
    ~Daemon();
    bool awaitReady(double timeout);
    void signal(int number);
    /// The exit status, once the process has ended.
    std::optional<int> awaitEnd(double timeout);
    const std::string &host() const { return this->address; }
    static constexpr int callersPort = 8641;
    static constexpr int readinessPort = 8640;

private:
    std::string vm;
    std::string address;
    Record &record;
    int pid = -1;
    std::optional<int> status;
};

struct Answer
{
    int status = 0; ///< 0: none.
    std::string id;
    std::string seal;
    std::string body;
    bool complete = false;
    bool closes = false;
};

/// Reads one answer; its status is 0 if there is none.
Answer readAnswer(Stream &stream, double timeout);
std::string request(const std::string &method, const std::string &path, const std::string &id,
                    const std::string &fields = "", const std::string &body = "");
json serviceEntry(const std::string &name);
json routeEntry(const std::string &name, const std::string &kind, const std::string &service,
                int timeoutMs);
json configuration(int version, const std::vector<std::string> &services,
                   const std::vector<json> &routes);
extern const char *const callersHost;

} // namespace Lab
