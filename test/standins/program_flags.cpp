#include "standins/program_flags.h"

#include <glog/logging.h>
#include <popt.h>

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace sesamespar::standins {

namespace {

/// Option table for popt, with the automatic help options and the end marker.
std::vector<poptOption> makePoptTable(const std::vector<program_flag> &flags, std::vector<char *> &values)
{
    std::vector<poptOption> table;
    for (std::size_t index = 0; index < flags.size(); ++index) {
        table.push_back({flags.at(index).name.c_str(),
                         0,
                         POPT_ARG_STRING,
                         &values.at(index),
                         0,
                         flags.at(index).help.c_str(),
                         flags.at(index).value.c_str()});
    }
    const std::vector<poptOption> ending{POPT_AUTOHELP POPT_TABLEEND};
    table.insert(table.end(), ending.begin(), ending.end());
    return table;
}

} // namespace

std::map<std::string, std::string> readFlags(int count, const char **arguments, std::vector<program_flag> flags)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(arguments[0]);
    std::vector<char *> values(flags.size(), nullptr);
    std::vector<poptOption> table = makePoptTable(flags, values);
    poptContext context = poptGetContext(nullptr, count, arguments, table.data(), 0);
    const int code = poptGetNextOpt(context);
    if (code < -1 || poptPeekArg(context) != nullptr) {
        poptPrintUsage(context, stderr, 0);
        std::exit(2);
    }
    std::map<std::string, std::string> read;
    for (std::size_t index = 0; index < flags.size(); ++index) {
        read[flags.at(index).name] = values.at(index) == nullptr ? flags.at(index).value : values.at(index);
        std::free(values.at(index));
    }
    poptFreeContext(context);
    return read;
}

long flagNumber(const std::map<std::string, std::string> &flags, const std::string &name)
{
    const std::string &text = flags.at(name);
    long number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        std::cerr << "--" << name << ": must be an integer, not " << text << '\n';
        std::exit(2);
    }
    return number;
}

void printReady(const std::string &address)
{
    std::cout << "ready address=" << address << std::endl;
}

} // namespace sesamespar::standins
