#include "store.h"

#include "fields.h"
#include "record.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

namespace {

constexpr std::size_t maxPageItems = 500;
constexpr long long shortestLease = 1000;

std::string itemFields(const std::string &key, const stored_item &item)
{
    return "\"key\":" + quoted(key) + ",\"value\":\"" + item.value + "\",\"revision\":" + std::to_string(item.revision)
        + ",\"created\":" + std::to_string(item.created) + ",\"lease\":" + std::to_string(item.lease);
}

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

long long numberOf(const std::map<std::string, std::string> &query, const char *name)
{
    const auto found = query.find(name);
    return found == query.end() || found->second.empty() ? 0 : std::stoll(found->second);
}

} // namespace

std::string quoted(const std::string &text)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return {buffer.GetString(), buffer.GetSize()};
}

std::string encodeBase64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            encoded += i + j <= text.size() ? digits[(group >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return encoded;
}

std::string decodeBase64(const std::string &text)
{
    std::string decoded;
    unsigned bits = 0;
    int count = 0;
    for (const char c : text) {
        unsigned digit = 0;
        if (c >= 'A' && c <= 'Z') {
            digit = static_cast<unsigned>(c - 'A');
        } else if (c >= 'a' && c <= 'z') {
            digit = static_cast<unsigned>(c - 'a') + 26;
        } else if (c >= '0' && c <= '9') {
            digit = static_cast<unsigned>(c - '0') + 52;
        } else if (c == '+' || c == '/') {
            digit = c == '+' ? 62 : 63;
        } else {
            break;
        }
        bits = (bits << 6U) | digit;
        count += 6;
        if (count >= 8) {
            count -= 8;
            decoded += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
        }
    }
    return decoded;
}

int store::serve()
{
    std::thread([this] {
        while (true) {
            sleepMs(10);
            const std::lock_guard lock(m_mutex);
            expireLeases();
        }
    }).detach();
    return serveHttp([this](const http_channel &, const http_message &request, http_message &response) {
        return handle(request, response) ? http_outcome::Answered : http_outcome::Silent;
    });
}

void store::write(const std::string &key, const std::string &value, long long lease)
{
    stored_item &item = m_items[key];
    item.value = value;
    item.revision = m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_events.push_back({key, m_revision, false, item});
}

void store::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_events.push_back({key, m_revision, true, {}});
    }
}

void store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    write(key, encodeBase64(value), 0);
    m_changed.notify_all();
}

void store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    erase(key);
    m_changed.notify_all();
}

std::optional<std::string> store::value(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    expireLeases();
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(decodeBase64(found->second.value));
}

void store::compact(long long duration)
{
    {
        const std::lock_guard lock(m_mutex);
        m_silentUntil = nowMs() + duration;
        record("store forgets_history watches hear nothing for " + std::to_string(duration) + " ms");
    }
    std::thread([this, duration] {
        sleepMs(duration);
        const std::lock_guard lock(m_mutex);
        m_compacted = m_revision;
        m_events.clear();
        record("store cuts_watches");
        m_changed.notify_all();
    }).detach();
}

void store::expireLeases()
{
    const long long now = nowMs();
    for (auto next = m_leases.begin(); next != m_leases.end();) {
        const auto lease = next++;
        if (lease->second.second > now) {
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease->first) {
                keys.push_back(key);
            }
        }
        m_leases.erase(lease);
        if (!keys.empty()) {
            ++m_revision;
            std::for_each(keys.begin(), keys.end(), [this](const std::string &key) { erase(key); });
            m_changed.notify_all();
        }
    }
}

void store::applyTransaction(const std::string &body, http_message &response)
{
    rapidjson::Document document;
    document.Parse(body.c_str(), body.size());
    std::string items;
    bool holds = true;
    for (const auto &condition : memberOf(document, "expectedRev").GetArray()) {
        const std::string key = memberOf(condition, "key").GetString();
        const auto found = m_items.find(key);
        const long long revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == memberOf(condition, "revision").GetInt64();
        items += (items.empty() ? "{" : ",{")
            + (found == m_items.end() ? "\"key\":" + quoted(key) + ",\"revision\":0" : itemFields(key, found->second))
            + "}";
    }
    if (!holds) {
        response.status = 412;
        response.body = "{\"items\":[" + items + "]}";
        return;
    }
    for (const auto &entry : memberOf(document, "puts").GetArray()) {
        const long long lease = entry.HasMember("lease") ? memberOf(entry, "lease").GetInt64() : 0;
        if (lease != 0 && m_leases.count(lease) == 0) {
            response.status = 404;
            response.body = "{}";
            return;
        }
    }
    ++m_revision;
    for (const auto &entry : memberOf(document, "puts").GetArray()) {
        write(memberOf(entry, "key").GetString(),
              memberOf(entry, "value").GetString(),
              entry.HasMember("lease") ? memberOf(entry, "lease").GetInt64() : 0);
    }
    for (const auto &key : memberOf(document, "remove").GetArray()) {
        erase(key.GetString());
    }
    response.body = "{\"revision\":" + std::to_string(m_revision) + "}";
    m_changed.notify_all();
}

