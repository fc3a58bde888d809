#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Steering/ServerNotice.h"
#include "currantfall/Steering/ServerTable.h"

namespace Currantfall::Steering {

/// One run of a backend server.
struct ServerIncarnation
{
    static ServerIncarnation of(const BackendServer &server)
    {
        return { server.name, server.startTime };
    }

    Common::BackendServerName name;
    absl::Time startTime = absl::UnixEpoch();

    friend bool operator==(const ServerIncarnation &left, const ServerIncarnation &right) = default;
};

/// What a server may be used for, according to its own notices.
enum class ServerUse {
    Unrestricted,
    LastResort, ///< The server leaves: only for requests that no other server can take.
    None,       ///< The server pauses or has left.
};

/// Effect of one notice.
struct NoticeEffect
{
    bool leavingStarted = false;
    bool pauseStarted = false;
    /// A pause in progress ends more than a second later than before.
    bool pauseExtended = false;

    friend bool operator==(const NoticeEffect &left, const NoticeEffect &right) = default;
};

/// Number of servers with a restriction.
struct NoticeSummary
{
    std::size_t leaving = 0;
    std::size_t pausing = 0;
    absl::Duration longestPause = absl::ZeroDuration(); ///< Longest remaining pause.

    friend bool operator==(const NoticeSummary &left, const NoticeSummary &right) = default;
};

/// Notices that backend servers gave this VM about themselves: that they leave, or that they want
/// no requests for some time. They hold for one incarnation of a server, whether or not the store
/// and other VMs can be reached. A pause concerns this VM only.
///
/// A server may give a notice after it has started again and before its new entry is known here.
/// Such a notice is recorded for the previous incarnation and is attributed to the new one by the
/// time of the request and the start time of the server, whose clocks may differ: a pause also if
/// it may be of the previous incarnation, then for a bounded time, an announcement that the server
/// leaves only if it can't be. A wrong announcement would keep a live server out of use.
class ServerNotices
{
public:
    /// A leaving server may get requests for `drainTime` after its first notice.
    explicit ServerNotices(absl::Duration drainTime) : drainTime(drainTime) { }

    void setDrainTime(absl::Duration time);

    /// Applies a notice that was received at `now`, in the response to a request that was sent at
    /// `sentAt` by this VM's wall clock. A pause never ends earlier because of a later notice.
    /// Notices of an incarnation that has been replaced are ignored: `servers` lists the current
    /// ones. Start times decide only for servers that are not listed, as a server's clock may have
    /// been set back.
    NoticeEffect apply(const ServerIncarnation &server, const ServerNotice &notice,
                       absl::Time sentAt, const ServerTable &servers, Common::Instant now);

    ServerUse use(const ServerIncarnation &server, Common::Instant now) const;
    /// Selections ask for every server, mostly while there are no notices.
    ServerUse use(const BackendServer &server, Common::Instant now) const
    {
        return this->notices.empty() ? ServerUse::Unrestricted
                                     : this->use(ServerIncarnation::of(server), now);
    }
    /// Earliest time from which the server may get requests; infinite if it leaves before.
    Common::Instant usableFrom(const ServerIncarnation &server, Common::Instant now) const;
    /// Earliest time of the next request to the server. For some time after a pause, requests are
    /// sent at a limited rate. `lastSent` is the time of the previous request.
    Common::Instant nextSendTime(const ServerIncarnation &server, Common::Instant lastSent,
                                 Common::Instant now) const;
    Common::Instant nextSendTime(const BackendServer &server, Common::Instant lastSent,
                                 Common::Instant now) const
    {
        return this->notices.empty()
                       ? now
                       : this->nextSendTime(ServerIncarnation::of(server), lastSent, now);
    }

    /// Discards notices of ended incarnations and removed servers, and pauses that are over. A
    /// removed server keeps its notices for some time, as it may be listed again.
    void advance(const ServerTable &servers, Common::Instant now);

    NoticeSummary summary(Common::Instant now) const;
    std::size_t size() const { return this->notices.size(); }
    /// Changes with each notice that may change the use of a server.
    std::uint64_t generation() const { return this->generationCount; }
    /// The next time at which the use of a server changes without a notice.
    Common::Instant nextChange(Common::Instant now) const;

private:
    struct Entry
    {
        absl::Time startTime;
        std::optional<Common::Instant> leavingSince;
        /// Wall-clock time of the latest request whose response said that the server leaves.
        absl::Time leavingSentAt = absl::InfinitePast();
        /// Wall-clock time of the request whose response asked for the pause.
        absl::Time pauseSentAt = absl::InfinitePast();
        Common::Instant pauseReceivedAt;
        Common::Instant pausedUntil = Common::Instant::fromOrigin(-absl::InfiniteDuration());
        /// When the server was first seen to be missing from the store's list.
        std::optional<Common::Instant> removedAt;
    };

    /// Incarnation for which the notice in a response to a request to `server` holds, or nothing if
    /// that has been replaced.
    std::optional<ServerIncarnation> incarnationFor(const ServerIncarnation &server,
                                                    absl::Time sentAt,
                                                    const ServerTable &servers) const;
    /// What the known notices of the server mean for this incarnation of it.
    std::optional<Entry> find(const ServerIncarnation &server) const;
    static std::optional<Entry> attributedTo(absl::Time startTime, const Entry &entry);
    ServerUse useOf(const Entry &entry, Common::Instant now) const;
    void discardOldestRemoved();

    absl::Duration drainTime;
    std::map<Common::BackendServerName, Entry> notices;
    std::uint64_t generationCount = 0;
};

} // namespace Currantfall::Steering
