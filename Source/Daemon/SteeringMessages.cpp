#include <utility>

#include "currantfall/Common/Json.h"

#include "Steering.h"
#include "WireConversion.h"

namespace Currantfall::Daemon {

namespace {

namespace Wire = Peering::Wire;

std::string textOf(const std::vector<std::uint8_t> &bytes)
{
    return std::string(bytes.begin(), bytes.end());
}

} // namespace

void Steering::handle(PeerMessage &event)
{
    Wire::BodyUnion &body = event.message->body;
    switch (body.type) {
    case Wire::Body::ForwardRequest:
        this->handleForward(event.from, *body.AsForwardRequest());
        return;
    case Wire::Body::ForwardReply: {
        Wire::ForwardReplyT &reply = *body.AsForwardReply();
        const std::string attempt = reply.attempt;
        Common::Answer answer = fromWire(reply);
        if (!this->keyed->onForwardReply(event.from.vm, attempt, answer)) {
            this->dispatcher->onForwardReply(event.from.vm, attempt, std::move(answer));
        }
        return;
    }
    case Wire::Body::CancelAttempt:
        this->dispatcher->onCancelAttempt(event.from.vm, body.AsCancelAttempt()->attempt);
        return;
    case Wire::Body::Heartbeat:
    case Wire::Body::MemberDigest:
    case Wire::Body::SlotRelease:
        this->handleCluster(event.from, body);
        return;
    case Wire::Body::CreditRequest:
    case Wire::Body::CreditGrant:
        this->handleCredits(event.from, body);
        return;
    case Wire::Body::RevisionNotice:
    case Wire::Body::DocumentRequest:
    case Wire::Body::DocumentReply:
        this->handleConfiguration(event.from, body);
        return;
    default:
        this->handleKeys(event.from, body);
    }
}

void Steering::handleForward(const Execution::VmRun &from, Wire::ForwardRequestT &message)
{
    const std::string attempt = message.attempt;
    const Configuration::Service *service = this->context.environment == nullptr
                                                    ? nullptr
                                                    : this->context.environment->findService(
                                                            Common::ServiceName(message.service));
    if (service == nullptr) {
        // As the issuer of a key this VM may have run it under an earlier document.
        const std::string text = "this VM's document does not have the service";
        const auto refusal = message.to_issuer
                                     ? Common::outcomeUnknown(Common::Reason::NoCapacity, text)
                                     : Common::notRun(Common::Reason::NoCapacity, text);
        this->context.sendControl(from.vm, toWire(attempt, refusal));
        return;
    }
    const std::string path = message.path.substr(0, message.path.find('?'));
    const Configuration::Route *route = service->findRoute(message.method, path);
    const bool idempotent = route != nullptr && route->idempotent;
    const Credits::CreditId credit = message.credit;
    const bool toIssuer = message.to_issuer;
    SharedRequest request = fromWire(message, service->rank, idempotent, this->context.now);
    if (toIssuer) {
        this->keyed->onForwardRequest(from.vm, std::move(request), attempt);
        return;
    }
    this->dispatcher->onForwardRequest(from.vm, std::move(request), attempt, credit);
}

void Steering::handleCluster(const Execution::VmRun &from, Wire::BodyUnion &body)
{
    if (const auto *heartbeat = body.AsHeartbeat()) {
        const Membership::Heartbeat value = fromWire(*heartbeat);
        this->cluster->onHeartbeat(from.vm, from.incarnation, value);
        this->configuration->onPeerRevision(from.vm, value.reported.revision);
    } else if (const auto *digest = body.AsMemberDigest()) {
        this->cluster->onDigest(from.vm, fromWire(*digest));
    } else if (const auto *release = body.AsSlotRelease()) {
        this->cluster->onSlotRelease(Common::BackendServerName(release->backend_server), from.vm,
                                     from.incarnation);
    }
}

void Steering::handleKeys(const Execution::VmRun &from, Wire::BodyUnion &body)
{
    if (const auto *note = body.AsIntentNote()) {
        this->keyed->onIntentNote(from, note->key);
    } else if (const auto *reply = body.AsIntentReply()) {
        this->keyed->onIntentReply(reply->key,
                                   { reply->accepted, reply->sealed, reply->deputy_incarnation });
    } else if (auto *result = body.AsResultNote()) {
        if (result->answer != nullptr) {
            this->keyed->onResultNote(from, result->key, fromWire(*result->answer));
        }
    } else if (const auto *query = body.AsKeyQuery()) {
        this->keyed->onKeyQuery(from.vm, query->key, query->attempt);
    } else if (auto *answer = body.AsKeyReply()) {
        if (answer->answer != nullptr) {
            this->keyed->onKeyReply(from.vm, answer->attempt, fromWire(*answer->answer));
        }
    } else if (auto *handover = body.AsRecordHandover()) {
        std::vector<Execution::KeyRecord> records;
        for (const auto &record : handover->records) {
            auto converted = fromWire(*record);
            if (converted) {
                records.push_back(std::move(*converted));
            }
        }
        this->keyed->onHandover(from, records, handover->last);
    } else if (body.AsHandoverReply() != nullptr) {
        this->keyed->onHandoverReply(from.vm);
    }
}

void Steering::handleCredits(const Execution::VmRun &from, Wire::BodyUnion &body)
{
    if (const auto *request = body.AsCreditRequest()) {
        this->credits->onCreditRequest(from.vm, Common::ServiceName(request->service),
                                       { request->sequence, request->wanted,
                                         static_cast<double>(request->bytes_per_second) });
    } else if (const auto *grant = body.AsCreditGrant()) {
        this->credits->onCreditGrant(from.vm, Common::ServiceName(grant->service),
                                     { grant->sequence, grant->credit, grant->concurrent,
                                       static_cast<double>(grant->bytes_per_second),
                                       absl::Milliseconds(grant->valid_ms) });
    }
}

void Steering::handleConfiguration(const Execution::VmRun &from, Wire::BodyUnion &body)
{
    if (const auto *notice = body.AsRevisionNotice()) {
        const auto json = Common::parseJson(notice->row);
        auto row = Platform::EnvironmentRow::fromJson(json);
        if (!row) {
            this->context.log.warn(row.error().toString(), from.vm.value());
            return;
        }
        this->configuration->onRow(std::move(*row), from.vm);
    } else if (const auto *request = body.AsDocumentRequest()) {
        this->configuration->onDocumentRequest(from.vm, request->hash);
    } else if (const auto *reply = body.AsDocumentReply()) {
        this->configuration->onDocumentReply(from.vm, reply->hash, reply->found,
                                             textOf(reply->content));
    }
}

std::string Steering::describeStatus() const
{
    nlohmann::ordered_json drains = nlohmann::ordered_json::array();
    for (const Drain::DrainTarget &target : this->context.drains) {
        Drain::HeldWork held = this->scheduler->held(target);
        const bool coversThisVm = this->context.environment != nullptr
                                  && Drain::isVmDrained(*this->context.environment, { target },
                                                        this->settings.vm, this->settings.zone);
        if (coversThisVm) {
            held.inFlight += this->callersInProgress;
        }
        drains.push_back({ { "kind", Drain::toString(target.kind) },
                           { "name", target.name },
                           { "held", held.inFlight + held.queued } });
    }
    nlohmann::ordered_json services = nlohmann::ordered_json::object();
    for (const Membership::ServiceLoad &load : this->scheduler->loads()) {
        services[load.service.value()]
                = { { "slots", load.totalSlots },
                    { "in_use", load.totalSlots - load.freeSlots },
                    { "mean_in_use", this->scheduler->meanInUse(load.service) },
                    { "queued", load.queued } };
    }
    nlohmann::ordered_json members = nlohmann::ordered_json::array();
    for (const auto &member : this->context.members->members()) {
        members.push_back({ { "vm", member->vm.value() },
                            { "zone", member->zone.value() },
                            { "state", Membership::toString(member->state) },
                            { "incarnation", member->incarnation },
                            { "revision", member->revision } });
    }
    const nlohmann::ordered_json status = {
        { "vm", this->settings.vm.value() },
        { "zone", this->settings.zone.value() },
        { "region", this->settings.region.value() },
        { "incarnation", this->context.self.incarnation },
        { "revision", this->context.revision },
        { "state", this->context.leaving ? "leaving" : "live" },
        { "requests_in_progress", this->callersInProgress },
        { "owned_slots", this->scheduler->ownedSlots() },
        { "slot_overruns", this->scheduler->slotOverruns() },
        { "key_records", this->keyed->recordCount() },
        { "drains", drains },
        { "services", services },
        { "credits", this->credits->describe() },
        { "members", members },
    };
    return status.dump() + "\n";
}

} // namespace Currantfall::Daemon