bool store::handle(const http_message &request, http_message &response)
{
    std::unique_lock lock(m_mutex);
    expireLeases();
    const std::string &path = request.path;
    const auto field = [&request](const char *name) {
        const auto found = request.query.find(name);
        return found == request.query.end() ? std::string() : found->second;
    };
    if (path == "/sesamespar/kv-key") {
        const auto found = m_items.find(field("key"));
        response.status = found == m_items.end() ? 404 : 200;
        const std::string fields = found == m_items.end() ? "" : itemFields(found->first, found->second) + ",";
        response.body = "{" + fields + "\"storeRevision\":" + std::to_string(m_revision) + "}";
    } else if (path == "/sesamespar/kv-range") {
        const std::string prefix = field("prefix");
        const std::string after = field("after");
        std::string items;
        std::size_t count = 0;
        bool truncated = false;
        for (auto next = m_items.lower_bound(prefix); next != m_items.end() && hasPrefix(next->first, prefix); ++next) {
            const auto &[key, item] = *next;
            if (!after.empty() && key <= after) {
                continue;
            }
            if (count++ == maxPageItems) {
                truncated = true;
                break;
            }
            items += (items.empty() ? "{" : ",{") + itemFields(key, item) + "}";
        }
        response.body = "{\"items\":[" + items + "],\"truncated\":" + (truncated ? "true" : "false")
            + ",\"storeRevision\":" + std::to_string(m_revision) + "}";
    } else if (path == "/sesamespar/kv-watch") {
        const std::string prefix = field("prefix");
        const long long after = numberOf(request.query, "after");
        const auto until = std::chrono::steady_clock::now()
            + std::chrono::milliseconds(std::min(numberOf(request.query, "waitMs"), 30000LL));
        std::string events;
        while (true) {
            if (after < m_compacted) {
                response.status = 410;
                response.body = "{}";
                return true;
            }
            if (nowMs() < m_silentUntil) {
                // Whoever waits hears of the cut.
                m_changed.wait_for(lock, std::chrono::milliseconds(m_silentUntil - nowMs() + 5));
                continue;
            }
            const auto first = std::upper_bound(
                m_events.begin(), m_events.end(), after, [](long long revision, const store_event &event) {
                    return revision < event.revision;
                });
            for (auto event = first; event != m_events.end(); ++event) {
                if (hasPrefix(event->key, prefix)) {
                    events += (events.empty() ? "{" : ",{")
                        + (event->removed ? "\"key\":" + quoted(event->key)
                                   + ",\"revision\":" + std::to_string(event->revision) + ",\"tombstone\":true"
                                          : itemFields(event->key, event->item))
                        + "}";
                }
            }
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        response.body = "{\"events\":[" + events + "],\"storeRevision\":" + std::to_string(m_revision) + "}";
    } else if (path == "/sesamespar/kv-txn") {
        const long long late = loseTransaction ? loseTransaction(request.body) : -1;
        if (late >= 0) {
            std::thread([this, body = request.body, late] {
                sleepMs(late);
                const std::lock_guard relock(m_mutex);
                expireLeases();
                http_message outcome;
                outcome.status = 200;
                applyTransaction(body, outcome);
                record("store late_transaction status=" + std::to_string(outcome.status));
            }).detach();
            return false;
        }
        applyTransaction(request.body, response);
    } else if (path == "/sesamespar/kv-lease") {
        rapidjson::Document document;
        document.Parse(request.body.c_str(), request.body.size());
        const long long ttl = std::max<long long>(memberOf(document, "ttlMs").GetInt64(), shortestLease);
        m_leases[++m_lastLease] = {ttl, nowMs() + ttl};
        response.body = "{\"lease\":" + std::to_string(m_lastLease) + ",\"ttlMs\":" + std::to_string(ttl) + "}";
    } else if (path.rfind("/sesamespar/kv-keep/", 0) == 0) {
        const auto found = m_leases.find(std::stoll(path.substr(20)));
        response.status = found == m_leases.end() ? 404 : 200;
        response.body = "{}";
        if (found != m_leases.end()) {
            found->second.second = nowMs() + found->second.first;
            response.body = "{\"lease\":" + std::to_string(found->first)
                + ",\"ttlMs\":" + std::to_string(found->second.first) + "}";
        }
    } else if (path.rfind("/sesamespar/kv-lease-end/", 0) == 0) {
        const auto found = m_leases.find(std::stoll(path.substr(25)));
        response.status = found == m_leases.end() ? 404 : 200;
        response.body = "{}";
        if (found != m_leases.end()) {
            found->second.second = 0;
            expireLeases();
        }
    } else {
        response.status = 404;
        response.body = "{}";
    }
    return true;
}

} // namespace review
