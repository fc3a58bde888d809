#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include "currantfall/Common/Outcome.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Execution/IdempotencyKey.h"
#include "currantfall/Execution/Records.h"

namespace Currantfall::Execution {

/// Names one request that waits for the answer of a key.
using WaiterId = std::uint64_t;

/// Hash of method, path and body of a keyed request.
using Fingerprint = std::uint64_t;

/// Computes the fingerprint (XXH3-64).
Fingerprint fingerprintOf(const std::string &method, const std::string &path,
                          const std::string &body);

/// Send an intent note to `deputy` and pass its reply to onIntentReply().
struct RecordIntent
{
    VmRun deputy;
};

/// Execute the request now and pass its result to onResult().
struct Run
{ };

/// The key is already being executed; the waiter gets the answer with the others.
struct Join
{ };

/// The key has this recorded answer.
struct Replay
{
    Common::Answer answer;
};

/// The key is not executed for this request.
struct Refuse
{
    Common::Answer answer;
};

using BeginDecision = std::variant<RecordIntent, Run, Join, Replay, Refuse>;

/// Send a result note with `answer` for `key` to `deputy`.
struct DeputyNote
{
    VmRun deputy;
    IdempotencyKey key;
    Common::Answer answer;
};

/// Answer all `waiters` with `answer`; send `note` if there is one.
struct Completion
{
    std::vector<WaiterId> waiters;
    Common::Answer answer;
    std::optional<DeputyNote> note;
};

/// Reply of the deputy to an intent note.
struct IntentReply
{
    bool accepted = false;
    /// The deputy has answered not-run for this key; only with `accepted` false.
    bool sealed = false;
    Common::Incarnation deputyIncarnation = 0;
};

/// All records of an issuer that stops. Send each record to the deputy that its key names.
struct Handover
{
    std::vector<KeyRecord> records;
    std::vector<Completion> completions;
};

/// Ignored, execute the key now, or a refusal for all waiters.
using IntentDecision = std::variant<std::monostate, Run, Completion>;

/// Gives out key prefixes and decides about every key with them: the only place that may start
/// their execution. Not thread-safe.
class Issuer
{
public:
    Issuer(VmRun self, ExecutionSettings settings);

    /// The prefix for lookups and heartbeats. Opens a new one when the epoch has ended, the deputy
    /// has changed, or the record table has been full.
    KeyPrefix currentPrefix(Common::Instant now);

    /// Sets the deputy of prefixes issued from now on; nullopt if the zone has no other member.
    void setDeputy(std::optional<VmRun> newDeputy);

    /// Decides about a keyed request. `waiter` is kept for RecordIntent, Run and Join.
    BeginDecision begin(Common::Instant now, const IdempotencyKey &key, Fingerprint fingerprint,
                        WaiterId waiter);

    IntentDecision onIntentReply(Common::Instant now, const IdempotencyKey &key,
                                 const IntentReply &reply);

    /// Seals the key if its intent is still not confirmed. advance() calls this by itself for
    /// intents older than the intent timeout.
    std::optional<Completion> onIntentTimeout(Common::Instant now, const IdempotencyKey &key);

    /// Seals all keys that wait for a reply of any run of `deputy`.
    std::vector<Completion> onDeputyUnreachable(Common::Instant now, const Common::VmName &deputy);

    /// Records the result of an execution. Only the first result of a running key counts.
    std::optional<Completion> onResult(Common::Instant now, const IdempotencyKey &key,
                                       const Common::Answer &answer);

    /// Ends intents that are overdue and forgets records of expired prefixes.
    std::vector<Completion> advance(Common::Instant now);

    /// The time at which advance() has work to do next.
    Common::Instant nextDue() const;

    /// For a planned stop: no key starts from now on. Keys without a record get not-run.
    void close();

    /// Closes the issuer, seals keys that wait for their deputy, and returns all records.
    Handover handover();

    std::size_t recordCount() const { return this->records; }
    /// Keys whose execution has begun and not ended.
    std::size_t runningCount() const { return this->running; }

private:
    enum class State {
        IntentPending,
        Running,
        Sealed,
        Finished,
    };

    struct Record
    {
        Fingerprint fingerprint = 0;
        State state = State::IntentPending;
        std::vector<WaiterId> waiters;
        Common::Answer answer;
        Common::Instant intentDue;
        /// Kept apart from the state, so that the invariants don't depend on it.
        unsigned executions = 0;
        bool resultWasNotRun = false;
    };

    struct IssuedPrefix
    {
        KeyPrefix prefix;
        Common::Instant expiry;
        /// New keys are refused because the record table was full when one of them arrived.
        bool full = false;
        /// Expired; only running keys are left.
        bool forgotten = false;
        /// By the unique part of the key. After the expiry only running keys remain.
        absl::flat_hash_map<std::string, Record> records;
    };

    struct PendingIntent
    {
        absl::Duration due;
        Epoch epoch = 0;
        std::string unique;

        friend bool operator<(const PendingIntent &left, const PendingIntent &right)
        {
            return std::tie(left.due, left.epoch, left.unique)
                   < std::tie(right.due, right.epoch, right.unique);
        }
    };

    bool needsNewPrefix(Common::Instant now) const;
    std::optional<Common::Answer> refusePrefix(Common::Instant now, const KeyPrefix &prefix) const;
    BeginDecision start(Common::Instant now, IssuedPrefix &prefix, const std::string &unique,
                        Record record);
    Record *find(const IdempotencyKey &key);
    void beginExecution(const std::string &unique, Record &record);
    /// For a key of which not-run is said.
    void requireNeverRan(const std::string &unique, const Record &record) const;
    nlohmann::json describe(const std::string &unique, const Record &record) const;
    void endIntent(const IdempotencyKey &key, Record &record);
    Completion seal(const IdempotencyKey &key, Record &record, Common::Answer answer);
    void keepAnswer(Record &record, const Common::Answer &answer);
    void forget(IssuedPrefix &prefix, std::vector<Completion> &completions);
    void erase(const IdempotencyKey &key);

    VmRun self;
    ExecutionSettings settings;
    std::optional<VmRun> deputy;
    bool closed = false;
    Epoch lastEpoch = 0;
    Common::Instant lastOpened;
    /// By epoch, thus also in the order of expiry.
    std::map<Epoch, IssuedPrefix> issued;
    std::set<PendingIntent> pendingIntents;
    std::size_t records = 0;
    std::size_t bytesKept = 0;
    std::size_t running = 0;
};

} // namespace Currantfall::Execution
