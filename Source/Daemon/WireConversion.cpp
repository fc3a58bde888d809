#include "WireConversion.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Daemon {

namespace {

namespace Wire = Peering::Wire;

std::vector<std::unique_ptr<Wire::HeaderT>>
headersToWire(const std::vector<Common::Header> &headers)
{
    std::vector<std::unique_ptr<Wire::HeaderT>> result;
    result.reserve(headers.size());
    for (const Common::Header &header : headers) {
        auto converted = std::make_unique<Wire::HeaderT>();
        converted->name = header.name;
        converted->value = header.value;
        result.push_back(std::move(converted));
    }
    return result;
}

std::vector<Common::Header> headersFromWire(std::vector<std::unique_ptr<Wire::HeaderT>> &headers)
{
    std::vector<Common::Header> result;
    result.reserve(headers.size());
    for (const auto &header : headers) {
        if (header != nullptr) {
            result.push_back({ std::move(header->name), std::move(header->value) });
        }
    }
    return result;
}

std::uint32_t toMilliseconds(absl::Duration duration)
{
    return static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, absl::ToInt64Milliseconds(duration)));
}

std::vector<std::unique_ptr<Wire::ServiceLoadT>>
loadsToWire(const std::vector<Membership::ServiceLoad> &loads)
{
    std::vector<std::unique_ptr<Wire::ServiceLoadT>> result;
    result.reserve(loads.size());
    for (const Membership::ServiceLoad &load : loads) {
        auto converted = std::make_unique<Wire::ServiceLoadT>();
        converted->service = load.service.value();
        converted->free_slots = load.freeSlots;
        converted->total_slots = load.totalSlots;
        converted->queued = load.queued;
        result.push_back(std::move(converted));
    }
    return result;
}

std::vector<Membership::ServiceLoad>
loadsFromWire(const std::vector<std::unique_ptr<Wire::ServiceLoadT>> &loads)
{
    std::vector<Membership::ServiceLoad> result;
    result.reserve(loads.size());
    for (const auto &load : loads) {
        if (load != nullptr) {
            result.push_back({ Common::ServiceName(load->service), load->free_slots,
                               load->total_slots, load->queued });
        }
    }
    return result;
}

Wire::MemberState stateToWire(bool leaving)
{
    return leaving ? Wire::MemberState::Leaving : Wire::MemberState::Live;
}

std::unique_ptr<Wire::MemberEntryT> entryToWire(const Membership::DigestEntry &entry)
{
    auto message = std::make_unique<Wire::MemberEntryT>();
    message->vm = entry.identity.vm.value();
    message->zone = entry.identity.zone.value();
    message->region = entry.identity.region.value();
    message->address = entry.identity.address;
    message->port_base = entry.identity.portBase;
    message->incarnation = entry.identity.incarnation;
    message->revision = entry.reported.revision;
    message->state = stateToWire(entry.reported.leaving);
    message->key_prefix = entry.reported.keyPrefix;
    message->age_ms = toMilliseconds(entry.age);
    message->loads = loadsToWire(entry.reported.loads);
    return message;
}

Membership::DigestEntry entryFromWire(const Wire::MemberEntryT &message)
{
    Membership::DigestEntry entry;
    entry.identity.vm = Common::VmName(message.vm);
    entry.identity.zone = Common::ZoneName(message.zone);
    entry.identity.region = Common::RegionName(message.region);
    entry.identity.address = message.address;
    entry.identity.portBase = message.port_base;
    entry.identity.incarnation = message.incarnation;
    entry.reported.revision = message.revision;
    entry.reported.leaving = message.state == Wire::MemberState::Leaving;
    entry.reported.keyPrefix = message.key_prefix;
    entry.reported.loads = loadsFromWire(message.loads);
    entry.age = absl::Milliseconds(message.age_ms);
    return entry;
}

} // namespace

Wire::ForwardReplyT toWire(const std::string &attempt, const Common::Answer &answer)
{
    Wire::ForwardReplyT message;
    message.attempt = attempt;
    message.outcome = static_cast<Wire::Outcome>(answer.outcome);
    message.reason = static_cast<std::uint8_t>(answer.reason);
    message.status = static_cast<std::uint16_t>(answer.status);
    message.headers = headersToWire(answer.headers);
    message.body.assign(answer.body.begin(), answer.body.end());
    message.message = answer.message;
    message.retry_after_ms = toMilliseconds(answer.retryAfter);
    return message;
}

Common::Answer fromWire(Wire::ForwardReplyT &reply)
{
    Common::Answer answer;
    answer.outcome = static_cast<Common::Outcome>(reply.outcome);
    answer.reason = static_cast<Common::Reason>(reply.reason);
    answer.status = reply.status;
    answer.headers = headersFromWire(reply.headers);
    answer.body.assign(reply.body.begin(), reply.body.end());
    answer.message = std::move(reply.message);
    answer.retryAfter = absl::Milliseconds(reply.retry_after_ms);
    return answer;
}

