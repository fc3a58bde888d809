#include "lab.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <set>

// One case of review/REPORT-2.md: `cases NAME RECORD DIRECTORY TROUBLE`. Exit status: 1 if the rule
// was broken, 0 if it held, 2 if the case couldn't run.

namespace {

using namespace Lab;

struct CannotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

struct Run
{
    Record &record;
    std::string directory;
    bool trouble;
    Addresses addresses {};

    std::string storeAddress() const { return this->addresses.host(1) + ":8642"; }
    std::string vmHost(int number) const { return this->addresses.host(1 + number); }
    std::string serverHost(int number) const { return this->addresses.host(100 + number); }
    int verdict(bool broken, const std::string &text)
    {
        this->record.write(std::string(broken ? "BROKEN: " : "held: ") + text);
        std::printf("%s: %s\n", broken ? "broken" : "held", text.c_str());
        return broken ? 1 : 0;
    }
};

std::string lengthField(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

std::string text(const Answer &answer)
{
    if (answer.status == 0) {
        return "no answer";
    }
    return std::to_string(answer.status) + (answer.complete ? "" : ", incomplete")
           + (answer.closes ? ", connection closes" : "");
}

/// UNASKED: the body of one request holds the bytes of another one, as data.
int smuggled(Run &run)
{
    Store store(run.addresses.host(1), 8642, run.record);
    Server server("i-1", "bellbook", "burnaby-a", run.serverHost(1), 8080, run.record);
    store.put("op", "config",
              configuration(1, { "bellbook" }, { routeEntry("orders", "unsafe", "bellbook", 1200) }));
    store.put("servers", server.id(), server.entry());
    Daemon daemon(run.directory, "edge-1", run.vmHost(1), "burnaby-a", run.storeAddress(),
                  run.record);
    if (!daemon.awaitReady(15)) {
        throw CannotRun("the daemon does not get ready");
    }
    const std::vector<std::string> codings { "gzip", "chunked, identity", "xchunked" };
    std::set<std::string> sent;
    std::map<std::string, std::string> bodies;
    int number = 0;
    for (const std::string &coding : codings) {
        const std::string id = "sent-" + std::to_string(++number);
        const std::string data = request("POST", "/orders/transfer", "data-" + std::to_string(number),
                                         "Content-Length: 0\r\n");
        const std::string fields
                = run.trouble ? "Transfer-Encoding: " + coding + "\r\n" : lengthField(data);
        sent.insert(id);
        bodies[id] = data;
        const auto stream = Stream::connect(daemon.host(), Daemon::callersPort);
        if (!stream || !stream->write(request("POST", "/orders/1", id, fields, data))) {
            throw CannotRun("can't send to the daemon");
        }
        run.record.write("client sends one request, " + id + ": POST /orders/1, "
                         + fields.substr(0, fields.size() - 2) + ", and a body of "
                         + std::to_string(data.size()) + " bytes");
        while (true) {
            const Answer answer = readAnswer(*stream, 1.0);
            if (answer.status == 0) {
                break;
            }
            run.record.write("client gets " + text(answer) + " for " + answer.id);
        }
    }
    int unasked = 0;
    int changed = 0;
    for (const Arrival &arrival : server.ran()) {
        unasked += sent.contains(arrival.id) ? 0 : 1;
        changed += sent.contains(arrival.id) && arrival.body != bodies[arrival.id] ? 1 : 0;
    }
    return run.verdict(unasked + changed > 0,
                       std::to_string(unasked) + " requests ran that no client sent, "
                               + std::to_string(changed) + " ran with another body than was sent, of "
                               + std::to_string(sent.size()) + " sent");
}

/// LOST: a SIGTERM while a connection has one request at work and another one behind it.
int pipelined(Run &run)
{
    constexpr int connections = 5;
    constexpr double lossSlack = 0.2;
    Store store(run.addresses.host(1), 8642, run.record);
    Server reads("i-1", "slotview", "burnaby-a", run.serverHost(1), 8080, run.record);
    Server books("i-2", "bellbook", "burnaby-a", run.serverHost(2), 8080, run.record);
    store.put("op", "config",
              configuration(1, { "slotview", "bellbook" },
                            { routeEntry("dates", "safe", "slotview", 4000),
                              routeEntry("orders", "unsafe", "bellbook", 4000) }));
    store.put("servers", reads.id(), reads.entry());
    store.put("servers", books.id(), books.entry());
    Daemon daemon(run.directory, "edge-1", run.vmHost(1), "burnaby-a", run.storeAddress(),
                  run.record);
    if (!daemon.awaitReady(15)) {
        throw CannotRun("the daemon does not get ready");
    }
    // Stable for longer than stable_window_ms.
    sleepFor(4.0);
    std::vector<std::unique_ptr<Stream>> streams;
    double sentAt = 0;
    for (int index = 0; index < connections; ++index) {
        auto stream = Stream::connect(daemon.host(), Daemon::callersPort);
        const std::string number = std::to_string(index + 1);
        const std::string body = "deposit";
        if (!stream
            || !stream->write(request("GET", "/dates/" + number + "/work880", "read-" + number)
                              + request("POST", "/orders/" + number + "/work300", "book-" + number,
                                        lengthField(body), body))) {
            throw CannotRun("can't send to the daemon");
        }
        sentAt = now();
        run.record.write("client " + number + " sends read-" + number + " (GET) and book-" + number
                         + " (POST) on one connection, in one segment");
        streams.push_back(std::move(stream));
    }
    sleepFor(0.3);
    if (run.trouble) {
        daemon.signal(SIGTERM);
    }
    int lost = 0;
    for (int index = 0; index < connections; ++index) {
        const std::string number = std::to_string(index + 1);
        const Answer read = readAnswer(*streams[index], 5);
        run.record.write("client " + number + ": read-" + number + " gets " + text(read));
        const Answer book = readAnswer(*streams[index], 5);
        const bool ended = book.status == 0 && streams[index]->ended(1);
        run.record.write("client " + number + ": book-" + number + " gets " + text(book)
                         + (ended ? ", the connection has ended" : ""));
        const bool complete = book.status != 0 && book.complete;
        lost += !complete && ended && now() - sentAt > lossSlack ? 1 : 0;
    }
    if (run.trouble) {
        const auto status = daemon.awaitEnd(8);
        run.record.write(status ? "daemon ended" : "daemon still runs after 8 s");
    }
    return run.verdict(lost > 0, std::to_string(lost) + " of " + std::to_string(connections)
                                         + " requests that were sent whole before the SIGTERM, and "
                                           "read together with one that was answered, got no answer");
}

/// CONFIG: a configuration that is acknowledged just after the store was silent for some seconds.
int staleConfiguration(Run &run)
{
    constexpr double outage = 7.5;
    constexpr double stableWindow = 3.0;
    constexpr double configApply = 2.0;
    Store store(run.addresses.host(1), 8642, run.record);
    Server before("i-1", "slotview", "burnaby-a", run.serverHost(1), 8080, run.record);
    Server after("i-2", "oldnews", "burnaby-a", run.serverHost(2), 8080, run.record);
    const std::vector<std::string> services { "slotview", "oldnews" };
    store.put("op", "config",
              configuration(1, services, { routeEntry("dates", "safe", "slotview", 4000) }));
    store.put("servers", before.id(), before.entry());
    store.put("servers", after.id(), after.entry());
    Daemon daemon(run.directory, "edge-1", run.vmHost(1), "burnaby-a", run.storeAddress(),
                  run.record);
    if (!daemon.awaitReady(15)) {
        throw CannotRun("the daemon does not get ready");
    }
    sleepFor(4.0);
    if (run.trouble) {
        store.setSilent(true);
    }
    sleepFor(outage);
    if (run.trouble) {
        store.setSilent(false);
    }
    const double returned = now();
    sleepFor(0.1);
    store.put("op", "config",
              configuration(2, services, { routeEntry("dates", "safe", "oldnews", 4000) }));
    const double acknowledged = now();
    // From here on the core is stable and the machine in touch, and the bound is over.
    const double judgedFrom = std::max(returned + stableWindow, acknowledged + configApply) + 0.05;
    sleepUntil(judgedFrom);
    int sent = 0;
    int old = 0;
    double lastOld = 0;
    while (now() < returned + 6.0) {
        const std::string id = "request-" + std::to_string(++sent);
        const double sentAt = now();
        const auto stream = Stream::connect(daemon.host(), Daemon::callersPort);
        if (!stream || !stream->write(request("GET", "/dates/1", id, "Connection: close\r\n"))) {
            throw CannotRun("can't send to the daemon");
        }
        const Answer answer = readAnswer(*stream, 4);
        const bool byOld = answer.body.starts_with("i-1 ");
        run.record.write("client sent " + id + " and gets " + text(answer) + " " + answer.body);
        if (byOld) {
            ++old;
            lastOld = sentAt;
        }
        sleepFor(0.05);
    }
    char line[200];
    std::snprintf(line, sizeof(line),
                  "%d of %d requests ran at the old service, the last one sent %.2f s after the "
                  "acknowledgement (bound 2.00 s) and %.2f s after the store's return",
                  old, sent, old > 0 ? lastOld - acknowledged : 0.0,
                  old > 0 ? lastOld - returned : 0.0);
    return run.verdict(old > 0, line);
}

/// DRAIN: an older entry of a server reaches the store after the one that says that it leaves.
int olderEntry(Run &run)
{
    constexpr double drainTime = 2.0;
    Store store(run.addresses.host(1), 8642, run.record);
    Server leaving("i-1", "bellbook", "burnaby-a", run.serverHost(1), 8080, run.record);
    Server staying("i-2", "bellbook", "burnaby-a", run.serverHost(2), 8080, run.record);
    store.put("op", "config",
              configuration(1, { "bellbook" }, { routeEntry("orders", "unsafe", "bellbook", 1200) }));
    store.put("servers", leaving.id(), leaving.entry("ready", 10));
    store.put("servers", staying.id(), staying.entry("ready", 10));
    Daemon daemon(run.directory, "edge-1", run.vmHost(1), "burnaby-a", run.storeAddress(),
                  run.record);
    if (!daemon.awaitReady(15)) {
        throw CannotRun("the daemon does not get ready");
    }
    sleepFor(4.0);
    std::atomic<bool> done = false;
    std::mutex mutex;
    std::map<std::string, Answer> answers;
    std::vector<std::thread> clients;
    for (int client = 1; client <= 4; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 1; !done; ++number) {
                const std::string id
                        = "order-" + std::to_string(client) + "-" + std::to_string(number);
                const auto stream = Stream::connect(daemon.host(), Daemon::callersPort);
                const std::string body = "deposit";
                if (!stream
                    || !stream->write(request("POST", "/orders/1/work300", id,
                                              "Connection: close\r\n" + lengthField(body), body))) {
                    continue;
                }
                const Answer answer = readAnswer(*stream, 4);
                run.record.write("client sent " + id + " and gets " + text(answer) + " "
                                 + answer.body);
                const std::lock_guard lock(mutex);
                answers[id] = answer;
            }
        });
    }
    sleepFor(1.0);
    if (run.trouble) {
        run.record.write("server i-1 writes its entry: ready, seq 11. The link is cut; the bytes are "
                         "held up on their way to the store");
    }
    sleepFor(1.0);
    store.put("servers", leaving.id(), leaving.entry("draining", 12));
    const double acknowledged = now();
    sleepUntil(acknowledged + 1.2);
    if (run.trouble) {
        run.record.write("the bytes that were held up arrive at the store");
        store.put("servers", leaving.id(), leaving.entry("ready", 11));
    }
    sleepUntil(acknowledged + 5.0);
    leaving.exit();
    sleepFor(1.5);
    done = true;
    for (std::thread &client : clients) {
        client.join();
    }
    int late = 0;
    int lost = 0;
    double last = 0;
    for (const Arrival &arrival : leaving.ran()) {
        if (arrival.time <= acknowledged + drainTime) {
            continue;
        }
        ++late;
        last = arrival.time - acknowledged;
        lost += answers[arrival.id].status != 200 ? 1 : 0;
    }
    char line[240];
    std::snprintf(line, sizeof(line),
                  "%d requests ran at a server later than 2 s after the store had acknowledged that "
                  "it leaves, the last one after %.2f s; %d of them were lost when it exited, 5 s "
                  "after the acknowledgement",
                  late, last, lost);
    return run.verdict(late > 0, line);
}

const std::map<std::string, int (*)(Run &)> cases { { "older-entry", olderEntry },
                                                    { "smuggled", smuggled },
                                                    { "pipelined", pipelined },
                                                    { "stale-configuration", staleConfiguration } };

} // namespace

int main(int count, char **words)
{
    if (count != 5 || !cases.contains(words[1])) {
        std::fprintf(stderr, "usage: cases NAME RECORD DIRECTORY TROUBLE\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        Record record(words[2]);
        record.write(std::string("case ") + words[1]
                     + (std::strcmp(words[4], "0") == 0 ? ", without the disruption" : ""));
        try {
            Run run { record, words[3], std::strcmp(words[4], "0") != 0 };
            return cases.at(words[1])(run);
        } catch (const std::exception &error) {
            record.write(std::string("can't run: ") + error.what());
            throw;
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "can't run: %s\n", error.what());
        return 2;
    }
}
