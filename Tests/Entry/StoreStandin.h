#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ConnectionServer.h"

namespace Currantfall::Tests {

/// How the store treats its calls.
enum class StoreFault {
    None,
    Refuses,     ///< 503; nothing is done.
    Silent,      ///< No answer until the fault ends.
    Slow,        ///< Answers come late.
    LosesAnswers ///< Calls are done, and the connection closes without an answer.
};

/// The platform's row store as entry VMs call it, kept in memory. Thread-safe.
class StoreStandin
{
public:
    StoreStandin(const std::string &address, int port);
    ~StoreStandin();
    StoreStandin(const StoreStandin &) = delete;
    StoreStandin &operator=(const StoreStandin &) = delete;

    /// Writes of the operator and of backend servers, which reach the store at all times.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    void setFault(StoreFault fault);
    /// Changes up to now can't be read any more.
    void forgetHistory();

    /// Keeps a copy of the rows for restoreCopy().
    void saveCopy();
    /// A write of the operator or of a backend server that a restore has lost.
    struct LostWrite
    {
        std::string table;
        std::string key;
        std::optional<std::string> value; ///< Not set if the row was removed.
    };
    /// Returns to the copy. What was written since is gone, its versions are given out again, and
    /// the era rises. Returns what the operator and the backend servers have to write again.
    std::vector<LostWrite> restoreCopy();
    /// Writes again what was lost, but for rows that were written since the restore.
    void writeAgain(const std::vector<LostWrite> &lost);

    /// The value of a row, or nothing if it does not exist.
    std::optional<std::string> value(const std::string &table, const std::string &key);
    std::uint64_t currentVersion();
    /// Number of transactions of entry VMs.
    std::size_t transactions();

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    using Key = std::pair<std::string, std::string>; ///< Table and key.

    void addCall(const std::string &path,
                 const std::function<void(const httplib::Request &, httplib::Response &)> &answer);
    /// Lets a call wait or fail as the present fault wants it; true if it is to be answered.
    bool admit(httplib::Response &response);
    void write(const std::string &table, const std::string &key,
               const std::optional<std::string> &value);
    void answerRows(const httplib::Request &request, httplib::Response &response);
    void answerChanges(const httplib::Request &request, httplib::Response &response);
    void answerTransaction(const httplib::Request &request, httplib::Response &response);
    nlohmann::json describe(const Key &key, const Row &row) const;
    /// Answers with the present era. Requires the lock.
    void answer(httplib::Response &response, const nlohmann::json &body);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    /// All changes by version. A read of changes returns each of them, not only the latest of a
    /// row.
    std::map<std::uint64_t, std::pair<Key, Row>> history;
    std::uint64_t version = 0;
    std::uint64_t historyStart = 0;
    std::uint64_t era = 1;
    std::map<Key, Row> copiedRows;
    std::uint64_t copiedVersion = 0;
    std::size_t transactionCount = 0;
    StoreFault fault = StoreFault::None;
    bool stopping = false;
    BackendStandin::ConnectionServer server;
};

} // namespace Currantfall::Tests
