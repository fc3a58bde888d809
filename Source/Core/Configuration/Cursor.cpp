#include "Cursor.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Configuration {

namespace {

template<typename Number>
std::optional<Number> parseWhole(const std::string &text)
{
    Number value = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::string describe(const NumberRange &range)
{
    if (range.open) {
        return absl::StrCat("a number above ", range.least, " and up to ", range.greatest);
    }
    return absl::StrCat("a number in ", range.least, "..", range.greatest);
}

bool contains(const NumberRange &range, double value)
{
    const bool aboveLeast = range.open ? value > range.least : value >= range.least;
    return std::isfinite(value) && aboveLeast && value <= range.greatest;
}

std::string describeCount(std::size_t least, std::size_t greatest)
{
    if (greatest == SIZE_MAX) {
        return least == 0 ? "a list" : absl::StrCat("a list with at least ", least, " element");
    }
    return absl::StrCat("a list of ", least, " to ", greatest, " elements");
}

} // namespace

void Cursor::fail(std::string expected) const
{
    const std::string path = this->location.empty() ? "document" : this->location;
    this->diagnostics->add(*this->node, path, std::move(expected));
}

bool Cursor::isPlainScalar() const
{
    return this->isScalar() && !this->node->quoted;
}

std::optional<std::string> Cursor::text() const
{
    if (!this->isScalar()) {
        this->fail("text");
        return std::nullopt;
    }
    return this->node->scalar;
}

std::optional<std::string> Cursor::name() const
{
    if (!this->isScalar() || !Common::isValidName(this->node->scalar)) {
        this->fail("a name of 1 to 63 characters of a-z, 0-9 and '-' that does not start with '-'");
    }
    return this->isScalar() ? std::optional<std::string>(this->node->scalar) : std::nullopt;
}

std::optional<bool> Cursor::boolean() const
{
    if (this->isPlainScalar()) {
        if (this->node->scalar == "true") {
            return true;
        }
        if (this->node->scalar == "false") {
            return false;
        }
    }
    this->fail("true or false");
    return std::nullopt;
}

std::optional<std::uint64_t> Cursor::integer(std::uint64_t least, std::uint64_t greatest) const
{
    const std::string &digits = this->node->scalar;
    // YAML 1.1 reads a leading zero as octal, YAML 1.2 does not.
    const bool ambiguous = digits.size() > 1 && digits.front() == '0';
    if (this->isPlainScalar() && !ambiguous) {
        const auto value = parseWhole<std::uint64_t>(digits);
        if (value && *value >= least && *value <= greatest) {
            return value;
        }
    }
    this->fail(absl::StrCat("a whole number in ", least, "..", greatest));
    return std::nullopt;
}

std::optional<double> Cursor::number(const NumberRange &range) const
{
    if (this->isPlainScalar()) {
        const auto value = parseWhole<double>(this->node->scalar);
        if (value && contains(range, *value)) {
            return value;
        }
    }
    this->fail(describe(range));
    return std::nullopt;
}

std::vector<Cursor> Cursor::items(std::size_t least, std::size_t greatest) const
{
    const auto &children = this->node->children;
    if (this->node->kind != DocumentNode::Kind::Sequence) {
        this->fail(describeCount(least, greatest));
        return {};
    }
    if (children.size() < least || children.size() > greatest) {
        this->fail(describeCount(least, greatest));
    }
    std::vector<Cursor> cursors;
    cursors.reserve(children.size());
    for (std::size_t index = 0; index < children.size(); ++index) {
        cursors.emplace_back(children[index], absl::StrCat(this->location, "[", index, "]"),
                             *this->diagnostics);
    }
    return cursors;
}

MapCursor::MapCursor(const Cursor &cursor, std::initializer_list<const char *> keys)
    : cursor(cursor)
{
    const DocumentNode &node = *cursor.node;
    if (node.kind != DocumentNode::Kind::Map) {
        cursor.fail("a map with the keys " + absl::StrJoin(keys, ", "));
        return;
    }
    this->isMap = true;
    for (std::size_t index = 0; index + 1 < node.children.size(); index += 2) {
        this->addEntry(node.children[index], node.children[index + 1], keys);
    }
}

void MapCursor::addEntry(const DocumentNode &key, const DocumentNode &value,
                         std::initializer_list<const char *> keys)
{
    const Cursor keyCursor(key, this->childPath(key.scalar), *this->cursor.diagnostics);
    const bool known = key.kind == DocumentNode::Kind::Scalar
                       && std::find(keys.begin(), keys.end(), key.scalar) != keys.end();
    if (!known) {
        keyCursor.fail("one of the keys " + absl::StrJoin(keys, ", "));
        return;
    }
    if (this->optional(key.scalar)) {
        keyCursor.fail("each key only once");
        return;
    }
    this->entries.emplace_back(
            key.scalar, Cursor(value, this->childPath(key.scalar), *this->cursor.diagnostics));
}

std::string MapCursor::childPath(const std::string &key) const
{
    return this->cursor.path().empty() ? key : absl::StrCat(this->cursor.path(), ".", key);
}

std::optional<Cursor> MapCursor::required(const std::string &key) const
{
    auto found = this->optional(key);
    if (!found && this->isMap) {
        const Cursor missing(*this->cursor.node, this->childPath(key), *this->cursor.diagnostics);
        missing.fail("the key to be present");
    }
    return found;
}

std::optional<Cursor> MapCursor::optional(const std::string &key) const
{
    for (const auto &[entryKey, value] : this->entries) {
        if (entryKey == key) {
            return value;
        }
    }
    return std::nullopt;
}

std::string MapCursor::name(const std::string &key) const
{
    const auto found = this->required(key);
    return found ? found->name().value_or("") : "";
}

std::string MapCursor::text(const std::string &key) const
{
    const auto found = this->required(key);
    return found ? found->text().value_or("") : "";
}

bool MapCursor::boolean(const std::string &key) const
{
    const auto found = this->required(key);
    return found && found->boolean().value_or(false);
}

std::uint64_t MapCursor::integer(const std::string &key, std::uint64_t least,
                                 std::uint64_t greatest) const
{
    const auto found = this->required(key);
    return found ? found->integer(least, greatest).value_or(0) : 0;
}

double MapCursor::number(const std::string &key, const NumberRange &range) const
{
    const auto found = this->required(key);
    return found ? found->number(range).value_or(0.0) : 0.0;
}

std::vector<Cursor> MapCursor::items(const std::string &key, std::size_t least,
                                     std::size_t greatest) const
{
    const auto found = this->required(key);
    return found ? found->items(least, greatest) : std::vector<Cursor>();
}

} // namespace Currantfall::Configuration
