#include "CompressedRows.h"

#include <utility>

namespace Currantfall::Entry {

namespace {

// Smaller values cost less on the link than the time to compress them.
constexpr std::size_t minCompressedBytes = 4096;

const Peering::CompressedValue *compressOnce(std::optional<Peering::CompressedValue> &kept,
                                             const std::string &value, const std::string &base)
{
    if (!kept) {
        auto compressed = Peering::CompressedValue::compress(value, base);
        if (!compressed) {
            return nullptr;
        }
        kept = std::move(*compressed);
    }
    return &*kept;
}

} // namespace

bool CompressedRows::isLarge(const Steering::RowChange &row)
{
    return row.value.size() >= minCompressedBytes;
}

CompressedRows::Entry &CompressedRows::entryAt(const std::string &key,
                                               Steering::StorePosition position)
{
    Entry &entry = this->entries[{ key, position.era() }];
    if (entry.position != position) {
        entry = {};
        entry.position = position;
    }
    return entry;
}

void CompressedRows::prepare(const Steering::TableReplica &replica,
                             const Steering::TableUpdate &update)
{
    for (const Steering::RowChange &row : update.rows) {
        const auto known = replica.rows().find(row.key);
        if (!isLarge(row) || row.deleted) {
            this->entries.erase({ row.key, row.position.era() });
        } else if (known == replica.rows().end() || known->second.position < row.position) {
            Entry &entry = this->entryAt(row.key, row.position);
            if (!entry.difference && known != replica.rows().end()) {
                entry.base = known->second.value;
            }
        }
    }
}

void CompressedRows::receive(const std::string &key, Steering::StorePosition position,
                             Peering::CompressedValue value)
{
    Entry &entry = this->entryAt(key, position);
    (value.baseHash() == 0 ? entry.whole : entry.difference) = std::move(value);
}

const Peering::CompressedValue *CompressedRows::difference(const Steering::RowChange &row)
{
    Entry &entry = this->entryAt(row.key, row.position);
    if (!entry.difference && entry.base.empty()) {
        return this->whole(row);
    }
    const auto *compressed = compressOnce(entry.difference, row.value, entry.base);
    std::string().swap(entry.base);
    return compressed;
}

const Peering::CompressedValue *CompressedRows::whole(const Steering::RowChange &row)
{
    return compressOnce(this->entryAt(row.key, row.position).whole, row.value, {});
}

const Peering::CompressedValue *CompressedRows::reference(const Steering::RowChange &row)
{
    return compressOnce(this->entryAt(row.key, row.position).reference, row.value, row.value);
}

} // namespace Currantfall::Entry
