#include "currantfall/Common/CommandLine.h"

#include <cstdlib>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <cxxopts.hpp>

namespace Currantfall::Common {

namespace {

using Settings = std::map<std::string, std::vector<std::string>>;

constexpr const char *positionalName = "positional-arguments";

tl::unexpected<Error> invalid(const std::string &detail)
{
    return failure(ErrorCode::InvalidInput, "read settings", {}, detail);
}

std::string variableName(const std::string &prefix, const std::string &flag)
{
    std::string name = prefix;
    for (const char character : flag) {
        name += character == '-' ? '_' : absl::ascii_toupper(character);
    }
    return name;
}

/// Adds what the environment variable of `flag` sets.
Result<void> addVariable(const Flag &flag, const std::string &prefix, Settings &settings)
{
    const std::string name = variableName(prefix, flag.name);
    const char *found = std::getenv(name.c_str());
    if (found == nullptr) {
        return {};
    }
    const std::string value = found;
    if (!flag.valueName.empty()) {
        settings[flag.name] = flag.repeatable ? std::vector<std::string>(absl::StrSplit(value, ','))
                                              : std::vector<std::string> { value };
        return {};
    }
    if (value == "1" || value == "true") {
        settings[flag.name] = {};
        return {};
    }
    if (value.empty() || value == "0" || value == "false") {
        return {};
    }
    return invalid(name + ": expected 0, 1, true or false, found '" + value + "'");
}

/// Makes cxxopts read the command line.
Result<cxxopts::ParseResult> readArguments(const std::vector<Flag> &flags, int argc,
                                           const char *const *argv)
{
    try {
        cxxopts::Options options("currantfall");
        for (const Flag &flag : flags) {
            if (flag.valueName.empty()) {
                options.add_options()(flag.name, "");
            } else {
                options.add_options()(flag.name, "", cxxopts::value<std::string>());
            }
        }
        options.add_options()(positionalName, "", cxxopts::value<std::vector<std::string>>());
        options.parse_positional(positionalName);
        return options.parse(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        return invalid(error.what());
    }
}

} // namespace

Result<CommandLine> CommandLine::parse(const std::vector<Flag> &flags,
                                       const std::string &environmentPrefix, int argc,
                                       const char *const *argv)
{
    const auto parsed = readArguments(flags, argc, argv);
    if (!parsed) {
        return tl::unexpected<Error>(parsed.error());
    }
    CommandLine line;
    for (const cxxopts::KeyValue &argument : parsed->arguments()) {
        if (argument.key() == positionalName) {
            line.arguments.push_back(argument.value());
        } else {
            line.settings[argument.key()].push_back(argument.value());
        }
    }
    for (const Flag &flag : flags) {
        const auto found = line.settings.find(flag.name);
        if (found == line.settings.end() && flag.hasVariable && !environmentPrefix.empty()) {
            if (auto added = addVariable(flag, environmentPrefix, line.settings); !added) {
                return tl::unexpected<Error>(added.error());
            }
        } else if (found != line.settings.end() && found->second.size() > 1 && !flag.repeatable) {
            return invalid("--" + flag.name + " is given more than once");
        }
    }
    return line;
}

std::optional<std::string> CommandLine::value(const std::string &flag) const
{
    const auto found = this->settings.find(flag);
    if (found == this->settings.end() || found->second.empty()) {
        return std::nullopt;
    }
    return found->second.front();
}

std::string CommandLine::valueOr(const std::string &flag, const std::string &fallback) const
{
    return this->value(flag).value_or(fallback);
}

Result<long> CommandLine::number(const std::string &flag, long fallback, long least,
                                 long most) const
{
    const auto text = this->value(flag);
    if (!text) {
        return fallback;
    }
    long number = 0;
    if (!absl::SimpleAtoi(*text, &number) || number < least || number > most) {
        return invalid(absl::StrFormat("--%s: expected a whole number from %d to %d, found '%s'",
                                       flag, least, most, *text));
    }
    return number;
}

std::vector<std::string> CommandLine::values(const std::string &flag) const
{
    const auto found = this->settings.find(flag);
    return found == this->settings.end() ? std::vector<std::string> {} : found->second;
}

std::string CommandLine::describe(const std::vector<Flag> &flags)
{
    std::string text;
    for (const Flag &flag : flags) {
        const std::string synopsis
                = "--" + flag.name + (flag.valueName.empty() ? "" : " " + flag.valueName);
        text += absl::StrFormat("  %-28s %s%s\n", synopsis, flag.help,
                                flag.repeatable ? " (may be repeated)" : "");
    }
    return text;
}

} // namespace Currantfall::Common
