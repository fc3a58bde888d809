#include "currantfall/Execution/AttemptTable.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <absl/strings/str_cat.h>

namespace Currantfall::Execution {

namespace {

/// Answered attempts that are remembered to tell duplicates from late answers.
constexpr std::size_t maxAnsweredRemembered = 4096;

} // namespace

AttemptTable::AttemptTable(VmRun self, std::size_t maxOpenAttempts)
    : idPrefix(self.vm.value() + "." + absl::StrCat(absl::Hex(self.incarnation)) + "."),
      maxOpenAttempts(maxOpenAttempts)
{ }

Common::Result<AttemptId> AttemptTable::start(Common::Instant now, RequestId request,
                                              std::string target)
{
    if (this->attempts.size() >= this->maxOpenAttempts) {
        return Common::failure(Common::ErrorCode::TooLarge, "start attempt", target,
                               "the attempt table is full");
    }
    ++this->lastNumber;
    AttemptId id = this->idPrefix + std::to_string(this->lastNumber);
    const auto [entry, isNew] = this->requests.try_emplace(request);
    if (isNew) {
        entry->second.firstStart = now;
    }
    entry->second.tried.push_back(target);
    entry->second.open.push_back(id);
    this->attempts.emplace(id, Attempt { request, std::move(target) });
    return id;
}

MatchDecision AttemptTable::onAnswer(const AttemptId &attempt, const std::string &target,
                                     Common::Outcome outcome)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return this->drop(attempt);
    }
    if (found->second.target != target) {
        ++this->droppedAnswers.mismatched;
        return Dropped {};
    }
    const RequestId request = found->second.request;
    this->attempts.erase(found);
    this->rememberAnswered(attempt);
    std::vector<AttemptId> &open = this->requests.at(request).open;
    open.erase(std::remove(open.begin(), open.end(), attempt), open.end());
    if (outcome != Common::Outcome::Answered) {
        return AttemptFailed { request, open.size() };
    }
    return Settled { request, this->abandon(request) };
}

MatchDecision AttemptTable::drop(const AttemptId &attempt)
{
    if (this->answered.contains(attempt)) {
        ++this->droppedAnswers.duplicate;
        return Dropped {};
    }
    std::uint64_t number = 0;
    const bool ours = attempt.starts_with(this->idPrefix);
    const char *const digits = attempt.data() + (ours ? this->idPrefix.size() : 0);
    const auto [end, error] = std::from_chars(digits, attempt.data() + attempt.size(), number);
    const bool complete = error == std::errc() && end == attempt.data() + attempt.size();
    if (ours && complete && number > 0 && number <= this->lastNumber) {
        ++this->droppedAnswers.late;
    } else {
        ++this->droppedAnswers.mismatched;
    }
    return Dropped {};
}

void AttemptTable::rememberAnswered(const AttemptId &attempt)
{
    if (this->answeredOrder.size() >= maxAnsweredRemembered) {
        this->answered.erase(this->answeredOrder.front());
        this->answeredOrder.pop_front();
    }
    this->answered.insert(attempt);
    this->answeredOrder.push_back(attempt);
}

std::vector<AttemptId> AttemptTable::abandon(RequestId request)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        return {};
    }
    std::vector<AttemptId> open = std::move(found->second.open);
    this->requests.erase(found);
    for (const AttemptId &attempt : open) {
        this->attempts.erase(attempt);
    }
    return open;
}

std::vector<std::string> AttemptTable::triedTargets(RequestId request) const
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? std::vector<std::string> {} : found->second.tried;
}

std::optional<Common::Instant> AttemptTable::firstStart(RequestId request) const
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        return std::nullopt;
    }
    return found->second.firstStart;
}

std::size_t AttemptTable::openAttempts(RequestId request) const
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? 0 : found->second.open.size();
}

} // namespace Currantfall::Execution
