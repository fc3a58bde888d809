#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace Currantfall::Standins {

struct StoredRow
{
    std::string value;
    std::uint64_t version = 0;
};

enum class ObjectWrite {
    Created,
    Same,
    Different
};

/// Rows and objects in memory. Thread-safe; each call is one transaction.
class Store
{
public:
    std::optional<StoredRow> readRow(const std::string &table, const std::string &key) const;

    /// Writes if the row has `expected` as its version (nullopt: the row is absent). Returns the
    /// new version, or nothing if the condition does not hold. Versions are never used twice.
    std::optional<std::uint64_t> writeRow(const std::string &table, const std::string &key,
                                          const std::string &value,
                                          std::optional<std::uint64_t> expected);

    std::optional<std::string> readObject(const std::string &name) const;
    /// Objects are immutable: other bytes under a name that exists are refused.
    ObjectWrite writeObject(const std::string &name, const std::string &bytes);

private:
    mutable std::mutex mutex;
    std::map<std::pair<std::string, std::string>, StoredRow> rows;
    std::map<std::string, std::string> objects;
    std::uint64_t lastVersion = 0;
};

} // namespace Currantfall::Standins
