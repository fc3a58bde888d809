#include "Commands.h"

namespace Currantfall::Tool {

ExitCode rollback(const ToolSettings &settings, Output &output)
{
    if (auto fits = requireArguments(settings, 0, 0); !fits) {
        return output.invalid(fits.error());
    }
    const auto operatorName = settings.required(settings.operatorName, "operator");
    if (!operatorName) {
        return output.invalid(operatorName.error());
    }
    const auto name = settings.required(settings.environment, "environment");
    if (!name) {
        return output.invalid(name.error());
    }
    auto client = connectPlatform(settings);
    if (!client) {
        return output.invalid(client.error());
    }
    const auto row
            = revisionStore(*client, settings, *name).rollback(settings.target, *operatorName);
    return row ? showRevision(*name, *row, output) : output.fail(row.error());
}

} // namespace Currantfall::Tool
