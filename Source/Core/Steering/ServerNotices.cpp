#include "currantfall/Steering/ServerNotices.h"

#include <algorithm>

namespace Currantfall::Steering {

namespace {

// Time after a pause in which requests are sent at a limited rate: the server asked for the pause
// because it was overloaded.
constexpr absl::Duration returnPeriod = absl::Seconds(1);
constexpr absl::Duration returnSendInterval = absl::Milliseconds(100);
// Time for which the notices of a removed server are kept. Entries that expired while the store
// was unavailable are listed again within seconds of its return.
constexpr absl::Duration removedRetention = absl::Minutes(10);
// Maximum number of removed servers with notices. Listed servers are bounded by the store.
constexpr std::size_t maxRemovedEntries = 1024;
// Responses to requests in flight extend a pause slightly. Extensions up to this are not reported.
constexpr absl::Duration minReportedExtension = absl::Seconds(1);
// A pause that may have been asked for by the previous incarnation lasts at most this long: a
// server that asked for hours by mistake is restarted to be used again.
constexpr absl::Duration maxUncertainPause = absl::Seconds(30);
// Assumed limit of the difference between the wall clocks of a VM and a server.
constexpr absl::Duration maxClockDifference = absl::Seconds(5);

} // namespace

void ServerNotices::setDrainTime(absl::Duration time)
{
    if (time != this->drainTime) {
        this->drainTime = time;
        ++this->generationCount;
    }
}

std::optional<ServerIncarnation> ServerNotices::incarnationFor(const ServerIncarnation &server,
                                                               absl::Time sentAt,
                                                               const ServerTable &servers) const
{
    const ServerRecord *record = servers.find(server.name);
    if (record == nullptr) {
        const auto known = this->notices.find(server.name);
        const bool replaced
                = known != this->notices.end() && known->second.startTime > server.startTime;
        return replaced ? std::nullopt : std::optional(server);
    }
    const ServerIncarnation listed = ServerIncarnation::of(record->server());
    const bool certain = listed == server
                         || (listed.startTime > server.startTime
                             && sentAt >= listed.startTime + maxClockDifference);
    return certain ? std::optional(listed) : std::nullopt;
}

NoticeEffect ServerNotices::apply(const ServerIncarnation &server, const ServerNotice &notice,
                                  absl::Time sentAt, const ServerTable &servers,
                                  Common::Instant now)
{
    NoticeEffect effect;
    if (!notice.leaving() && notice.pause() <= absl::ZeroDuration()) {
        return effect;
    }
    const auto incarnation = this->incarnationFor(server, sentAt, servers);
    if (!incarnation) {
        return effect;
    }
    Entry &entry = this->notices[server.name];
    entry = this->find(*incarnation).value_or(Entry());
    entry.startTime = incarnation->startTime;
    if (notice.leaving()) {
        entry.leavingSentAt = std::max(entry.leavingSentAt, sentAt);
        effect.leavingStarted = !entry.leavingSince;
        entry.leavingSince = entry.leavingSince.value_or(now);
    }
    const Common::Instant pauseEnd = now + notice.pause();
    if (notice.pause() > absl::ZeroDuration() && pauseEnd > entry.pausedUntil) {
        effect.pauseStarted = now >= entry.pausedUntil;
        effect.pauseExtended
                = !effect.pauseStarted && pauseEnd - entry.pausedUntil > minReportedExtension;
        entry.pausedUntil = pauseEnd;
        entry.pauseSentAt = sentAt;
        entry.pauseReceivedAt = now;
    }
    ++this->generationCount;
    return effect;
}

std::optional<ServerNotices::Entry> ServerNotices::find(const ServerIncarnation &server) const
{
    const auto found = this->notices.find(server.name);
    return found == this->notices.end() ? std::nullopt
                                        : attributedTo(server.startTime, found->second);
}

std::optional<ServerNotices::Entry> ServerNotices::attributedTo(absl::Time startTime,
                                                                const Entry &entry)
{
    if (entry.startTime == startTime) {
        return entry;
    }
    // Nothing is known of the order of the incarnations if the server's clock was set back.
    if (startTime < entry.startTime) {
        return std::nullopt;
    }
    Entry result = entry;
    result.startTime = startTime;
    if (entry.leavingSentAt < startTime + maxClockDifference) {
        result.leavingSince.reset();
        result.leavingSentAt = absl::InfinitePast();
    }
    if (entry.pauseSentAt < startTime - maxClockDifference) {
        result.pausedUntil = Entry().pausedUntil;
        result.pauseSentAt = absl::InfinitePast();
    } else if (entry.pauseSentAt < startTime + maxClockDifference) {
        result.pausedUntil = std::min(entry.pausedUntil, entry.pauseReceivedAt + maxUncertainPause);
    }
    const bool empty = !result.leavingSince && result.pausedUntil == Entry().pausedUntil;
    return empty ? std::nullopt : std::optional(result);
}

ServerUse ServerNotices::useOf(const Entry &entry, Common::Instant now) const
{
    if (now < entry.pausedUntil) {
        return ServerUse::None;
    }
    if (!entry.leavingSince) {
        return ServerUse::Unrestricted;
    }
    return now < *entry.leavingSince + this->drainTime ? ServerUse::LastResort : ServerUse::None;
}

ServerUse ServerNotices::use(const ServerIncarnation &server, Common::Instant now) const
{
    const std::optional<Entry> entry = this->find(server);
    return !entry ? ServerUse::Unrestricted : this->useOf(*entry, now);
}

Common::Instant ServerNotices::usableFrom(const ServerIncarnation &server,
                                          Common::Instant now) const
{
    const std::optional<Entry> entry = this->find(server);
    if (!entry) {
        return now;
    }
    const Common::Instant returns = std::max(now, entry->pausedUntil);
    return this->useOf(*entry, returns) == ServerUse::None ? Common::Instant::infinite() : returns;
}

Common::Instant ServerNotices::nextSendTime(const ServerIncarnation &server,
                                            Common::Instant lastSent, Common::Instant now) const
{
    const std::optional<Entry> entry = this->find(server);
    if (!entry || now >= entry->pausedUntil + returnPeriod) {
        return now;
    }
    return std::max({ now, entry->pausedUntil, lastSent + returnSendInterval });
}

void ServerNotices::advance(const ServerTable &servers, Common::Instant now)
{
    std::size_t removedCount = 0;
    for (auto each = this->notices.begin(); each != this->notices.end();) {
        Entry &entry = each->second;
        const ServerRecord *record = servers.find(each->first);
        if (record != nullptr && record->server().startTime != entry.startTime) {
            const auto attributed = attributedTo(record->server().startTime, entry);
            if (!attributed) {
                each = this->notices.erase(each);
                continue;
            }
            entry = *attributed;
        }
        if (record != nullptr) {
            entry.removedAt.reset();
        } else if (!entry.removedAt) {
            entry.removedAt = now;
        }
        const bool pauseOver = now >= entry.pausedUntil + returnPeriod;
        const bool expired = pauseOver
                             && (!entry.leavingSince
                                 || (entry.removedAt && now - *entry.removedAt > removedRetention));
        if (expired) {
            each = this->notices.erase(each);
            continue;
        }
        removedCount += entry.removedAt ? 1 : 0;
        ++each;
    }
    for (; removedCount > maxRemovedEntries; --removedCount) {
        this->discardOldestRemoved();
    }
}

void ServerNotices::discardOldestRemoved()
{
    auto oldest = this->notices.end();
    for (auto each = this->notices.begin(); each != this->notices.end(); ++each) {
        if (each->second.removedAt
            && (oldest == this->notices.end()
                || *each->second.removedAt < *oldest->second.removedAt)) {
            oldest = each;
        }
    }
    if (oldest != this->notices.end()) {
        this->notices.erase(oldest);
    }
}

NoticeSummary ServerNotices::summary(Common::Instant now) const
{
    NoticeSummary result;
    for (const auto &[name, entry] : this->notices) {
        if (entry.removedAt) {
            continue;
        }
        result.leaving += entry.leavingSince ? 1 : 0;
        if (now < entry.pausedUntil) {
            ++result.pausing;
            result.longestPause = std::max(result.longestPause, entry.pausedUntil - now);
        }
    }
    return result;
}

Common::Instant ServerNotices::nextChange(Common::Instant now) const
{
    Common::Instant next = Common::Instant::infinite();
    const auto consider = [&next, now](Common::Instant time) {
        if (time > now) {
            next = std::min(next, time);
        }
    };
    for (const auto &[name, entry] : this->notices) {
        consider(entry.pausedUntil);
        if (entry.leavingSince) {
            consider(*entry.leavingSince + this->drainTime);
        }
    }
    return next;
}

} // namespace Currantfall::Steering
