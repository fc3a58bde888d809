#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "currantfall/Execution/Deputy.h"
#include "currantfall/Execution/Issuer.h"

#include "ClusterFlow.h"
#include "Dispatcher.h"
#include "KeyForwarder.h"
#include "SteeringContext.h"

namespace Currantfall::Daemon {

/// Executes non-idempotent requests with keys at most once: as their issuer, as the deputy of other
/// issuers, and as the entry VM that takes a key to its issuer or deputy.
class KeyedFlow
{
public:
    KeyedFlow(SteeringContext &context, ClusterFlow &cluster, Dispatcher &dispatcher);

    /// A keyed request of a caller.
    void handle(SharedRequest request, AnswerHandler done);
    /// A keyed request that another entry VM forwards to this issuer.
    void onForwardRequest(const Common::VmName &from, SharedRequest request,
                          const std::string &attempt);
    /// False if the attempt is not one of this flow.
    bool onForwardReply(const Common::VmName &from, const std::string &attempt,
                        const Common::Answer &answer);

    void onIntentNote(const Execution::VmRun &from, const std::string &key);
    void onIntentReply(const std::string &key, const Execution::IntentReply &reply);
    void onResultNote(const Execution::VmRun &from, const std::string &key,
                      const Common::Answer &answer);
    void onKeyQuery(const Common::VmName &from, const std::string &key, const std::string &attempt);
    void onKeyReply(const Common::VmName &from, const std::string &attempt,
                    const Common::Answer &answer);
    void onHandover(const Execution::VmRun &from, const std::vector<Execution::KeyRecord> &records,
                    bool last);
    void onHandoverReply(const Common::VmName &from);

    void onLinkUp(const Common::VmName &peer);
    void onLinkDown(const Common::VmName &peer, Peering::LinkClass linkClass);
    /// Keeps a live deputy and learns the prefixes that other issuers announce.
    void onMembersChanged();

    /// The prefix for lookups and heartbeats.
    std::string currentPrefix();

    /// Planned stop: no further key starts. Once none runs, records go to their deputies.
    void close();
    bool handoverDone() const;
    std::size_t recordCount() const { return this->issuer.recordCount(); }
    std::size_t runningCount() const { return this->issuer.runningCount(); }

private:
    void tick();
    void begin(SharedRequest request, const Execution::IdempotencyKey &key, AnswerHandler done);
    void recordIntent(const Execution::IdempotencyKey &key, const Execution::VmRun &deputy);
    void run(const SharedRequest &request, const Execution::IdempotencyKey &key);
    void complete(const Execution::Completion &completion);
    void sendResultNote(const Execution::DeputyNote &note);

    void chooseDeputy();
    std::optional<Execution::VmRun> bestDeputy() const;
    bool canBeDeputy(const Membership::Member &member) const;
    int distanceTo(const Membership::Member &member) const;
    void sendHandover();

    SteeringContext &context;
    ClusterFlow &cluster;
    Dispatcher &dispatcher;
    Execution::Issuer issuer;
    Execution::Deputy deputy;
    KeyForwarder forwarder;
    std::optional<Execution::VmRun> currentDeputy;
    absl::flat_hash_set<Common::VmName> linked;
    absl::flat_hash_map<Common::VmName, std::string> announced; // Prefixes noted at the deputy.
    absl::flat_hash_map<Execution::WaiterId, AnswerHandler> waiters;
    absl::flat_hash_map<std::string, SharedRequest>
            pendingRuns; // By key, until the intent is noted.
    absl::flat_hash_set<Common::VmName> handoversOpen;
    Execution::WaiterId lastWaiter = 0;
    bool closed = false;
    bool handoverSent = false;
    Common::Instant handoverEnds;
};

} // namespace Currantfall::Daemon
