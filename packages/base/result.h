// Results that carry either a value or an error, on Boost.Outcome.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>

namespace sesamespar {

/// What went wrong, for the code that handles it.
enum class error_kind {
    InvalidInput, ///< The input is malformed or outside its limits.
    NotFound, ///< The named thing does not exist.
    Conflict, ///< A compare-and-swap or an expected version did not match.
    Unauthorized, ///< The secret is missing or wrong.
    Unreachable, ///< The call was certainly not sent.
    Unknown, ///< The call may or may not have taken effect.
    Overloaded, ///< A bounded queue or buffer is full.
};

/// An error with a message that names the offending thing.
struct error {
    error_kind kind = error_kind::Unknown;
    std::string message;
};

/// A value or an error; reading the absent one terminates the process.
template<typename T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::terminate>;

/// Makes an error from its kind and message.
inline error makeError(error_kind kind, std::string message)
{
    return {kind, std::move(message)};
}

} // namespace sesamespar
