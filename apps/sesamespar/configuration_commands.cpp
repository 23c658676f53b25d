#include "configuration_commands.h"

#include "call_daemon.h"
#include "connection/json_text.h"
#include "version/configuration_parser.h"
#include "version/yaml_document.h"

#include <iostream>
#include <set>

namespace sesamespar {

namespace {

/// Prints findings as text to stderr, or as JSON to stdout.
void printFindings(const command_options &options, const findings &problems)
{
    if (options.json) {
        printText(encodeFindings(problems));
    } else {
        std::cerr << formatFindings(problems);
    }
}

/// Returns the home data centres of work that is not repeatable.
std::set<data_centre_id> homesOfNonRepeatableWork(const configuration &settings)
{
    std::set<data_centre_id> homes;
    for (const work_settings &work : settings.work) {
        const team_settings *team = findTeam(settings, work.team);
        if (!work.repeatable && team != nullptr) {
            homes.insert(team->home);
        }
    }
    return homes;
}

void printSummary(const std::string &file, const configuration &settings)
{
    std::cout << file << ": valid, cell " << settings.cell << ", " << settings.dataCentres.size() << " data centres, "
              << settings.teams.size() << " teams, " << settings.work.size() << " pieces of work\n";
    // The command cannot check this itself, because only the daemons have the racks of the workers.
    for (const data_centre_id &home : homesOfNonRepeatableWork(settings)) {
        std::cout << "note: " << home
                  << " is home to work that is not repeatable, which runs only if the data centre has workers in at "
                     "least two racks\n";
    }
}

/// Reads and checks a configuration file. Prints the error or the findings and returns null on failure.
configuration_ptr readConfigurationFile(const command_options &options)
{
    const std::string &file = options.arguments.front();
    const auto text = readInput(file, maxYamlBytes);
    if (!text) {
        return nullptr;
    }
    const parsed_configuration parsed = parseConfiguration(*text, file, config_version(0));
    if (!parsed.problems.empty()) {
        printFindings(options, parsed.problems);
    }
    return parsed.settings;
}

exit_status printApplied(const command_options &options, const apply_outcome &outcome)
{
    if (options.json) {
        printText("{\"version\":" + std::to_string(outcome.version.value) + '}');
    } else {
        std::cout << "version " << outcome.version << " is in force\n";
    }
    return exit_status::Done;
}

exit_status printApplyOutcome(const command_options &options, apply_outcome outcome)
{
    const std::string &file = options.arguments.front();
    switch (outcome.outcome) {
    case apply_outcome::kind::Applied:
        return printApplied(options, outcome);
    case apply_outcome::kind::Invalid:
        for (finding &problem : outcome.problems) {
            problem.file = file;
        }
        printFindings(options, outcome.problems);
        return exit_status::Invalid;
    case apply_outcome::kind::Conflict:
        printError("not applied: another change was applied first, version " + std::to_string(outcome.version.value)
                   + " is in force; read it with sesamespar show and apply again");
        return exit_status::Refused;
    case apply_outcome::kind::Refused:
        printError("not applied: " + outcome.message);
        return exit_status::Refused;
    case apply_outcome::kind::Unknown:
        break;
    }
    printError("it is unknown whether " + file + " was applied: " + outcome.message
               + "; compare it with the output of sesamespar show, and if it is not in force repeat sesamespar apply "
               + file + " with --expect VERSION, using the version that show reports");
    return exit_status::Unknown;
}

} // namespace

exit_status runCheck(const command_options &options)
{
    const configuration_ptr settings = readConfigurationFile(options);
    if (!settings) {
        return exit_status::Invalid;
    }
    if (options.json) {
        printText(encodeFindings({}));
    } else {
        printSummary(options.arguments.front(), *settings);
    }
    return exit_status::Done;
}

exit_status runApply(const command_options &options)
{
    const configuration_ptr settings = readConfigurationFile(options);
    if (!settings) {
        return exit_status::Invalid;
    }
    const caller_client_ptr client = openClient(options);
    if (!client) {
        return exit_status::Invalid;
    }
    return printApplyOutcome(options, putConfiguration(*client, settings->text, options.expected));
}

exit_status runShow(const command_options &options)
{
    const caller_client_ptr client = openClient(options);
    if (!client) {
        return exit_status::Invalid;
    }
    const auto shown = fetchConfiguration(*client);
    if (!shown) {
        printError(shown.error().message);
        return exit_status::Refused;
    }
    const std::string version = std::to_string(shown.value().version.value);
    if (options.json) {
        printText("{\"version\":" + version + ",\"text\":" + quoteJson(shown.value().text) + '}');
        return exit_status::Done;
    }
    // The version goes to stderr, so that stdout holds exactly the text, ready to be edited and applied.
    std::cerr << "version " << version << '\n';
    std::cout << shown.value().text;
    return exit_status::Done;
}

} // namespace sesamespar
