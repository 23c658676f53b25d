#include "version/configuration.h"

#include <algorithm>

namespace sesamespar {

namespace {

template<typename Entry, typename Name>
const Entry *findByName(const std::vector<Entry> &entries, const Name &name)
{
    const auto found =
        std::find_if(entries.begin(), entries.end(), [&](const Entry &entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

const kind_policy &policyOf(const configuration &settings, work_kind kind)
{
    return settings.policies.at(kindIndex(kind));
}

const team_settings *findTeam(const configuration &settings, const team_id &name)
{
    return findByName(settings.teams, name);
}

const work_settings *findWork(const configuration &settings, const work_id &name)
{
    return findByName(settings.work, name);
}

} // namespace sesamespar
