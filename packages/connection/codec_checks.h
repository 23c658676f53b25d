// Checks that the decoders of both encodings share. Private to the codecs.
#pragma once

#include "connection/message_fields.h"

#include <optional>
#include <string>
#include <string_view>

namespace sesamespar {

/// Why a value was rejected, with the path of its field.
struct decode_fault {
    std::string path; ///< For example tasks[3].worker; empty for the message as a whole.
    std::string problem;
};

/// Sets the fault with an empty path and returns false.
bool reject(decode_fault &fault, std::string problem);

/// Prepends the name of the enclosing field to the path and returns false.
bool rejectIn(decode_fault &fault, std::string_view name);

/// Prepends the index in the enclosing list to the path and returns false.
bool rejectAt(decode_fault &fault, std::size_t index);

/// Rejects a number outside its limits.
bool checkNumber(std::uint64_t value, const value_limits &limits, decode_fault &fault);

/// Rejects a string whose length is outside its limits.
bool checkLength(std::size_t bytes, const value_limits &limits, decode_fault &fault);

/// Rejects a list whose length is outside its limits.
bool checkCount(std::size_t count, const value_limits &limits, decode_fault &fault);

/// Rejects a name with control characters, which would break log lines and paths.
bool checkName(std::string_view name, decode_fault &fault);

/// Formats the fault as PATH: PROBLEM.
std::string formatFault(const decode_fault &fault);

/// True if the bytes are well-formed UTF-8.
bool isUtf8(std::string_view bytes);

} // namespace sesamespar
