// Boundary that contains unexpected exceptions. The item whose handling threw is given up and logged with its identity;
// the process goes on.
#pragma once

#include <exception>
#include <string_view>

namespace sesamespar {

/// Logs an exception that ended the handling of one item, at a limited rate.
void logContainedError(std::string_view kind, std::string_view item, const char *problem);

/// Runs `step`. Returns false if an exception left it; the exception is logged with the kind and the identity of the
/// item that was being handled. What `step` had changed by then stays changed: the caller discards or rebuilds it.
template<typename Step>
bool runContained(std::string_view kind, std::string_view item, Step &&step)
{
    try {
        step();
        return true;
    } catch (const std::exception &problem) {
        logContainedError(kind, item, problem.what());
    } catch (...) {
        logContainedError(kind, item, "exception of unknown type");
    }
    return false;
}

} // namespace sesamespar
