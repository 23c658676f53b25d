// A YAML text as a plain tree with the place of every node. Hides the YAML library from all other code and
// bounds what a hostile text can make it do.
#pragma once

#include "base/findings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace sesamespar {

/// Largest text that is parsed, in bytes.
constexpr std::size_t maxYamlBytes = 262144;
/// Deepest nesting of lists and maps.
constexpr std::size_t maxYamlDepth = 16;
/// Findings of one text; a last one says that there are more. Bounds the report on a hostile text.
constexpr std::size_t maxYamlFindings = 1000;

/// Place in a text, both counted from 1. Columns count bytes.
struct yaml_place {
    int line = 0;
    int column = 0;
};

/// What a node holds.
enum class yaml_kind {
    Null,
    Scalar,
    Sequence,
    Map,
    Skipped, ///< Something that is not supported and was reported already.
};

struct yaml_entry;

/// One node of the tree.
struct yaml_node {
    yaml_kind kind = yaml_kind::Null;
    yaml_place place;
    std::string text; ///< Of a scalar.
    std::vector<yaml_node> items; ///< Of a sequence.
    std::vector<yaml_entry> entries; ///< Of a map, in the order of the text; may hold a key twice.
};

/// A key of a map with its value.
struct yaml_entry {
    std::string key;
    yaml_place place; ///< Of the key.
    yaml_node value;
};

/// Outcome of parsing a text. The tree can be walked only if `readable` is true.
struct yaml_document {
    yaml_node root;
    bool readable = false;
    findings problems; ///< Also set if the tree is readable but holds something that is not supported.
};

/// Parses a text that holds one document without anchors, aliases and tags. `file` is the name in findings.
/// Never throws.
yaml_document parseYaml(const std::string &text, const std::string &file);

} // namespace sesamespar
