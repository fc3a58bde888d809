#include "DocumentTree.h"

#include <sstream>
#include <utility>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace Currantfall::Configuration {

namespace {

// Documents travel between daemons in one frame of at most 20 MiB.
constexpr std::size_t maxDocumentBytes = std::size_t { 16 } * 1024 * 1024;
// A node takes about 100 bytes, so that a document of short values can't take more than 100 MB.
constexpr std::size_t maxNodes = 1'000'000;
// The schema has seven levels.
constexpr std::size_t maxDepth = 16;

const std::string rootPath = "document";

DocumentNode positioned(const YAML::Mark &mark)
{
    DocumentNode node;
    if (!mark.is_null()) {
        node.line = static_cast<std::size_t>(mark.line) + 1;
        node.column = static_cast<std::size_t>(mark.column) + 1;
    }
    return node;
}

// Builds the tree directly from events, because YAML::Node resolves aliases and its trees take
// several times the memory.
class TreeBuilder : public YAML::EventHandler
{
public:
    explicit TreeBuilder(DiagnosticList &list) : diagnostics(list) { }

    DocumentNode takeRoot() { return std::move(this->root); }

    void OnDocumentStart(const YAML::Mark & /*mark*/) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        this->append(positioned(mark));
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        // Aliases let a short document expand to a huge one.
        this->diagnostics.add(positioned(mark), rootPath, "a value instead of an alias");
        this->append(positioned(mark));
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t /*anchor*/,
                  const std::string &value) override
    {
        DocumentNode node = positioned(mark);
        this->checkTag(node, tag);
        node.kind = DocumentNode::Kind::Scalar;
        node.quoted = tag == "!";
        node.scalar = value;
        this->append(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override
    {
        this->open(mark, tag, DocumentNode::Kind::Sequence);
    }

    void OnSequenceEnd() override { this->close(); }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
        this->open(mark, tag, DocumentNode::Kind::Map);
    }

    void OnMapEnd() override { this->close(); }

private:
    // yaml-cpp gives plain values the tag "?" and quoted ones "!".
    void checkTag(const DocumentNode &node, const std::string &tag)
    {
        if (!tag.empty() && tag != "?" && tag != "!") {
            this->diagnostics.add(node, rootPath, "a value without a tag");
        }
    }

    void open(const YAML::Mark &mark, const std::string &tag, DocumentNode::Kind kind)
    {
        if (this->openNodes.size() >= maxDepth) {
            throw YAML::ParserException(mark, "nesting of at most 16 levels");
        }
        DocumentNode node = positioned(mark);
        this->checkTag(node, tag);
        node.kind = kind;
        this->openNodes.push_back(std::move(node));
    }

    void close()
    {
        DocumentNode node = std::move(this->openNodes.back());
        this->openNodes.pop_back();
        this->append(std::move(node));
    }

    void append(DocumentNode &&node)
    {
        if (++this->nodeCount > maxNodes) {
            YAML::Mark mark;
            mark.line = static_cast<int>(node.line) - 1;
            mark.column = static_cast<int>(node.column) - 1;
            throw YAML::ParserException(mark, "at most 1000000 values");
        }
        if (this->openNodes.empty()) {
            this->root = std::move(node);
            return;
        }
        this->openNodes.back().children.push_back(std::move(node));
    }

    DiagnosticList &diagnostics;
    DocumentNode root;
    std::vector<DocumentNode> openNodes;
    std::size_t nodeCount = 0;
};

// Only finds out where a second document starts.
class DocumentStartHandler : public TreeBuilder
{
public:
    using TreeBuilder::TreeBuilder;

    void OnDocumentStart(const YAML::Mark &mark) override { this->start = positioned(mark); }

    DocumentNode start;
};

} // namespace

std::optional<DocumentNode> loadDocument(const std::string &text, DiagnosticList &diagnostics)
{
    if (text.size() > maxDocumentBytes) {
        diagnostics.add(DocumentNode(), rootPath, "at most 16777216 bytes");
        return std::nullopt;
    }
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        TreeBuilder builder(diagnostics);
        if (!parser.HandleNextDocument(builder)) {
            diagnostics.add(DocumentNode(), rootPath, "an environment document");
            return std::nullopt;
        }
        DocumentStartHandler next(diagnostics);
        if (parser.HandleNextDocument(next)) {
            diagnostics.add(next.start, rootPath, "a single document");
            return std::nullopt;
        }
        return builder.takeRoot();
    } catch (const YAML::Exception &error) {
        diagnostics.add(positioned(error.mark), rootPath, "valid YAML: " + error.msg);
        return std::nullopt;
    }
}

} // namespace Currantfall::Configuration
