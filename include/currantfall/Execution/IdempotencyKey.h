#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Names.h"

namespace Currantfall::Execution {

/// One run of one VM's daemon.
struct VmRun
{
    Common::VmName vm;
    Common::Incarnation incarnation = 0;

    friend bool operator==(const VmRun &left, const VmRun &right) = default;
    friend bool operator<(const VmRun &left, const VmRun &right)
    {
        return std::tie(left.vm.value(), left.incarnation)
               < std::tie(right.vm.value(), right.incarnation);
    }
};

using Epoch = std::uint64_t;

/// The part of a key that a lookup gives out: who may execute keys with it and who keeps the notes.
/// The text form is canonical: `1~<issuer>~<incarnation hex>~<deputy or ->~<incarnation
/// hex>~<epoch>`, hex digits in lower case, no leading zeros, and `-~0` for no deputy. Two prefixes
/// are equal exactly if their texts are.
struct KeyPrefix
{
    VmRun issuer;
    std::optional<VmRun> deputy;
    /// From 1. Counts the prefixes of one issuer incarnation, so each prefix has its own.
    Epoch epoch = 0;

    static Common::Result<KeyPrefix> parse(const std::string &text);
    std::string toString() const;

    friend bool operator==(const KeyPrefix &left, const KeyPrefix &right) = default;
};

/// `<prefix>.<unique>`. The unique part is chosen by the caller: 1 to 128 visible ASCII characters.
class IdempotencyKey
{
public:
    static Common::Result<IdempotencyKey> parse(const std::string &text);
    static Common::Result<IdempotencyKey> make(KeyPrefix prefix, std::string unique);

    const KeyPrefix &prefix() const { return this->keyPrefix; }
    const std::string &unique() const { return this->uniquePart; }
    std::string toString() const;

    friend bool operator==(const IdempotencyKey &left, const IdempotencyKey &right) = default;

private:
    IdempotencyKey(KeyPrefix prefix, std::string unique)
        : keyPrefix(std::move(prefix)), uniquePart(std::move(unique))
    { }

    KeyPrefix keyPrefix;
    std::string uniquePart;
};

} // namespace Currantfall::Execution
