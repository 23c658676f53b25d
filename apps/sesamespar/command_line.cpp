#include "command_line.h"

#include "request/job_request.h"
#include "version/host_port.h"
#include "version/unit_syntax.h"
#include "version/yaml_reader.h"

#include <popt.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <sstream>

namespace sesamespar {

namespace {

constexpr std::size_t maxDaemons = 100;
constexpr std::string_view repeatableSuffix = "...";
constexpr milliseconds maxCallLimit{3600000};

/// Values that poptGetNextOpt() returns for the options.
enum option_value {
    HelpOption = 1,
    VersionOption,
    OutputOption,
    DaemonOption,
    SecretFileOption,
    LimitOption,
    ExpectOption,
    WaitOption,
    KeyOption,
    ExpiresOption,
};

poptOption makeOption(const char *name, option_value value, const char *description, const char *argument)
{
    const unsigned type = argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
    return {name, '\0', type, nullptr, value, description, argument};
}

void appendGroup(std::vector<poptOption> &options, option_group group)
{
    switch (group) {
    case option_group::Daemon:
        options.push_back(
            makeOption("daemon",
                       DaemonOption,
                       "Address of a daemon; may be repeated (default: SESAMESPAR_DAEMONS, separated by commas)",
                       "HOST:PORT"));
        options.push_back(makeOption("secret-file",
                                     SecretFileOption,
                                     "File whose first line is the secret (default: the value of SESAMESPAR_SECRET)",
                                     "FILE"));
        options.push_back(
            makeOption("limit", LimitOption, "Time limit of the call including retries (default: 30s)", "TIME"));
        break;
    case option_group::Expect:
        options.push_back(makeOption("expect", ExpectOption, "Apply only if this version is in force", "VERSION"));
        break;
    case option_group::Wait:
        options.push_back(
            makeOption("wait", WaitOption, "Time to wait for the outcome, at most 60s (default: 0s)", "TIME"));
        break;
    case option_group::Submission:
        options.push_back(makeOption("key", KeyOption, "Idempotency key; overrides the key in the file", "KEY"));
        options.push_back(makeOption(
            "expires", ExpiresOption, "Expiry as RFC 3339 or +TIME; overrides the expiry in the file", "EXPIRY"));
        break;
    }
}

std::vector<poptOption> optionsOf(const command_verb *verb)
{
    std::vector<poptOption> options{makeOption("help", HelpOption, "Print this help", nullptr),
                                    makeOption("version", VersionOption, "Print the version", nullptr)};
    if (verb != nullptr) {
        options.push_back(makeOption("output", OutputOption, "Output format (default: table)", "json|table"));
        for (const option_group group : verb->groups) {
            appendGroup(options, group);
        }
    }
    options.push_back(POPT_TABLEEND);
    return options;
}

struct context_deleter {
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};
using context_ptr = std::unique_ptr<poptContext_s, context_deleter>;

std::string takeOptionArgument(poptContext context)
{
    char *text = poptGetOptArg(context);
    std::string copy = text == nullptr ? "" : text;
    std::free(text); // NOLINT: popt allocates the argument with malloc.
    return copy;
}

/// Parses the duration of an option. Returns an empty text on success, otherwise the error.
std::string readTimeOption(const std::string &text, milliseconds maximum, milliseconds &value)
{
    const auto parsed = parseDuration(text);
    if (!parsed) {
        return quoteForMessage(text) + ' ' + parsed.error().message + ", expected a duration such as 500ms, 30s or 10m";
    }
    if (parsed.value() > maximum) {
        return quoteForMessage(text) + " is too large, expected at most " + formatDuration(maximum);
    }
    value = parsed.value();
    return "";
}

std::string readDaemon(const std::string &text, command_options &options)
{
    const auto parsed = parseHostPort(text);
    if (!parsed || parsed->port == 0) {
        return quoteForMessage(text) + " is not an address, expected HOST:PORT";
    }
    if (options.daemons.size() >= maxDaemons) {
        return "too many addresses, expected at most 100";
    }
    options.daemons.emplace_back(text);
    return "";
}

std::string readVersion(const std::string &text, command_options &options)
{
    const auto parsed = parseWholeNumber(text);
    if (!parsed) {
        return quoteForMessage(text) + ' ' + parsed.error().message + ", expected the number of a version";
    }
    options.expected = config_version(static_cast<std::uint64_t>(parsed.value()));
    return "";
}

std::string readOutput(const std::string &text, command_options &options)
{
    if (text != "json" && text != "table") {
        return quoteForMessage(text) + " is not allowed, expected json or table";
    }
    options.json = text == "json";
    return "";
}

/// Parses one option with an argument. Returns an empty text on success, otherwise the error.
std::string readOption(int value, const std::string &text, command_options &options)
{
    switch (value) {
    case OutputOption:
        return readOutput(text, options);
    case DaemonOption:
        return readDaemon(text, options);
    case SecretFileOption:
        options.secretFile = text;
        return "";
    case LimitOption:
        return readTimeOption(text, maxCallLimit, options.limit);
    case ExpectOption:
        return readVersion(text, options);
    case WaitOption:
        return readTimeOption(text, maxCallerWait, options.wait);
    case KeyOption:
        options.key = text;
        return text.empty() ? "the key is empty" : "";
    case ExpiresOption:
        options.expires = text;
        return text.empty() ? "the expiry is empty" : "";
    default:
        return "unexpected option";
    }
}

const char *optionName(int value)
{
    static constexpr std::array<const char *, 11> names{"",
                                                        "--help",
                                                        "--version",
                                                        "--output",
                                                        "--daemon",
                                                        "--secret-file",
                                                        "--limit",
                                                        "--expect",
                                                        "--wait",
                                                        "--key",
                                                        "--expires"};
    return names.at(static_cast<std::size_t>(value));
}

void printVerbs(std::span<const command_verb> verbs)
{
    std::cout << "Usage: sesamespar VERB [OPTION...] [ARGUMENT]\n\nVerbs:\n";
    for (const command_verb &verb : verbs) {
        const std::string synopsis = verb.name + (verb.arguments.empty() ? "" : ' ' + verb.arguments);
        std::cout << "  " << synopsis << std::string(synopsis.size() < 20 ? 20 - synopsis.size() : 1, ' ')
                  << verb.summary << '\n';
    }
    std::cout << "\nsesamespar VERB --help lists the options of a verb.\n"
                 "Exit status: 0 answered; 1 refused, and nothing was changed; 2 wrong usage or an invalid file;\n"
                 "3 the outcome is unknown, and the message names the command that queries or repeats the request.\n";
}

exit_status reportUsageError(const std::string &message, const std::string &verb)
{
    printError(message + "; see sesamespar " + (verb.empty() ? "" : verb + ' ') + "--help");
    return exit_status::Invalid;
}

exit_status printVersion()
{
    std::cout << "sesamespar " << SESAMESPAR_VERSION << '\n';
    return exit_status::Done;
}

exit_status printVerbHelp(poptContext context, const command_verb &verb)
{
    std::cout << verb.summary << '\n' << std::flush;
    poptSetOtherOptionHelp(context, (verb.name + " [OPTION...] " + verb.arguments).c_str());
    poptPrintHelp(context, stdout, 0);
    return exit_status::Done;
}

void readDaemonsFromEnvironment(command_options &options, std::string &problem)
{
    const char *text = std::getenv("SESAMESPAR_DAEMONS");
    if (text == nullptr || !options.daemons.empty()) {
        return;
    }
    std::string_view rest(text);
    while (!rest.empty() && problem.empty()) {
        const std::size_t end = std::min(rest.find(','), rest.size());
        problem = readDaemon(std::string(rest.substr(0, end)), options);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
}

/// Checks the number of arguments after the verb. Returns an empty text if it is valid, otherwise the error.
std::string checkArguments(const command_verb &verb, const command_options &options)
{
    std::istringstream words(verb.arguments);
    std::size_t expected = 0;
    bool repeats = false;
    for (std::string name; words >> name; ++expected) {
        repeats = name.ends_with(repeatableSuffix);
        if (options.arguments.size() <= expected) {
            return name.substr(0, name.size() - (repeats ? repeatableSuffix.size() : 0)) + " is missing";
        }
    }
    if (options.arguments.size() > expected && !repeats) {
        return "unexpected argument " + quoteForMessage(options.arguments[expected]);
    }
    return "";
}

/// Runs one verb with the arguments that follow it.
exit_status runVerb(const command_verb &verb, int argc, const char **argv)
{
    const std::vector<poptOption> table = optionsOf(&verb);
    // popt takes the program name in the help from the first argument, which is the verb here.
    std::vector<const char *> words(argv, argv + argc);
    words.front() = "sesamespar";
    const context_ptr context(poptGetContext("sesamespar", argc, words.data(), table.data(), 0));
    command_options options;
    int value = 0;
    while ((value = poptGetNextOpt(context.get())) > 0) {
        if (value == HelpOption) {
            return printVerbHelp(context.get(), verb);
        }
        if (value == VersionOption) {
            return printVersion();
        }
        const std::string problem = readOption(value, takeOptionArgument(context.get()), options);
        if (!problem.empty()) {
            return reportUsageError(std::string(optionName(value)) + ": " + problem, verb.name);
        }
    }
    if (value < -1) {
        const std::string option = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
        return reportUsageError(option + ": " + poptStrerror(value), verb.name);
    }
    for (const char **rest = poptGetArgs(context.get()); rest != nullptr && *rest != nullptr; ++rest) {
        options.arguments.emplace_back(*rest);
    }
    std::string problem = checkArguments(verb, options);
    if (!problem.empty()) {
        return reportUsageError(problem, verb.name);
    }
    readDaemonsFromEnvironment(options, problem);
    if (!problem.empty()) {
        return reportUsageError("SESAMESPAR_DAEMONS: " + problem, verb.name);
    }
    return verb.run(options);
}

std::string unknownVerbMessage(const std::string &name, std::span<const command_verb> verbs)
{
    std::vector<std::string_view> known;
    for (const command_verb &verb : verbs) {
        known.emplace_back(verb.name);
    }
    const std::string_view suggestion = nearestName(name, known);
    return "unknown verb " + quoteForMessage(name)
        + (suggestion.empty() ? "" : ", did you mean " + std::string(suggestion) + '?');
}

} // namespace

exit_status runCommandLine(int argc, const char **argv, std::span<const command_verb> verbs)
{
    const std::string verbName = argc > 1 ? argv[1] : "";
    if (verbName.empty()) {
        return reportUsageError("the verb is missing", "");
    }
    if (verbName == "--help") {
        printVerbs(verbs);
        return exit_status::Done;
    }
    if (verbName == "--version") {
        return printVersion();
    }
    if (verbName.front() == '-') {
        return reportUsageError("the verb must come before its options", "");
    }
    const auto found =
        std::find_if(verbs.begin(), verbs.end(), [&](const command_verb &verb) { return verb.name == verbName; });
    if (found == verbs.end()) {
        return reportUsageError(unknownVerbMessage(verbName, verbs), "");
    }
    return runVerb(*found, argc - 1, argv + 1);
}

void printError(const std::string &message)
{
    std::cerr << "sesamespar: " << message << '\n';
}

} // namespace sesamespar
