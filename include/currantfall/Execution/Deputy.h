#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "currantfall/Common/Outcome.h"
#include "currantfall/Common/Time.h"
#include "currantfall/Execution/IdempotencyKey.h"
#include "currantfall/Execution/Issuer.h"
#include "currantfall/Execution/Records.h"

namespace Currantfall::Execution {

/// Keeps the notes of other VMs' issuers and answers for them when they can't be reached. It
/// answers not-run only if it is certain that it has forgotten no intent of the key's prefix.
/// Not thread-safe.
class Deputy
{
public:
    Deputy(VmRun self, ExecutionSettings settings);

    /// Notes a prefix that an issuer announces in its heartbeat. A key of a prefix that neither a
    /// heartbeat nor an intent has announced gets outcome-unknown, so that invented keys use no
    /// memory. Prefixes that name another deputy are ignored.
    void noteIssuedPrefix(Common::Instant now, const KeyPrefix &prefix);

    /// Checks the seal and notes the intent in one step. `issuer` is the sender as its link names
    /// it. Neither accepted nor sealed means refused, without a lasting effect here.
    IntentReply noteIntent(Common::Instant now, const VmRun &issuer, const IdempotencyKey &key);

    /// Notes the result of a key. Only the first result counts.
    void noteResult(Common::Instant now, const VmRun &issuer, const IdempotencyKey &key,
                    const Common::Answer &answer);

    /// The answer for a key whose issuer can't be reached. Seals the key if it says not-run.
    Common::Answer query(Common::Instant now, const IdempotencyKey &key);

    /// Takes the records of an issuer that stops. Records that name another deputy are ignored.
    void acceptHandover(Common::Instant now, const VmRun &issuer,
                        const std::vector<KeyRecord> &handedOver);

    /// Forgets the notes of expired prefixes.
    void advance(Common::Instant now);

    /// The time at which advance() has work to do next.
    Common::Instant nextDue() const;

    std::size_t recordCount() const { return this->records; }

private:
    enum class State {
        Intent,
        Sealed,
        Finished,
    };

    struct Note
    {
        State state = State::Intent;
        Common::Answer answer;
    };

    struct EpochNotes
    {
        /// False if a record that shows an execution could not be stored.
        bool complete = true;
        /// By the unique part of the key.
        absl::flat_hash_map<std::string, Note> notes;
    };

    struct IssuerRun
    {
        /// Notes of this epoch and earlier ones are forgotten.
        Epoch expired = 0;
        std::map<Epoch, EpochNotes> epochs;
    };

    struct Expiry
    {
        absl::Duration due;
        VmRun issuer;
        Epoch epoch = 0;

        friend bool operator<(const Expiry &left, const Expiry &right)
        {
            return std::tie(left.due, left.issuer, left.epoch)
                   < std::tie(right.due, right.issuer, right.epoch);
        }
    };

    EpochNotes *establish(Common::Instant now, const KeyPrefix &prefix);
    EpochNotes *findEpoch(const KeyPrefix &prefix);
    IssuerRun *findOrAddRun(const VmRun &issuer);
    bool evictRun();
    bool namesSelf(const KeyPrefix &prefix) const;
    Note *insert(EpochNotes &epoch, const std::string &unique, State state);
    void finish(Note &note, const Common::Answer &answer);
    void take(EpochNotes &epoch, const KeyRecord &record);
    void expire(IssuerRun &run, Epoch upTo);

    VmRun self;
    ExecutionSettings settings;
    std::map<VmRun, IssuerRun> runs;
    std::set<Expiry> expiries;
    /// Runs up to this incarnation may have been evicted together with their expiry marks.
    Common::Incarnation evictedUpTo = 0;
    std::size_t records = 0;
    std::size_t bytesKept = 0;
};

} // namespace Currantfall::Execution
