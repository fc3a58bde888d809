#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "currantfall/Common/EventLog.h"
#include "currantfall/Steering/ReadSchedule.h"
#include "currantfall/Steering/TableReplica.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "Asio.h"
#include "CompressedRows.h"
#include "PeerChannel.h"
#include "StoreWorker.h"

namespace Currantfall::Entry {

/// Keeps replicas of tables of the platform's store. Reads a table when its read schedule says so,
/// sends changes to the peers, and applies the changes that they send. Runs on the entry thread.
class StoreSync
{
public:
    struct Hooks
    {
        /// Applies changes; returns those that peers need to know.
        std::function<std::vector<Steering::RowChange>(const std::string &table,
                                                       const std::vector<Steering::RowChange> &)>
                onChanges;
        PeerChannel peers;
        /// Position of this VM in the order of readers. The VM at position 0 reads the store.
        std::function<std::size_t()> readerRank;
        /// Time from the start of this VM for which it expects to get a table from peers instead of
        /// the store.
        std::function<absl::Duration(const std::string &table)> firstReadDelay;
    };
    struct Table
    {
        std::string name;
        Steering::ReadSettings terms;
        /// Time that the store waits for the first change before it answers a read of changes.
        absl::Duration longPollTimeout;
        /// What is kept when the store returns from an older copy.
        Steering::RetentionSettings retention;
    };

    StoreSync(boost::asio::io_context &context, const Platform::HostPort &store,
              const std::vector<Table> &tables, Hooks hooks, Common::EventLog &log,
              Telemetry::MetricsRegistry &metrics);
    ~StoreSync();

    /// Starts reads that are due, and compares versions with peers.
    void advance(Common::Instant now);
    void onLinkUp(const Common::VmName &peer, Common::Instant now);
    void onUpdate(const Common::VmName &peer, const Peering::Wire::StoreUpdateT &message,
                  Common::Instant now);
    void onRequest(const Common::VmName &peer, const Peering::Wire::StoreRequestT &message,
                   Common::Instant now);

    const Steering::TableReplica &replica(const std::string &table) const;
    void stop() { this->stopped = true; }

private:
    struct State
    {
        Table table;
        Steering::TableReplica replica;
        Steering::ReadSchedule schedule;
        std::unique_ptr<StoreWorker> worker;
        /// Large values as they are sent to peers.
        CompressedRows compressedRows = {};
        bool needsFullRead = true;
        bool reachable = true;
        /// Discarded updates since the last log line about them.
        std::uint64_t discarded = 0;
        Common::Instant discardLoggedAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
        Common::Instant requestedAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
        Common::Instant relayedAt = Common::Instant::fromOrigin(-absl::InfiniteDuration());
    };

    /// How the large values of an update are sent.
    enum class ValueForm {
        Plain,      ///< For VMs that read no compressed values.
        Whole,      ///< Compressed by themselves.
        Difference, ///< As the difference to the value before, if it is known.
        Reference,  ///< As the difference to themselves, for peers that mostly have them.
    };

    void startRead(State &state);
    void onReadFinished(State &state, const StoreResult &result, Common::Instant now);
    /// The peer that sent an update.
    struct Source
    {
        Common::VmName peer;
        /// To whom the update is passed on.
        Membership::SpreadDuty duty = Membership::SpreadDuty::None;
    };
    /// Applies an update from `source`, or from the store if it is not set, and relays it to the
    /// other peers. Returns false if it was discarded because the replica is newer.
    bool apply(State &state, const Steering::TableUpdate &update,
               const std::optional<Source> &source, Common::Instant now);
    /// Returns nothing if this VM lacks a value that a compressed one of the message refers to, or
    /// if a value is damaged.
    std::optional<Steering::TableUpdate>
    fromWire(State &state, const Peering::Wire::StoreUpdateT &message, Common::Instant now);
    static Peering::Wire::StoreUpdateT toWire(State &state, const Steering::TableUpdate &update,
                                              ValueForm form, Common::Instant now);
    /// Sends an update to peers, with large values in `form` for those that read it.
    void sendUpdate(State &state, const std::vector<Common::VmName> &peers,
                    const Steering::TableUpdate &update, ValueForm form, Common::Instant now);
    /// Sends changes to peers, which pass them on.
    void spreadUpdate(State &state, const std::vector<Membership::SpreadTarget> &targets,
                      const Steering::TableUpdate &update, Common::Instant now);
    /// The value of a large row in a form.
    static const Peering::CompressedValue *compressed(State &state, const Steering::RowChange &row,
                                                      ValueForm form);
    /// Requests the changes that this VM lacks, unless it has done so recently.
    void requestChanges(State &state, const Common::VmName &peer, Common::Instant now);
    /// Sends the versions of all tables to some peers, which request the changes that they lack.
    /// They may have missed an update whose sender or link has failed.
    void sendVersions(Common::Instant now);
    /// The version of a table and what this VM knows that the store does not list.
    static Steering::TableUpdate versionOf(const State &state);
    /// Whether this VM has just started and expects to get the table from a VM of its zone.
    bool expectsTable(const State &state, Common::Instant now) const;
    /// Whether the whole table may be requested from the peer. Tables are large, so that VMs of
    /// other zones are asked only if those of the own zone had the time to send it: the store may
    /// be away.
    bool mayRequestTable(const State &state, const Common::VmName &peer, Common::Instant now) const;
    /// Logs and counts that the replica has followed the store into another era.
    void noteEra(const State &state, Steering::StorePosition before,
                 const std::optional<Source> &source);
    /// Logs and counts an update that was discarded because the replica is newer.
    void noteDiscarded(State &state, const Steering::TableUpdate &update,
                       const std::optional<Source> &source, Common::Instant now);
    /// Logs when the store becomes unreachable or reachable again.
    void updateReachability(State &state, const StoreResult &result);

    boost::asio::io_context &context;
    Hooks hooks;
    Common::EventLog &log;
    Telemetry::MetricsRegistry &metrics;
    std::map<std::string, State> states;
    Common::Instant startedAt;
    Common::Instant versionsSentAt;
    std::minstd_rand random;
    /// Set to false by the destructor; later results are ignored.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    bool stopped = false;
};

} // namespace Currantfall::Entry
