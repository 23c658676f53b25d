#include "standins/key_value_store.h"

#include <algorithm>

namespace sesamespar::standins {

namespace {

constexpr std::size_t maxKeysPerList = 1000;

} // namespace

store_value readValue(const key_value_store &store, const std::string &key)
{
    const auto found = store.values.find(key);
    return found == store.values.end() ? store_value{} : found->second;
}

store_put_reply putValue(key_value_store &store, const store_put &request)
{
    const store_revision present = readValue(store, request.key).revision;
    if (present != request.expected) {
        return {false, present};
    }
    const store_revision next(++store.lastRevision);
    store.values[request.key] = {request.value, next};
    return {true, next};
}

std::optional<store_value> watchedValue(const key_value_store &store, const store_watch &request)
{
    store_value present = readValue(store, request.key);
    if (present.revision > request.after) {
        return present;
    }
    return std::nullopt;
}

store_keys listKeys(const key_value_store &store, const store_list &request)
{
    store_keys found;
    for (auto entry = store.values.upper_bound(std::max(request.after, request.prefix));
         entry != store.values.end() && found.keys.size() < maxKeysPerList;
         ++entry) {
        if (!entry->first.starts_with(request.prefix)) {
            break;
        }
        found.keys.push_back(entry->first);
    }
    // upper_bound skips a key that equals the prefix.
    if (request.after < request.prefix && store.values.contains(request.prefix)) {
        found.keys.insert(found.keys.begin(), request.prefix);
        found.keys.resize(std::min(found.keys.size(), maxKeysPerList));
    }
    return found;
}

} // namespace sesamespar::standins
