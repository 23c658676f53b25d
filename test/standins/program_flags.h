// Command line flags of the stand-in programs.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace sesamespar::standins {

/// One flag of the form --NAME VALUE.
struct program_flag {
    std::string name;
    std::string value; ///< Default value.
    std::string help;
};

/// Parses the command line and starts logging to stderr. Returns the value of each flag by name. Prints the usage and
/// exits with status 2 if a flag is unknown.
std::map<std::string, std::string> readFlags(int count, const char **arguments, std::vector<program_flag> flags);

/// Integer value of a flag. Prints a message and exits with status 2 if the value is not an integer.
long flagNumber(const std::map<std::string, std::string> &flags, const std::string &name);

/// Prints the line "ready address=ADDRESS" from which the harness reads the address, and flushes stdout.
void printReady(const std::string &address);

} // namespace sesamespar::standins
