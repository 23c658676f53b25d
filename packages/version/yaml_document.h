// Parses a YAML text into a tree of nodes with their source locations. Isolates the YAML library from all other
// code, and bounds the time, memory and recursion that a hostile text can cause.
#pragma once

#include "base/findings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace sesamespar {

/// Largest accepted text in bytes.
constexpr std::size_t maxYamlBytes = 262144;
/// Deepest accepted nesting of lists and maps.
constexpr std::size_t maxYamlDepth = 16;
/// Limit of findings for one text, which bounds the report on a hostile text. One more finding is appended to say
/// that there are more.
constexpr std::size_t maxYamlFindings = 1000;

/// Location in a text. Lines and columns start at 1, and columns count bytes; 0 means unknown.
struct yaml_location {
    int line = 0;
    int column = 0;
};

/// Type of a node.
enum class yaml_kind {
    Null,
    Scalar,
    Sequence,
    Map,
    Skipped, ///< An unsupported node that was reported already.
};

struct yaml_entry;

/// One node of the tree.
struct yaml_node {
    yaml_kind kind = yaml_kind::Null;
    yaml_location location;
    std::string text; ///< Value of a scalar.
    std::vector<yaml_node> items; ///< Items of a sequence.
    std::vector<yaml_entry> entries; ///< Entries of a map in the order of the text; may contain duplicate keys.
};

/// A key of a map with its value.
struct yaml_entry {
    std::string key;
    yaml_location location; ///< Location of the key.
    yaml_node value;
};

/// Result of parsing a text. `root` is valid only if `readable` is true.
struct yaml_document {
    yaml_node root;
    bool readable = false;
    findings problems; ///< Also set if the tree is readable but contains unsupported nodes.
};

/// Parses a text with one document. Anchors, aliases and tags are reported as unsupported. `file` is the name used
/// in findings. Never throws.
yaml_document parseYaml(const std::string &text, const std::string &file);

} // namespace sesamespar
