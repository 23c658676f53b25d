// The longest chain of dependent steps of a job, on which its objective depends.
#pragma once

#include "request/stepped_job.h"
#include "version/cell_configuration.h"

#include <algorithm>
#include <vector>

namespace sesamespar {

/// Time that the objective allows for the advisor in each step of the chain, in milliseconds: one request with this
/// many workers. 0 for a queue without an advisor.
inline double adviceAllowanceMs(const queue_policy &policy)
{
    constexpr int adviceWorkers = 30;
    return policy.advice ? policy.advice->decide.count() + adviceWorkers * policy.advice->perWorker.count() : 0;
}

/// Sum of the lengths along the longest chain of dependent steps. `lengthOf` returns the length of the step of that
/// number.
template<typename LengthOf>
double longestChain(const std::vector<job_step> &steps, LengthOf lengthOf)
{
    std::vector<double> ends(steps.size(), 0);
    double longest = 0;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        double start = 0;
        for (const std::uint32_t earlier : steps[step].after) {
            start = std::max(start, ends[earlier]);
        }
        ends[step] = start + lengthOf(step);
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

} // namespace sesamespar
