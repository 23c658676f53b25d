// State of the platform's key-value store: values with revisions, compare-and-swap, watches and lists.
#pragma once

#include "connection/store_api.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sesamespar::standins {

/// All values, with one counter of revisions for the whole store.
struct key_value_store {
    std::map<std::string, store_value> values;
    std::uint64_t lastRevision = 0;
};

/// The value of a key; revision 0 if it is absent.
store_value readValue(const key_value_store &store, const std::string &key);

/// Writes the value if the key's revision is the expected one.
store_put_reply putValue(key_value_store &store, const store_put &request);

/// Answer to a watch, if the value's revision is above `after`.
std::optional<store_value> watchedValue(const key_value_store &store, const store_watch &request);

/// Keys with the prefix after `after`, at most 1000.
store_keys listKeys(const key_value_store &store, const store_list &request);

} // namespace sesamespar::standins
