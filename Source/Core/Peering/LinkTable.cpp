#include "LinkTable.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Peering {

namespace {

using Common::ErrorCode;

tl::unexpected<Common::Error> refusal(const Link &link, std::string detail)
{
    return Common::failure(ErrorCode::Refused, "exchange Hello", link.peerText(),
                           std::move(detail));
}

} // namespace

LinkTable::LinkTable(PeerIdentity self, absl::Duration handshakeTimeout)
    : self(std::move(self)), handshakeTimeout(handshakeTimeout)
{ }

Link &LinkTable::add(std::unique_ptr<Link> link)
{
    Link &added = *link;
    if (added.origin() == Link::Origin::Dialed) {
        const auto index = static_cast<std::size_t>(added.linkClass());
        this->slots[added.vm()].at(index).dialing = added.id();
    }
    this->links.emplace(added.id(), std::move(link));
    return added;
}

Link *LinkTable::find(LinkId id) const
{
    const auto found = this->links.find(id);
    return found == this->links.end() ? nullptr : found->second.get();
}

std::unique_ptr<Link> LinkTable::remove(LinkId id)
{
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
        return nullptr;
    }
    std::unique_ptr<Link> removed = std::move(found->second);
    this->links.erase(found);
    const auto slots = this->slots.find(removed->vm());
    if (slots == this->slots.end()) {
        return removed;
    }
    bool used = false;
    for (Slot &slot : slots->second) {
        slot.established = slot.established == id ? 0 : slot.established;
        slot.dialing = slot.dialing == id ? 0 : slot.dialing;
        used = used || slot.established != 0 || slot.dialing != 0;
    }
    if (!used) {
        this->slots.erase(slots);
    }
    return removed;
}

std::vector<LinkId> LinkTable::ids() const
{
    std::vector<LinkId> result;
    result.reserve(this->links.size());
    for (const auto &[id, link] : this->links) {
        result.push_back(id);
    }
    return result;
}

Link *LinkTable::established(const Common::VmName &vm, LinkClass linkClass) const
{
    const Slot *slot = this->slot(vm, linkClass);
    return slot == nullptr ? nullptr : this->find(slot->established);
}

bool LinkTable::inUse(const Common::VmName &vm, LinkClass linkClass) const
{
    const Slot *slot = this->slot(vm, linkClass);
    return slot != nullptr && (slot->established != 0 || slot->dialing != 0);
}

Common::Instant LinkTable::lastFrameAt(const Common::VmName &vm) const
{
    Common::Instant latest;
    for (std::size_t index = 0; index < linkClassCount; ++index) {
        const Link *link = this->established(vm, static_cast<LinkClass>(index));
        if (link != nullptr) {
            latest = std::max(latest, link->lastFrameAt());
        }
    }
    return latest;
}

std::size_t LinkTable::anonymousLinks() const
{
    return static_cast<std::size_t>(
            std::count_if(this->links.begin(), this->links.end(), [](const auto &entry) {
                const Link &link = *entry.second;
                return link.origin() == Link::Origin::Accepted && link.phase() != Link::Phase::Up;
            }));
}

Common::Incarnation LinkTable::knownIncarnation(const Common::VmName &vm) const
{
    const auto known = this->incarnations.find(vm);
    return known == this->incarnations.end() ? 0 : known->second;
}

Common::Result<void> LinkTable::judgeHello(const Link &link, const PeerIdentity &peer,
                                           LinkClass linkClass, Common::Instant now) const
{
    if (peer.environment != this->self.environment) {
        return refusal(link, "environment '" + peer.environment + "', expected '"
                                     + this->self.environment + "'");
    }
    if (!Common::isValidName(peer.vm.value()) || peer.vm == this->self.vm) {
        return refusal(link, "VM name '" + peer.vm.value() + "' is invalid or this VM's own");
    }
    const bool dialed = link.origin() == Link::Origin::Dialed;
    if (dialed && (peer.vm != link.vm() || linkClass != link.linkClass())) {
        return refusal(link, "answered as VM '" + peer.vm.value() + "', " + toString(linkClass));
    }
    const Common::Incarnation known = this->knownIncarnation(peer.vm);
    if (peer.incarnation < known) {
        return refusal(link, "incarnation " + std::to_string(peer.incarnation) + " of '"
                                     + peer.vm.value() + "' is earlier than "
                                     + std::to_string(known));
    }
    const Slot *slot = this->slot(peer.vm, linkClass);
    // A VM dials only while it has no established link, so the dial of a higher-named peer means
    // that it lost its link, unless both dials crossed.
    if (dialed || slot == nullptr || peer.vm < this->self.vm) {
        return {};
    }
    const Link *dialing = this->find(slot->dialing);
    const Link *used = this->find(slot->established);
    const bool helloSent = dialing != nullptr && dialing->phase() == Link::Phase::AwaitingHello;
    const bool justEstablished = used != nullptr && used->origin() == Link::Origin::Dialed
                                 && used->peer().incarnation == peer.incarnation
                                 && now - used->establishedAt() < this->handshakeTimeout;
    if (helloSent || justEstablished) {
        return Common::failure(ErrorCode::Conflict, "exchange Hello", peer.vm.value(),
                               "the dial of the VM with the lower name is used");
    }
    return {};
}

std::vector<LinkId> LinkTable::replacedBy(const Link &link, const PeerIdentity &peer,
                                          LinkClass linkClass) const
{
    std::vector<LinkId> replaced;
    const auto found = this->slots.find(peer.vm);
    if (found == this->slots.end()) {
        return replaced;
    }
    for (std::size_t index = 0; index < linkClassCount; ++index) {
        const Slot &slot = found->second.at(index);
        const bool sameClass = index == static_cast<std::size_t>(linkClass);
        const Link *used = this->find(slot.established);
        if (used != nullptr && (sameClass || used->peer().incarnation < peer.incarnation)) {
            replaced.push_back(used->id());
        }
        if (sameClass && slot.dialing != 0 && slot.dialing != link.id()) {
            replaced.push_back(slot.dialing);
        }
    }
    return replaced;
}

void LinkTable::establish(Link &link, const PeerIdentity &peer, LinkClass linkClass,
                          Common::Instant now)
{
    link.markEstablished(peer, linkClass, now);
    Slot &slot = this->slots[peer.vm].at(static_cast<std::size_t>(linkClass));
    slot.established = link.id();
    slot.dialing = 0;
    this->incarnations[peer.vm] = peer.incarnation;
}

const LinkTable::Slot *LinkTable::slot(const Common::VmName &vm, LinkClass linkClass) const
{
    const auto found = this->slots.find(vm);
    if (found == this->slots.end()) {
        return nullptr;
    }
    return &found->second.at(static_cast<std::size_t>(linkClass));
}

} // namespace Currantfall::Peering
