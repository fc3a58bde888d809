#include "NameTable.h"

#include <absl/strings/str_cat.h>

namespace Currantfall::Configuration {

void NameTable::define(const Cursor &cursor, const std::string &key)
{
    const std::size_t position = this->definitions.size();
    this->definitions.push_back({ cursor, !key.empty(), false });
    if (key.empty()) {
        return;
    }
    const auto [entry, inserted] = this->positions.emplace(key, position);
    if (!inserted) {
        const std::size_t firstLine = this->definitions[entry->second].cursor.line();
        this->definitions.back().readable = false;
        cursor.fail(absl::StrCat("a unique ", this->kind, "; first used in line ", firstLine));
    }
}

std::optional<std::size_t> NameTable::resolve(const Cursor &cursor, const std::string &key) const
{
    if (!cursor.isScalar() || this->definitions.empty()) {
        return std::nullopt;
    }
    const auto found = this->positions.find(key);
    if (found == this->positions.end()) {
        cursor.fail("the name of an existing " + this->kind);
        return std::nullopt;
    }
    return found->second;
}

void NameTable::use(const std::string &key)
{
    const auto found = this->positions.find(key);
    if (found != this->positions.end()) {
        this->definitions[found->second].used = true;
    }
}

void NameTable::failUnused(const std::string &expected) const
{
    for (const Definition &definition : this->definitions) {
        if (definition.readable && !definition.used) {
            definition.cursor.fail(expected);
        }
    }
}

} // namespace Currantfall::Configuration
