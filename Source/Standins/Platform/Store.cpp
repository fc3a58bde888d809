#include "Store.h"

namespace Currantfall::Standins {

std::optional<StoredRow> Store::readRow(const std::string &table, const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->rows.find({ table, key });
    return found == this->rows.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint64_t> Store::writeRow(const std::string &table, const std::string &key,
                                             const std::string &value,
                                             std::optional<std::uint64_t> expected)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->rows.find({ table, key });
    const auto present
            = found == this->rows.end() ? std::nullopt : std::optional(found->second.version);
    if (present != expected) {
        return std::nullopt;
    }
    const std::uint64_t version = ++this->lastVersion;
    this->rows[{ table, key }] = { value, version };
    return version;
}

std::optional<std::string> Store::readObject(const std::string &name) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? std::nullopt : std::optional(found->second);
}

ObjectWrite Store::writeObject(const std::string &name, const std::string &bytes)
{
    const std::lock_guard lock(this->mutex);
    const auto [entry, added] = this->objects.try_emplace(name, bytes);
    if (added) {
        return ObjectWrite::Created;
    }
    return entry->second == bytes ? ObjectWrite::Same : ObjectWrite::Different;
}

} // namespace Currantfall::Standins
