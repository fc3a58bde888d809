#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "currantfall/Peering/ValueCodec.h"
#include "currantfall/Steering/TableReplica.h"

namespace Currantfall::Entry {

/// Compressed forms of the large values of one table. Each is made once, not for each peer and
/// message, and kept until the row changes.
class CompressedRows
{
public:
    /// Whether rows with this value are compressed for peers.
    static bool isLarge(const Steering::RowChange &row);

    /// Called before the rows of `update` replace those of the replica: keeps the values to which
    /// the new ones are compressed as differences.
    void prepare(const Steering::TableReplica &replica, const Steering::TableUpdate &update);
    /// Keeps the form in which a peer has sent the value.
    void receive(const std::string &key, Steering::StorePosition position,
                 Peering::CompressedValue value);

    /// The difference to the value that the row had before, or the whole value if that is not
    /// known. Returns nullptr if the value can't be compressed.
    const Peering::CompressedValue *difference(const Steering::RowChange &row);
    /// The value by itself. Returns nullptr if it can't be compressed.
    const Peering::CompressedValue *whole(const Steering::RowChange &row);
    /// The difference of the value to itself, which only a VM that has it can read. Returns nullptr
    /// if it can't be compressed.
    const Peering::CompressedValue *reference(const Steering::RowChange &row);

private:
    struct Entry
    {
        Steering::StorePosition position;
        /// The value before, until the difference has been made.
        std::string base;
        std::optional<Peering::CompressedValue> difference;
        std::optional<Peering::CompressedValue> whole;
        std::optional<Peering::CompressedValue> reference;
    };

    Entry &entryAt(const std::string &key, Steering::StorePosition position);

    /// By key and era: after a return of the store from a copy, a row that is kept and the one that
    /// the store lists are both sent.
    std::map<std::pair<std::string, Steering::StoreEra>, Entry> entries;
};

} // namespace Currantfall::Entry
