#include "version/yaml_document.h"

#include "version/yaml_text.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <exception>
#include <sstream>

namespace sesamespar {

namespace {

/// Thrown from an event handler to end the parse, after the cause was reported.
struct parse_stopped : std::exception {
};

yaml_location locationOf(const YAML::Mark &mark)
{
    return {mark.line + 1, mark.column + 1};
}

/// Builds the tree from the events of the YAML library. Pointers to open nodes stay valid while they are on the
/// stack, because only the innermost open node gets new children.
class tree_builder : public YAML::EventHandler
{
public:
    tree_builder(yaml_document &document, const std::string &file)
        : m_document(document)
        , m_file(file)
    {
    }

    void OnDocumentStart(const YAML::Mark &mark) override // NOLINT(readability-identifier-naming)
    {
        if (++m_documents > 1) {
            add(mark, "a second document starts here", "expected one document in the file");
            throw parse_stopped();
        }
    }

    void OnDocumentEnd() override // NOLINT(readability-identifier-naming)
    {
    }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override // NOLINT(readability-identifier-naming)
    {
        addNode(yaml_kind::Null, mark, "");
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override // NOLINT(readability-identifier-naming)
    {
        add(mark, "an alias is not supported", "expected the value itself");
        addNode(yaml_kind::Skipped, mark, "");
    }

    void OnScalar(const YAML::Mark &mark, // NOLINT(readability-identifier-naming)
                  const std::string &tag,
                  YAML::anchor_t /*anchor*/,
                  const std::string &value) override
    {
        checkTag(mark, tag);
        addNode(yaml_kind::Scalar, mark, value);
    }

    void OnSequenceStart(const YAML::Mark &mark, // NOLINT(readability-identifier-naming)
                         const std::string &tag,
                         YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override
    {
        checkTag(mark, tag);
        openNode(yaml_kind::Sequence, mark);
    }

    void OnSequenceEnd() override // NOLINT(readability-identifier-naming)
    {
        m_openNodes.pop_back();
    }

    void OnMapStart(const YAML::Mark &mark, // NOLINT(readability-identifier-naming)
                    const std::string &tag,
                    YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
        checkTag(mark, tag);
        openNode(yaml_kind::Map, mark);
    }

    void OnMapEnd() override // NOLINT(readability-identifier-naming)
    {
        m_openNodes.pop_back();
    }

    void OnAnchor(const YAML::Mark &mark,
                  const std::string & /*name*/) override // NOLINT(readability-identifier-naming)
    {
        add(mark, "an anchor is not supported", "expected a value without an anchor");
    }

private:
    /// A list or map whose end event has not arrived.
    struct open_node {
        yaml_node *node;
        bool expectsValue = false; ///< The last entry of a map has no value yet.
    };

    void add(const YAML::Mark &mark, std::string problem, std::string allowed)
    {
        if (m_document.problems.size() < maxYamlFindings) {
            const yaml_location at = locationOf(mark);
            m_document.problems.push_back({m_file, at.line, at.column, "", std::move(problem), std::move(allowed)});
        }
    }

    void checkTag(const YAML::Mark &mark, const std::string &tag)
    {
        // The library reports the tag "?" for untagged nodes and "!" for quoted scalars.
        if (!tag.empty() && tag != "?" && tag != "!") {
            add(mark, "a tag is not supported", "expected a value without a tag");
        }
    }

    /// Adds a node to the innermost open node as an item, a key or a value. Returns null for a key.
    yaml_node *addNode(yaml_kind kind, const YAML::Mark &mark, std::string text)
    {
        yaml_node node;
        node.kind = kind;
        node.location = locationOf(mark);
        node.text = std::move(text);
        if (m_openNodes.empty()) {
            m_document.root = std::move(node);
            return &m_document.root;
        }
        open_node &parent = m_openNodes.back();
        if (parent.node->kind == yaml_kind::Sequence) {
            return &parent.node->items.emplace_back(std::move(node));
        }
        parent.expectsValue = !parent.expectsValue;
        if (!parent.expectsValue) {
            return setValue(parent.node->entries.back(), std::move(node));
        }
        if (kind != yaml_kind::Scalar) {
            add(mark, "a key is not a plain name", "expected a field name");
            throw parse_stopped();
        }
        parent.node->entries.push_back({std::move(node.text), node.location, {}});
        return nullptr;
    }

    static yaml_node *setValue(yaml_entry &entry, yaml_node node)
    {
        entry.value = std::move(node);
        // For an absent value the library reports the location of the next token.
        if (entry.value.kind == yaml_kind::Null) {
            entry.value.location = entry.location;
        }
        return &entry.value;
    }

    void openNode(yaml_kind kind, const YAML::Mark &mark)
    {
        // The library sends this event before it descends, so the check also bounds its recursion.
        if (m_openNodes.size() >= maxYamlDepth) {
            add(mark, "lists and maps are nested too deep", "expected at most 16 levels");
            throw parse_stopped();
        }
        m_openNodes.push_back({addNode(kind, mark, "")});
    }

    yaml_document &m_document;
    const std::string &m_file;
    std::vector<open_node> m_openNodes;
    int m_documents = 0;
};

void parseEvents(const std::string &text, const std::string &file, yaml_document &document)
{
    const auto add = [&](const yaml_location &at, std::string problem, std::string allowed) {
        document.problems.push_back({file, at.line, at.column, "", std::move(problem), std::move(allowed)});
    };
    std::istringstream stream(text);
    tree_builder builder(document, file);
    try {
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder)) {
            add({0, 0}, "the file is empty", "expected a map of fields");
            return;
        }
        document.readable = true;
        while (parser.HandleNextDocument(builder)) { }
    } catch (const parse_stopped &) {
        return;
    } catch (const YAML::Exception &failure) {
        document.readable = false;
        const yaml_location at = failure.mark.is_null() ? yaml_location{} : locationOf(failure.mark);
        add(at, "syntax error: " + failure.msg, "expected YAML");
    } catch (const std::exception &failure) {
        document.readable = false;
        add({0, 0}, std::string("syntax error: ") + failure.what(), "expected YAML");
    }
}

} // namespace

yaml_document parseYaml(const std::string &text, const std::string &file)
{
    checked_text checked = checkYamlText(text, file);
    yaml_document document;
    document.problems = std::move(checked.problems);
    if (checked.parsable) {
        parseEvents(checked.text, file, document);
    }
    return document;
}

} // namespace sesamespar
