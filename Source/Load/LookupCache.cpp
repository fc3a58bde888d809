#include "Load/LookupCache.h"

#include <utility>

#include <absl/time/time.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Load/HttpClient.h"

namespace Currantfall::Load {

namespace {

const char *const lookupStep = "look up service";

Common::Result<std::vector<Entry>> readEntries(const nlohmann::json &reply)
{
    std::vector<Entry> entries;
    for (const nlohmann::json &item : reply.at("entries")) {
        Entry entry;
        entry.endpoint.address = item.at("address").get<std::string>();
        entry.endpoint.port = item.at("port").get<int>();
        entry.keyPrefix = item.value("key_prefix", std::string());
        entries.push_back(std::move(entry));
    }
    if (entries.empty()) {
        return Common::failure(Common::ErrorCode::Unavailable, lookupStep, {}, "no entries");
    }
    return entries;
}

} // namespace

LookupCache::LookupCache(std::vector<Endpoint> lookups, absl::Duration timeout)
    : lookups(std::move(lookups)), timeout(timeout)
{ }

Common::Result<std::vector<Entry>> LookupCache::entries(const std::string &service,
                                                        const std::string &client)
{
    const std::string query = "service=" + service + (client.empty() ? "" : "&client=" + client);
    {
        const std::lock_guard lock(this->mutex);
        Cached &cached = this->cache[query];
        const bool fresh = Common::monotonicNow() < cached.expiry || cached.refreshing;
        if (fresh && !cached.entries.empty()) {
            return cached.entries;
        }
        cached.refreshing = true;
    }
    Common::Result<Cached> found = this->lookUp(query);
    const std::lock_guard lock(this->mutex);
    Cached &cached = this->cache[query];
    cached.refreshing = false;
    if (found) {
        cached = *std::move(found);
    } else if (cached.entries.empty()) {
        return tl::unexpected<Common::Error>(found.error());
    }
    return cached.entries;
}

Common::Result<LookupCache::Cached> LookupCache::lookUp(const std::string &query) const
{
    Common::Error last(Common::ErrorCode::Unavailable, lookupStep, {}, "no lookup address");
    for (const Endpoint &lookup : this->lookups) {
        const auto client = makeClient(lookup, this->timeout, this->timeout);
        const httplib::Result reply = client->Get("/v1/lookup?" + query);
        if (!reply || reply->status != 200) {
            last = Common::Error(Common::ErrorCode::Unavailable, lookupStep, lookup.toString(),
                                 reply ? "status " + std::to_string(reply->status)
                                       : httplib::to_string(reply.error()));
            continue;
        }
        try {
            const nlohmann::json body = nlohmann::json::parse(reply->body);
            Common::Result<std::vector<Entry>> entries = readEntries(body);
            if (entries) {
                const absl::Duration ttl = absl::Milliseconds(body.at("ttl_ms").get<int>());
                return Cached { *std::move(entries), Common::monotonicNow() + ttl, false };
            }
            last = entries.error();
        } catch (const nlohmann::json::exception &error) {
            last = Common::Error(Common::ErrorCode::InvalidInput, lookupStep, lookup.toString(),
                                 error.what());
        }
    }
    return tl::unexpected<Common::Error>(last);
}

} // namespace Currantfall::Load
