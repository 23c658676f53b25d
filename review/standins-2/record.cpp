#include "record.h"

#include "http.h"

#include <fstream>
#include <iostream>
#include <mutex>

namespace review {

namespace {

std::mutex mutex;
std::ofstream file;

} // namespace

void openRecord(const std::string &path)
{
    file.open(path, std::ios::trunc);
}

void record(const std::string &line)
{
    const std::lock_guard lock(mutex);
    const std::string text = std::to_string(nowMs()) + " " + line;
    file << text << std::endl;
    std::cout << text << std::endl;
}

} // namespace review
