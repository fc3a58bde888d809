#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "currantfall/Steering/TableReplica.h"

using namespace Currantfall::Steering;
using namespace Currantfall::Common;
using Status = TableReplica::Status;

// Random runs of some replicas that read a store and tell each other of its changes, while the
// store returns from copies, calls of servers arrive late, reads and messages are on their way,
// links fail and VMs restart.

namespace {

constexpr int holdMs = 2500;
constexpr int deletionHoldMs = 10'000;
constexpr int requestTimeoutMs = 500;
constexpr std::size_t vmCount = 3;
constexpr std::size_t serverCount = 4;
// Servers up to this one are on the first page of a full read.
const std::string lastKeyOfFirstPage = "1";

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

/// Reads values such as "ready 2.7": the run and the number of the value.
std::optional<WriterOrder> orderOf(const RowChange &row)
{
    const auto space = row.value.find(' ');
    const auto point = row.value.find('.');
    if (space == std::string::npos || point == std::string::npos) {
        return std::nullopt;
    }
    return WriterOrder(std::stol(row.value.substr(space)), std::stoul(row.value.substr(point + 1)));
}

/// The part of a value that matters for requests: state and run, without the number.
std::string meaningOf(const std::string &value)
{
    return value.substr(0, value.find('.'));
}

RetentionSettings serverSettings()
{
    return { absl::Milliseconds(holdMs), absl::Milliseconds(deletionHoldMs), orderOf };
}

/// The store's table with its latest history.
class Store
{
public:
    using Rows = std::map<std::string, RowChange>;

    StorePosition position() const { return this->state.position; }
    const Rows &rows() const { return this->state.rows; }

    void put(const std::string &key, const std::string &value, Instant now)
    {
        this->write({ key, value, {}, false, now });
    }
    void remove(const std::string &key, Instant now)
    {
        if (this->state.rows.contains(key)) {
            this->write({ key, "", {}, true, now });
        }
    }
    void saveCopy() { this->copy = this->state; }
    void restoreCopy()
    {
        const StoreEra era = this->state.position.era() + 1;
        this->state = this->copy;
        this->state.position = { era, this->copy.position.version() };
        for (auto &[key, row] : this->state.rows) {
            row.position = { era, row.position.version() };
        }
        this->forgetHistory();
    }
    void forgetHistory()
    {
        this->history.clear();
        this->historySince = this->state.position;
    }
    /// Returns nothing if the changes since `after` are not known.
    std::optional<TableUpdate> changesSince(StorePosition after, Instant now) const
    {
        if (after.era() != this->state.position.era() || after < this->historySince) {
            return std::nullopt;
        }
        TableUpdate update { after, this->state.position, false, now, {} };
        for (const RowChange &row : this->history) {
            // Each change of a row is listed, not only the latest one.
            if (row.position > after) {
                update.rows.push_back(row);
                update.rows.back().readAt = now;
            }
        }
        return update;
    }

private:
    struct State
    {
        StorePosition position { 1, 0 };
        Rows rows;
    };

    void write(RowChange row)
    {
        this->state.position = { this->state.position.era(), this->state.position.version() + 1 };
        row.position = this->state.position;
        this->history.push_back(row);
        if (row.deleted) {
            this->state.rows.erase(row.key);
        } else {
            this->state.rows[row.key] = row;
        }
    }

    State state;
    State copy;
    std::vector<RowChange> history;
    StorePosition historySince { 1, 0 };
};

struct Server
{
    bool alive = false;
    int run = 0;
    int number = 0;
    bool draining = false;

    std::string meaning() const
    {
        return std::string(this->draining ? "draining " : "ready ") + std::to_string(this->run);
    }
};

struct Request
{
    bool loaded = false;
    StorePosition position;
};
using Message = std::variant<TableUpdate, Request>;

/// A VM with its replica, the servers that it uses, and a full read that may be on its way.
struct Vm
{
    TableReplica replica { serverSettings() };
    std::map<std::string, std::string> servers;
    std::optional<TableUpdate> reading;
    Instant requestedAt = Instant::fromOrigin(-absl::InfiniteDuration());
};

/// The kind of a step, and the VM, the distance to another VM, the server and the time that it
/// uses.
using Step = std::tuple<int, std::size_t, std::size_t, std::size_t, int>;

rc::Gen<Step> stepGenerator()
{
    return rc::gen::tuple(rc::gen::inRange(0, 26), rc::gen::inRange<std::size_t>(0, vmCount),
                          rc::gen::inRange<std::size_t>(1, vmCount),
                          rc::gen::inRange<std::size_t>(0, serverCount),
                          rc::gen::inRange(0, holdMs));
}

/// Some VMs, connected by links that keep the order of messages, and the store.
class Fleet
{
public:
    void take(const Step &step)
    {
        const auto [kind, vm, distance, server, milliseconds] = step;
        const std::string key = std::to_string(server);
        switch (kind) {
        case 0:
            this->store.saveCopy();
            return;
        case 1:
            this->store.restoreCopy();
            // Connections to the store end, and with them the calls that were on their way.
            this->heldUpWrites.clear();
            return;
        case 2:
            this->store.forgetHistory();
            return;
        case 3:
            this->restart(vm);
            return;
        case 4:
            this->resetLink(vm, (vm + distance) % vmCount);
            return;
        case 5:
            this->leave(key);
            return;
        case 6:
            this->store.remove(key, this->now());
            return;
        case 7:
        case 8:
            this->startFullRead(vm);
            return;
        case 9:
        case 10:
            this->finishFullRead(vm);
            return;
        case 11:
        case 12:
        case 13:
            this->readChanges(vm);
            return;
        case 14:
        case 15:
            this->time += milliseconds;
            return;
        case 16:
        case 17:
            this->writeServer(key, false);
            return;
        case 18:
            this->writeServer(key, true);
            return;
        case 19:
            this->holdUpWrite(key);
            return;
        case 20:
            this->deliverWrites();
            return;
        default:
            this->deliver(vm, (vm + distance) % vmCount);
            return;
        }
    }

