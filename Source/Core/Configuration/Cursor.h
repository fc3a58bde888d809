#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

#include "DiagnosticList.h"
#include "DocumentNode.h"

namespace Currantfall::Configuration {

/// A range of numbers. The lower bound of an open range is not part of it.
struct NumberRange
{
    double least = 0.0;
    double greatest = 0.0;
    bool open = false;
};

/// A value of the document together with its path. A read that fails adds a diagnostic and returns
/// nothing, so that reading goes on and every fault is found.
class Cursor
{
public:
    Cursor(const DocumentNode &node, std::string path, DiagnosticList &diagnostics)
        : node(&node), location(std::move(path)), diagnostics(&diagnostics)
    { }

    const std::string &path() const { return this->location; }
    std::size_t line() const { return this->node->line; }

    void fail(std::string expected) const;

    bool isScalar() const { return this->node->kind == DocumentNode::Kind::Scalar; }

    std::optional<std::string> text() const;
    /// Text that is also returned if it is not a valid name, so that references to it resolve.
    std::optional<std::string> name() const;
    std::optional<bool> boolean() const;
    std::optional<std::uint64_t> integer(std::uint64_t least, std::uint64_t greatest) const;
    std::optional<double> number(const NumberRange &range) const;

    /// The elements of a sequence with `least` to `greatest` elements.
    std::vector<Cursor> items(std::size_t least, std::size_t greatest = SIZE_MAX) const;

private:
    friend class MapCursor;

    bool isPlainScalar() const;

    const DocumentNode *node;
    std::string location;
    DiagnosticList *diagnostics;
};

/// The entries of a map. Reports unknown and duplicate keys on construction.
class MapCursor
{
public:
    MapCursor(const Cursor &cursor, std::initializer_list<const char *> keys);

    /// False if the value is not a map; then no key is reported as missing.
    bool valid() const { return this->isMap; }

    /// Reports a missing key.
    std::optional<Cursor> required(const std::string &key) const;
    std::optional<Cursor> optional(const std::string &key) const;

    // The following return an empty or zero value if the key is missing or its value is wrong.
    std::string name(const std::string &key) const;
    std::string text(const std::string &key) const;
    bool boolean(const std::string &key) const;
    std::uint64_t integer(const std::string &key, std::uint64_t least,
                          std::uint64_t greatest) const;
    double number(const std::string &key, const NumberRange &range) const;
    std::vector<Cursor> items(const std::string &key, std::size_t least,
                              std::size_t greatest = SIZE_MAX) const;

private:
    std::string childPath(const std::string &key) const;
    void addEntry(const DocumentNode &key, const DocumentNode &value,
                  std::initializer_list<const char *> keys);

    Cursor cursor;
    bool isMap = false;
    std::vector<std::pair<std::string, Cursor>> entries;
};

} // namespace Currantfall::Configuration
