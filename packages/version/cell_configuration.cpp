#include "version/cell_configuration.h"

#include <algorithm>

namespace sesamespar {

const queue_declaration *
findQueue(const cell_configuration &configuration, std::string_view host, std::string_view path)
{
    const queue_declaration *best = nullptr;
    for (const queue_declaration &queue : configuration.queues) {
        if (queue.host != host || path.substr(0, queue.pathPrefix.size()) != queue.pathPrefix) {
            continue;
        }
        if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size()) {
            best = &queue;
        }
    }
    return best;
}

const organisation_declaration *findOrganisation(const cell_configuration &configuration, const api_key &key)
{
    const auto found = std::find_if(configuration.organisations.begin(),
                                    configuration.organisations.end(),
                                    [&key](const organisation_declaration &organisation) {
                                        return std::find(organisation.keys.begin(), organisation.keys.end(), key)
                                            != organisation.keys.end();
                                    });
    return found == configuration.organisations.end() ? nullptr : &*found;
}

const organisation_declaration *findOrganisation(const cell_configuration &configuration, const organisation_id &name)
{
    const auto found =
        std::find_if(configuration.organisations.begin(),
                     configuration.organisations.end(),
                     [&name](const organisation_declaration &organisation) { return organisation.name == name; });
    return found == configuration.organisations.end() ? nullptr : &*found;
}

} // namespace sesamespar
