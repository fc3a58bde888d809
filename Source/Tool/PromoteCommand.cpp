#include "Commands.h"
#include "Documents.h"

namespace Currantfall::Tool {

ExitCode promote(const ToolSettings &settings, Output &output)
{
    if (auto fits = requireArguments(settings, 1, 1); !fits) {
        return output.invalid(fits.error());
    }
    const auto operatorName = settings.required(settings.operatorName, "operator");
    if (!operatorName) {
        return output.invalid(operatorName.error());
    }
    const auto document = readDocument(settings.arguments.front(), output);
    if (!document) {
        return ExitCode::Invalid;
    }
    const auto name = environmentOf(*document, settings);
    if (!name) {
        return output.invalid(name.error());
    }
    auto client = connectPlatform(settings);
    if (!client) {
        return output.invalid(client.error());
    }
    const auto row = revisionStore(*client, settings, *name)
                             .promote(document->text, *operatorName, settings.expected);
    return row ? showRevision(*name, *row, output) : output.fail(row.error());
}

} // namespace Currantfall::Tool
