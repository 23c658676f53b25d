// Command line flags of the stand-ins.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace sesamespar::standins {

/// One flag --NAME VALUE.
struct program_flag {
    std::string name;
    std::string value; ///< The default.
    std::string help;
};

/// Reads the flags from the command line, and starts the log on stderr. Prints the usage and ends the
/// process if a flag is unknown.
std::map<std::string, std::string> readFlags(int count, const char **arguments, std::vector<program_flag> flags);

/// Number value of a flag; ends the process with a message if it is not a number.
long flagNumber(const std::map<std::string, std::string> &flags, const std::string &name);

/// Prints the line by which the harness learns the address, and flushes it.
void printReady(const std::string &address);

} // namespace sesamespar::standins
