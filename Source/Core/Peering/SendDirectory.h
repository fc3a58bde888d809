#pragma once

#include <array>
#include <memory>
#include <mutex>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Common/Names.h"
#include "currantfall/Peering/FrameCodec.h"

#include "Link.h"
#include "SendQueue.h"

namespace Currantfall::Peering {

/// The usable links by peer and class, for sending threads. Thread-safe.
class SendDirectory
{
public:
    struct Entry
    {
        LinkId link = 0;
        std::shared_ptr<SendQueue> queue; // Null if there is no usable link.
    };

    void insert(const Common::VmName &peer, LinkClass linkClass, Entry entry)
    {
        const std::lock_guard lock(this->mutex);
        this->entries[peer].at(static_cast<std::size_t>(linkClass)) = std::move(entry);
    }

    /// Does nothing if another link has taken the place.
    void remove(const Common::VmName &peer, LinkClass linkClass, LinkId link)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->entries.find(peer);
        if (found == this->entries.end()) {
            return;
        }
        Entry &entry = found->second.at(static_cast<std::size_t>(linkClass));
        if (entry.link == link) {
            entry = {};
        }
        if (found->second.front().queue == nullptr && found->second.back().queue == nullptr) {
            this->entries.erase(found);
        }
    }

    Entry find(const Common::VmName &peer, LinkClass linkClass) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->entries.find(peer);
        if (found == this->entries.end()) {
            return {};
        }
        return found->second.at(static_cast<std::size_t>(linkClass));
    }

private:
    mutable std::mutex mutex;
    absl::flat_hash_map<Common::VmName, std::array<Entry, linkClassCount>> entries;
};

} // namespace Currantfall::Peering
