#include "version/cell_configuration.h"

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

} // namespace sesamespar
