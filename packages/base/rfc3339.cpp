#include "base/rfc3339.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace sesamespar {

namespace {

/// Consumes a number of exactly `digits` digits.
std::optional<int> consumeNumber(std::string_view &text, std::size_t digits)
{
    if (text.size() < digits) {
        return std::nullopt;
    }
    int value = 0;
    for (const char c : text.substr(0, digits)) {
        if (c < '0' || c > '9') {
            return std::nullopt;
        }
        value = value * 10 + (c - '0');
    }
    text.remove_prefix(digits);
    return value;
}

bool consumeCharacter(std::string_view &text, std::string_view choices)
{
    if (text.empty() || choices.find(text.front()) == std::string_view::npos) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

std::optional<milliseconds> consumeDay(std::string_view &text)
{
    const auto year = consumeNumber(text, 4);
    const bool first = consumeCharacter(text, "-");
    const auto month = consumeNumber(text, 2);
    const bool second = consumeCharacter(text, "-");
    const auto day = consumeNumber(text, 2);
    if (!year || !first || !month || !second || !day || *year < 1970) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(*year),
                                           std::chrono::month(static_cast<unsigned>(*month)),
                                           std::chrono::day(static_cast<unsigned>(*day))};
    if (!date.ok()) {
        return std::nullopt;
    }
    return std::chrono::sys_days(date).time_since_epoch();
}

/// Consumes HH:MM.
std::optional<milliseconds> consumeHourAndMinute(std::string_view &text)
{
    const auto hour = consumeNumber(text, 2);
    const bool colon = consumeCharacter(text, ":");
    const auto minute = consumeNumber(text, 2);
    if (!hour || !colon || !minute || *hour > 23 || *minute > 59) {
        return std::nullopt;
    }
    return std::chrono::hours(*hour) + std::chrono::minutes(*minute);
}

/// Consumes the seconds and their fraction, if any.
std::optional<milliseconds> consumeSeconds(std::string_view &text)
{
    const auto second = consumeNumber(text, 2);
    if (!second || *second > 59) {
        return std::nullopt;
    }
    milliseconds value = std::chrono::seconds(*second);
    if (!consumeCharacter(text, ".")) {
        return value;
    }
    const auto end = std::find_if_not(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    const auto length = static_cast<std::size_t>(end - text.begin());
    if (length == 0 || length > 9) {
        return std::nullopt;
    }
    std::string digits(text.substr(0, std::min<std::size_t>(length, 3)));
    digits.resize(3, '0');
    text.remove_prefix(length);
    return value + milliseconds(std::stoi(digits));
}

/// Consumes Z or an offset. Returns the duration to subtract from local time to get UTC.
std::optional<milliseconds> consumeOffset(std::string_view &text)
{
    if (consumeCharacter(text, "Zz")) {
        return milliseconds(0);
    }
    const bool negative = !text.empty() && text.front() == '-';
    if (!consumeCharacter(text, "+-")) {
        return std::nullopt;
    }
    const auto offset = consumeHourAndMinute(text);
    if (!offset) {
        return std::nullopt;
    }
    return negative ? -*offset : *offset;
}

} // namespace

std::optional<utc_time> parseRfc3339(std::string_view text)
{
    const auto day = consumeDay(text);
    const bool separated = day && consumeCharacter(text, "Tt");
    const auto minutes = separated ? consumeHourAndMinute(text) : std::nullopt;
    const bool colon = minutes && consumeCharacter(text, ":");
    const auto seconds = colon ? consumeSeconds(text) : std::nullopt;
    const auto offset = seconds ? consumeOffset(text) : std::nullopt;
    if (!offset || !text.empty()) {
        return std::nullopt;
    }
    return utc_time((*day + *minutes + *seconds - *offset).count());
}

std::string formatRfc3339(utc_time time)
{
    const std::chrono::sys_time<milliseconds> point{milliseconds(time.value)};
    const auto days = std::chrono::floor<std::chrono::days>(point);
    const std::chrono::year_month_day date(days);
    const std::chrono::hh_mm_ss<milliseconds> clock(point - days);
    std::array<char, 64> buffer{};
    const int length = std::snprintf(buffer.data(),
                                     buffer.size(),
                                     "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                                     static_cast<int>(date.year()),
                                     static_cast<unsigned>(date.month()),
                                     static_cast<unsigned>(date.day()),
                                     static_cast<int>(clock.hours().count()),
                                     static_cast<int>(clock.minutes().count()),
                                     static_cast<int>(clock.seconds().count()),
                                     static_cast<int>(clock.subseconds().count()));
    return {buffer.data(), static_cast<std::size_t>(length)};
}

} // namespace sesamespar
