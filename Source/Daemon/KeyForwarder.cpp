#include "KeyForwarder.h"

#include <utility>
#include <vector>

#include "Dispatcher.h"
#include "WireConversion.h"

namespace Currantfall::Daemon {

namespace {

using Common::Reason;
using Execution::IdempotencyKey;
using Membership::MemberState;

// Time for a link to the issuer, and then to the deputy, to come up.
constexpr absl::Duration linkTimeout = absl::Milliseconds(800);

} // namespace

KeyForwarder::KeyForwarder(SteeringContext &context, ClusterFlow &cluster,
                           Execution::Deputy &ownDeputy)
    : context(context), cluster(cluster), ownDeputy(ownDeputy)
{ }

void KeyForwarder::start(SharedRequest request, const IdempotencyKey &key, AnswerHandler done)
{
    const std::string attempt = this->context.self.vm.value() + "."
                                + std::to_string(this->context.self.incarnation) + ".k"
                                + std::to_string(++this->lastAttempt);
    Remote remote { std::move(request),
                    key,
                    std::move(done),
                    Phase::ToIssuer,
                    key.prefix().issuer.vm,
                    false,
                    this->context.now + linkTimeout };
    this->remotes.emplace(attempt, std::move(remote));
    if (!this->issuerMayAnswer(key.prefix().issuer)) {
        this->enterDeputyPhase(attempt);
        return;
    }
    this->trySend(attempt);
}

bool KeyForwarder::onForwardReply(const Common::VmName &from, const std::string &attempt,
                                  const Common::Answer &answer)
{
    const auto found = this->remotes.find(attempt);
    if (found == this->remotes.end()) {
        return false;
    }
    if (found->second.phase == Phase::ToIssuer && found->second.peer == from) {
        this->finish(attempt, answer);
    }
    return true;
}

void KeyForwarder::onKeyReply(const Common::VmName &from, const std::string &attempt,
                              const Common::Answer &answer)
{
    const auto found = this->remotes.find(attempt);
    if (found != this->remotes.end() && found->second.phase == Phase::ToDeputy
        && found->second.peer == from) {
        this->finish(attempt, answer);
    }
}

void KeyForwarder::onLinkDown(const Common::VmName &peer, Peering::LinkClass linkClass)
{
    std::vector<std::string> interrupted;
    for (const auto &[attempt, remote] : this->remotes) {
        const auto used = remote.phase == Phase::ToIssuer ? linkClassOf(remote.request->rank)
                                                          : Peering::LinkClass::Control;
        if (remote.peer == peer && remote.sent && used == linkClass) {
            interrupted.push_back(attempt);
        }
    }
    for (const std::string &attempt : interrupted) {
        Remote &remote = this->remotes.at(attempt);
        if (remote.phase == Phase::ToIssuer) {
            // Repeating the key at the issuer is safe: it joins the execution or gets its record.
            remote.sent = false;
            remote.phaseEnds = this->context.now + linkTimeout;
        } else {
            this->finish(attempt, Common::outcomeUnknown(Reason::IssuerUnreachable,
                                                         "the link to the deputy was lost"));
        }
    }
}

void KeyForwarder::retry()
{
    std::vector<std::string> open;
    for (const auto &entry : this->remotes) {
        open.push_back(entry.first);
    }
    for (const std::string &attempt : open) {
        this->trySend(attempt);
    }
}

void KeyForwarder::trySend(const std::string &attempt)
{
    const auto found = this->remotes.find(attempt);
    if (found == this->remotes.end()) {
        return;
    }
    Remote &remote = found->second;
    if (this->context.now >= remote.request->deadline) {
        this->finish(attempt,
                     Common::outcomeUnknown(Reason::TimedOut,
                                            "no answer about the key before the deadline"));
        return;
    }
    if (remote.phase == Phase::ToIssuer && !this->issuerMayAnswer(remote.key.prefix().issuer)) {
        this->enterDeputyPhase(attempt);
        return;
    }
    if (remote.sent) {
        return;
    }
    remote.sent = this->send(attempt, remote);
    if (remote.sent) {
        return;
    }
    this->cluster.requestPeer(remote.peer);
    if (this->context.now < remote.phaseEnds) {
        return;
    }
    if (remote.phase == Phase::ToIssuer) {
        this->enterDeputyPhase(attempt);
        return;
    }
    this->finish(attempt, Common::outcomeUnknown(Reason::IssuerUnreachable,
                                                 "neither issuer nor deputy can be reached"));
}

bool KeyForwarder::send(const std::string &attempt, const Remote &remote)
{
    if (remote.phase == Phase::ToIssuer) {
        return this->context.sendOn(remote.peer, linkClassOf(remote.request->rank),
                                    toWire(attempt, *remote.request, true, 0, this->context.now));
    }
    Peering::Wire::KeyQueryT query;
    query.key = remote.key.toString();
    query.attempt = attempt;
    return this->context.sendControl(remote.peer, std::move(query));
}

void KeyForwarder::enterDeputyPhase(const std::string &attempt)
{
    Remote &remote = this->remotes.at(attempt);
    const auto &deputyRun = remote.key.prefix().deputy;
    if (!deputyRun) {
        this->finish(attempt,
                     Common::outcomeUnknown(Reason::IssuerUnreachable,
                                            "the issuer can't be reached and the key names "
                                            "no deputy"));
        return;
    }
    if (deputyRun->vm == this->context.self.vm) {
        const Common::Answer answer = this->ownDeputy.query(this->context.now, remote.key);
        this->finish(attempt, answer);
        return;
    }
    remote.phase = Phase::ToDeputy;
    remote.peer = deputyRun->vm;
    remote.sent = false;
    remote.phaseEnds = this->context.now + linkTimeout;
    this->trySend(attempt);
}

void KeyForwarder::finish(const std::string &attempt, Common::Answer answer)
{
    const auto found = this->remotes.find(attempt);
    if (found == this->remotes.end()) {
        return;
    }
    const AnswerHandler done = std::move(found->second.done);
    this->remotes.erase(found);
    done(std::move(answer));
}

bool KeyForwarder::issuerMayAnswer(const Execution::VmRun &issuerRun) const
{
    const Membership::Member *member = this->context.members->find(issuerRun.vm);
    if (member == nullptr || issuerRun.vm == this->context.self.vm) {
        return false;
    }
    return member->state != MemberState::Suspect
           && (member->incarnation == 0 || member->incarnation == issuerRun.incarnation);
}

} // namespace Currantfall::Daemon
