// Standard base64 with padding (RFC 4648), the text encoding of values in store messages.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sesamespar {

/// Encodes arbitrary bytes.
std::string encodeBase64(std::string_view bytes);

/// Decodes a text. Returns nothing if it is not valid base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace sesamespar
