#include "currantfall/Membership/MemberTable.h"

#include <utility>

#include "MemberTableState.h"

namespace Currantfall::Membership {

namespace {

bool isValid(const MembershipSettings &settings)
{
    return settings.heartbeatBase > absl::ZeroDuration() && settings.suspectIntervals > 0
           && settings.bytesPerSecond > 0 && settings.digestBytesPerSecond > 0
           && settings.digestBytesPerSecond > 0 && settings.maxDigestEntries > 0
           && settings.lease > absl::ZeroDuration() && settings.removeAfter >= settings.lease;
}

} // namespace

Common::Result<MemberTable> MemberTable::create(Common::Instant now, Identity self,
                                                MembershipSettings settings)
{
    using Common::ErrorCode;
    if (!Common::isValidName(self.vm.value()) || !Common::isValidName(self.zone.value())
        || !Common::isValidName(self.region.value())) {
        return Common::failure(ErrorCode::InvalidInput, "create member table", self.vm.value(),
                               "invalid VM, zone or region name");
    }
    if (!isValid(settings)) {
        return Common::failure(ErrorCode::InvalidInput, "create member table", self.vm.value(),
                               "intervals and budgets must be positive, and removal must not "
                               "come before the end of a lease");
    }
    return MemberTable(std::make_unique<State>(now, std::move(self), settings));
}

MemberTable::MemberTable(std::unique_ptr<State> state) : state(std::move(state)) { }
MemberTable::~MemberTable() = default;
MemberTable::MemberTable(MemberTable &&other) noexcept = default;
MemberTable &MemberTable::operator=(MemberTable &&other) noexcept = default;

void MemberTable::applyPlatformList(Common::Instant now, const std::vector<ListedVm> &list)
{
    this->state->applyPlatformList(now, list);
}

void MemberTable::applyHeartbeat(Common::Instant now, const Heartbeat &heartbeat)
{
    this->state->applyHeartbeat(now, heartbeat);
}

void MemberTable::applyDigest(Common::Instant now, const Common::VmName &from, const Digest &digest)
{
    this->state->applyDigest(now, from, digest);
}

void MemberTable::applyLinkUp(Common::Instant now, const Identity &peer)
{
    this->state->applyLinkUp(now, peer);
}

void MemberTable::applyLinkDown(Common::Instant now, const Common::VmName &vm,
                                Common::Incarnation incarnation)
{
    this->state->applyLinkDown(now, vm, incarnation);
}

void MemberTable::setOwnState(Common::Instant now, ReportedState state)
{
    this->state->setOwnState(now, std::move(state));
}

void MemberTable::requestPeer(Common::Instant now, const Common::VmName &vm)
{
    this->state->requestPeer(now, vm);
}

Outgoing MemberTable::advance(Common::Instant now)
{
    return this->state->advance(now);
}

Common::Instant MemberTable::nextDue() const
{
    return this->state->nextDue();
}

std::shared_ptr<const MemberView> MemberTable::view() const
{
    return this->state->view();
}

absl::Duration MemberTable::heartbeatInterval() const
{
    return this->state->heartbeatInterval();
}

absl::Duration MemberTable::digestInterval() const
{
    return this->state->digestInterval();
}

std::vector<Endpoint> MemberTable::peersToConnect() const
{
    return this->state->peersToConnect();
}

std::optional<Common::Instant> MemberTable::pausedSince() const
{
    return this->state->pausedSince();
}

} // namespace Currantfall::Membership
