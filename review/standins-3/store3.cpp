#include "store3.h"

#include "fields3.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <thread>

namespace {

using json_writer3 = rapidjson::Writer<rapidjson::StringBuffer>;
constexpr std::size_t pageItems = 500;
constexpr std::size_t pageBytes = 1000000;

constexpr char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode64(const std::string &bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= count ? alphabet[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

std::string decode64(const std::string &text)
{
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const auto *const at = std::find(std::begin(alphabet), std::end(alphabet) - 1, c);
        if (at == std::end(alphabet) - 1) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(at - std::begin(alphabet));
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> bits & 255U);
        }
    }
    return out;
}

void text(json_writer3 &writer, const char *key, const std::string &value)
{
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void number(json_writer3 &writer, const char *key, std::uint64_t value)
{
    writer.Key(key);
    writer.Uint64(value);
}

template<typename Item>
void writeItem(json_writer3 &writer, const std::string &key, const Item &item)
{
    writer.StartObject();
    text(writer, "key", key);
    text(writer, "value", encode64(item.value));
    number(writer, "revision", item.revision);
    number(writer, "created", item.created);
    number(writer, "lease", item.lease);
    writer.EndObject();
}

bool startsWith(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

std::string queryOf(const http_request3 &request, const char *name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

} // namespace

platform_store3::platform_store3()
    : server("127.0.0.1", [this](const http_request3 &request) { return handle(request); })
{
    server.open();
    std::thread([this] {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            const std::lock_guard lock(mutex);
            if (ended) {
                return;
            }
            endLeases();
        }
    }).detach();
}

platform_store3::~platform_store3()
{
    const std::lock_guard lock(mutex);
    ended = true;
    changed.notify_all();
}

void platform_store3::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex);
    ++revision;
    set(key, value, 0);
}

void platform_store3::remove(const std::string &key)
{
    const std::lock_guard lock(mutex);
    if (items.count(key) != 0) {
        ++revision;
        erase(key);
    }
}

void platform_store3::holdWrites(const std::string &text, int forMs, int delayMs)
{
    const std::lock_guard lock(mutex);
    heldText = text;
    heldMs = delayMs;
    heldUntil = std::chrono::steady_clock::now() + std::chrono::milliseconds(forMs);
}

bool platform_store3::isHeld(const http_request3 &request)
{
    if (heldText.empty() || std::chrono::steady_clock::now() > heldUntil) {
        return false;
    }
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    for (const auto &row : list3(body, "puts")) {
        if (text3(row, "key").find(heldText) != std::string::npos) {
            return true;
        }
    }
    return false;
}

void platform_store3::set(const std::string &key, const std::string &value, std::uint64_t leaseNumber)
{
    item &entry = items[key];
    entry.value = value;
    entry.revision = revision;
    entry.created = entry.created == 0 ? revision : entry.created;
    entry.lease = leaseNumber;
    events.push_back({key, revision, entry});
    changed.notify_all();
}

void platform_store3::erase(const std::string &key)
{
    items.erase(key);
    events.push_back({key, revision, std::nullopt});
    changed.notify_all();
}

void platform_store3::endLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto next = leases.begin(); next != leases.end();) {
        const auto entry = next++;
        if (entry->second.ends > now) {
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, held] : items) {
            if (held.lease == entry->first) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++revision;
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        leases.erase(entry);
    }
}

