#pragma once

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "DocumentNode.h"
#include "currantfall/Configuration/DocumentReader.h"

namespace Currantfall::Configuration {

/// Collects the faults of a document.
class DiagnosticList
{
public:
    void add(const DocumentNode &node, std::string path, std::string expected)
    {
        this->diagnostics.push_back(
                { node.line, node.column, std::move(path), std::move(expected) });
    }

    bool empty() const { return this->diagnostics.empty(); }

    /// The faults in document order.
    std::vector<Diagnostic> takeSorted()
    {
        std::stable_sort(this->diagnostics.begin(), this->diagnostics.end(),
                         [](const Diagnostic &left, const Diagnostic &right) {
                             return std::tie(left.line, left.column)
                                    < std::tie(right.line, right.column);
                         });
        return std::move(this->diagnostics);
    }

private:
    std::vector<Diagnostic> diagnostics;
};

} // namespace Currantfall::Configuration
