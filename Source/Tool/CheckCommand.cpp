#include "Commands.h"
#include "Documents.h"

namespace Currantfall::Tool {

ExitCode check(const ToolSettings &settings, Output &output)
{
    if (auto fits = requireArguments(settings, 1, 1); !fits) {
        return output.invalid(fits.error());
    }
    const std::string &path = settings.arguments.front();
    const auto document = readDocument(path, output);
    if (!document) {
        return ExitCode::Invalid;
    }
    if (auto name = environmentOf(*document, settings); !name) {
        return output.invalid(name.error());
    }
    return output.show(
            path + ": valid\n",
            { { "file", path }, { "valid", true }, { "diagnostics", nlohmann::json::array() } });
}

} // namespace Currantfall::Tool
