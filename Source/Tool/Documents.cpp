#include "Documents.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "currantfall/Configuration/DocumentReader.h"

namespace Currantfall::Tool {

namespace {

using Common::ErrorCode;
using nlohmann::json;

void showDiagnostics(const std::string &path,
                     const std::vector<Configuration::Diagnostic> &diagnostics, Output &output)
{
    std::string text;
    json list = json::array();
    for (const Configuration::Diagnostic &diagnostic : diagnostics) {
        text += path + ":" + diagnostic.toString() + "\n";
        list.push_back({ { "line", diagnostic.line },
                         { "column", diagnostic.column },
                         { "path", diagnostic.path },
                         { "expected", diagnostic.expected } });
    }
    output.show(text, { { "file", path }, { "valid", false }, { "diagnostics", std::move(list) } });
}

} // namespace

std::optional<Document> readDocument(const std::string &path, Output &output)
{
    const std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file || !text) {
        output.invalid(Common::Error(make_error_code(ErrorCode::InvalidInput), "read file", path,
                                     "the file can't be read or is empty"));
        return std::nullopt;
    }
    auto environment = Configuration::parseEnvironment(text.str());
    if (!environment) {
        showDiagnostics(path, environment.error(), output);
        return std::nullopt;
    }
    return Document { text.str(), *std::move(environment) };
}

Common::Result<std::string> environmentOf(const Document &document, const ToolSettings &settings)
{
    const std::string &name = document.environment.name;
    if (settings.environment && *settings.environment != name) {
        return Common::failure(ErrorCode::InvalidInput, "read settings", {},
                               "the document is for environment " + name + ", not for "
                                       + *settings.environment);
    }
    return name;
}

Common::Result<Configuration::Environment>
fetchDocument(Platform::PlatformClient &client, const std::string &hash, Common::Instant deadline)
{
    const auto text = client.getObject(hash, deadline);
    if (!text) {
        return tl::unexpected<Common::Error>(text.error());
    }
    if (Configuration::contentHash(*text) != hash) {
        return Common::failure(ErrorCode::Refused, "read object " + hash, client.address(),
                               "the content does not have this hash");
    }
    auto environment = Configuration::parseEnvironment(*text);
    if (!environment) {
        return Common::failure(ErrorCode::Refused, "read object " + hash, client.address(),
                               "the document is invalid: "
                                       + environment.error().front().toString());
    }
    return *std::move(environment);
}

} // namespace Currantfall::Tool
