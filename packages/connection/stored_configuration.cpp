#include "connection/stored_configuration.h"

#include "connection/codec.h"
#include "connection/json_value.h"

#include <openssl/evp.h>

#include <array>

namespace sesamespar {

namespace {

/// The value as written to the store, with a digest that detects a damaged text.
struct stored_value {
    stored_configuration configuration;
    std::string digest;
};

/// Body of an answer with a version.
struct version_body {
    config_version version;
};

/// Body of an answer with a version and an error message.
struct conflict_body {
    std::string message;
    config_version version;
};

/// A finding in an answer to an operator. The file name is left out, because the operator sent the file.
struct finding_body {
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string field;
    std::string problem;
    std::string allowed;
};

struct findings_body {
    std::vector<finding_body> findings;
};

} // namespace

template<>
struct field_list<applied_change> {
    static constexpr auto fields =
        std::make_tuple(field("version", &applied_change::version), field("change", &applied_change::change));
};

template<>
struct field_list<stored_configuration> {
    static constexpr auto fields =
        std::make_tuple(field("version", &stored_configuration::version, value_limits{1, any64.most}),
                        field("change", &stored_configuration::change),
                        field("history", &stored_configuration::history, value_limits{1, changeHistoryLength}),
                        field("text", &stored_configuration::text, configTextBytes));
};

template<>
struct field_list<stored_value> {
    static constexpr auto fields = std::make_tuple(embedded(&stored_value::configuration),
                                                   field("digest", &stored_value::digest, value_limits{64, 64}));
};

template<>
struct field_list<version_body> {
    static constexpr auto fields = std::make_tuple(field("version", &version_body::version));
};

template<>
struct field_list<conflict_body> {
    static constexpr auto fields =
        std::make_tuple(field("error", &conflict_body::message), field("version", &conflict_body::version));
};

template<>
struct field_list<finding_body> {
    static constexpr auto fields = std::make_tuple(field("line", &finding_body::line),
                                                   field("column", &finding_body::column),
                                                   field("field", &finding_body::field),
                                                   field("problem", &finding_body::problem),
                                                   field("allowed", &finding_body::allowed));
};

template<>
struct field_list<findings_body> {
    static constexpr auto fields = std::make_tuple(field("findings", &findings_body::findings));
};

namespace {

/// SHA-256 of `text` as 64 hexadecimal digits.
std::string sha256Hex(const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned index = 0; index < length; ++index) {
        hex += digits[bytes.at(index) >> 4U];
        hex += digits[bytes.at(index) & 15U];
    }
    return hex;
}

/// True if the versions ascend and the last entry is the change that made the value.
bool hasValidHistory(const stored_configuration &stored)
{
    for (std::size_t index = 1; index < stored.history.size(); ++index) {
        if (stored.history[index].version <= stored.history[index - 1].version) {
            return false;
        }
    }
    return stored.history.back() == applied_change{stored.version, stored.change};
}

text_answer makeJsonAnswer(int status, std::string body)
{
    text_answer answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

/// Line and column numbers are never negative.
std::uint32_t toUnsigned(int number)
{
    return static_cast<std::uint32_t>(std::max(number, 0));
}

} // namespace

stored_configuration
nextConfiguration(const stored_configuration &current, config_version version, change_id change, std::string text)
{
    stored_configuration next;
    next.version = version;
    next.change = change;
    next.history = current.history;
    next.history.push_back({version, change});
    if (next.history.size() > changeHistoryLength) {
        next.history.erase(next.history.begin());
    }
    next.text = std::move(text);
    return next;
}

std::optional<change_id> changeOf(const stored_configuration &stored, config_version version)
{
    for (const applied_change &entry : stored.history) {
        if (entry.version == version) {
            return entry.change;
        }
    }
    return std::nullopt;
}

std::string encodeStoredConfiguration(const stored_configuration &stored)
{
    return encodeJson(stored_value{stored, sha256Hex(stored.text)});
}

result<stored_configuration> decodeStoredConfiguration(std::string_view json)
{
    auto decoded = decodeJson<stored_value>(json);
    if (!decoded) {
        return decoded.error();
    }
    stored_value &value = decoded.value();
    if (value.digest != sha256Hex(value.configuration.text)) {
        return makeError(error_kind::InvalidInput, "digest: must be the SHA-256 of the text");
    }
    if (!hasValidHistory(value.configuration)) {
        return makeError(error_kind::InvalidInput,
                         "history: versions must ascend and end with the stored version and its change");
    }
    return std::move(value.configuration);
}

text_answer changeAppliedAnswer(config_version version)
{
    return makeJsonAnswer(200, encodeJson(version_body{version}));
}

text_answer changeConflictAnswer(config_version current, const std::string &message)
{
    return makeJsonAnswer(409, encodeJson(conflict_body{message, current}));
}

text_answer changeInvalidAnswer(const findings &problems)
{
    findings_body body;
    for (const finding &single : problems) {
        body.findings.push_back(
            {toUnsigned(single.line), toUnsigned(single.column), single.field, single.problem, single.allowed});
    }
    return makeJsonAnswer(400, encodeJson(body));
}

text_answer changeRefusedAnswer(const std::string &message)
{
    return makeJsonAnswer(503, encodeError(message));
}

text_answer changeUnknownAnswer(const std::string &message)
{
    return makeJsonAnswer(504, encodeError(message));
}

} // namespace sesamespar
