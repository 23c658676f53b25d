#include "version/organisation_check.h"

#include <cmath>
#include <map>
#include <set>

namespace sesamespar {

namespace {

finding makeFinding(std::size_t index, const char *field, std::string problem, std::string allowed)
{
    finding single;
    single.field = "organisations[" + std::to_string(index) + "]." + field;
    single.problem = std::move(problem);
    single.allowed = std::move(allowed);
    return single;
}

bool isNegative(const resources &amount)
{
    return amount.processors.value < 0 || amount.memory.value < 0 || amount.accelerator.value < 0;
}

} // namespace

findings checkOrganisations(const std::vector<organisation_declaration> &organisations)
{
    findings all;
    std::set<organisation_id> names;
    std::map<api_key, std::size_t> owners;
    for (std::size_t index = 0; index < organisations.size(); ++index) {
        const organisation_declaration &organisation = organisations[index];
        if (organisation.name.value.empty()) {
            all.push_back(makeFinding(index, "name", "the name is missing", "a non-empty string"));
        } else if (!names.insert(organisation.name).second) {
            all.push_back(makeFinding(
                index, "name", "\"" + organisation.name.value + "\" is declared twice", "a name of its own"));
        }
        for (const api_key &key : organisation.keys) {
            if (key.value.empty()) {
                all.push_back(makeFinding(index, "keys", "a key is empty or not a string", "non-empty strings"));
            } else if (owners.try_emplace(key, index).first->second != index) {
                all.push_back(
                    makeFinding(index, "keys", "a key belongs to another organisation as well", "keys of its own"));
            }
        }
        if (!std::isfinite(organisation.weight) || organisation.weight < 0) {
            all.push_back(makeFinding(index, "weight", "the weight is negative or not a number", "0 or more"));
        }
        if (isNegative(organisation.limit)) {
            all.push_back(makeFinding(index, "limit", "a limit is negative or not a number", "0 or more"));
        }
    }
    return all;
}

std::optional<organisation_id>
identifyOrganisation(const cell_configuration &configuration, const queue_declaration &queue, const api_key &key)
{
    if (queue.isPublic || configuration.organisations.empty()) {
        return organisation_id();
    }
    const organisation_declaration *organisation = findOrganisation(configuration, key);
    return organisation == nullptr ? std::nullopt : std::optional(organisation->name);
}

bool exceedsLimit(const resources &limit, const resources &need, std::int64_t tasks)
{
    const auto exceeds = [tasks](std::int64_t allowed, std::int64_t each) {
        return allowed > 0 && each > allowed / tasks;
    };
    return tasks > 0
        && (exceeds(limit.processors.value, need.processors.value) || exceeds(limit.memory.value, need.memory.value)
            || exceeds(limit.accelerator.value, need.accelerator.value));
}

} // namespace sesamespar
