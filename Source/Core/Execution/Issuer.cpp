#include "currantfall/Execution/Issuer.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <xxhash.h>

#include "currantfall/Common/Invariant.h"

namespace Currantfall::Execution {

namespace {

constexpr const char *partName = "issuer";
constexpr absl::Duration overloadRetryAfter = absl::Seconds(1);

Common::Answer expiredAnswer()
{
    return Common::outcomeUnknown(Common::Reason::KeyExpired,
                                  "the records of the key's epoch have expired");
}

} // namespace

Fingerprint fingerprintOf(const std::string &method, const std::string &path,
                          const std::string &body)
{
    // Each part seeds the next one, so that no two splits of one text are the same request.
    const XXH64_hash_t methodHash = XXH3_64bits(method.data(), method.size());
    const XXH64_hash_t pathHash = XXH3_64bits_withSeed(path.data(), path.size(), methodHash);
    return XXH3_64bits_withSeed(body.data(), body.size(), pathHash);
}

Issuer::Issuer(VmRun self, ExecutionSettings settings) : self(std::move(self)), settings(settings)
{ }

void Issuer::setDeputy(std::optional<VmRun> newDeputy)
{
    this->deputy = std::move(newDeputy);
}

bool Issuer::needsNewPrefix(Common::Instant now) const
{
    const auto last = this->issued.find(this->lastEpoch);
    if (last == this->issued.end()) {
        return true;
    }
    const IssuedPrefix &current = last->second;
    if (now >= current.expiry) {
        return true;
    }
    if (this->issued.size() >= this->settings.maxPrefixes) {
        // Keys with the old prefix are refused if its deputy is gone, which is safe.
        return false;
    }
    const bool roomAgain = current.full && this->records < this->settings.maxRecords;
    return current.prefix.deputy != this->deputy || roomAgain
           || now >= this->lastOpened + this->settings.epochLength;
}

KeyPrefix Issuer::currentPrefix(Common::Instant now)
{
    if (this->needsNewPrefix(now)) {
        ++this->lastEpoch;
        this->lastOpened = now;
        IssuedPrefix opened;
        opened.prefix = KeyPrefix { this->self, this->deputy, this->lastEpoch };
        opened.expiry = now + this->settings.epochLength + this->settings.grace;
        this->issued.emplace(this->lastEpoch, std::move(opened));
    }
    return this->issued.at(this->lastEpoch).prefix;
}

std::optional<Common::Answer> Issuer::refusePrefix(Common::Instant now,
                                                   const KeyPrefix &prefix) const
{
    if (prefix.issuer != this->self) {
        return Common::outcomeUnknown(Common::Reason::KeyExpired,
                                      "the key was issued by another run of its issuer");
    }
    if (prefix.epoch > this->lastEpoch) {
        // Not not-run: this epoch opens later, and the key could then run.
        return Common::outcomeUnknown(Common::Reason::BadKey, "the key's epoch is not open");
    }
    const auto found = this->issued.find(prefix.epoch);
    if (found == this->issued.end() || now >= found->second.expiry) {
        return expiredAnswer();
    }
    if (found->second.prefix != prefix) {
        // The epoch was given out with another deputy. Epochs are never given out twice, so no key
        // with this prefix ever runs.
        return Common::notRun(Common::Reason::BadKey, "the key's prefix was never issued");
    }
    return std::nullopt;
}

BeginDecision Issuer::begin(Common::Instant now, const IdempotencyKey &key, Fingerprint fingerprint,
                            WaiterId waiter)
{
    if (std::optional<Common::Answer> refusal = this->refusePrefix(now, key.prefix())) {
        return Refuse { *std::move(refusal) };
    }
    IssuedPrefix &prefix = this->issued.at(key.prefix().epoch);
    const auto found = prefix.records.find(key.unique());
    if (found == prefix.records.end()) {
        Record record;
        record.fingerprint = fingerprint;
        record.waiters.push_back(waiter);
        return this->start(now, prefix, key.unique(), std::move(record));
    }
    Record &record = found->second;
    if (record.fingerprint != fingerprint) {
        return Refuse { Common::notRun(Common::Reason::BadKey,
                                       "the key has been used for a different request") };
    }
    switch (record.state) {
    case State::IntentPending:
    case State::Running:
        record.waiters.push_back(waiter);
        return Join {};
    case State::Sealed:
        this->requireNeverRan(key.unique(), record);
        return Refuse { record.answer };
    case State::Finished:
        break;
    }
    return Replay { record.answer };
}

BeginDecision Issuer::start(Common::Instant now, IssuedPrefix &prefix, const std::string &unique,
                            Record record)
{
    if (this->closed) {
        // Final without a record: a closed issuer never starts a key again.
        return Refuse { Common::notRun(Common::Reason::ShuttingDown, "the entry VM is stopping") };
    }
    if (prefix.full || this->records >= this->settings.maxRecords) {
        // There is no room to remember that this key is refused. Refusing every further new key of
        // its prefix keeps the answer true.
        prefix.full = true;
        return Refuse { Common::notRun(Common::Reason::Overloaded, "the key table is full",
                                       overloadRetryAfter) };
    }
    ++this->records;
    if (!prefix.prefix.deputy) {
        this->beginExecution(unique, record);
        prefix.records.emplace(unique, std::move(record));
        return Run {};
    }
    record.intentDue = now + this->settings.intentTimeout;
    this->pendingIntents.insert(
            PendingIntent { record.intentDue.sinceOrigin(), prefix.prefix.epoch, unique });
    prefix.records.emplace(unique, std::move(record));
    return RecordIntent { *prefix.prefix.deputy };
}

Issuer::Record *Issuer::find(const IdempotencyKey &key)
{
    const auto prefix = this->issued.find(key.prefix().epoch);
    if (prefix == this->issued.end() || prefix->second.prefix != key.prefix()) {
        return nullptr;
    }
    const auto record = prefix->second.records.find(key.unique());
    return record == prefix->second.records.end() ? nullptr : &record->second;
}

void Issuer::beginExecution(const std::string &unique, Record &record)
{
    ++record.executions;
    ++this->running;
    Common::requireInvariant(record.executions == 1 && record.state == State::IntentPending,
                             partName, "a key is executed at most once",
                             [&] { return this->describe(unique, record); });
    record.state = State::Running;
}

void Issuer::requireNeverRan(const std::string &unique, const Record &record) const
{
    Common::requireInvariant(record.executions == 0 || record.resultWasNotRun, partName,
                             "not-run is never said of a key that may have run",
                             [&] { return this->describe(unique, record); });
}

nlohmann::json Issuer::describe(const std::string &unique, const Record &record) const
{
    return { { "vm", this->self.vm.value() },
             { "incarnation", this->self.incarnation },
             { "unique", unique },
             { "state", static_cast<int>(record.state) },
             { "executions", record.executions },
             { "result_was_not_run", record.resultWasNotRun },
             { "waiters", record.waiters.size() },
             { "records", this->records },
             { "running", this->running },
             { "pending_intents", this->pendingIntents.size() },
             { "last_epoch", this->lastEpoch },
             { "closed", this->closed } };
}

void Issuer::endIntent(const IdempotencyKey &key, Record &record)
{
    this->pendingIntents.erase(
            PendingIntent { record.intentDue.sinceOrigin(), key.prefix().epoch, key.unique() });
}

IntentDecision Issuer::onIntentReply(Common::Instant now, const IdempotencyKey &key,
                                     const IntentReply &reply)
{
    Record *const record = this->find(key);
    if (record == nullptr || record->state != State::IntentPending) {
        return std::monostate();
    }
    if (now >= this->issued.at(key.prefix().epoch).expiry) {
        // The deputy may forget the intent soon, so the key must not start any more.
        return this->seal(
                key, *record,
                Common::notRun(Common::Reason::KeyExpired, "the key expired before it could run"));
    }
    if (reply.deputyIncarnation != key.prefix().deputy->incarnation) {
        return this->seal(
                key, *record,
                Common::notRun(Common::Reason::DeputyUnreachable, "the deputy has restarted"));
    }
    if (reply.accepted) {
        this->endIntent(key, *record);
        this->beginExecution(key.unique(), *record);
        return Run {};
    }
    if (reply.sealed) {
        return this->seal(
                key, *record,
                Common::notRun(Common::Reason::KeySealed, "the deputy has answered not-run"));
    }
    return this->seal(key, *record,
                      Common::notRun(Common::Reason::DeputyUnreachable,
                                     "the deputy refused the intent note"));
}

std::optional<Completion> Issuer::onIntentTimeout(Common::Instant /*now*/,
                                                  const IdempotencyKey &key)
{
    Record *const record = this->find(key);
    if (record == nullptr || record->state != State::IntentPending) {
        return std::nullopt;
    }
    return this->seal(
            key, *record,
            Common::notRun(Common::Reason::DeputyUnreachable, "the deputy did not reply in time"));
}

std::vector<Completion> Issuer::onDeputyUnreachable(Common::Instant now, const Common::VmName &lost)
{
    std::vector<Completion> completions;
    const std::set<PendingIntent> pending = this->pendingIntents;
    for (const PendingIntent &intent : pending) {
        const KeyPrefix &prefix = this->issued.at(intent.epoch).prefix;
        if (prefix.deputy->vm != lost) {
            continue;
        }
        const auto key = IdempotencyKey::make(prefix, intent.unique);
        if (std::optional<Completion> completion = this->onIntentTimeout(now, key.value())) {
            completions.push_back(*std::move(completion));
        }
    }
    return completions;
}

Completion Issuer::seal(const IdempotencyKey &key, Record &record, Common::Answer answer)
{
    if (record.state == State::IntentPending) {
        this->endIntent(key, record);
    }
    this->requireNeverRan(key.unique(), record);
    record.state = State::Sealed;
    this->keepAnswer(record, answer);
    Completion completion { std::move(record.waiters), std::move(answer), std::nullopt };
    record.waiters.clear();
    if (key.prefix().deputy) {
        // The deputy may have noted the intent; the note lets it say not-run as well.
        completion.note = DeputyNote { *key.prefix().deputy, key, record.answer };
    }
    return completion;
}

void Issuer::keepAnswer(Record &record, const Common::Answer &answer)
{
    const std::size_t room = this->settings.maxTotalBytes > this->bytesKept
                                     ? this->settings.maxTotalBytes - this->bytesKept
                                     : 0;
    record.answer = boundedAnswer(answer, std::min(room, this->settings.maxRecordBytes));
    this->bytesKept += answerBytes(record.answer);
}

std::optional<Completion> Issuer::onResult(Common::Instant now, const IdempotencyKey &key,
                                           const Common::Answer &answer)
{
    Record *const record = this->find(key);
    if (record == nullptr || record->state != State::Running) {
        return std::nullopt;
    }
    Common::requireInvariant(this->running > 0, partName, "only a running key gets a result",
                             [&] { return this->describe(key.unique(), *record); });
    --this->running;
    std::optional<Completion> completion;
    if (answer.outcome == Common::Outcome::NotRun) {
        record->resultWasNotRun = true;
        completion = this->seal(key, *record, answer);
    } else {
        record->state = State::Finished;
        this->keepAnswer(*record, answer);
        completion = Completion { std::move(record->waiters), answer, std::nullopt };
        record->waiters.clear();
        if (key.prefix().deputy) {
            completion->note = DeputyNote { *key.prefix().deputy, key, record->answer };
        }
    }
    if (now >= this->issued.at(key.prefix().epoch).expiry) {
        this->erase(key);
    }
    return completion;
}

void Issuer::erase(const IdempotencyKey &key)
{
    const auto prefix = this->issued.find(key.prefix().epoch);
    const auto record = prefix->second.records.find(key.unique());
    this->bytesKept -= answerBytes(record->second.answer);
    --this->records;
    prefix->second.records.erase(record);
    if (prefix->second.records.empty()) {
        this->issued.erase(prefix);
    }
}

void Issuer::forget(IssuedPrefix &prefix, std::vector<Completion> &completions)
{
    for (auto entry = prefix.records.begin(); entry != prefix.records.end();) {
        const auto current = entry++;
        Record &record = current->second;
        if (record.state == State::Running) {
            continue; // Its waiters still get the result; repeats get outcome-unknown.
        }
        if (record.state == State::IntentPending) {
            const auto key = IdempotencyKey::make(prefix.prefix, current->first);
            completions.push_back(
                    this->seal(key.value(), record,
                               Common::notRun(Common::Reason::KeyExpired,
                                              "the key expired before it could run")));
        }
        this->bytesKept -= answerBytes(record.answer);
        --this->records;
        prefix.records.erase(current);
    }
}

std::vector<Completion> Issuer::advance(Common::Instant now)
{
    std::vector<Completion> completions;
    while (!this->pendingIntents.empty()
           && this->pendingIntents.begin()->due <= now.sinceOrigin()) {
        const PendingIntent overdue = *this->pendingIntents.begin();
        const auto key
                = IdempotencyKey::make(this->issued.at(overdue.epoch).prefix, overdue.unique);
        completions.push_back(*this->onIntentTimeout(now, key.value()));
    }
    for (auto entry = this->issued.begin(); entry != this->issued.end();) {
        if (now < entry->second.expiry) {
            break;
        }
        this->forget(entry->second, completions);
        entry->second.forgotten = true;
        entry = entry->second.records.empty() ? this->issued.erase(entry) : std::next(entry);
    }
    return completions;
}

Common::Instant Issuer::nextDue() const
{
    Common::Instant due = Common::Instant::infinite();
    for (const auto &[epoch, prefix] : this->issued) {
        // Expired prefixes that still have running keys wait for results, not for the time.
        if (!prefix.forgotten) {
            due = prefix.expiry;
            break;
        }
    }
    if (!this->pendingIntents.empty()) {
        due = std::min(due, Common::Instant::fromOrigin(this->pendingIntents.begin()->due));
    }
    return due;
}

void Issuer::close()
{
    this->closed = true;
}

Handover Issuer::handover()
{
    this->closed = true;
    Handover handover;
    while (!this->pendingIntents.empty()) {
        const PendingIntent intent = *this->pendingIntents.begin();
        const auto key
                = IdempotencyKey::make(this->issued.at(intent.epoch).prefix, intent.unique).value();
        handover.completions.push_back(
                this->seal(key, *this->find(key),
                           Common::notRun(Common::Reason::ShuttingDown,
                                          "the entry VM stopped before the key could run")));
    }
    for (const auto &[epoch, prefix] : this->issued) {
        for (const auto &[unique, record] : prefix.records) {
            const RecordState state = record.state == State::Running  ? RecordState::Running
                                      : record.state == State::Sealed ? RecordState::Sealed
                                                                      : RecordState::Finished;
            handover.records.push_back(KeyRecord {
                    IdempotencyKey::make(prefix.prefix, unique).value(), state, record.answer });
        }
    }
    return handover;
}

} // namespace Currantfall::Execution
