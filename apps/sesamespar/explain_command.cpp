#include "explain_command.h"

#include "connection/json_text.h"
#include "request/request_timeline.h"
#include "version/yaml_reader.h"

#include <iomanip>
#include <iostream>
#include <sstream>

namespace sesamespar {

namespace {

constexpr int timeWidth = 9;
constexpr int eventWidth = 22;

std::string fieldsAsText(const log_line &line)
{
    std::string text;
    for (const auto &[key, value] : line.fields) {
        if (key == "level" || key == "job") {
            continue;
        }
        const bool plain = !value.empty() && value.find(' ') == std::string::npos;
        text += ' ' + key + '=' + (plain ? value : '"' + value + '"');
    }
    return text;
}

void printLines(const std::vector<log_line> &lines, std::int64_t startMs)
{
    std::size_t sourceWidth = 0;
    for (const log_line &line : lines) {
        sourceWidth = std::max(sourceWidth, line.source.size());
    }
    for (const log_line &line : lines) {
        std::cout << std::right << std::setw(timeWidth) << line.timeMs - startMs << " ms  " << std::left
                  << std::setw(static_cast<int>(sourceWidth)) << line.source << "  " << std::setw(eventWidth)
                  << line.event << fieldsAsText(line) << '\n';
    }
}

void printTimeline(const std::string &request, const request_timeline &timeline)
{
    std::cout << "request " << request << ": " << timeline.outcome << '\n';
    const std::int64_t startMs = timeline.own.empty() ? 0 : timeline.own.front().timeMs;
    printLines(timeline.own, startMs);
    if (!timeline.around.empty()) {
        std::cout << "meanwhile:\n";
        printLines(timeline.around, startMs);
    }
    if (!timeline.missing.empty()) {
        std::cout << "missing:\n";
        for (const std::string &item : timeline.missing) {
            std::cout << "  " << item << '\n';
        }
    }
}

std::string linesAsJson(const std::vector<log_line> &lines)
{
    std::ostringstream json;
    const char *separator = "";
    for (const log_line &line : lines) {
        json << separator << "{\"time_ms\":" << line.timeMs << ",\"source\":" << quoteJson(line.source)
             << ",\"event\":" << quoteJson(line.event);
        for (const auto &[key, value] : line.fields) {
            json << ',' << quoteJson(key) << ':' << quoteJson(value);
        }
        json << '}';
        separator = ",";
    }
    return '[' + json.str() + ']';
}

void printJson(const std::string &request, const request_timeline &timeline)
{
    std::cout << "{\"request\":" << quoteJson(request) << ",\"outcome\":" << quoteJson(timeline.outcome)
              << ",\"lines\":" << linesAsJson(timeline.own) << ",\"around\":" << linesAsJson(timeline.around)
              << ",\"missing\":[";
    const char *separator = "";
    for (const std::string &item : timeline.missing) {
        std::cout << separator << quoteJson(item);
        separator = ",";
    }
    std::cout << "]}\n";
}

} // namespace

exit_status runExplain(const command_options &options)
{
    const std::string &request = options.arguments.front();
    std::vector<log_line> lines;
    // Keeps only the lines that may concern the request, because the logs of a day can be large.
    const auto collect = [&](log_line line) {
        if (concernsRequest(line, request)) {
            lines.push_back(std::move(line));
        }
    };
    for (std::size_t index = 1; index < options.arguments.size(); ++index) {
        if (!readLogFile(options.arguments[index], collect)) {
            printError("cannot read " + quoteForMessage(options.arguments[index]));
            return exit_status::Invalid;
        }
    }
    const request_timeline timeline = traceRequest(request, std::move(lines));
    if (options.json) {
        printJson(request, timeline);
    } else {
        printTimeline(request, timeline);
    }
    return timeline.own.empty() ? exit_status::Refused : exit_status::Done;
}

} // namespace sesamespar
