#include "store.h"

#include "json.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

namespace review {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int gone = 410;
constexpr int preconditionFailed = 412;
constexpr int unavailable = 503;
constexpr std::size_t pageItems = 500;
constexpr std::size_t maxEntries = 32;
constexpr int maxWatchMs = 30000;
constexpr int leastTtlMs = 1000;
constexpr int greatestTtlMs = 600000;
constexpr std::chrono::seconds retention{20};
constexpr std::chrono::milliseconds expiryPeriod{10};

std::string queryOf(const http_message &request, const std::string &name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::uint64_t numberOf(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

bool isReserved(const std::string &key)
{
    return key.starts_with("op/") || key.starts_with("servers/");
}

} // namespace

std::string quoteJson(const std::string &text)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return {buffer.GetString(), buffer.GetSize()};
}

std::string encodeBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = (group << 8U)
                | (index + byte < bytes.size() ? static_cast<unsigned char>(bytes[index + byte]) : std::uint32_t{0});
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += index + digit > bytes.size() ? '=' : digits[(group >> (18U - 6U * digit)) & 63U];
        }
    }
    return text;
}

std::string decodeBase64(const std::string &text)
{
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char digit : text) {
        const std::size_t value = digits.find(digit);
        if (value == std::string::npos) {
            break;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> bits) & 255U);
        }
    }
    return bytes;
}

platform_store::platform_store(std::size_t entrances)
{
    for (std::size_t entrance = 0; entrance < entrances; ++entrance) {
        m_servers.push_back(std::make_unique<http_server>(
            0, [this, entrance](const http_message &request) { return handle(entrance, request); }));
    }
    m_expiry = std::thread([this] { expireLeases(); });
}

platform_store::~platform_store()
{
    m_stopped = true;
    m_changed.notify_all();
    m_expiry.join();
    for (const auto &server : m_servers) {
        server->stop();
    }
}

void platform_store::resetChannels(std::size_t entrance, double share, const std::string &path)
{
    m_servers[entrance]->resetConnections(share, path);
}

void platform_store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    putLocked(key, encodeBase64(value), 0, ++m_revision);
    m_changed.notify_all();
}

void platform_store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_items.contains(key)) {
        removeLocked(key, ++m_revision);
        m_changed.notify_all();
    }
}

std::optional<std::string> platform_store::read(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(decodeBase64(found->second.value));
}

std::optional<http_message> platform_store::handle(std::size_t entrance, const http_message &request)
{
    if (behaviour.busy) {
        return jsonResponse(unavailable, "{}");
    }
    const auto half = std::chrono::milliseconds(behaviour.delayMs / 2);
    std::this_thread::sleep_for(half);
    http_message response = execute(request);
    if (onExecuted) {
        onExecuted(entrance, request);
    }
    std::this_thread::sleep_for(half);
    return response;
}

http_message platform_store::execute(const http_message &request)
{
    const std::string keep = "/sesamespar/kv-keep/";
    const std::string end = "/sesamespar/kv-lease-end/";
    if (request.path == "/sesamespar/kv-key") {
        return readKey(request);
    }
    if (request.path == "/sesamespar/kv-range") {
        return readRange(request);
    }
    if (request.path == "/sesamespar/kv-watch") {
        return watch(request);
    }
    if (request.path == "/sesamespar/kv-txn") {
        return commit(request);
    }
    if (request.path == "/sesamespar/kv-lease") {
        return openLease(request);
    }
    if (request.path.starts_with(keep)) {
        return keepLease(numberOf(request.path.substr(keep.size())));
    }
    if (request.path.starts_with(end)) {
        return endLease(numberOf(request.path.substr(end.size())));
    }
    return jsonResponse(notFound, "{}");
}

void platform_store::appendItem(std::string &json, const std::string &key, const item &found) const
{
    json += R"({"key":)" + quoteJson(key) + R"(,"value":")" + found.value + R"(","revision":)"
        + std::to_string(found.revision) + R"(,"created":)" + std::to_string(found.created) + R"(,"lease":)"
        + std::to_string(found.lease);
}

http_message platform_store::readKey(const http_message &request)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(queryOf(request, "key"));
    const std::string revision = R"("storeRevision":)" + std::to_string(m_revision) + "}";
    if (found == m_items.end()) {
        return jsonResponse(notFound, "{" + revision);
    }
    std::string json;
    appendItem(json, found->first, found->second);
    return jsonResponse(ok, json + "," + revision);
}

http_message platform_store::readRange(const http_message &request)
{
    const std::lock_guard lock(m_mutex);
    const std::string prefix = queryOf(request, "prefix");
    const std::string after = queryOf(request, "after");
    auto next = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
    std::string json = R"({"items":[)";
    std::size_t count = 0;
    for (; next != m_items.end() && next->first.starts_with(prefix) && count < pageItems; ++next, ++count) {
        json += count == 0 ? "" : ",";
        appendItem(json, next->first, next->second);
        json += "}";
    }
    const bool truncated = next != m_items.end() && next->first.starts_with(prefix);
    return jsonResponse(ok,
                        json + R"(],"truncated":)" + (truncated ? "true" : "false") + R"(,"storeRevision":)"
                            + std::to_string(m_revision) + "}");
}

