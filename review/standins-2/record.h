// The record of a case: one line for each event, with milliseconds since the start.
#pragma once

#include <string>

namespace review {

/// Opens the file that record() writes to.
void openRecord(const std::string &path);

/// Appends a line to the record and to standard output.
void record(const std::string &line);

} // namespace review
