#include "NoticeChecks.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Currantfall::Tests {

namespace {

using std::chrono::milliseconds;

// Requests that are on their way when a server asks for a pause may still arrive.
constexpr milliseconds pauseReaction { 500 };
constexpr std::size_t maxArrivalsInPause = 2;

using Link = std::pair<std::string, std::string>; ///< Entry VM and server.

std::string hostOf(const std::string &entry)
{
    return entry.substr(0, entry.find(':'));
}

class NoticeChecker
{
public:
    NoticeChecker(const std::vector<SoakRecord> &records, const std::vector<Arrival> &arrivals,
                  const std::vector<Disruption> &disruptions, milliseconds drainTime)
        : disruptions(disruptions), drainTime(drainTime)
    {
        for (const SoakRecord &record : records) {
            this->recordsById.emplace(record.id, &record);
            if (record.leavingServer.empty()) {
                continue;
            }
            const Link link { hostOf(record.entry), record.leavingServer };
            const auto known = this->leavingSince.try_emplace(link, record.ended).first;
            known->second = std::min(known->second, record.ended);
        }
        for (const Arrival &arrival : arrivals) {
            const auto record = this->recordsById.find(arrival.request);
            if (record != this->recordsById.end()) {
                this->arrivalsByLink[{ hostOf(record->second->entry), arrival.server }].push_back(
                        &arrival);
            }
        }
    }

    NoticeVerdict verdict() const
    {
        NoticeVerdict result;
        for (const auto &[link, arrivals] : this->arrivalsByLink) {
            this->checkLeaving(link, arrivals, result.leaving);
            this->checkPauses(link, arrivals, result.pauses);
        }
        return result;
    }

private:
    void checkLeaving(const Link &link, const std::vector<const Arrival *> &arrivals,
                      std::vector<std::string> &found) const
    {
        const auto since = this->leavingSince.find(link);
        if (since == this->leavingSince.end()) {
            return;
        }
        for (const Arrival *arrival : arrivals) {
            const SoakClock::time_point sent = this->recordsById.at(arrival->request)->started;
            if (sent > since->second + this->drainTime
                && !this->disrupted(link.first, since->second, arrival->time)) {
                found.push_back("reached a server that leaves: " + arrival->request + " from "
                                + link.first + " to " + link.second + ", sent "
                                + millisecondsText(sent - since->second) + " after the notice");
            }
        }
    }

    void checkPauses(const Link &link, const std::vector<const Arrival *> &arrivals,
                     std::vector<std::string> &found) const
    {
        for (const Arrival *refused : arrivals) {
            const SoakClock::time_point end = refused->time + refused->pause;
            const auto inPause = [&](const Arrival *arrival) {
                return arrival->time > refused->time + pauseReaction && arrival->time < end;
            };
            const auto count = static_cast<std::size_t>(
                    std::count_if(arrivals.begin(), arrivals.end(), inPause));
            if (count > maxArrivalsInPause && !this->disrupted(link.first, refused->time, end)
                && !this->disrupted(refused->address, refused->time, end)) {
                found.push_back(std::to_string(count) + " requests from " + link.first + " to "
                                + link.second + " in a pause of " + millisecondsText(refused->pause)
                                + " after " + refused->request);
            }
        }
    }

    bool disrupted(const std::string &subject, SoakClock::time_point from,
                   SoakClock::time_point until) const
    {
        return std::any_of(this->disruptions.begin(), this->disruptions.end(),
                           [&](const Disruption &disruption) {
                               return disruption.subject == subject && disruption.begin <= until
                                      && disruption.end >= from;
                           });
    }

    static std::string millisecondsText(SoakClock::duration duration)
    {
        return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()) + " ms";
    }

    const std::vector<Disruption> &disruptions;
    milliseconds drainTime;
    std::map<std::string, const SoakRecord *> recordsById;
    std::map<Link, SoakClock::time_point> leavingSince;
    std::map<Link, std::vector<const Arrival *>> arrivalsByLink;
};

} // namespace

NoticeVerdict judgeNotices(const std::vector<SoakRecord> &records,
                           const std::vector<Arrival> &arrivals,
                           const std::vector<Disruption> &disruptions, milliseconds drainTime)
{
    return NoticeChecker(records, arrivals, disruptions, drainTime).verdict();
}

} // namespace Currantfall::Tests
