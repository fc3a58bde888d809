#include "currantfall/Common/Time.h"
#include "currantfall/Configuration/Differences.h"

#include "Commands.h"
#include "Documents.h"

namespace Currantfall::Tool {

namespace {

ExitCode showDifferences(const Configuration::Environment &before,
                         const Configuration::Environment &after, Output &output)
{
    const std::vector<std::string> differences = Configuration::describeDifferences(before, after);
    std::string text;
    for (const std::string &difference : differences) {
        text += difference + "\n";
    }
    return output.show(differences.empty() ? "no differences\n" : text,
                       { { "differences", differences } });
}

ExitCode diffPromoted(const Document &document, const ToolSettings &settings, Output &output)
{
    const auto name = environmentOf(document, settings);
    if (!name) {
        return output.invalid(name.error());
    }
    auto client = connectPlatform(settings);
    if (!client) {
        return output.invalid(client.error());
    }
    const auto current = revisionStore(*client, settings, *name).current();
    if (!current) {
        return output.fail(current.error());
    }
    const auto promoted = fetchDocument(*client, current->row.document(),
                                        Common::monotonicNow() + settings.timeout);
    if (!promoted) {
        return output.fail(promoted.error());
    }
    return showDifferences(*promoted, document.environment, output);
}

} // namespace

ExitCode diff(const ToolSettings &settings, Output &output)
{
    if (auto fits = requireArguments(settings, 1, 2); !fits) {
        return output.invalid(fits.error());
    }
    const auto first = readDocument(settings.arguments.front(), output);
    if (!first) {
        return ExitCode::Invalid;
    }
    if (settings.arguments.size() == 1) {
        return diffPromoted(*first, settings, output);
    }
    const auto second = readDocument(settings.arguments.back(), output);
    return second ? showDifferences(first->environment, second->environment, output)
                  : ExitCode::Invalid;
}

} // namespace Currantfall::Tool