    /// All servers write what the store lacks, all VMs read, and all hold times pass.
    void settle()
    {
        this->deliverWrites();
        for (const auto &[key, server] : this->servers) {
            const auto listed = this->store.rows().find(key);
            const bool same = listed != this->store.rows().end()
                              && meaningOf(listed->second.value) == server.meaning();
            if (server.alive && !same) {
                this->writeServer(key, server.draining);
            }
        }
        for (const auto &[key, row] : Store::Rows(this->store.rows())) {
            if (!this->servers[key].alive) {
                this->store.remove(key, this->now());
            }
        }
        for (int round = 0; round < 3; ++round) {
            for (std::size_t vm = 0; vm < vmCount; ++vm) {
                this->finishFullRead(vm);
                this->readChanges(vm);
                this->deliverAll();
            }
            this->time += deletionHoldMs;
        }
    }

    /// Requires that all VMs use the servers that the store lists.
    void requireAgreement() const
    {
        std::map<std::string, std::string> listed;
        for (const auto &[key, row] : this->store.rows()) {
            listed[key] = meaningOf(row.value);
        }
        for (const Vm &vm : this->vms) {
            RC_ASSERT(vm.servers == listed);
        }
    }

private:
    Instant now() const { return at(this->time); }

    void writeServer(const std::string &key, bool draining)
    {
        Server &server = this->servers[key];
        if (!server.alive) {
            server = { true, server.run + 1, 0, draining };
        }
        server.draining = server.draining || draining;
        ++server.number;
        this->store.put(key, server.meaning() + "." + std::to_string(server.number), this->now());
    }
    /// The server writes its entry, but the call reaches the store later than the next ones.
    void holdUpWrite(const std::string &key)
    {
        Server &server = this->servers[key];
        if (server.alive) {
            ++server.number;
            this->heldUpWrites.emplace_back(key,
                                            server.meaning() + "." + std::to_string(server.number));
        }
    }
    void deliverWrites()
    {
        for (const auto &[key, value] : this->heldUpWrites) {
            this->store.put(key, value, this->now());
        }
        this->heldUpWrites.clear();
    }
    void leave(const std::string &key)
    {
        this->servers[key].alive = false;
        this->store.remove(key, this->now());
    }

    void startFullRead(std::size_t index)
    {
        Vm &vm = this->vms[index];
        if (vm.reading) {
            return;
        }
        vm.reading = TableUpdate { {}, this->store.position(), true, this->now(), {} };
        this->readPage(*vm.reading, true);
    }
    /// Reads the second page. The read is given up if the era has changed.
    void finishFullRead(std::size_t index)
    {
        std::optional<TableUpdate> update = std::exchange(this->vms[index].reading, std::nullopt);
        if (update && update->to.era() == this->store.position().era()) {
            this->readPage(*update, false);
            this->apply(index, *update, std::nullopt);
        }
    }
    void readPage(TableUpdate &update, bool first) const
    {
        for (const auto &[key, row] : this->store.rows()) {
            if ((key <= lastKeyOfFirstPage) == first) {
                update.rows.push_back(row);
                update.rows.back().readAt = this->now();
            }
        }
    }
    void readChanges(std::size_t index)
    {
        Vm &vm = this->vms[index];
        if (vm.reading) {
            return;
        }
        const auto update = vm.replica.loaded()
                                    ? this->store.changesSince(vm.replica.position(), this->now())
                                    : std::nullopt;
        if (update) {
            this->apply(index, *update, std::nullopt);
            return;
        }
        this->startFullRead(index);
        this->finishFullRead(index);
    }

