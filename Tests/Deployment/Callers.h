#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <httplib.h>

#include "DeploymentFixture.h"
#include "Support/RecordingThreads.h"

namespace Currantfall::Tests {

/// What became of one logical request.
struct CallRecord
{
    std::string requestId;
    std::string zone;    ///< Of the caller.
    std::string outcome; ///< "answered", "not-run", "outcome-unknown" or "unreachable".
    int status = 0;
    std::string reason;  ///< Of a refusal.
    std::string refusal; ///< VM and body of an answer that is not "answered" or not 200.
    bool wrong = false;  ///< The answer is not the one to this request.
    bool keyed = false;
    bool shortDeadline = false;
    bool repeated = false; ///< Sent more than once, after a lost connection.
};

struct CallerOptions
{
    /// Some requests have a deadline that they meet only sometimes.
    bool shortDeadlines = false;
    /// If above 0, uploads of that size are sent instead of queries.
    std::size_t uploadBytes = 0;
};

/// Callers in closed loops. Each looks up, sends to the first entry, and repeats a keyed request
/// with the same key at the next entry after a lost connection.
class Callers
{
public:
    /// Clients in `zones`, by default in all.
    Callers(const DeploymentFixture &deployment, std::size_t threads, bool keyed,
            const std::vector<std::string> &zones = {}, CallerOptions options = {});
    ~Callers();

    std::size_t completed() const { return this->threads.completed(); }
    /// Ends the loops and returns all records.
    std::vector<CallRecord> finish();

private:
    void run(std::size_t index);
    CallRecord call(std::size_t index, std::uint64_t number, const std::string &zone);
    httplib::Result send(httplib::Client &client, const std::string &requestId,
                         const std::string &key, std::uint64_t number) const;
    std::string service() const;
    bool hasShortDeadline(std::uint64_t number) const;

    const DeploymentFixture &deployment;
    bool keyed;
    std::string idPrefix; // Differs between the instances of a test program.
    std::vector<std::string> zones;
    CallerOptions options;
    RecordingThreads<CallRecord> threads;
};

} // namespace Currantfall::Tests
