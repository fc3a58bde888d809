#include "HomeChecks.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace Currantfall::Tests {

namespace {

using std::chrono::milliseconds;

// Bounds of the platform.
constexpr milliseconds configurationApplyTime { 2000 };
constexpr milliseconds stableWindow { 3000 };

/// The last time until `time` at which the VM was in touch.
SoakClock::time_point lastInTouch(const std::vector<ConfigurationDelay> &delays,
                                  const std::string &entry, SoakClock::time_point time)
{
    const auto disrupts = [&](const ConfigurationDelay &delay) {
        return (delay.entry.empty() || delay.entry == entry) && delay.begin <= time
               && time <= delay.end + stableWindow;
    };
    for (auto delay = std::find_if(delays.begin(), delays.end(), disrupts); delay != delays.end();
         delay = std::find_if(delays.begin(), delays.end(), disrupts)) {
        if (delay->restarted) {
            return SoakClock::time_point();
        }
        time = delay->begin - SoakClock::duration(1);
    }
    return time;
}

/// Homes of the route in all configurations that were the latest one between the two times; empty
/// if one of them allows all regions.
std::set<std::string> homesBetween(const std::vector<ConfigurationPeriod> &configurations,
                                   const std::string &route, SoakClock::time_point begin,
                                   SoakClock::time_point end)
{
    std::set<std::string> all;
    for (const ConfigurationPeriod &period : configurations) {
        if (period.begin > end || (period.end && *period.end < begin)) {
            continue;
        }
        const auto homes = period.homes.find(route);
        if (homes == period.homes.end()) {
            return {};
        }
        all.insert(homes->second.begin(), homes->second.end());
    }
    return all;
}

} // namespace

std::vector<std::string> judgeHomes(const std::vector<SoakRecord> &records,
                                    const EntryDeployment &deployment,
                                    const std::vector<ConfigurationDelay> &delays)
{
    std::map<std::string, const SoakRecord *> recordsById;
    for (const SoakRecord &record : records) {
        recordsById.emplace(record.id, &record);
    }
    std::vector<std::string> found;
    for (const Arrival &arrival : deployment.ledger().arrivals()) {
        const auto known = recordsById.find(arrival.request);
        if (known == recordsById.end()) {
            continue;
        }
        const SoakRecord &record = *known->second;
        const std::string entry = record.entry.substr(0, record.entry.find(':'));
        const auto begin = lastInTouch(delays, entry, record.started) - configurationApplyTime;
        const std::set<std::string> homes
                = homesBetween(deployment.configurations(), record.route, begin, arrival.time);
        const std::string region = deployment.regionOfServer(arrival.address);
        if (!homes.empty() && !homes.contains(region)) {
            const auto after
                    = std::chrono::duration_cast<milliseconds>(arrival.time - record.started);
            std::ostringstream text;
            text << "outside its homes: " << record.id << " " << record.route << " from " << entry
                 << " to " << arrival.server << " in " << region << ", " << after.count()
                 << " ms after it was sent";
            found.push_back(text.str());
        }
    }
    return found;
}

} // namespace Currantfall::Tests
