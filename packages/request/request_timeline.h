// Reconstructs the history of one request from the log lines of a cell's daemons.
#pragma once

#include "base/log_line.h"

#include <string>
#include <string_view>
#include <vector>

namespace sesamespar {

/// History of one request.
struct request_timeline {
    std::string outcome; ///< Final or latest known outcome, as one clause.
    std::vector<log_line> own; ///< Lines that name the request, sorted by time.
    std::vector<log_line> around; ///< Concurrent events of the leader, the store and the request's workers.
    std::vector<std::string> missing; ///< Information that is absent from the lines, one clause each.
};

/// True if a line may belong to the timeline of `request`. Readers can discard all other lines.
bool concernsRequest(const log_line &line, std::string_view request);

/// Builds the timeline from lines in any order.
request_timeline traceRequest(std::string_view request, std::vector<log_line> lines);

} // namespace sesamespar
