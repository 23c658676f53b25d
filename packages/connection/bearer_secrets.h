// Authorization by the bearer secrets of callers and operators. Only digests of the secrets are kept; secrets are
// never logged.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace sesamespar {

/// SHA-256 of a secret. All digests have the same length, so that a comparison does not reveal the length of the
/// secret.
using secret_digest = std::array<unsigned char, 32>;

/// Digests of the secrets that a front end accepts.
struct bearer_secrets {
    secret_digest caller{};
    secret_digest operators{};
};

/// Hashes both secrets.
bearer_secrets makeBearerSecrets(const std::string &caller, const std::string &operators);

/// Which clients may make a call.
enum class call_access {
    Callers, ///< Callers and operators.
    Operators, ///< Operators only.
};

/// Checks the value of an Authorization header, "Bearer SECRET". The time taken does not depend on the accepted
/// secrets.
bool isAuthorized(const bearer_secrets &secrets, call_access access, std::string_view authorization);

} // namespace sesamespar
