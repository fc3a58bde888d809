#include "KeyedFlow.h"

#include <algorithm>
#include <map>
#include <utility>

#include "currantfall/Common/Invariant.h"
#include "currantfall/Common/RendezvousHash.h"

#include "WireConversion.h"

namespace Currantfall::Daemon {

namespace {

using Common::Reason;
using Execution::IdempotencyKey;
using Membership::MemberState;

constexpr absl::Duration tickInterval = absl::Milliseconds(50);
constexpr absl::Duration handoverTimeout = absl::Seconds(2);
constexpr std::size_t recordsPerHandover = 500;

} // namespace

KeyedFlow::KeyedFlow(SteeringContext &context, ClusterFlow &cluster, Dispatcher &dispatcher)
    : context(context), cluster(cluster), dispatcher(dispatcher), issuer(context.self, {}),
      deputy(context.self, {}), forwarder(context, cluster, this->deputy)
{
    this->context.timers.subscribeEvery(this->context.now, tickInterval,
                                        [this](Common::Instant) { this->tick(); });
}

void KeyedFlow::handle(SharedRequest request, AnswerHandler done)
{
    const auto key = IdempotencyKey::parse(request->key);
    if (!key) {
        // No VM executes a key that it can't parse, so that this is a proven not-run.
        done(Common::notRun(Reason::BadKey, key.error().detail()));
        return;
    }
    if (key->prefix().issuer == this->context.self) {
        this->begin(std::move(request), *key, std::move(done));
        return;
    }
    this->forwarder.start(std::move(request), *key, std::move(done));
}

void KeyedFlow::onForwardRequest(const Common::VmName &from, SharedRequest request,
                                 const std::string &attempt)
{
    const Peering::LinkClass linkClass = linkClassOf(request->rank);
    const auto reply = [this, from, attempt, linkClass](const Common::Answer &answer) {
        this->context.sendOn(from, linkClass, toWire(attempt, answer));
    };
    const auto key = IdempotencyKey::parse(request->key);
    if (!key) {
        reply(Common::notRun(Reason::BadKey, key.error().detail()));
        return;
    }
    this->begin(std::move(request), *key, reply);
}

bool KeyedFlow::onForwardReply(const Common::VmName &from, const std::string &attempt,
                               const Common::Answer &answer)
{
    return this->forwarder.onForwardReply(from, attempt, answer);
}

void KeyedFlow::onIntentNote(const Execution::VmRun &from, const std::string &text)
{
    const auto key = IdempotencyKey::parse(text);
    if (!key) {
        return;
    }
    const Execution::IntentReply decision = this->deputy.noteIntent(this->context.now, from, *key);
    Peering::Wire::IntentReplyT reply;
    reply.key = text;
    reply.accepted = decision.accepted;
    reply.sealed = decision.sealed;
    reply.deputy_incarnation = decision.deputyIncarnation;
    this->context.sendControl(from.vm, std::move(reply));
}

void KeyedFlow::onIntentReply(const std::string &text, const Execution::IntentReply &reply)
{
    const auto key = IdempotencyKey::parse(text);
    if (!key) {
        return;
    }
    const Execution::IntentDecision decision
            = this->issuer.onIntentReply(this->context.now, *key, reply);
    if (std::holds_alternative<Execution::Run>(decision)) {
        const auto pending = this->pendingRuns.find(key->toString());
        Common::requireInvariant(pending != this->pendingRuns.end(), "issuer",
                                 "a key that starts has its request", [&] {
                                     return nlohmann::json { { "key", text } };
                                 });
        const SharedRequest request = std::move(pending->second);
        this->pendingRuns.erase(pending);
        this->run(request, *key);
    } else if (const auto *completion = std::get_if<Execution::Completion>(&decision)) {
        this->complete(*completion);
    }
}

void KeyedFlow::onResultNote(const Execution::VmRun &from, const std::string &text,
                             const Common::Answer &answer)
{
    if (const auto key = IdempotencyKey::parse(text)) {
        this->deputy.noteResult(this->context.now, from, *key, answer);
    }
}

void KeyedFlow::onKeyQuery(const Common::VmName &from, const std::string &text,
                           const std::string &attempt)
{
    const auto key = IdempotencyKey::parse(text);
    if (!key) {
        return;
    }
    Peering::Wire::KeyReplyT reply;
    reply.key = text;
    reply.attempt = attempt;
    reply.answer = std::make_unique<Peering::Wire::ForwardReplyT>(
            toWire(attempt, this->deputy.query(this->context.now, *key)));
    this->context.sendControl(from, std::move(reply));
}

void KeyedFlow::onKeyReply(const Common::VmName &from, const std::string &attempt,
                           const Common::Answer &answer)
{
    this->forwarder.onKeyReply(from, attempt, answer);
}

void KeyedFlow::onHandover(const Execution::VmRun &from,
                           const std::vector<Execution::KeyRecord> &records, bool last)
{
    this->deputy.acceptHandover(this->context.now, from, records);
    if (last) {
        Peering::Wire::HandoverReplyT reply;
        reply.issuer_incarnation = from.incarnation;
        this->context.sendControl(from.vm, reply);
    }
}

void KeyedFlow::onHandoverReply(const Common::VmName &from)
{
    this->handoversOpen.erase(from);
}

void KeyedFlow::onLinkUp(const Common::VmName &peer)
{
    this->linked.insert(peer);
    this->chooseDeputy();
}

void KeyedFlow::onLinkDown(const Common::VmName &peer, Peering::LinkClass linkClass)
{
    if (linkClass == Peering::LinkClass::Control) {
        this->linked.erase(peer);
        this->chooseDeputy();
        for (const Execution::Completion &completion :
             this->issuer.onDeputyUnreachable(this->context.now, peer)) {
            this->complete(completion);
        }
    }
    this->forwarder.onLinkDown(peer, linkClass);
}

void KeyedFlow::onMembersChanged()
{
    this->chooseDeputy();
    for (const auto &member : this->context.members->members()) {
        std::string &noted = this->announced[member->vm];
        if (noted == member->keyPrefix) {
            continue;
        }
        noted = member->keyPrefix;
        if (const auto prefix = Execution::KeyPrefix::parse(member->keyPrefix)) {
            this->deputy.noteIssuedPrefix(this->context.now, *prefix);
        }
    }
}

std::string KeyedFlow::currentPrefix()
{
    return this->issuer.currentPrefix(this->context.now).toString();
}

void KeyedFlow::close()
{
    this->issuer.close();
    this->closed = true;
}

bool KeyedFlow::handoverDone() const
{
    return this->handoverSent
           && (this->handoversOpen.empty() || this->context.now >= this->handoverEnds);
}

void KeyedFlow::tick()
{
    this->onMembersChanged();
    for (const Execution::Completion &completion : this->issuer.advance(this->context.now)) {
        this->complete(completion);
    }
    this->deputy.advance(this->context.now);
    if (this->currentDeputy) {
        this->cluster.requestPeer(this->currentDeputy->vm);
    }
    this->forwarder.retry();
    if (this->closed && !this->handoverSent && this->issuer.runningCount() == 0
        && this->pendingRuns.empty()) {
        this->sendHandover();
    }
}

void KeyedFlow::begin(SharedRequest request, const IdempotencyKey &key, AnswerHandler done)
{
    const Execution::WaiterId waiter = ++this->lastWaiter;
    this->waiters.emplace(waiter, std::move(done));
    const auto decision = this->issuer.begin(
            this->context.now, key,
            Execution::fingerprintOf(request->method, request->path, request->body), waiter);
    if (const auto *intent = std::get_if<Execution::RecordIntent>(&decision)) {
        this->pendingRuns.emplace(key.toString(), request);
        this->recordIntent(key, intent->deputy);
    } else if (std::holds_alternative<Execution::Run>(decision)) {
        this->run(request, key);
    } else if (const auto *replay = std::get_if<Execution::Replay>(&decision)) {
        this->complete({ { waiter }, replay->answer, std::nullopt });
    } else if (const auto *refusal = std::get_if<Execution::Refuse>(&decision)) {
        this->complete({ { waiter }, refusal->answer, std::nullopt });
    }
}

void KeyedFlow::recordIntent(const IdempotencyKey &key, const Execution::VmRun &deputyRun)
{
    Peering::Wire::IntentNoteT note;
    note.key = key.toString();
    note.issuer_incarnation = this->context.self.incarnation;
    if (this->context.sendControl(deputyRun.vm, std::move(note))) {
        return;
    }
    if (const auto completion = this->issuer.onIntentTimeout(this->context.now, key)) {
        this->complete(*completion);
    }
}

void KeyedFlow::run(const SharedRequest &request, const IdempotencyKey &key)
{
    if (request->deadline <= this->context.now) {
        const Common::Answer late = Common::notRun(Reason::DeadlineTooShort,
                                                   "the deadline passed before the key could run");
        if (const auto completion = this->issuer.onResult(this->context.now, key, late)) {
            this->complete(*completion);
        }
        return;
    }
    this->dispatcher.dispatch(request, [this, key](const Common::Answer &answer) {
        if (const auto completion = this->issuer.onResult(this->context.now, key, answer)) {
            this->complete(*completion);
        }
    });
}

void KeyedFlow::complete(const Execution::Completion &completion)
{
    if (completion.note) {
        // The key is sealed or finished. Its request is kept until then, even after its deadline:
        // once the deputy accepts, the key counts as running until it has a result.
        this->pendingRuns.erase(completion.note->key.toString());
        this->sendResultNote(*completion.note);
    }
    for (const Execution::WaiterId waiter : completion.waiters) {
        const auto found = this->waiters.find(waiter);
        if (found == this->waiters.end()) {
            continue;
        }
        const AnswerHandler done = std::move(found->second);
        this->waiters.erase(found);
        done(completion.answer);
    }
}

void KeyedFlow::sendResultNote(const Execution::DeputyNote &note)
{
    Peering::Wire::ResultNoteT message;
    message.key = note.key.toString();
    message.answer = std::make_unique<Peering::Wire::ForwardReplyT>(toWire({}, note.answer));
    // Without the note the deputy answers outcome-unknown after this VM's death, which is true.
    this->context.sendControl(note.deputy.vm, std::move(message));
}

void KeyedFlow::chooseDeputy()
{
    const auto best = this->bestDeputy();
    if (this->currentDeputy && best) {
        // A deputy stays while it can be reached, unless a nearer one can: with a deputy in another
        // region, the loss of that region would be noticed by callers of this one.
        const Membership::Member *member = this->context.members->find(this->currentDeputy->vm);
        if (member != nullptr && this->canBeDeputy(*member)
            && member->incarnation == this->currentDeputy->incarnation
            && this->distanceTo(*member)
                       <= this->distanceTo(*this->context.members->find(best->vm))) {
            return;
        }
    }
    if (best != this->currentDeputy) {
        this->currentDeputy = best;
        this->issuer.setDeputy(best);
    }
}

bool KeyedFlow::canBeDeputy(const Membership::Member &member) const
{
    return member.vm != this->context.self.vm && member.state == MemberState::Live
           && member.incarnation != 0 && this->linked.contains(member.vm);
}

int KeyedFlow::distanceTo(const Membership::Member &member) const
{
    // A VM of the own zone is nearest; one of another zone is better than none.
    if (member.zone == this->context.zone) {
        return 0;
    }
    return member.region == this->context.region ? 1 : 2;
}

std::optional<Execution::VmRun> KeyedFlow::bestDeputy() const
{
    std::map<int, std::vector<std::string>> byDistance;
    for (const auto &member : this->context.members->members()) {
        if (this->canBeDeputy(*member)) {
            byDistance[this->distanceTo(*member)].push_back(member->vm.value());
        }
    }
    if (byDistance.empty()) {
        return std::nullopt;
    }
    const auto ranked = Common::topCandidates(
            this->context.self.vm.value(), byDistance.begin()->second, 1,
            [](const std::string &name) -> const std::string & { return name; });
    const Common::VmName chosen(ranked.front());
    return Execution::VmRun { chosen, this->context.members->find(chosen)->incarnation };
}

void KeyedFlow::sendHandover()
{
    std::map<Common::VmName, std::vector<Execution::KeyRecord>> byDeputy;
    Execution::Handover handover = this->issuer.handover();
    for (const Execution::Completion &completion : handover.completions) {
        this->complete(completion);
    }
    for (Execution::KeyRecord &record : handover.records) {
        if (const auto &deputyRun = record.key.prefix().deputy) {
            byDeputy[deputyRun->vm].push_back(std::move(record));
        }
    }
    for (const auto &[vm, records] : byDeputy) {
        for (std::size_t first = 0; first < records.size(); first += recordsPerHandover) {
            const std::size_t end = std::min(records.size(), first + recordsPerHandover);
            Peering::Wire::RecordHandoverT message;
            message.issuer = this->context.self.vm.value();
            message.issuer_incarnation = this->context.self.incarnation;
            message.last = end == records.size();
            for (std::size_t index = first; index < end; ++index) {
                message.records.push_back(
                        std::make_unique<Peering::Wire::KeyRecordT>(toWire(records[index])));
            }
            if (this->context.sendControl(vm, std::move(message))) {
                this->handoversOpen.insert(vm);
            }
        }
    }
    this->handoverSent = true;
    this->handoverEnds = this->context.now + handoverTimeout;
}

} // namespace Currantfall::Daemon
