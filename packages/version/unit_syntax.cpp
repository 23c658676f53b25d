#include "version/unit_syntax.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <span>

namespace sesamespar {

namespace {

constexpr std::size_t maxFractionDigits = 3;

/// A scanned number: whole part, up to three decimals, and the remaining text.
struct scanned_number {
    std::int64_t whole = 0;
    std::int64_t thousandths = 0;
    bool hasPoint = false;
    std::string_view suffix;
};

/// A unit and its size in multiples of the smallest unit of its kind.
struct unit {
    std::string_view name;
    std::int64_t size;
};

error invalidInput(std::string message)
{
    return makeError(error_kind::InvalidInput, std::move(message));
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isNonFinite(std::string_view text)
{
    std::string plain;
    for (const char c : text) {
        if (c != '.' && c != '+' && c != '-') {
            plain += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
    }
    return plain == "nan" || plain == "inf" || plain == "infinity";
}

/// Computes value * factor + summand in place. Returns false on overflow.
bool multiplyAdd(std::int64_t &value, std::int64_t factor, std::int64_t summand)
{
    return !__builtin_mul_overflow(value, factor, &value) && !__builtin_add_overflow(value, summand, &value);
}

result<std::int64_t> scanDigits(std::string_view digits)
{
    std::int64_t value = 0;
    for (const char c : digits) {
        if (!multiplyAdd(value, 10, c - '0')) {
            return invalidInput("is too large");
        }
    }
    return value;
}

std::string_view consumeDigits(std::string_view &text)
{
    const auto end = std::find_if_not(text.begin(), text.end(), isDigit);
    const auto length = static_cast<std::size_t>(end - text.begin());
    const std::string_view digits = text.substr(0, length);
    text.remove_prefix(length);
    return digits;
}

result<std::int64_t> scanFraction(std::string_view digits)
{
    if (digits.empty()) {
        return invalidInput("is not a number");
    }
    if (digits.size() > maxFractionDigits) {
        return invalidInput("has more than three digits after the point");
    }
    std::string padded(digits);
    padded.resize(maxFractionDigits, '0');
    return scanDigits(padded);
}

result<scanned_number> scanNumber(std::string_view text)
{
    if (text.empty()) {
        return invalidInput("is empty");
    }
    if (isNonFinite(text)) {
        return invalidInput("is not a finite number");
    }
    if (text.size() > 1 && text.front() == '-' && isDigit(text[1])) {
        return invalidInput("is negative");
    }
    scanned_number scanned;
    const std::string_view digits = consumeDigits(text);
    if (digits.empty()) {
        return invalidInput("is not a number");
    }
    BOOST_OUTCOME_TRY(whole, scanDigits(digits));
    scanned.whole = whole;
    if (!text.empty() && text.front() == '.') {
        text.remove_prefix(1);
        scanned.hasPoint = true;
        BOOST_OUTCOME_TRY(thousandths, scanFraction(consumeDigits(text)));
        scanned.thousandths = thousandths;
    }
    scanned.suffix = text;
    return scanned;
}

/// Parses a whole number that is followed by one of the given units.
result<std::int64_t> parseWithUnit(std::string_view text, std::span<const unit> units)
{
    BOOST_OUTCOME_TRY(scanned, scanNumber(text));
    if (scanned.hasPoint) {
        return invalidInput("is not a whole number");
    }
    const auto found =
        std::find_if(units.begin(), units.end(), [&](const unit &known) { return known.name == scanned.suffix; });
    if (found == units.end()) {
        return invalidInput(scanned.suffix.empty() ? "has no unit" : "has the wrong unit");
    }
    std::int64_t value = scanned.whole;
    if (!multiplyAdd(value, found->size, 0)) {
        return invalidInput("is too large");
    }
    return value;
}

constexpr std::array<unit, 3> memoryUnits{{{"MiB", 1}, {"GiB", 1024}, {"TiB", 1048576}}};
constexpr std::array<unit, 4> durationUnits{{{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}}};
constexpr std::array<unit, 1> percentUnits{{{"%", 1}}};
constexpr std::array<unit, 1> plainUnits{{{"", 1}}};

/// Formats an amount in the largest unit that divides it.
std::string formatWithUnit(std::int64_t amount, std::span<const unit> units)
{
    const unit *best = units.data();
    for (const unit &candidate : units) {
        if (amount != 0 && amount % candidate.size == 0) {
            best = &candidate;
        }
    }
    return std::to_string(amount / best->size) + std::string(best->name);
}

} // namespace

result<std::int64_t> parseWholeNumber(std::string_view text)
{
    return parseWithUnit(text, plainUnits);
}

result<millicores> parseProcessors(std::string_view text)
{
    BOOST_OUTCOME_TRY(scanned, scanNumber(text));
    if (scanned.suffix == "m" && !scanned.hasPoint) {
        return millicores(scanned.whole);
    }
    if (!scanned.suffix.empty()) {
        return invalidInput("has the wrong unit");
    }
    std::int64_t value = scanned.whole;
    if (!multiplyAdd(value, 1000, scanned.thousandths)) {
        return invalidInput("is too large");
    }
    return millicores(value);
}

result<mebibytes> parseMemory(std::string_view text)
{
    BOOST_OUTCOME_TRY(value, parseWithUnit(text, memoryUnits));
    return mebibytes(value);
}

result<milliseconds> parseDuration(std::string_view text)
{
    BOOST_OUTCOME_TRY(value, parseWithUnit(text, durationUnits));
    return milliseconds(value);
}

result<std::int64_t> parsePercent(std::string_view text)
{
    return parseWithUnit(text, percentUnits);
}

std::string formatProcessors(millicores amount)
{
    return amount.value % 1000 == 0 ? std::to_string(amount.value / 1000) : std::to_string(amount.value) + 'm';
}

std::string formatMemory(mebibytes amount)
{
    return formatWithUnit(amount.value, memoryUnits);
}

std::string formatDuration(milliseconds amount)
{
    return formatWithUnit(amount.count(), durationUnits);
}

} // namespace sesamespar
