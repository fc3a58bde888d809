#include "StoreSync.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Currantfall::Entry {

namespace {

namespace Wire = Peering::Wire;

constexpr std::size_t maxQueuedReads = 2;
// A peer that does not answer a request for changes is asked again after this time.
constexpr absl::Duration requestTimeout = absl::Milliseconds(500);
// Updates that only confirm the version are relayed if the table was confirmed at least this much
// later than at the last relayed update.
constexpr absl::Duration minConfirmationAdvance = absl::Milliseconds(300);

// Interval at which versions are compared with peers.
constexpr absl::Duration versionInterval = absl::Milliseconds(500);

// Interval between log lines about discarded updates of one table.
constexpr absl::Duration discardLogInterval = absl::Seconds(1);

std::uint32_t toMilliseconds(absl::Duration duration)
{
    return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

/// Sets the value of a row that is sent to peers that read compressed values.
void setCompressed(Wire::StoreRowT &entry, const Peering::CompressedValue &value)
{
    entry.compressed.assign(value.bytes().begin(), value.bytes().end());
    entry.base_hash = value.baseHash();
}

bool hasLargeRows(const Steering::TableUpdate &update)
{
    return std::any_of(update.rows.begin(), update.rows.end(), CompressedRows::isLarge);
}

/// Whether `rows` has a row whose key is not among `others`.
bool hasRowsBeyond(const std::vector<Steering::RowChange> &rows,
                   const std::vector<Steering::RowChange> &others)
{
    return std::any_of(rows.begin(), rows.end(), [&others](const auto &row) {
        return std::none_of(others.begin(), others.end(),
                            [&row](const auto &other) { return other.key == row.key; });
    });
}

} // namespace

StoreSync::StoreSync(boost::asio::io_context &context, const Platform::HostPort &store,
                     const std::vector<Table> &tables, Hooks hooks, Common::EventLog &log,
                     Telemetry::MetricsRegistry &metrics)
    : context(context), hooks(std::move(hooks)), log(log), metrics(metrics),
      startedAt(Common::monotonicNow()), versionsSentAt(startedAt), random(std::random_device()())
{
    for (const Table &table : tables) {
        this->states.emplace(table.name,
                             State { table, Steering::TableReplica(table.retention),
                                     Steering::ReadSchedule(table.terms),
                                     std::make_unique<StoreWorker>(store, maxQueuedReads) });
    }
}

StoreSync::~StoreSync()
{
    *this->alive = false;
}

const Steering::TableReplica &StoreSync::replica(const std::string &table) const
{
    return this->states.at(table).replica;
}

void StoreSync::advance(Common::Instant now)
{
    if (this->stopped) {
        return;
    }
    const std::size_t rank = this->hooks.readerRank();
    for (auto &[name, state] : this->states) {
        if (!state.replica.loaded() && this->expectsTable(state, now)) {
            continue;
        }
        if (state.schedule.due(now, rank, state.replica.loaded(), state.replica.confirmedAt())) {
            this->startRead(state);
        }
    }
    if (now - this->versionsSentAt >= versionInterval) {
        this->versionsSentAt = now;
        this->sendVersions(now);
    }
}

const Peering::CompressedValue *StoreSync::compressed(State &state, const Steering::RowChange &row,
                                                      ValueForm form)
{
    if (!CompressedRows::isLarge(row)) {
        return nullptr;
    }
    switch (form) {
    case ValueForm::Plain:
        return nullptr;
    case ValueForm::Whole:
        return state.compressedRows.whole(row);
    case ValueForm::Difference:
        return state.compressedRows.difference(row);
    case ValueForm::Reference:
        return state.compressedRows.reference(row);
    }
    return nullptr;
}

Wire::StoreUpdateT StoreSync::toWire(State &state, const Steering::TableUpdate &update,
                                     ValueForm form, Common::Instant now)
{
    Wire::StoreUpdateT message;
    message.table = state.table.name;
    message.from = update.from.version();
    message.to = update.to.version();
    message.era = update.to.era();
    message.complete = update.complete;
    message.age_ms = toMilliseconds(now - update.confirmedAt);
    for (const Steering::RowChange &row : update.rows) {
        auto entry = std::make_unique<Wire::StoreRowT>();
        entry->key = row.key;
        entry->version = row.position.version();
        entry->eras_before = update.to.era() - row.position.era();
        entry->deleted = row.deleted;
        entry->age_ms = toMilliseconds(now - row.readAt);
        if (const auto *value = compressed(state, row, form)) {
            setCompressed(*entry, *value);
        } else {
            entry->value.assign(row.value.begin(), row.value.end());
        }
        message.rows.push_back(std::move(entry));
    }
    return message;
}

std::optional<Steering::TableUpdate>
StoreSync::fromWire(State &state, const Wire::StoreUpdateT &message, Common::Instant now)
{
    Steering::TableUpdate update;
    update.from = Steering::StorePosition(message.era, message.from);
    update.to = Steering::StorePosition(message.era, message.to);
    update.complete = message.complete;
    update.confirmedAt = now - absl::Milliseconds(message.age_ms);
    const auto &knownRows = state.replica.rows();
    for (const auto &entry : message.rows) {
        if (entry == nullptr || entry->eras_before > message.era) {
            continue;
        }
        const Steering::StorePosition position(message.era - entry->eras_before, entry->version);
        std::string value(entry->value.begin(), entry->value.end());
        if (!entry->compressed.empty()) {
            const auto known = knownRows.find(entry->key);
            const std::string_view base
                    = known == knownRows.end() ? std::string_view() : known->second.value;
            auto compressed = Peering::CompressedValue::received(
                    std::string(entry->compressed.begin(), entry->compressed.end()),
                    entry->base_hash);
            if (known != knownRows.end() && known->second.position == position) {
                value = known->second.value;
            } else if (auto read = compressed.decompress(base)) {
                value = std::move(*read);
                if (value != base) {
                    state.compressedRows.receive(entry->key, position, std::move(compressed));
                }
            } else {
                return std::nullopt;
            }
        }
        update.rows.push_back({ entry->key, std::move(value), position, entry->deleted,
                                now - absl::Milliseconds(entry->age_ms) });
    }
    return update;
}

void StoreSync::sendUpdate(State &state, const std::vector<Common::VmName> &peers,
                           const Steering::TableUpdate &update, ValueForm form, Common::Instant now)
{
    std::vector<Common::VmName> compressedReaders;
    std::vector<Common::VmName> others = peers;
    if (hasLargeRows(update)) {
        const auto firstReader = std::stable_partition(
                others.begin(), others.end(), [this](const Common::VmName &peer) {
                    return !this->hooks.peers.readsCompressedValues(peer);
                });
        compressedReaders.assign(firstReader, others.end());
        others.erase(firstReader, others.end());
    }
    // What the peers lack, their zones may lack.
    const auto duty = static_cast<std::uint8_t>(Membership::SpreadDuty::Zone);
    const auto send = [&](const std::vector<Common::VmName> &receivers, ValueForm receiversForm) {
        if (!receivers.empty()) {
            Wire::StoreUpdateT message = toWire(state, update, receiversForm, now);
            message.duty = duty;
            this->hooks.peers.send(receivers, toBody(std::move(message)));
        }
    };
    send(others, ValueForm::Plain);
    send(compressedReaders, form);
}

void StoreSync::spreadUpdate(State &state, const std::vector<Membership::SpreadTarget> &targets,
                             const Steering::TableUpdate &update, Common::Instant now)
{
    std::vector<Membership::SpreadTarget> compressedReaders;
    std::vector<Membership::SpreadTarget> others = targets;
    if (hasLargeRows(update)) {
        const auto firstReader
                = std::stable_partition(others.begin(), others.end(), [this](const auto &target) {
                      return !this->hooks.peers.readsCompressedValues(target.vm);
                  });
        compressedReaders.assign(firstReader, others.end());
        others.erase(firstReader, others.end());
    }
    const auto spread = [&](const auto &receivers, ValueForm form) {
        if (!receivers.empty()) {
            this->hooks.peers.spread(receivers, withDuty(toWire(state, update, form, now)));
        }
    };
    spread(others, ValueForm::Plain);
    spread(compressedReaders, ValueForm::Difference);
}

void StoreSync::requestChanges(State &state, const Common::VmName &peer, Common::Instant now)
{
    const bool loaded = state.replica.loaded();
    if (now - state.requestedAt < requestTimeout
        || (!loaded && !this->mayRequestTable(state, peer, now))) {
        return;
    }
    state.requestedAt = now;
    Wire::StoreRequestT request;
    request.table = state.table.name;
    request.loaded = loaded;
    request.version = state.replica.position().version();
    request.era = state.replica.position().era();
    this->hooks.peers.send({ peer }, toBody(std::move(request)));
}

void StoreSync::startRead(State &state)
{
    StoreCall call;
    if (state.needsFullRead || !state.replica.loaded()) {
        call = ReadTable { state.table.name, state.replica.position().era() };
    } else {
        // A store that may be away answers at once when it is back. A long poll that gets no answer
        // would delay the next read by its wait.
        const absl::Duration wait
                = state.schedule.failing() ? absl::ZeroDuration() : state.table.longPollTimeout;
        call = ReadChanges { state.table.name, state.replica.position(), wait };
    }
    auto callback = [this, &state, alive = this->alive](StoreResult result) {
        boost::asio::post(this->context, [this, &state, alive, result = std::move(result)] {
            if (*alive) {
                this->onReadFinished(state, result, Common::monotonicNow());
            }
        });
    };
    this->metrics.addToCounter("currantfall_store_reads_total", { { "table", state.table.name } });
    if (state.worker->submit(std::move(call), std::move(callback))) {
        state.schedule.started();
    }
}

void StoreSync::onReadFinished(State &state, const StoreResult &result, Common::Instant now)
{
    const bool historyExpired
            = !result && result.error().code() == make_error_code(Common::ErrorCode::Expired);
    this->updateReachability(state, result);
    if (!result) {
        state.schedule.finished(now, historyExpired);
        state.needsFullRead = state.needsFullRead || historyExpired;
        if (historyExpired) {
            nlohmann::ordered_json fields { { "table", state.table.name },
                                            { "era", state.replica.position().era() },
                                            { "version", state.replica.position().version() } };
            fields.update(Common::errorFields(result.error()));
            this->log.important("store_history_gone", std::move(fields));
            this->startRead(state);
        }
        return;
    }
    state.needsFullRead = false;
    if (result->unreadableRows > 0) {
        this->metrics.addToCounter("currantfall_store_rows_unreadable_total",
                                   { { "table", state.table.name } }, result->unreadableRows);
    }
    const bool applied = this->apply(state, *result, std::nullopt, now);
    // A store whose rows are all older than the replica is read again only after a delay, because
    // the next read of changes fails as well.
    state.schedule.finished(now, applied || !result->complete);
}

void StoreSync::updateReachability(State &state, const StoreResult &result)
{
    const bool reachable
            = result || result.error().code() == make_error_code(Common::ErrorCode::Expired);
    if (reachable == state.reachable) {
        return;
    }
    state.reachable = reachable;
    nlohmann::ordered_json fields { { "dependency", "store" }, { "table", state.table.name } };
    if (!reachable) {
        fields.update(Common::errorFields(result.error()));
    }
    this->log.important(reachable ? "dependency_regained" : "dependency_lost", std::move(fields));
}

bool StoreSync::expectsTable(const State &state, Common::Instant now) const
{
    return now - this->startedAt < this->hooks.firstReadDelay(state.table.name);
}

bool StoreSync::mayRequestTable(const State &state, const Common::VmName &peer,
                                Common::Instant now) const
{
    const auto &mates = this->hooks.peers.plan().zonePeers();
    return mates.empty() || std::find(mates.begin(), mates.end(), peer) != mates.end()
           || !this->expectsTable(state, now);
}

void StoreSync::noteEra(const State &state, Steering::StorePosition before,
                        const std::optional<Source> &source)
{
    this->metrics.addToCounter("currantfall_store_era_changes_total",
                               { { "table", state.table.name } });
    const Steering::StorePosition position = state.replica.position();
    this->log.important("store_era_changed",
                        { { "table", state.table.name },
                          { "source", source ? source->peer.value() : "" },
                          { "old_era", before.era() },
                          { "old_version", before.version() },
                          { "era", position.era() },
                          { "version", position.version() },
                          { "retained", state.replica.retainedRows().size() } });
}

void StoreSync::noteDiscarded(State &state, const Steering::TableUpdate &update,
                              const std::optional<Source> &source, Common::Instant now)
{
    this->metrics.addToCounter(
            "currantfall_store_updates_discarded_total",
            { { "table", state.table.name }, { "source", source ? "peer" : "store" } });
    // Peers' confirmations that were overtaken on their way are usual.
    if (source && update.rows.empty()) {
        return;
    }
    ++state.discarded;
    if (now - state.discardLoggedAt < discardLogInterval) {
        return;
    }
    const Steering::StorePosition own = state.replica.position();
    this->log.important("store_update_discarded",
                        { { "table", state.table.name },
                          { "source", source ? source->peer.value() : "" },
                          { "complete", update.complete },
                          { "rows", update.rows.size() },
                          { "era", update.to.era() },
                          { "version", update.to.version() },
                          { "own_era", own.era() },
                          { "own_version", own.version() },
                          { "count", state.discarded } });
    state.discardLoggedAt = now;
    state.discarded = 0;
}

bool StoreSync::apply(State &state, const Steering::TableUpdate &update,
                      const std::optional<Source> &source, Common::Instant now)
{
    const Common::Instant confirmedBefore = state.replica.confirmedAt();
    const Steering::StorePosition before = state.replica.position();
    const bool loadedBefore = state.replica.loaded();
    state.compressedRows.prepare(state.replica, update);
    const auto outcome = state.replica.apply(update);
    if (outcome.status == Steering::TableReplica::Status::Gap && source) {
        this->requestChanges(state, source->peer, now);
    }
    if (!outcome.localChanges.empty()
        && outcome.status != Steering::TableReplica::Status::Applied) {
        this->hooks.onChanges(state.table.name, outcome.localChanges);
    }
    if (outcome.status == Steering::TableReplica::Status::Stale) {
        this->noteDiscarded(state, update, source, now);
        return false;
    }
    if (outcome.status != Steering::TableReplica::Status::Applied) {
        return true;
    }
    const bool newEra = loadedBefore && before.era() != state.replica.position().era();
    if (newEra) {
        this->noteEra(state, before, source);
    }
    const auto changesForPeers
            = outcome.withRowsToRelay(this->hooks.onChanges(state.table.name, outcome.changes));
    if (!outcome.localChanges.empty()) {
        this->hooks.onChanges(state.table.name, outcome.localChanges);
    }
    const bool relayConfirmation
            = state.replica.confirmedAt() - state.relayedAt >= minConfirmationAdvance
              && state.replica.confirmedAt() > confirmedBefore;
    if (changesForPeers.empty() && !relayConfirmation && !newEra) {
        return true;
    }
    state.relayedAt = state.replica.confirmedAt();
    Steering::TableUpdate relayedUpdate;
    relayedUpdate.from = before;
    relayedUpdate.to = state.replica.position();
    relayedUpdate.confirmedAt = state.replica.confirmedAt();
    relayedUpdate.rows = changesForPeers;
    if (!loadedBefore || update.complete) {
        // All rows do not tell what was deleted since a peer's position. Only the version is sent;
        // peers that lack changes request them.
        relayedUpdate.from = relayedUpdate.to;
        relayedUpdate.rows.clear();
    }
    if (newEra) {
        relayedUpdate.rows = state.replica.retainedRows();
    }
    // This VM may be the only one that knows rows that the source did not send.
    const bool ownRows = !source || hasRowsBeyond(relayedUpdate.rows, update.rows);
    const Membership::SpreadPlan &plan = this->hooks.peers.plan();
    this->spreadUpdate(state,
                       ownRows ? plan.targets(Membership::SpreadDuty::Fleet)
                               : plan.targets(source->peer, source->duty),
                       relayedUpdate, now);
    return true;
}

Steering::TableUpdate StoreSync::versionOf(const State &state)
{
    Steering::TableUpdate version;
    version.from = state.replica.position();
    version.to = version.from;
    version.confirmedAt = state.replica.confirmedAt();
    version.rows = state.replica.retainedRows();
    return version;
}

void StoreSync::sendVersions(Common::Instant now)
{
    const Membership::SpreadPlan &plan = this->hooks.peers.plan();
    std::vector<Common::VmName> peers = plan.repairPeers();
    if (const auto &mates = plan.zonePeers(); !mates.empty()) {
        peers.push_back(mates[this->random() % mates.size()]);
    }
    for (auto &[name, state] : this->states) {
        if (state.replica.loaded()) {
            this->sendUpdate(state, peers, versionOf(state), ValueForm::Reference, now);
        }
    }
}

void StoreSync::onLinkUp(const Common::VmName &peer, Common::Instant now)
{
    for (auto &[name, state] : this->states) {
        if (state.replica.loaded()) {
            this->sendUpdate(state, { peer }, versionOf(state), ValueForm::Reference, now);
        }
    }
}

void StoreSync::onUpdate(const Common::VmName &peer, const Wire::StoreUpdateT &message,
                         Common::Instant now)
{
    const auto found = this->states.find(message.table);
    if (found == this->states.end()) {
        return;
    }
    State &state = found->second;
    if (const auto update = this->fromWire(state, message, now)) {
        this->apply(state, *update, Source { peer, Membership::spreadDutyOf(message.duty) }, now);
    } else if (Steering::StorePosition(message.era, message.to) >= state.replica.position()) {
        // At the same position the peer keeps a row that the store does not list.
        this->requestChanges(state, peer, now);
    }
}

void StoreSync::onRequest(const Common::VmName &peer, const Wire::StoreRequestT &message,
                          Common::Instant now)
{
    const auto state = this->states.find(message.table);
    if (state == this->states.end() || !state->second.replica.loaded()) {
        return;
    }
    const Steering::StorePosition known(message.era, message.version);
    const auto update = state->second.replica.changesSince(
            message.loaded ? known : Steering::StorePosition());
    this->sendUpdate(state->second, { peer }, update, ValueForm::Whole, now);
}

} // namespace Currantfall::Entry
