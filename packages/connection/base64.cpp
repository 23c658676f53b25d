#include "connection/base64.h"

#include <openssl/evp.h>

namespace sesamespar {

namespace {

/// Base64 encodes each group of 3 bytes as 4 characters.
constexpr std::size_t groupBytes = 3;
constexpr std::size_t groupChars = 4;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    // EVP_EncodeBlock writes a terminating NUL after the text.
    std::string text((bytes.size() + groupBytes - 1) / groupBytes * groupChars + 1, '\0');
    const int written = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % groupChars != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / groupChars * groupBytes, '\0');
    const int written = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    if (written < 0) {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(written) - padding);
    return bytes;
}

} // namespace sesamespar
