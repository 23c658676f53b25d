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
/// A year, so that sums of run times stay far from overflow.
constexpr milliseconds maxRunTime{31536000000};

const field_rules teamRules{{"name", "home", "weight", "quota"}, {"name", "home"}};
const field_rules quotaRules{{"processors", "memory", "accelerators"}, {"processors", "memory"}};
const field_rules workRules{
    {"name", "team", "kind", "tasks", "processors", "memory", "accelerators", "run_time", "repeatable"},
    {"name", "team", "kind", "processors", "memory"}};
constexpr std::array<std::string_view, allWorkKinds.size()> kindNames{"service", "batch", "gang", "query"};

void readAccelerators(const yaml_cursor &at, std::int64_t most, accelerators &value)
{
    readWholeNumber(at, "accelerators", 0, most, value.value);
}

void parseQuota(const yaml_cursor &at, team_settings &team)
{
    if (!checkFields(at, quotaRules)) {
        return;
    }
    const std::size_t before = at.report->problems.size();
    resources quota;
    readProcessors(at, "processors", millicores(0), maxQuotaProcessors, quota.processors);
    readMemory(at, "memory", mebibytes(0), maxQuotaMemory, quota.memory);
    readAccelerators(at, maxQuotaAccelerators, quota.accelerator);
    // An invalid quota is left out, so that it causes no findings about the work of the team.
    if (at.report->problems.size() == before) {
        team.quota = quota;
    }
}

/// Reads the name of an entry and reports one that is taken.
template<typename Id>
void readUniqueName(const yaml_cursor &at, std::set<Id> &taken, Id &name)
{
    if (readName(at, "name", name) && !taken.insert(name).second) {
        addFinding(*findField(at, "name"), '"' + name.value + "\" is declared twice", "expected a name of its own");
    }
}

team_settings parseTeam(const yaml_cursor &at, const configuration &settings, std::set<team_id> &taken)
{
    team_settings team;
    readUniqueName(at, taken, team.name);
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

/// Reports work that its team's quota can never hold.
void checkQuota(const yaml_cursor &at, const work_settings &work, const team_settings &team)
{
    const bool together = work.kind == work_kind::Gang || work.kind == work_kind::Service;
    const std::int64_t count = together ? work.tasks : 1;
    if (team.quota && !fits(work.need * count, *team.quota)) {
        addFinding(at,
                   together ? "all tasks together need more than the quota of the team"
                            : "one task needs more than the quota of the team",
                   "expected a need within the quota of \"" + team.name.value + '"');
    }
}

void readRepeatable(const yaml_cursor &at, work_settings &work)
{
    // The system restarts the tasks of a service, so they are repeatable by their nature.
    work.repeatable = work.kind == work_kind::Service;
    readBoolean(at, "repeatable", work.repeatable);
    if (work.kind == work_kind::Service && !work.repeatable) {
        addFinding(*findField(at, "repeatable"), "a service is always repeatable", "expected true");
    }
}

work_settings parseWorkEntry(const yaml_cursor &at, const configuration &settings, std::set<work_id> &taken)
{
    const std::size_t before = at.report->problems.size();
    work_settings work;
    readUniqueName(at, taken, work.name);
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
        } else if (at.report->problems.size() == before) {
            checkQuota(at, work, *team);
        }
    }
    return work;
}

} // namespace

void parseTeams(const yaml_cursor &root, configuration &settings)
{
    std::set<team_id> taken;
    forEachItem(root, "teams", maxTeams, [&](const yaml_cursor &at) {
        if (checkFields(at, teamRules)) {
            settings.teams.push_back(parseTeam(at, settings, taken));
        }
    });
}

void parseWork(const yaml_cursor &root, configuration &settings)
{
    std::set<work_id> taken;
    forEachItem(root, "work", maxWork, [&](const yaml_cursor &at) {
        if (checkFields(at, workRules)) {
            settings.work.push_back(parseWorkEntry(at, settings, taken));
        }
    });
}

} // namespace sesamespar
