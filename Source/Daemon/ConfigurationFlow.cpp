#include "ConfigurationFlow.h"

#include <utility>

#include "currantfall/Configuration/DocumentReader.h"

namespace Currantfall::Daemon {

namespace {

// A peer that has not delivered a document by then is passed over for the object store.
constexpr absl::Duration peerTimeout = absl::Milliseconds(500);
constexpr absl::Duration storeRetry = absl::Seconds(1);
constexpr absl::Duration noticeInterval = absl::Seconds(1);

} // namespace

ConfigurationFlow::ConfigurationFlow(SteeringContext &context, Hooks hooks)
    : context(context), hooks(std::move(hooks))
{ }

void ConfigurationFlow::onRow(Platform::EnvironmentRow row, const Common::VmName &source)
{
    const Common::Revision known
            = this->pending ? this->pending->revision() : this->context.revision;
    if (row.revision() <= known) {
        if (this->pending && row.revision() == known) {
            this->askPeer(source);
        }
        return;
    }
    this->context.log.info("revision " + std::to_string(row.revision()) + " by "
                                   + row.operatorName() + " is pending",
                           source.value());
    this->pending = std::move(row);
    if (this->document && this->document->hash == this->pending->document()) {
        this->adoptIfReady();
        return;
    }
    this->obtainDocument(source);
}

void ConfigurationFlow::onDocument(LoadedDocument loaded)
{
    if (!this->pending || loaded.hash != this->pending->document()) {
        return;
    }
    if (loaded.environment == nullptr) {
        this->context.log.error("document " + loaded.hash + " can't be used: " + loaded.fault);
        return;
    }
    this->document = std::move(loaded);
    this->adoptIfReady();
}

void ConfigurationFlow::onDocumentRequest(const Common::VmName &from, const std::string &hash)
{
    Peering::Wire::DocumentReplyT reply;
    reply.hash = hash;
    reply.found = this->document && this->document->hash == hash;
    if (reply.found) {
        reply.content.assign(this->document->content.begin(), this->document->content.end());
    }
    this->context.sendOn(from, Peering::LinkClass::Bulk, std::move(reply));
}

void ConfigurationFlow::onDocumentReply(const Common::VmName &from, const std::string &hash,
                                        bool found, std::string content)
{
    if (!this->pending || this->pending->document() != hash
        || (this->document && this->document->hash == hash)) {
        return;
    }
    if (!found || Configuration::contentHash(content) != hash) {
        this->context.log.warn("the peer did not deliver document " + hash, from.value());
        this->fetchFromStore();
        return;
    }
    this->contentArrived = hash;
    this->hooks.load(std::move(content));
}

void ConfigurationFlow::onLinkUp(const Common::VmName &peer)
{
    this->notify(peer);
}

void ConfigurationFlow::onPeerRevision(const Common::VmName &peer, Common::Revision revision)
{
    if (revision < this->context.revision
        && this->lastNotice[peer] + noticeInterval <= this->context.now) {
        this->notify(peer);
    }
}

bool ConfigurationFlow::askPeer(const Common::VmName &source)
{
    if (source.empty() || this->contentArrived == this->pending->document()) {
        return false;
    }
    Peering::Wire::DocumentRequestT request;
    request.hash = this->pending->document();
    return this->context.sendOn(source, Peering::LinkClass::Bulk, std::move(request));
}

void ConfigurationFlow::obtainDocument(const Common::VmName &source)
{
    if (!this->askPeer(source)) {
        this->fetchFromStore();
        return;
    }
    const Common::Revision wanted = this->pending->revision();
    this->context.timers.subscribeOnce(
            this->context.now + peerTimeout, [this, wanted](Common::Instant) {
                // A large document may still be read and checked; it need not come again.
                if (this->pending && this->pending->revision() == wanted
                    && this->contentArrived != this->pending->document()) {
                    this->fetchFromStore();
                }
            });
}

void ConfigurationFlow::fetchFromStore()
{
    if (!this->pending || this->fetching == this->pending->revision()) {
        return;
    }
    const Common::Revision wanted = this->pending->revision();
    this->fetching = wanted;
    this->hooks.fetch(this->pending->document());
    this->context.timers.subscribeOnce(this->context.now + storeRetry,
                                       [this, wanted](Common::Instant) {
                                           if (this->fetching == wanted) {
                                               this->fetching = 0;
                                               this->fetchFromStore();
                                           }
                                       });
}

void ConfigurationFlow::adoptIfReady()
{
    if (!this->pending || this->pending->revision() <= this->context.revision || !this->document
        || this->document->hash != this->pending->document()) {
        return;
    }
    this->inForce = std::move(this->pending);
    this->pending.reset();
    this->context.environment = this->document->environment;
    this->context.revision = this->inForce->revision();
    this->context.drains.clear();
    for (const Platform::DrainEntry &drain : this->inForce->drains()) {
        const auto target
                = Drain::DrainTarget::parse(toString(drain.target.kind), drain.target.name);
        if (target) {
            this->context.drains.push_back(*target);
        }
    }
    this->context.log.info("revision " + std::to_string(this->context.revision) + " is in force");
    this->hooks.onAdopted();
    this->notifyAll();
}

void ConfigurationFlow::notify(const Common::VmName &peer)
{
    if (!this->inForce) {
        return;
    }
    Peering::Wire::RevisionNoticeT notice;
    notice.revision = this->inForce->revision();
    notice.row = this->inForce->toJson().dump();
    this->context.sendControl(peer, std::move(notice));
    this->lastNotice[peer] = this->context.now;
}

void ConfigurationFlow::notifyAll()
{
    for (const auto &member : this->context.members->members()) {
        if (member->vm != this->context.self.vm && member->revision < this->context.revision) {
            this->notify(member->vm);
        }
    }
}

} // namespace Currantfall::Daemon
