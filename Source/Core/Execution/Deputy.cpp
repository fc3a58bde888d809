#include "currantfall/Execution/Deputy.h"

#include <algorithm>
#include <utility>

namespace Currantfall::Execution {

Deputy::Deputy(VmRun self, ExecutionSettings settings) : self(std::move(self)), settings(settings)
{ }

bool Deputy::namesSelf(const KeyPrefix &prefix) const
{
    return prefix.deputy && *prefix.deputy == this->self;
}

bool Deputy::evictRun()
{
    auto victim = this->runs.end();
    for (auto entry = this->runs.begin(); entry != this->runs.end(); ++entry) {
        const bool older = victim == this->runs.end()
                           || entry->first.incarnation < victim->first.incarnation;
        if (entry->second.epochs.empty() && older) {
            victim = entry;
        }
    }
    if (victim == this->runs.end()) {
        return false;
    }
    this->evictedUpTo = std::max(this->evictedUpTo, victim->first.incarnation);
    this->runs.erase(victim);
    return true;
}

Deputy::IssuerRun *Deputy::findOrAddRun(const VmRun &issuer)
{
    const auto found = this->runs.find(issuer);
    if (found != this->runs.end()) {
        return &found->second;
    }
    if (issuer.incarnation <= this->evictedUpTo) {
        return nullptr;
    }
    if (this->runs.size() >= this->settings.maxIssuerRuns && !this->evictRun()) {
        return nullptr;
    }
    if (issuer.incarnation <= this->evictedUpTo) {
        return nullptr;
    }
    return &this->runs[issuer];
}

Deputy::EpochNotes *Deputy::establish(Common::Instant now, const KeyPrefix &prefix)
{
    if (!this->namesSelf(prefix)) {
        return nullptr;
    }
    IssuerRun *const run = this->findOrAddRun(prefix.issuer);
    if (run == nullptr || prefix.epoch <= run->expired) {
        return nullptr;
    }
    const auto found = run->epochs.find(prefix.epoch);
    if (found != run->epochs.end()) {
        return &found->second;
    }
    if (run->epochs.size() >= this->settings.maxPrefixes) {
        return nullptr;
    }
    // The issuer opened the prefix before it was seen here, so it expires there first.
    const Common::Instant due
            = now + this->settings.epochLength + this->settings.grace + this->settings.deputyMargin;
    this->expiries.insert(Expiry { due.sinceOrigin(), prefix.issuer, prefix.epoch });
    return &run->epochs[prefix.epoch];
}

Deputy::EpochNotes *Deputy::findEpoch(const KeyPrefix &prefix)
{
    if (!this->namesSelf(prefix)) {
        return nullptr;
    }
    const auto run = this->runs.find(prefix.issuer);
    if (run == this->runs.end()) {
        return nullptr;
    }
    const auto epoch = run->second.epochs.find(prefix.epoch);
    return epoch == run->second.epochs.end() ? nullptr : &epoch->second;
}

Deputy::Note *Deputy::insert(EpochNotes &epoch, const std::string &unique, State state)
{
    if (this->records >= this->settings.maxRecords) {
        return nullptr;
    }
    ++this->records;
    return &epoch.notes.emplace(unique, Note { state, {} }).first->second;
}

void Deputy::noteIssuedPrefix(Common::Instant now, const KeyPrefix &prefix)
{
    this->advance(now);
    this->establish(now, prefix);
}

IntentReply Deputy::noteIntent(Common::Instant now, const VmRun &issuer, const IdempotencyKey &key)
{
    this->advance(now);
    IntentReply reply { false, false, this->self.incarnation };
    if (key.prefix().issuer != issuer) {
        return reply;
    }
    EpochNotes *const epoch = this->establish(now, key.prefix());
    if (epoch == nullptr) {
        return reply;
    }
    const auto found = epoch->notes.find(key.unique());
    if (found == epoch->notes.end()) {
        reply.accepted = this->insert(*epoch, key.unique(), State::Intent) != nullptr;
        return reply;
    }
    reply.accepted = found->second.state == State::Intent;
    reply.sealed = found->second.state == State::Sealed;
    return reply;
}

void Deputy::finish(Note &note, const Common::Answer &answer)
{
    note.state = answer.outcome == Common::Outcome::NotRun ? State::Sealed : State::Finished;
    const std::size_t room = this->settings.maxTotalBytes > this->bytesKept
                                     ? this->settings.maxTotalBytes - this->bytesKept
                                     : 0;
    note.answer = boundedAnswer(answer, std::min(room, this->settings.maxRecordBytes));
    this->bytesKept += answerBytes(note.answer);
}

void Deputy::noteResult(Common::Instant now, const VmRun &issuer, const IdempotencyKey &key,
                        const Common::Answer &answer)
{
    this->advance(now);
    EpochNotes *const epoch
            = key.prefix().issuer == issuer ? this->establish(now, key.prefix()) : nullptr;
    if (epoch == nullptr) {
        return;
    }
    const bool notRun = answer.outcome == Common::Outcome::NotRun;
    this->take(*epoch,
               KeyRecord { key, notRun ? RecordState::Sealed : RecordState::Finished, answer });
}

void Deputy::take(EpochNotes &epoch, const KeyRecord &record)
{
    const auto found = epoch.notes.find(record.key.unique());
    Note *note = found == epoch.notes.end() ? nullptr : &found->second;
    if (note != nullptr && note->state != State::Intent) {
        return;
    }
    if (note == nullptr) {
        note = this->insert(epoch, record.key.unique(), State::Intent);
    }
    if (note == nullptr) {
        // Without the record a query would find no trace of a key that may have run.
        epoch.complete = epoch.complete && record.state == RecordState::Sealed;
        return;
    }
    if (record.state != RecordState::Running) {
        this->finish(*note, record.answer);
    }
}

Common::Answer Deputy::query(Common::Instant now, const IdempotencyKey &key)
{
    this->advance(now);
    if (!this->namesSelf(key.prefix())) {
        return Common::outcomeUnknown(
                Common::Reason::IssuerUnreachable,
                "the issuer is unreachable and this run of this VM is not its "
                "deputy");
    }
    EpochNotes *const epoch = this->findEpoch(key.prefix());
    if (epoch == nullptr) {
        return Common::outcomeUnknown(Common::Reason::KeyExpired,
                                      "the issuer is unreachable and the deputy does not know the "
                                      "key's prefix or has forgotten it");
    }
    const auto found = epoch->notes.find(key.unique());
    if (found != epoch->notes.end() && found->second.state != State::Intent) {
        return found->second.answer;
    }
    if (found != epoch->notes.end() || !epoch->complete) {
        return Common::outcomeUnknown(Common::Reason::IssuerUnreachable,
                                      "the issuer became unreachable during the execution");
    }
    Note *const sealed = this->insert(*epoch, key.unique(), State::Sealed);
    if (sealed == nullptr) {
        return Common::outcomeUnknown(Common::Reason::Overloaded,
                                      "the issuer is unreachable and the deputy's table is full");
    }
    this->finish(*sealed,
                 Common::notRun(Common::Reason::IssuerUnreachable,
                                "the issuer is unreachable and had not begun the request"));
    return sealed->answer;
}

void Deputy::acceptHandover(Common::Instant now, const VmRun &issuer,
                            const std::vector<KeyRecord> &handedOver)
{
    this->advance(now);
    for (const KeyRecord &record : handedOver) {
        const KeyPrefix &prefix = record.key.prefix();
        EpochNotes *const epoch = prefix.issuer == issuer ? this->establish(now, prefix) : nullptr;
        if (epoch != nullptr) {
            this->take(*epoch, record);
        }
    }
}

void Deputy::expire(IssuerRun &run, Epoch upTo)
{
    // Earlier epochs were opened earlier, so the issuer has forgotten them as well.
    const auto end = run.epochs.upper_bound(upTo);
    for (auto epoch = run.epochs.begin(); epoch != end; ++epoch) {
        for (const auto &[unique, note] : epoch->second.notes) {
            this->bytesKept -= answerBytes(note.answer);
            --this->records;
        }
    }
    run.epochs.erase(run.epochs.begin(), end);
    run.expired = std::max(run.expired, upTo);
}

void Deputy::advance(Common::Instant now)
{
    while (!this->expiries.empty() && this->expiries.begin()->due <= now.sinceOrigin()) {
        const Expiry expiry = *this->expiries.begin();
        this->expiries.erase(this->expiries.begin());
        const auto run = this->runs.find(expiry.issuer);
        if (run != this->runs.end()) {
            this->expire(run->second, expiry.epoch);
        }
    }
}

Common::Instant Deputy::nextDue() const
{
    if (this->expiries.empty()) {
        return Common::Instant::infinite();
    }
    return Common::Instant::fromOrigin(this->expiries.begin()->due);
}

} // namespace Currantfall::Execution
