#include "currantfall/Configuration/DocumentReader.h"

#include <xxhash.h>

#include <absl/strings/str_cat.h>

#include "DocumentTree.h"
#include "EnvironmentReader.h"

namespace Currantfall::Configuration {

std::string Diagnostic::toString() const
{
    return absl::StrCat(this->line, ":", this->column, ": ", this->path, ": expected ",
                        this->expected);
}

tl::expected<Environment, std::vector<Diagnostic>> parseEnvironment(const std::string &text)
{
    DiagnosticList diagnostics;
    const auto tree = loadDocument(text, diagnostics);
    if (!tree) {
        return tl::unexpected(diagnostics.takeSorted());
    }
    Environment environment = readEnvironment(Cursor(*tree, "", diagnostics));
    if (!diagnostics.empty()) {
        return tl::unexpected(diagnostics.takeSorted());
    }
    return environment;
}

std::string contentHash(const std::string &text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                        absl::Hex(hash.low64, absl::kZeroPad16));
}

} // namespace Currantfall::Configuration
