#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Time.h"

#include "Load/Settings.h"

namespace Currantfall::Load {

struct Entry
{
    Endpoint endpoint;
    /// Empty if the entry VM issues no keys.
    std::string keyPrefix;
};

/// Lookup responses of all services, kept for their TTL as clients do. Thread-safe.
class LookupCache
{
public:
    LookupCache(std::vector<Endpoint> lookups, absl::Duration timeout);

    /// Entry VMs for `service` in order of preference, for a caller at the address `client`, or for
    /// the generator's own address if that is empty. While one thread refreshes a response, and
    /// if the refresh fails, the others use the old one.
    Common::Result<std::vector<Entry>> entries(const std::string &service,
                                               const std::string &client = {});

private:
    struct Cached
    {
        std::vector<Entry> entries;
        Common::Instant expiry;
        bool refreshing = false;
    };

    Common::Result<Cached> lookUp(const std::string &query) const;

    std::vector<Endpoint> lookups;
    absl::Duration timeout;
    /// Not an absl::Mutex: ThreadSanitizer does not see the locks of the uninstrumented library.
    std::mutex mutex;
    std::map<std::string, Cached> cache; // By query.
};

} // namespace Currantfall::Load
