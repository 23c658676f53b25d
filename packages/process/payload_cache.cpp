#include "process/payload_cache.h"

#include "base/log.h"
#include "connection/cell_keys.h"

namespace sesamespar {

namespace {

/// Bound of the cache. Payloads have up to 4 KB; an executor of 10 workers uses about 20 jobs a second.
constexpr std::size_t maxCachedBytes = std::size_t{2} * 1024 * 1024;
/// Time for the answer of the daemon that stored the job. Two hops take 3 ms; a start is given up after 600 ms.
constexpr milliseconds sourceLimit{120};
constexpr milliseconds readLimit{300};

const std::string *findPayload(payload_cache &cache, const job_key &job)
{
    const auto found = cache.payloads.find(job);
    if (found == cache.payloads.end()) {
        return nullptr;
    }
    cached_payload &payload = *found->second;
    cache.byUse.splice(cache.byUse.begin(), cache.byUse, cache.byUse.iterator_to(payload));
    return &payload.text;
}

/// Ends a fetch and passes its result to all callbacks.
void finishFetch(payload_cache &cache, const job_key &job, const result<std::string> &payload, const clock_reading &now)
{
    const auto found = cache.fetches.find(job);
    if (found == cache.fetches.end()) {
        return;
    }
    const std::vector<payload_callback> waiting = std::move(found->second.waiting);
    cache.fetches.erase(found);
    if (payload) {
        keepPayload(cache, job, payload.value());
    }
    for (const payload_callback &done : waiting) {
        done(payload, now);
    }
}

/// The payload that a read of the store returned. The payload is absent if the job has become final.
result<std::string> payloadOf(const result<store_item> &item)
{
    if (!item) {
        return item.error();
    }
    if (item.value().revision.value == 0) {
        return makeError(error_kind::NotFound, "the job is final or unknown");
    }
    return item.value().value;
}

void readFromStore(const std::shared_ptr<payload_cache> &cache, const job_key &job)
{
    const auto found = cache->fetches.find(job);
    if (found == cache->fetches.end() || found->second.reading) {
        return;
    }
    found->second.reading = true;
    unsubscribe(found->second.sourceTimer);
    cache->context.store.read(
        cell_keys::payload(job),
        readLimit,
        timedOnControlThread(cache->context,
                             cell_metrics::readTime,
                             [cache, job](const result<store_item> &item, const clock_reading &now) {
                                 finishFetch(*cache, job, payloadOf(item), now);
                             }));
}

} // namespace

payload_cache::~payload_cache()
{
    byUse.clear();
}

void keepPayload(payload_cache &cache, const job_key &job, std::string text)
{
    if (findPayload(cache, job) != nullptr) {
        return;
    }
    auto payload = std::make_unique<cached_payload>();
    payload->job = job;
    payload->text = std::move(text);
    cache.bytes += payload->text.size();
    cache.byUse.push_front(*payload);
    cache.payloads.emplace(job, std::move(payload));
    while (cache.bytes > maxCachedBytes) {
        cached_payload &oldest = cache.byUse.back();
        cache.bytes -= oldest.text.size();
        cache.byUse.pop_back();
        cache.payloads.erase(job_key(oldest.job));
    }
}

void loadPayload(const std::shared_ptr<payload_cache> &cache,
                 const job_key &job,
                 const address &source,
                 payload_callback done,
                 const clock_reading &now)
{
    if (const std::string *text = findPayload(*cache, job)) {
        done(*text, now);
        return;
    }
    payload_fetch &fetch = cache->fetches[job];
    fetch.waiting.push_back(std::move(done));
    if (fetch.waiting.size() > 1) {
        return;
    }
    if (source.value.empty() || source == cache->context.settings.peerAddress) {
        readFromStore(cache, job);
        return;
    }
    cache->context.sendToPeer(source, payload_request{job, cache->context.settings.peerAddress});
    fetch.sourceTimer.fire = [weak = std::weak_ptr(cache), job](const clock_reading &) {
        if (const auto self = weak.lock()) {
            readFromStore(self, job);
        }
    };
    subscribe(cache->context.timers, fetch.sourceTimer, now.monotonic + sourceLimit);
}

void handlePayloadRequest(payload_cache &cache, const payload_request &request)
{
    const std::string *text = findPayload(cache, request.job);
    cache.context.sendToPeer(request.answerTo,
                             payload_reply{request.job, text != nullptr, text != nullptr ? *text : std::string()});
}

void handlePayloadReply(const std::shared_ptr<payload_cache> &cache,
                        const payload_reply &reply,
                        const clock_reading &now)
{
    if (reply.known) {
        finishFetch(*cache, reply.job, reply.payload, now);
    } else {
        readFromStore(cache, reply.job);
    }
}

} // namespace sesamespar