http_message platform_store::watch(const http_message &request)
{
    const std::string prefix = queryOf(request, "prefix");
    const std::uint64_t after = numberOf(queryOf(request, "after"));
    const auto wait = std::min<std::uint64_t>(numberOf(queryOf(request, "waitMs")), maxWatchMs);
    const auto until = clock::now() + std::chrono::milliseconds(wait);
    std::unique_lock lock(m_mutex);
    std::string json;
    for (;;) {
        if (after < m_dropped) {
            return jsonResponse(gone, "{}");
        }
        for (const event &happened : m_history) {
            if (happened.revision <= after || !happened.key.starts_with(prefix)) {
                continue;
            }
            json += json.empty() ? "" : ",";
            if (happened.tombstone) {
                json += R"({"key":)" + quoteJson(happened.key) + R"(,"revision":)" + std::to_string(happened.revision)
                    + R"(,"tombstone":true})";
            } else {
                appendItem(json, happened.key, happened.written);
                json += "}";
            }
        }
        if (!json.empty() || clock::now() >= until || m_stopped) {
            break;
        }
        m_changed.wait_until(lock, until);
    }
    return jsonResponse(ok, R"({"events":[)" + json + R"(],"storeRevision":)" + std::to_string(m_revision) + "}");
}

void platform_store::putLocked(const std::string &key,
                               const std::string &value,
                               std::uint64_t leaseNumber,
                               std::uint64_t revision)
{
    item &written = m_items[key];
    written.value = value;
    written.revision = revision;
    written.created = written.created == 0 ? revision : written.created;
    written.lease = leaseNumber;
    m_history.push_back({key, revision, written, false, clock::now()});
}

void platform_store::removeLocked(const std::string &key, std::uint64_t revision)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({key, revision, {}, true, clock::now()});
    }
}

http_message platform_store::commit(const http_message &request)
{
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    if (body.HasParseError() || !body.IsObject()) {
        return jsonResponse(badRequest, "{}");
    }
    const rapidjson::Value none(rapidjson::kArrayType);
    const auto list = [&](const char *name) -> const rapidjson::Value & {
        const auto found = body.FindMember(name);
        return found != body.MemberEnd() && found->value.IsArray() ? found->value : none;
    };
    const rapidjson::Value &conditions = list("expectedRev");
    const rapidjson::Value &puts = list("puts");
    const rapidjson::Value &removals = list("remove");
    if (conditions.Size() + puts.Size() + removals.Size() > maxEntries) {
        return jsonResponse(badRequest, "{}");
    }
    const std::lock_guard lock(m_mutex);
    bool holds = true;
    std::string current;
    for (const rapidjson::Value &condition : conditions.GetArray()) {
        const std::string key = textOf(condition, "key");
        const auto found = m_items.find(key);
        const item state = found == m_items.end() ? item{} : found->second;
        holds = holds && state.revision == integerOf(condition, "revision");
        current += current.empty() ? "" : ",";
        appendItem(current, key, state);
        current += "}";
    }
    if (!holds) {
        return jsonResponse(preconditionFailed, R"({"items":[)" + current + "]}");
    }
    for (const rapidjson::Value &put : puts.GetArray()) {
        const std::uint64_t number = integerOf(put, "lease");
        if (isReserved(textOf(put, "key"))) {
            return jsonResponse(forbidden, "{}");
        }
        if (number != 0 && !m_leases.contains(number)) {
            return jsonResponse(notFound, "{}");
        }
    }
    const std::uint64_t revision = ++m_revision;
    for (const rapidjson::Value &put : puts.GetArray()) {
        putLocked(textOf(put, "key"), textOf(put, "value"), integerOf(put, "lease"), revision);
    }
    for (const rapidjson::Value &removal : removals.GetArray()) {
        removeLocked(removal.GetString(), revision);
    }
    m_changed.notify_all();
    return jsonResponse(ok, R"({"revision":)" + std::to_string(revision) + "}");
}

http_message platform_store::openLease(const http_message &request)
{
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    if (body.HasParseError() || !body.IsObject()) {
        return jsonResponse(badRequest, "{}");
    }
    const auto ttl = std::clamp<std::uint64_t>(integerOf(body, "ttlMs"), leastTtlMs, greatestTtlMs);
    const std::lock_guard lock(m_mutex);
    const std::uint64_t number = ++m_nextLease;
    m_leases[number] = {std::chrono::milliseconds(ttl), clock::now() + std::chrono::milliseconds(ttl)};
    return jsonResponse(ok, R"({"lease":)" + std::to_string(number) + R"(,"ttlMs":)" + std::to_string(ttl) + "}");
}

http_message platform_store::keepLease(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_leases.find(number);
    if (found == m_leases.end()) {
        return jsonResponse(notFound, "{}");
    }
    found->second.end = clock::now() + found->second.ttl;
    return jsonResponse(ok, R"({"ttlMs":)" + std::to_string(found->second.ttl.count()) + "}");
}

http_message platform_store::endLease(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    if (!m_leases.contains(number)) {
        return jsonResponse(notFound, "{}");
    }
    endLeaseLocked(number);
    return jsonResponse(ok, "{}");
}

void platform_store::endLeaseLocked(std::uint64_t number)
{
    m_leases.erase(number);
    std::vector<std::string> keys;
    for (const auto &[key, state] : m_items) {
        if (state.lease == number) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        removeLocked(key, ++m_revision);
    }
    m_changed.notify_all();
}

void platform_store::expireLeases()
{
    while (!m_stopped) {
        std::this_thread::sleep_for(expiryPeriod);
        const std::lock_guard lock(m_mutex);
        const auto now = clock::now();
        std::vector<std::uint64_t> ended;
        if (behaviour.busy) {
            // Leases pause while the store is down.
            for (auto &[number, state] : m_leases) {
                state.end += expiryPeriod;
            }
        }
        for (const auto &[number, state] : m_leases) {
            if (state.end <= now) {
                ended.push_back(number);
            }
        }
        for (const std::uint64_t number : ended) {
            endLeaseLocked(number);
        }
        while (!m_history.empty() && m_history.front().at + retention < now) {
            m_dropped = m_history.front().revision;
            m_history.pop_front();
        }
    }
}

} // namespace review