    void restart(std::size_t index)
    {
        this->vms[index] = Vm();
        for (std::size_t other = 0; other < vmCount; ++other) {
            if (other != index) {
                this->resetLink(index, other);
            }
        }
    }
    void resetLink(std::size_t left, std::size_t right)
    {
        for (const auto &[from, to] : { std::pair(left, right), std::pair(right, left) }) {
            this->links[{ from, to }].clear();
            const TableReplica &replica = this->vms[from].replica;
            if (replica.loaded()) {
                this->links[{ from, to }].emplace_back(
                        TableUpdate { replica.position(), replica.position(), false,
                                      replica.confirmedAt(), replica.retainedRows() });
            }
        }
    }

    bool deliver(std::size_t from, std::size_t to)
    {
        auto &link = this->links[{ from, to }];
        if (link.empty()) {
            return false;
        }
        const Message message = link.front();
        link.pop_front();
        if (const auto *update = std::get_if<TableUpdate>(&message)) {
            this->apply(to, *update, from);
            return true;
        }
        const TableReplica &replica = this->vms[to].replica;
        const auto &request = std::get<Request>(message);
        if (replica.loaded()) {
            this->links[{ to, from }].emplace_back(
                    replica.changesSince(request.loaded ? request.position : StorePosition()));
        }
        return true;
    }
    void deliverAll()
    {
        for (bool delivered = true; delivered;) {
            delivered = false;
            for (std::size_t from = 0; from < vmCount; ++from) {
                for (std::size_t to = 0; to < vmCount; ++to) {
                    delivered = this->deliver(from, to) || delivered;
                }
            }
        }
    }

    /// Applies an update of the store or of a peer and tells the peers, like StoreSync.
    void apply(std::size_t index, const TableUpdate &update, std::optional<std::size_t> source)
    {
        Vm &vm = this->vms[index];
        const auto rowsBefore = vm.replica.rows();
        const StorePosition before = vm.replica.position();
        const bool loadedBefore = vm.replica.loaded();
        const auto outcome = vm.replica.apply(update);
        this->requireNoOlderRows(rowsBefore, vm.replica.rows());
        if (outcome.status == Status::Gap && source
            && this->now() - vm.requestedAt >= absl::Milliseconds(requestTimeoutMs)) {
            vm.requestedAt = this->now();
            this->links[{ index, *source }].emplace_back(Request { loadedBefore, before });
        }
        std::vector<RowChange> told = applyRows(vm, outcome.changes);
        applyRows(vm, outcome.localChanges);
        if (outcome.status != Status::Applied) {
            return;
        }
        told = outcome.withRowsToRelay(std::move(told));
        const StorePosition position = vm.replica.position();
        const bool newEra = loadedBefore && before.era() != position.era();
        TableUpdate relayed { before, position, false, vm.replica.confirmedAt(), told };
        if (!loadedBefore || update.complete) {
            relayed.from = position;
            relayed.rows.clear();
        }
        if (newEra) {
            relayed.rows = vm.replica.retainedRows();
        } else if (loadedBefore && told.empty() && source) {
            return;
        }
        for (std::size_t peer = 0; peer < vmCount; ++peer) {
            const bool toSource = source && peer == *source;
            if (peer != index && (!toSource || (newEra && !relayed.rows.empty()))) {
                this->links[{ index, peer }].emplace_back(relayed);
            }
        }
    }

    /// Updates the servers that the VM uses. Returns the changes that peers are told: all of them,
    /// while ServerRows leaves out rows that mean the same to the reader as before.
    static std::vector<RowChange> applyRows(Vm &vm, const std::vector<RowChange> &changes)
    {
        std::vector<RowChange> told;
        for (const RowChange &row : changes) {
            if (row.deleted) {
                vm.servers.erase(row.key);
                told.push_back(row);
                told.back().value.clear();
                continue;
            }
            std::string &known = vm.servers[row.key];
            known = meaningOf(row.value);
            told.push_back(row);
        }
        return told;
    }

    /// A row is never replaced by an earlier value of its writer.
    static void requireNoOlderRows(const std::map<std::string, RowChange> &before,
                                   const std::map<std::string, RowChange> &after)
    {
        for (const auto &[key, row] : before) {
            const auto now = after.find(key);
            if (now != after.end() && orderOf(now->second) < orderOf(row)) {
                RC_FAIL(key + ": " + row.value + " was replaced by " + now->second.value);
            }
        }
    }

    Store store;
    std::map<std::string, Server> servers;
    std::vector<std::pair<std::string, std::string>> heldUpWrites;
    std::array<Vm, vmCount> vms;
    std::map<std::pair<std::size_t, std::size_t>, std::deque<Message>> links;
    int time = 0;
};

} // namespace

// Guards against servers that some VM uses for good although they are gone, or does not use
// although they are listed, and against a VM that goes back to an earlier entry of a server.
TEST_CASE("Replicas agree with a store that has returned from copies")
{
    REQUIRE(rc::check("agreement after restores", [] {
        const auto steps
                = *rc::gen::scale(4.0, rc::gen::container<std::vector<Step>>(stepGenerator()));
        Fleet fleet;
        for (const Step &step : steps) {
            fleet.take(step);
        }
        fleet.settle();
        fleet.requireAgreement();
    }));
}
