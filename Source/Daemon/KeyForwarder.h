#pragma once

#include <cstdint>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Execution/Deputy.h"

#include "ClusterFlow.h"
#include "Request.h"
#include "SteeringContext.h"

namespace Currantfall::Daemon {

/// Takes keyed requests to their issuer on another VM and, if it can't be reached, to the deputy
/// that the key names. Says `not-run` only if one of the two does.
class KeyForwarder
{
public:
    KeyForwarder(SteeringContext &context, ClusterFlow &cluster, Execution::Deputy &ownDeputy);

    void start(SharedRequest request, const Execution::IdempotencyKey &key, AnswerHandler done);

    /// False if the attempt is not one of this forwarder.
    bool onForwardReply(const Common::VmName &from, const std::string &attempt,
                        const Common::Answer &answer);
    void onKeyReply(const Common::VmName &from, const std::string &attempt,
                    const Common::Answer &answer);
    void onLinkDown(const Common::VmName &peer, Peering::LinkClass linkClass);

    /// Sends what could not be sent yet, and ends what is overdue.
    void retry();

private:
    enum class Phase {
        ToIssuer,
        ToDeputy,
    };

    /// A key on its way to its issuer or deputy.
    struct Remote
    {
        SharedRequest request;
        Execution::IdempotencyKey key;
        AnswerHandler done;
        Phase phase = Phase::ToIssuer;
        Common::VmName peer;
        bool sent = false;
        Common::Instant phaseEnds;
    };

    void trySend(const std::string &attempt);
    bool send(const std::string &attempt, const Remote &remote);
    void enterDeputyPhase(const std::string &attempt);
    void finish(const std::string &attempt, Common::Answer answer);
    bool issuerMayAnswer(const Execution::VmRun &issuer) const;

    SteeringContext &context;
    ClusterFlow &cluster;
    Execution::Deputy &ownDeputy;
    absl::flat_hash_map<std::string, Remote> remotes; // By attempt.
    std::uint64_t lastAttempt = 0;
};

} // namespace Currantfall::Daemon
