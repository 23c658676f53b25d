// Compression of packets between daemons. Batches repeat field names and identifiers; small VMs have links of 2 Mbit/s.
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace sesamespar {

/// Largest packet after decompression, so that a malformed packet cannot exhaust the memory.
constexpr std::size_t maxUnpackedBytes = std::size_t{4} * 1024 * 1024;

/// Returns the text in compressed form, or unchanged if it is short or does not get shorter. The text must not start
/// with the marker of compressed packets, a byte of value 1; JSON never does.
std::string packText(std::string_view text);

/// Returns the text of a packet. Errors: InvalidInput if a compressed packet is malformed or too large.
result<std::string> unpackText(std::string_view packet);

} // namespace sesamespar
