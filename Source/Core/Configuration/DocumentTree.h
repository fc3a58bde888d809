#pragma once

#include <optional>
#include <string>

#include "DiagnosticList.h"
#include "DocumentNode.h"

namespace Currantfall::Configuration {

/// Parses YAML into a tree. Adds a diagnostic and returns nothing if the text is no single valid
/// document within the limits. Aliases and tags are diagnostics too, but the tree is returned.
std::optional<DocumentNode> loadDocument(const std::string &text, DiagnosticList &diagnostics);

} // namespace Currantfall::Configuration
