// Standard base64 with padding (RFC 4648), in which values of the store are written as text.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sesamespar {

/// Text of any bytes.
std::string encodeBase64(std::string_view bytes);

/// Nothing if the text is not base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace sesamespar
