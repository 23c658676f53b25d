#include "connection/bearer_secrets.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace sesamespar {

namespace {

constexpr std::string_view scheme = "Bearer ";

secret_digest digest(std::string_view secret)
{
    secret_digest bytes{};
    SHA256(reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), bytes.data());
    return bytes;
}

bool equalInConstantTime(const secret_digest &left, const secret_digest &right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

bearer_secrets makeBearerSecrets(const std::string &caller, const std::string &operators)
{
    return {digest(caller), digest(operators)};
}

bool isAuthorized(const bearer_secrets &secrets, call_access access, std::string_view authorization)
{
    // An empty secret is always rejected, even if the settings contain one.
    if (!authorization.starts_with(scheme) || authorization.size() == scheme.size()) {
        return false;
    }
    const secret_digest given = digest(authorization.substr(scheme.size()));
    const bool fromCaller = equalInConstantTime(given, secrets.caller);
    const bool fromOperator = equalInConstantTime(given, secrets.operators);
    return fromOperator || (fromCaller && access == call_access::Callers);
}

} // namespace sesamespar
