#include "version/configuration_parser.h"

#include "version/policy_parser.h"
#include "version/team_parser.h"
#include "version/yaml_reader.h"

#include <algorithm>
#include <map>

namespace sesamespar {

namespace {

constexpr std::size_t maxDataCentres = 16;
constexpr milliseconds minRetention{60000};
constexpr milliseconds maxRetention{86400000};

const field_rules rootRules{{"cell", "data_centres", "retention", "limits", "policies", "teams", "work"},
                            {"cell", "data_centres"}};

void parseCellName(const yaml_cursor &root, configuration &settings)
{
    const auto field = findField(root, "cell");
    const auto name = field ? nameText(*field) : std::nullopt;
    settings.cell = name.value_or("");
}

void parseDataCentres(const yaml_cursor &root, configuration &settings)
{
    forEachItem(root, "data_centres", maxDataCentres, [&](const yaml_cursor &at) {
        const auto name = nameText(at);
        if (!name) {
            return;
        }
        const data_centre_id id(*name);
        if (std::find(settings.dataCentres.begin(), settings.dataCentres.end(), id) != settings.dataCentres.end()) {
            addFinding(at, '"' + *name + "\" is declared twice", "expected a name of its own");
            return;
        }
        settings.dataCentres.push_back(id);
    });
    const auto field = findField(root, "data_centres");
    if (field && field->node->kind == yaml_kind::Sequence && field->node->items.empty()) {
        addFinding(*field, "is empty", "expected at least one data centre");
    }
}

void parseRoot(const yaml_cursor &root, configuration &settings)
{
    if (!checkFields(root, rootRules)) {
        return;
    }
    parseCellName(root, settings);
    parseDataCentres(root, settings);
    readDuration(root, "retention", minRetention, maxRetention, settings.retention);
    parseLimits(root, settings);
    parsePolicies(root, settings);
    parseTeams(root, settings);
    parseWork(root, settings);
}

/// Reports each team whose home differs from the one in the current configuration.
void checkTeamHomes(const yaml_cursor &root, const configuration &current)
{
    std::map<std::string_view, const team_settings *> currentTeams;
    for (const team_settings &team : current.teams) {
        currentTeams.emplace(team.name.value, &team);
    }
    forEachItem(root, "teams", current.teams.size() + maxYamlBytes, [&](const yaml_cursor &at) {
        const auto name = findField(at, "name");
        const auto home = findField(at, "home");
        const auto team = name ? currentTeams.find(name->node->text) : currentTeams.end();
        if (home && team != currentTeams.end() && team->second->home.value != home->node->text) {
            addFinding(*home,
                       "the home of team " + quoteForMessage(name->node->text) + " cannot be changed",
                       "expected " + team->second->home.value + "; declare a new team instead");
        }
    });
}

void checkCellName(const yaml_cursor &root, const configuration &current)
{
    const auto cell = findField(root, "cell");
    if (cell && cell->node->text != current.cell) {
        addFinding(*cell, "the name of the cell cannot be changed", "expected " + current.cell);
    }
}

} // namespace

parsed_configuration parseConfiguration(const std::string &text, const std::string &file, config_version version)
{
    yaml_document document = parseYaml(text, file);
    yaml_report report{file, std::move(document.problems)};
    boost::intrusive_ptr<configuration> settings(new configuration);
    settings->version = version;
    settings->text = text;
    if (document.readable) {
        parseRoot({&document.root, "", &report}, *settings);
    }
    parsed_configuration parsed;
    parsed.problems = sortedFindings(std::move(report));
    if (parsed.problems.empty()) {
        parsed.settings = settings;
    }
    return parsed;
}

findings checkTransition(const configuration &current, const parsed_configuration &next, const std::string &file)
{
    if (!next.settings) {
        return {};
    }
    // Parses the text again, because the settings do not store the line and column of each field.
    const yaml_document document = parseYaml(next.settings->text, file);
    yaml_report report{file, document.problems};
    if (document.readable) {
        const yaml_cursor root{&document.root, "", &report};
        checkCellName(root, current);
        checkTeamHomes(root, current);
    }
    return sortedFindings(std::move(report));
}

} // namespace sesamespar
