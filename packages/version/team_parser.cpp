#include "version/team_parser.h"

#include <algorithm>
#include <set>

namespace sesamespar {

namespace {

constexpr std::size_t maxTeams = 1000;
constexpr std::size_t maxWork = 5000;
const millicores maxTaskProcessors{1024000};
const mebibytes maxTaskMemory{16777216};
constexpr std::int64_t maxTaskAccelerators = 1024;
const millicores maxQuotaProcessors{1000000000};
const mebibytes maxQuotaMemory{17179869184};
constexpr std::int64_t maxQuotaAccelerators = 1000000;
/// 365 days; keeps sums of run times far below the range of milliseconds.
constexpr milliseconds maxRunTime{31536000000};

const field_rules teamRules{{"name", "home", "weight", "quota"}, {"name", "home"}};
const field_rules quotaRules{{"processors", "memory", "accelerators"}, {"processors", "memory"}};
const field_rules workRules{
    {"name", "team", "kind", "tasks", "processors", "memory", "accelerators", "run_time", "repeatable"},
    {"name", "team", "kind", "processors", "memory"}};
constexpr std::array<std::string_view, allWorkKinds.size()> kindNames{"service", "batch", "gang", "query"};

void readAccelerators(const yaml_cursor &at, std::int64_t maximum, accelerators &value)
{
    readWholeNumber(at, "accelerators", 0, maximum, value.value);
}

void parseQuota(const yaml_cursor &at, team_settings &team)
{
    if (!checkFields(at, quotaRules)) {
        return;
    }
    const std::size_t findingsBefore = at.report->problems.size();
    resources quota;
    readProcessors(at, "processors", millicores(0), maxQuotaProcessors, quota.processors);
    readMemory(at, "memory", mebibytes(0), maxQuotaMemory, quota.memory);
    readAccelerators(at, maxQuotaAccelerators, quota.accelerator);
    // Drops an invalid quota, because checking work against it would cause misleading findings.
    if (at.report->problems.size() == findingsBefore) {
        team.quota = quota;
    }
}

/// Reads the name of an entry and reports duplicates.
template<typename Id>
void readUniqueName(const yaml_cursor &at, std::set<Id> &usedNames, Id &name)
{
    if (readName(at, "name", name) && !usedNames.insert(name).second) {
        addFinding(*findField(at, "name"), '"' + name.value + "\" is declared twice", "expected a name of its own");
    }
}

team_settings parseTeam(const yaml_cursor &at, const configuration &settings, std::set<team_id> &usedNames)
{
    team_settings team;
    readUniqueName(at, usedNames, team.name);
    if (readName(at, "home", team.home)
        && std::find(settings.dataCentres.begin(), settings.dataCentres.end(), team.home)
            == settings.dataCentres.end()) {
        addFinding(*findField(at, "home"),
                   "data centre \"" + team.home.value + "\" is not declared",
                   "expected a name from data_centres");
    }
    readCount(at, "weight", 1, 1000, team.weight);
    if (const auto quota = findField(at, "quota")) {
        parseQuota(*quota, team);
    }
    return team;
}

/// Reports work that can never fit into the quota of its team.
void checkQuota(const yaml_cursor &at, const work_settings &work, const team_settings &team)
{
    const bool needsAllTasks = work.kind == work_kind::Gang || work.kind == work_kind::Service;
    const std::int64_t count = needsAllTasks ? work.tasks : 1;
    if (team.quota && !fits(work.need * count, *team.quota)) {
        addFinding(at,
                   needsAllTasks ? "all tasks together need more than the quota of the team"
                                 : "one task needs more than the quota of the team",
                   "expected a need within the quota of \"" + team.name.value + '"');
    }
}

void readRepeatable(const yaml_cursor &at, work_settings &work)
{
    // Services are always repeatable, because the scheduler restarts their tasks when they end.
    work.repeatable = work.kind == work_kind::Service;
    readBoolean(at, "repeatable", work.repeatable);
    if (work.kind == work_kind::Service && !work.repeatable) {
        addFinding(*findField(at, "repeatable"), "a service is always repeatable", "expected true");
    }
}

work_settings parseWorkEntry(const yaml_cursor &at, const configuration &settings, std::set<work_id> &usedNames)
{
    const std::size_t findingsBefore = at.report->problems.size();
    work_settings work;
    readUniqueName(at, usedNames, work.name);
    if (const auto kind = readChoice(at, "kind", kindNames)) {
        work.kind = allWorkKinds.at(*kind);
    }
    readCount(at, "tasks", 1, 10000, work.tasks);
    readProcessors(at, "processors", millicores(1), maxTaskProcessors, work.need.processors);
    readMemory(at, "memory", mebibytes(1), maxTaskMemory, work.need.memory);
    readAccelerators(at, maxTaskAccelerators, work.need.accelerator);
    readDuration(at, "run_time", milliseconds(1), maxRunTime, work.runTime);
    readRepeatable(at, work);
    if (readName(at, "team", work.team)) {
        const team_settings *team = findTeam(settings, work.team);
        if (team == nullptr) {
            addFinding(*findField(at, "team"),
                       "team \"" + work.team.value + "\" is not declared",
                       "expected a name from teams");
        } else if (at.report->problems.size() == findingsBefore) {
            checkQuota(at, work, *team);
        }
    }
    return work;
}

} // namespace

void parseTeams(const yaml_cursor &root, configuration &settings)
{
    std::set<team_id> usedNames;
    forEachItem(root, "teams", maxTeams, [&](const yaml_cursor &at) {
        if (checkFields(at, teamRules)) {
            settings.teams.push_back(parseTeam(at, settings, usedNames));
        }
    });
}

void parseWork(const yaml_cursor &root, configuration &settings)
{
    std::set<work_id> usedNames;
    forEachItem(root, "work", maxWork, [&](const yaml_cursor &at) {
        if (checkFields(at, workRules)) {
            settings.work.push_back(parseWorkEntry(at, settings, usedNames));
        }
    });
}

} // namespace sesamespar
