// The life of one request, put together from the log lines of the daemons of a cell.
#pragma once

#include "base/log_line.h"

#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// What the lines tell.
struct request_timeline {
    std::string outcome; ///< One clause.
    std::vector<log_line> own; ///< Lines that name the request, by time.
    std::vector<log_line> around; ///< What happened meanwhile to the leader, the store and the request's workers.
    std::vector<std::string> missing; ///< What the lines do not tell, each a clause.
};

/// True if a line may belong to the timeline of a request, so that a reader need keep no other lines.
bool concernsRequest(const log_line &line, std::string_view request);

/// Puts the timeline together, from lines in any order.
request_timeline traceRequest(std::string_view request, std::vector<log_line> lines);

} // namespace sesamespar
