#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "Cursor.h"

namespace Currantfall::Configuration {

/// The names (or addresses) of one kind that a document defines. Checks that they are unique, that
/// references resolve, and that every definition is used.
class NameTable
{
public:
    /// `kind` is the term for messages, such as "zone".
    explicit NameTable(std::string kind) : kind(std::move(kind)) { }

    /// Positions count up with every call. An empty key stands for an unreadable definition.
    void define(const Cursor &cursor, const std::string &key);

    /// The position of the definition that the text at `cursor` refers to. Reports an unknown key,
    /// but not if the value is no text or if nothing is defined at all, which are faults of their
    /// own.
    std::optional<std::size_t> resolve(const Cursor &cursor, const std::string &key) const;

    /// Marks a definition as used; unknown keys are ignored.
    void use(const std::string &key);

    /// Reports every definition that was not used.
    void failUnused(const std::string &expected) const;

    std::size_t size() const { return this->definitions.size(); }

private:
    struct Definition
    {
        Cursor cursor;
        bool readable = false;
        bool used = false;
    };

    std::string kind;
    std::vector<Definition> definitions;
    absl::flat_hash_map<std::string, std::size_t> positions;
};

} // namespace Currantfall::Configuration
