#include "version/yaml_text.h"

#include "version/yaml_document.h"

#include <cstdint>
#include <string_view>

namespace sesamespar {

namespace {

/// Smallest code point that a UTF-8 sequence of this length may encode; smaller ones are overlong encodings.
std::uint32_t minCodePoint(std::size_t length)
{
    switch (length) {
    case 2:
        return 0x80;
    case 3:
        return 0x800;
    default:
        return 0x10000;
    }
}

std::size_t sequenceLength(unsigned char lead)
{
    if (lead < 0x80) {
        return 1;
    }
    if (lead >= 0xC2 && lead < 0xE0) {
        return 2;
    }
    if (lead >= 0xE0 && lead < 0xF0) {
        return 3;
    }
    return lead >= 0xF0 && lead < 0xF5 ? 4 : 0;
}

/// Length of the UTF-8 character at the start of `rest`, or 0 if it is invalid.
std::size_t characterLength(std::string_view rest)
{
    const auto lead = static_cast<unsigned char>(rest.front());
    const std::size_t length = sequenceLength(lead);
    if (length <= 1) {
        return length;
    }
    if (rest.size() < length) {
        return 0;
    }
    std::uint32_t code = lead & (0xFFU >> (length + 1));
    for (std::size_t index = 1; index < length; ++index) {
        const auto byte = static_cast<unsigned char>(rest[index]);
        if ((byte & 0xC0U) != 0x80U) {
            return 0;
        }
        code = (code << 6U) | (byte & 0x3FU);
    }
    const bool surrogate = code >= 0xD800 && code <= 0xDFFF;
    return code < minCodePoint(length) || surrogate || code > 0x10FFFF ? 0 : length;
}

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\n' && c != '\r' && c != '\t') || byte == 0x7F;
}

/// Position of the next character to check.
struct text_position {
    yaml_location location{1, 1};
    bool indentation = true; ///< Only spaces so far on this line.
};

void advance(text_position &position, char c, std::size_t length)
{
    if (c == '\n') {
        position = {{position.location.line + 1, 1}, true};
        return;
    }
    position.location.column += static_cast<int>(length);
    position.indentation = position.indentation && c == ' ';
}

} // namespace

checked_text checkYamlText(const std::string &text, const std::string &file)
{
    checked_text checked{text, true, {}};
    if (text.size() > maxYamlBytes) {
        checked.parsable = false;
        checked.problems.push_back({file,
                                    0,
                                    0,
                                    "",
                                    "the file has " + std::to_string(text.size()) + " bytes",
                                    "expected at most " + std::to_string(maxYamlBytes) + " bytes"});
        return checked;
    }
    text_position position;
    const auto add = [&](std::string problem, std::string allowed) {
        if (checked.problems.size() < maxYamlFindings) {
            checked.problems.push_back(
                {file, position.location.line, position.location.column, "", std::move(problem), std::move(allowed)});
        }
    };
    for (std::size_t index = 0; index < text.size();) {
        const char c = text[index];
        const std::size_t length = characterLength(std::string_view(text).substr(index));
        if (length == 0) {
            checked.parsable = false;
            add("invalid UTF-8", "expected text in UTF-8");
        } else if (isControl(c)) {
            checked.parsable = false;
            add("control character", "expected printable text");
        } else if (c == '\t') {
            // The depth of a tab in the indentation is ambiguous, so that the structure of the text is unknown.
            checked.parsable = checked.parsable && !position.indentation;
            checked.text[index] = ' ';
            add("tab character", "expected spaces");
        }
        advance(position, c, length == 0 ? 1 : length);
        index += length == 0 ? 1 : length;
    }
    return checked;
}

} // namespace sesamespar
