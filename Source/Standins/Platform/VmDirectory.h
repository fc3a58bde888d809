#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <string>

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Time.h"

namespace Currantfall::Standins {

/// The list of VMs with its past states, so that it can be shown with a lag. Thread-safe.
class VmDirectory
{
public:
    /// Past states are kept this long, which limits the lag.
    static constexpr absl::Duration maxLag = absl::Minutes(15);

    /// Sets the initial list from a JSON array of entries of `GET /vms`.
    Common::Result<void> preset(const std::string &text);

    /// Adds or replaces one VM; `entry` needs no "vm", and "state" is "live" if absent.
    Common::Result<void> put(const std::string &vm, nlohmann::json entry, Common::Instant now);
    /// False if there is no such VM.
    bool remove(const std::string &vm, Common::Instant now);

    /// Sets the views: a JSON object of host names ("IP:PORT", as the reader dials it), each with
    /// an object of VMs and the `peer_address` that this reader is shown.
    Common::Result<void> setViews(const std::string &text);

    /// The body of `GET /vms` as of `now - lag`, for a reader that dialled `host`.
    nlohmann::json listing(Common::Instant now, absl::Duration lag, const std::string &host) const;

private:
    using Vms = std::map<std::string, nlohmann::json>;
    struct Snapshot
    {
        Common::Instant since;
        Vms vms;
    };

    /// The caller has the lock.
    void record(Vms vms, Common::Instant now);

    mutable std::mutex mutex;
    /// Ascending; the first one holds for all earlier times.
    std::deque<Snapshot> snapshots = { Snapshot {} };
    nlohmann::json views = nlohmann::json::object();
};

} // namespace Currantfall::Standins
