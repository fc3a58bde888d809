#pragma once

#include <optional>
#include <string>

#include "currantfall/Configuration/Environment.h"
#include "currantfall/Platform/PlatformClient.h"

#include "Output.h"
#include "ToolSettings.h"

namespace Currantfall::Tool {

/// A checked document and its bytes.
struct Document
{
    std::string text;
    Configuration::Environment environment;
};

/// Reads and checks a file. On a fault it prints every diagnostic as
/// "FILE:line:column: path: expected ..." and returns nothing; the exit code is then
/// ExitCode::Invalid.
std::optional<Document> readDocument(const std::string &path, Output &output);

/// The environment that a document is for. Refuses another --environment.
Common::Result<std::string> environmentOf(const Document &document, const ToolSettings &settings);

/// Fetches and checks the document with this content hash.
Common::Result<Configuration::Environment>
fetchDocument(Platform::PlatformClient &client, const std::string &hash, Common::Instant deadline);

} // namespace Currantfall::Tool
