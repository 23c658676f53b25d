#include "connection/json_text.h"

#include <cpprest/json.h>

#include <algorithm>
#include <exception>
#include <vector>

namespace sesamespar {

namespace {

using json_value = web::json::value;
using text_row = std::vector<std::string>;

std::optional<json_value> parseJson(const std::string &json)
{
    try {
        return json_value::parse(json);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

const json_value *findMember(const json_value &object, const std::string &member)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.as_object().find(member);
    return found == object.as_object().end() ? nullptr : &found->second;
}

std::string textMember(const json_value &object, const std::string &member)
{
    const json_value *value = findMember(object, member);
    return value != nullptr && value->is_string() ? value->as_string() : std::string();
}

int positionMember(const json_value &object, const std::string &member)
{
    const json_value *value = findMember(object, member);
    return value != nullptr && value->is_number() && value->as_number().is_int32() ? value->as_integer() : 0;
}

std::string formatCell(const json_value &value)
{
    return value.is_string() ? value.as_string() : value.serialize();
}

std::vector<std::string> columnNames(const web::json::array &items)
{
    std::vector<std::string> names;
    for (const json_value &item : items) {
        for (const auto &[name, value] : item.as_object()) {
            if (std::find(names.begin(), names.end(), name) == names.end()) {
                names.push_back(name);
            }
        }
    }
    return names;
}

std::string formatRows(const std::vector<text_row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const text_row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const text_row &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

bool isTable(const json_value &value)
{
    return value.is_array() && value.size() > 0
        && std::all_of(value.as_array().begin(), value.as_array().end(), [](const json_value &item) {
               return item.is_object() && item.size() > 0;
           });
}

std::string formatList(const json_value &list)
{
    const std::vector<std::string> names = columnNames(list.as_array());
    std::vector<text_row> rows{names};
    for (const json_value &item : list.as_array()) {
        text_row row;
        for (const std::string &name : names) {
            const json_value *value = findMember(item, name);
            row.push_back(value == nullptr ? "" : formatCell(*value));
        }
        rows.push_back(std::move(row));
    }
    return formatRows(rows);
}

std::string formatObject(const json_value &object)
{
    std::string text;
    for (const auto &[name, value] : object.as_object()) {
        if (isTable(value)) {
            text += name + ":\n" + formatList(value);
        } else {
            text += name + ": " + formatCell(value) + '\n';
        }
    }
    return text;
}

} // namespace

std::optional<std::string> jsonString(const std::string &json, const std::string &member)
{
    const auto parsed = parseJson(json);
    const json_value *value = parsed ? findMember(*parsed, member) : nullptr;
    return value != nullptr && value->is_string() ? std::optional(value->as_string()) : std::nullopt;
}

std::optional<std::uint64_t> jsonNumber(const std::string &json, const std::string &member)
{
    const auto parsed = parseJson(json);
    const json_value *value = parsed ? findMember(*parsed, member) : nullptr;
    if (value == nullptr || !value->is_number() || !value->as_number().is_uint64()) {
        return std::nullopt;
    }
    return value->as_number().to_uint64();
}

std::optional<findings> jsonFindings(const std::string &json)
{
    const auto parsed = parseJson(json);
    const json_value *list = parsed ? findMember(*parsed, "findings") : nullptr;
    if (list == nullptr || !list->is_array()) {
        return std::nullopt;
    }
    findings all;
    for (const json_value &item : list->as_array()) {
        all.push_back({"",
                       positionMember(item, "line"),
                       positionMember(item, "column"),
                       textMember(item, "field"),
                       textMember(item, "problem"),
                       textMember(item, "allowed")});
    }
    return all;
}

std::string quoteJson(const std::string &text)
{
    return json_value::string(text).serialize();
}

std::string encodeFindings(const findings &all)
{
    std::string text = "{\"findings\":[";
    for (const finding &single : all) {
        if (text.back() == '}') {
            text += ',';
        }
        text += "{\"file\":" + quoteJson(single.file) + ",\"line\":" + std::to_string(single.line)
            + ",\"column\":" + std::to_string(single.column) + ",\"field\":" + quoteJson(single.field)
            + ",\"problem\":" + quoteJson(single.problem) + ",\"allowed\":" + quoteJson(single.allowed) + '}';
    }
    return text + "]}";
}

std::string formatJsonAsTable(const std::string &json)
{
    const auto parsed = parseJson(json);
    if (parsed && isTable(*parsed)) {
        return formatList(*parsed);
    }
    return parsed && parsed->is_object() ? formatObject(*parsed) : json;
}

} // namespace sesamespar
