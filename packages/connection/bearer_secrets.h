// Bearer secrets of callers and operators. Only their digests are kept; they are never logged.
#pragma once

#include <array>
#include <string>
#include <string_view>

namespace sesamespar {

/// SHA-256 of a secret. Digests have one length, so that comparing them tells nothing of the secret's length.
using secret_digest = std::array<unsigned char, 32>;

/// The secrets that a front end takes.
struct bearer_secrets {
    secret_digest caller{};
    secret_digest operators{};
};

/// Digests of both secrets.
bearer_secrets makeBearerSecrets(const std::string &caller, const std::string &operators);

/// Who may do a call.
enum class call_access {
    Callers, ///< Callers and operators.
    Operators, ///< Operators only.
};

/// Checks the value of an Authorization header, "Bearer SECRET", in a time that does not depend on the secrets.
bool isAuthorized(const bearer_secrets &secrets, call_access access, std::string_view authorization);

} // namespace sesamespar