Wire::ForwardRequestT toWire(const std::string &attempt, const Request &request, bool toIssuer,
                             std::uint64_t credit, Common::Instant now)
{
    Wire::ForwardRequestT message;
    message.attempt = attempt;
    message.request = request.id;
    message.service = request.service.value();
    message.method = request.method;
    message.path = request.path;
    message.headers = headersToWire(request.headers);
    message.body.assign(request.body.begin(), request.body.end());
    message.tenant = request.tenant.value();
    message.key = request.key;
    message.deadline_ms = toMilliseconds(request.deadline - now);
    message.to_issuer = toIssuer;
    message.credit = credit;
    message.caller_region = request.callerRegion.value();
    return message;
}

SharedRequest fromWire(Wire::ForwardRequestT &message, Common::RankIndex rank, bool idempotent,
                       Common::Instant now)
{
    auto request = std::make_shared<Request>();
    request->id = std::move(message.request);
    request->service = Common::ServiceName(std::move(message.service));
    request->rank = rank;
    request->tenant = Common::TenantName(std::move(message.tenant));
    request->method = std::move(message.method);
    request->path = std::move(message.path);
    request->headers = headersFromWire(message.headers);
    request->body.assign(message.body.begin(), message.body.end());
    request->key = std::move(message.key);
    request->callerRegion = Common::RegionName(std::move(message.caller_region));
    request->idempotent = idempotent;
    request->deadline = now + absl::Milliseconds(message.deadline_ms);
    return request;
}

Wire::HeartbeatT toWire(const Membership::Heartbeat &heartbeat)
{
    Wire::HeartbeatT message;
    message.vm = heartbeat.vm.value();
    message.incarnation = heartbeat.incarnation;
    message.sequence = heartbeat.sequence;
    message.revision = heartbeat.reported.revision;
    message.state = stateToWire(heartbeat.reported.leaving);
    message.key_prefix = heartbeat.reported.keyPrefix;
    message.loads = loadsToWire(heartbeat.reported.loads);
    message.sent_ms = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(heartbeat.sentAt));
    return message;
}

Membership::Heartbeat fromWire(const Wire::HeartbeatT &message)
{
    Membership::Heartbeat heartbeat;
    heartbeat.vm = Common::VmName(message.vm);
    heartbeat.incarnation = message.incarnation;
    heartbeat.sequence = message.sequence;
    heartbeat.sentAt = absl::Milliseconds(message.sent_ms);
    heartbeat.reported.leaving = message.state == Wire::MemberState::Leaving;
    heartbeat.reported.revision = message.revision;
    heartbeat.reported.keyPrefix = message.key_prefix;
    heartbeat.reported.loads = loadsFromWire(message.loads);
    return heartbeat;
}

Wire::MemberDigestT toWire(const Membership::Digest &digest)
{
    Wire::MemberDigestT message;
    message.sent_ms = static_cast<std::uint64_t>(absl::ToInt64Milliseconds(digest.sentAt));
    message.interval_ms = toMilliseconds(digest.interval);
    message.zone = digest.zone.value();
    message.base = digest.base;
    message.brief = digest.brief;
    message.rest_age_ms = toMilliseconds(digest.restAge);
    message.entries.reserve(digest.entries.size());
    for (const Membership::DigestEntry &entry : digest.entries) {
        message.entries.push_back(entryToWire(entry));
    }
    return message;
}

Membership::Digest fromWire(const Wire::MemberDigestT &message)
{
    Membership::Digest digest;
    digest.sentAt = absl::Milliseconds(message.sent_ms);
    digest.interval = absl::Milliseconds(message.interval_ms);
    digest.zone = Common::ZoneName(message.zone);
    digest.base = message.base;
    digest.brief = message.brief;
    digest.restAge = absl::Milliseconds(message.rest_age_ms);
    digest.entries.reserve(message.entries.size());
    for (const auto &entry : message.entries) {
        if (entry != nullptr) {
            digest.entries.push_back(entryFromWire(*entry));
        }
    }
    return digest;
}

Wire::KeyRecordT toWire(const Execution::KeyRecord &record)
{
    Wire::KeyRecordT message;
    message.key = record.key.toString();
    message.state = static_cast<Wire::RecordState>(record.state);
    message.answer = std::make_unique<Wire::ForwardReplyT>(toWire({}, record.answer));
    return message;
}

Common::Result<Execution::KeyRecord> fromWire(Wire::KeyRecordT &message)
{
    auto key = Execution::IdempotencyKey::parse(message.key);
    if (!key) {
        return tl::unexpected(key.error());
    }
    Common::Answer answer;
    if (message.answer != nullptr) {
        answer = fromWire(*message.answer);
    }
    return Execution::KeyRecord { std::move(*key),
                                  static_cast<Execution::RecordState>(message.state),
                                  std::move(answer) };
}

} // namespace Currantfall::Daemon