http_reply3 platform_store3::range(const http_request3 &request)
{
    const std::string prefix = queryOf(request, "prefix");
    const std::string after = queryOf(request, "after");
    rapidjson::StringBuffer buffer;
    json_writer3 writer(buffer);
    writer.StartObject();
    writer.Key("items");
    writer.StartArray();
    bool truncated = false;
    std::size_t count = 0;
    for (const auto &[key, held] : items) {
        if (!startsWith(key, prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (count >= pageItems || buffer.GetSize() > pageBytes) {
            truncated = true;
            break;
        }
        writeItem(writer, key, held);
        ++count;
    }
    writer.EndArray();
    writer.Key("truncated");
    writer.Bool(truncated);
    number(writer, "storeRevision", revision);
    writer.EndObject();
    return {200, buffer.GetString()};
}

http_reply3 platform_store3::watch(const http_request3 &request)
{
    const std::string prefix = queryOf(request, "prefix");
    const std::uint64_t after = std::stoull("0" + queryOf(request, "after"));
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll("0" + queryOf(request, "waitMs")));
    std::unique_lock lock(mutex);
    std::vector<event> found;
    for (;;) {
        for (const event &one : events) {
            if (one.revision > after && startsWith(one.key, prefix)) {
                found.push_back(one);
            }
        }
        if (!found.empty() || ended || changed.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    rapidjson::StringBuffer buffer;
    json_writer3 writer(buffer);
    writer.StartObject();
    writer.Key("events");
    writer.StartArray();
    for (const event &one : found) {
        if (one.written) {
            writeItem(writer, one.key, *one.written);
            continue;
        }
        writer.StartObject();
        text(writer, "key", one.key);
        number(writer, "revision", one.revision);
        writer.Key("tombstone");
        writer.Bool(true);
        writer.EndObject();
    }
    writer.EndArray();
    number(writer, "storeRevision", std::max(revision, after));
    writer.EndObject();
    return {200, buffer.GetString()};
}

http_reply3 platform_store3::transact(const http_request3 &request)
{
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    if (!body.IsObject()) {
        return {400, "{}"};
    }
    const auto foreign = [](const std::string &key) {
        return startsWith(key, "op/") || startsWith(key, "servers/");
    };
    bool holds = true;
    for (const auto &row : list3(body, "expectedRev")) {
        const auto found = items.find(text3(row, "key"));
        holds = holds && (found == items.end() ? 0 : found->second.revision) == count3(row, "revision");
    }
    rapidjson::StringBuffer buffer;
    json_writer3 writer(buffer);
    writer.StartObject();
    if (!holds) {
        writer.Key("items");
        writer.StartArray();
        for (const auto &row : list3(body, "expectedRev")) {
            const auto found = items.find(text3(row, "key"));
            if (found != items.end()) {
                writeItem(writer, found->first, found->second);
            } else {
                writer.StartObject();
                text(writer, "key", text3(row, "key"));
                number(writer, "revision", 0);
                writer.EndObject();
            }
        }
        writer.EndArray();
        writer.EndObject();
        return {412, buffer.GetString()};
    }
    for (const auto &row : list3(body, "puts")) {
        const std::uint64_t held = count3(row, "lease");
        if (foreign(text3(row, "key"))) {
            return {403, "{}"};
        }
        if (held != 0 && leases.count(held) == 0) {
            return {404, "{}"};
        }
    }
    for (const auto &key : list3(body, "remove")) {
        if (foreign(key.GetString())) {
            return {403, "{}"};
        }
    }
    ++revision;
    for (const auto &row : list3(body, "puts")) {
        set(text3(row, "key"), decode64(text3(row, "value")), count3(row, "lease"));
    }
    for (const auto &key : list3(body, "remove")) {
        if (items.count(key.GetString()) != 0) {
            erase(key.GetString());
        }
    }
    number(writer, "revision", revision);
    writer.EndObject();
    return {200, buffer.GetString()};
}

std::optional<http_reply3> platform_store3::handle(const http_request3 &request)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(3));
    if (request.path == "/sesamespar/kv-watch") {
        return watch(request);
    }
    const std::lock_guard lock(mutex);
    endLeases();
    if (request.path == "/sesamespar/kv-range") {
        return range(request);
    }
    if (request.path == "/sesamespar/kv-txn") {
        if (!isHeld(request)) {
            return transact(request);
        }
        std::thread([this, request, ms = heldMs] {
            std::this_thread::sleep_for(std::chrono::milliseconds(ms));
            const std::lock_guard later(mutex);
            transact(request);
        }).detach();
        return std::nullopt;
    }
    if (request.path == "/sesamespar/kv-key") {
        const auto found = items.find(queryOf(request, "key"));
        if (found == items.end()) {
            return http_reply3{404, "{}"};
        }
        rapidjson::StringBuffer buffer;
        json_writer3 writer(buffer);
        writeItem(writer, found->first, found->second);
        std::string body = buffer.GetString();
        body.insert(body.size() - 1, ",\"storeRevision\":" + std::to_string(revision));
        return http_reply3{200, body};
    }
    const auto now = std::chrono::steady_clock::now();
    if (request.path == "/sesamespar/kv-lease") {
        rapidjson::Document body;
        body.Parse(request.body.data(), request.body.size());
        const std::int64_t ttl = std::clamp<std::int64_t>(number3(body, "ttlMs"), 1000, 600000);
        leases[++nextLease] = {ttl, now + std::chrono::milliseconds(ttl)};
        return http_reply3{200, "{\"lease\":" + std::to_string(nextLease) + ",\"ttlMs\":" + std::to_string(ttl) + "}"};
    }
    const std::size_t slash = request.path.rfind('/');
    const std::uint64_t named = std::strtoull(request.path.c_str() + slash + 1, nullptr, 10);
    const auto held = leases.find(named);
    if (held == leases.end()) {
        return http_reply3{404, "{}"};
    }
    if (startsWith(request.path, "/sesamespar/kv-keep/")) {
        held->second.ends = now + std::chrono::milliseconds(held->second.ttlMs);
        return http_reply3{200, "{\"ttlMs\":" + std::to_string(held->second.ttlMs) + "}"};
    }
    held->second.ends = now;
    endLeases();
    return http_reply3{200, "{}"};
}
