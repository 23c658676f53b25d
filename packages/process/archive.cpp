#include "process/archive.h"

#include "base/log.h"
#include "connection/codec.h"

#include <algorithm>

namespace sesamespar {

namespace {

constexpr backoff_settings writeBackoff{milliseconds(500), milliseconds(5000)};
constexpr backoff_settings readBackoff{milliseconds(200), milliseconds(5000)};
/// Number of consecutive errors after which reading is reported as failed.
constexpr unsigned readErrorsToFail = 3;
/// Maximum number of segments that one scan checks for expiry.
constexpr std::size_t segmentsPerScan = 256;
/// Maximum difference between the clocks of the daemons that compare expiry times.
constexpr milliseconds maxClockSkew{30000};
/// Numbers in keys are padded to the digits of the largest 64-bit number, so that keys sort in numerical order.
constexpr std::size_t numberDigits = 20;
/// Upper bounds for the encoded size of numbers, lengths and headers, in bytes.
constexpr std::size_t recordOverhead = 256;
constexpr std::size_t taskOverhead = 64;
/// Larger than the number of segments of any leadership: 2^32 segments at two per second take 68 years.
constexpr std::uint64_t sequenceStep = 1ULL << 32U;
/// Limits the log: one warning for this number of dropped records.
constexpr std::uint64_t droppedPerWarning = 1000;

std::string padded(std::uint64_t number)
{
    std::string digits = std::to_string(number);
    return std::string(numberDigits - digits.size(), '0') + digits;
}

std::string prefixOf(const archive &state)
{
    return "archive/" + state.dataCentre.value + "/";
}

std::string nextKey(archive &state)
{
    return prefixOf(state) + padded(state.epoch.value) + "/" + state.holder.value + "/" + padded(state.sequence++);
}

/// Epoch in a key that begins with prefixOf(); 0 if the key has no valid epoch.
epoch_number epochOfKey(const archive &state, const std::string &key)
{
    const std::string digits = key.substr(prefixOf(state).size(), numberDigits);
    const bool number = digits.size() == numberDigits
        && std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
    return epoch_number(number ? std::strtoull(digits.c_str(), nullptr, 10) : 0);
}

/// Upper bound of the size of a record's encoding.
std::size_t encodedBound(const job_record &record)
{
    std::size_t bytes = recordOverhead + record.request.payload.size() + record.request.id.team.value.size()
        + record.request.id.key.value.size() + record.request.work.value.size();
    for (const task_record &task : record.tasks) {
        bytes += taskOverhead + task.worker.value.size() + task.result.size();
    }
    return bytes;
}

void dropRecord(archive &state, const job_record &record, const char *reason)
{
    ++state.recordsDropped;
    if (state.recordsDropped % droppedPerWarning == 1) {
        log_event("archive_record_dropped", log_level::Warning)
            .with("job", record.request.id)
            .with("reason", reason)
            .with("dropped", state.recordsDropped);
    }
}

// Writing of segments.

/// Moves the oldest records from the buffer into a segment. The buffer must not be empty.
void sealSegment(archive &state)
{
    archive_segment segment;
    std::vector<job_record> records;
    std::size_t bytes = 0;
    while (!state.buffer.empty() && (records.empty() || bytes + state.buffer.front().bytes <= maxSegmentBytes)) {
        archive_entry &entry = state.buffer.front();
        bytes += entry.bytes;
        state.bufferedBytes -= entry.bytes;
        segment.expires = std::max(segment.expires, entry.record.request.expires);
        state.buffered.erase(entry.record.request.id);
        records.push_back(std::move(entry.record));
        state.buffer.pop_front();
    }
    segment.key = nextKey(state);
    segment.value = encodeRecords(records);
    state.writing = std::move(segment);
}

void track(archive &state, const std::string &key, store_revision revision, utc_time expires)
{
    if (state.tracked.size() < maxTrackedSegments) {
        state.tracked.push_back({key, revision, expires});
    }
}

void onSegmentWritten(archive &state, store_revision revision)
{
    track(state, state.writing->key, revision, state.writing->expires);
    if (state.reading != archive_read_state::Finished) {
        state.ownKeys.insert(state.writing->key);
    }
    state.writing.reset();
    state.writeErrors = 0;
    ++state.segmentsWritten;
}

void delayWrite(archive &state, time_point now)
{
    const auto delay = backoffDelay(writeBackoff, state.writeErrors, *state.random);
    state.writeAt = now + std::max(delay, segmentInterval);
    ++state.writeErrors;
}

void onWriteEnded(archive &state, const result<store_reply> &outcome, time_point now)
{
    const auto *reply = outcome ? std::get_if<store_put_reply>(&outcome.value()) : nullptr;
    if (reply == nullptr) {
        delayWrite(state, now);
    } else if (reply->applied) {
        onSegmentWritten(state, reply->revision);
    } else {
        state.writing->compare = true;
    }
}

void onCompareEnded(archive &state, const result<store_reply> &outcome, time_point now)
{
    const auto *found = outcome ? std::get_if<store_value>(&outcome.value()) : nullptr;
    if (found == nullptr) {
        delayWrite(state, now);
        return;
    }
    if (found->revision.value > 0 && found->value == state.writing->value) {
        onSegmentWritten(state, found->revision);
        return;
    }
    state.writing->compare = false;
    if (found->revision.value > 0) {
        // Epochs restart when all workers are replaced, so an earlier leadership may have used this key and the
        // keys that follow it. The step skips all of them.
        state.sequence += sequenceStep;
        state.writing->key = nextKey(state);
    }
}

// Reading back.

bool mayRead(const archive &state)
{
    const bool wanted = state.reading == archive_read_state::Reading || state.reading == archive_read_state::Failed;
    return wanted && state.readAheadBytes < maxReadAheadBytes;
}

void delayRead(archive &state, time_point now)
{
    state.readAt = now + backoffDelay(readBackoff, state.readErrors, *state.random);
    ++state.readErrors;
    if (state.readErrors == readErrorsToFail) {
        state.reading = archive_read_state::Failed;
        log_event("archive_read_failed", log_level::Warning).with("read", state.segmentsRead);
    }
}

void onReadProgress(archive &state, time_point now)
{
    state.readErrors = 0;
    state.readAt = now;
    const bool finished = state.listed && state.toRead.empty();
    state.reading = finished ? archive_read_state::Finished : archive_read_state::Reading;
    if (finished) {
        state.ownKeys.clear();
        log_event("archive_read").with("segments", state.segmentsRead).with("malformed", state.segmentsMalformed);
    }
}

void onListEnded(archive &state, const result<store_reply> &outcome, time_point now)
{
    const auto *page = outcome ? std::get_if<store_keys>(&outcome.value()) : nullptr;
    if (page == nullptr) {
        delayRead(state, now);
        return;
    }
    const std::string prefix = prefixOf(state);
    bool more = false;
    for (const std::string &key : page->keys) {
        if (key <= state.listedTo || key.compare(0, prefix.size(), prefix) != 0) {
            continue;
        }
        more = true;
        state.listedTo = key;
        state.highestEpoch = std::max(state.highestEpoch, epochOfKey(state, key));
        if (state.ownKeys.count(key) == 0) {
            state.toRead.push_back(key);
        }
    }
    // A page without a further key is the last one, whatever the page size of the store is.
    state.listed = !more;
    onReadProgress(state, now);
}

void addRecords(archive &state, const std::string &key, store_revision revision, std::vector<job_record> records)
{
    utc_time expires;
    for (job_record &record : records) {
        expires = std::max(expires, record.request.expires);
        state.readAheadBytes += encodedBound(record);
        state.readAhead.push_back(std::move(record));
    }
    track(state, key, revision, expires);
}

void onSegmentRead(archive &state, const result<store_reply> &outcome, time_point now)
{
    const auto *found = outcome ? std::get_if<store_value>(&outcome.value()) : nullptr;
    if (found == nullptr) {
        delayRead(state, now);
        return;
    }
    const std::string key = std::move(state.toRead.front());
    state.toRead.pop_front();
    if (!found->value.empty()) {
        ++state.segmentsRead;
        auto records = decodeRecords(found->value);
        if (records) {
            addRecords(state, key, found->revision, std::move(records.value()));
        } else {
            ++state.segmentsMalformed;
            log_event("archive_segment_malformed", log_level::Error)
                .with("key", key)
                .with("problem", records.error().message);
        }
    }
    onReadProgress(state, now);
}

// Emptying of expired segments.

bool hasExpired(const tracked_segment &segment, utc_time now)
{
    return segment.expires.value + (retentionAfterExpiry + maxClockSkew).count() < now.value;
}

/// Moves an expired segment to the front of the tracked segments. Returns false if none of the scanned segments has
/// expired.
bool findExpired(archive &state, utc_time now)
{
    const std::size_t scanLimit = std::min(segmentsPerScan, state.tracked.size());
    for (std::size_t scanned = 0; scanned < scanLimit; ++scanned) {
        if (hasExpired(state.tracked.front(), now)) {
            return true;
        }
        state.tracked.push_back(std::move(state.tracked.front()));
        state.tracked.pop_front();
    }
    return false;
}

void onEmptyEnded(archive &state, const result<store_reply> &outcome)
{
    // Any reply means that the segment is empty: this call, or another leader in the meantime, has emptied it.
    tracked_segment segment = std::move(state.tracked.front());
    state.tracked.pop_front();
    if (!outcome) {
        state.tracked.push_back(std::move(segment));
    }
}

// Store calls.

void startCall(archive &state, archive_call call, store_request request, time_point now, outbox &out)
{
    state.call = call;
    state.callSerial = ++state.lastSerial;
    state.callDeadline = now + 2 * state.timing.callTimeout;
    out.emplace_back(call_store{store_user::Archive, state.lastSerial, std::move(request), state.timing.callTimeout});
}

bool startWrite(archive &state, time_point now, outbox &out)
{
    if (now < state.writeAt || (!state.writing && state.buffer.empty())) {
        return false;
    }
    if (!state.writing) {
        sealSegment(state);
    }
    state.writeAt = now + segmentInterval;
    if (state.writing->compare) {
        startCall(state, archive_call::CompareSegment, store_get{state.writing->key}, now, out);
    } else {
        const store_put put{state.writing->key, state.writing->value, store_revision(0)};
        startCall(state, archive_call::WriteSegment, put, now, out);
    }
    return true;
}

bool startRead(archive &state, time_point now, outbox &out)
{
    if (!mayRead(state) || now < state.readAt) {
        return false;
    }
    if (state.toRead.empty()) {
        startCall(state, archive_call::ListKeys, store_list{prefixOf(state), state.listedTo}, now, out);
    } else {
        startCall(state, archive_call::ReadSegment, store_get{state.toRead.front()}, now, out);
    }
    return true;
}

void startEmptying(archive &state, const clock_reading &now, outbox &out)
{
    // Emptying counts toward segmentInterval, so that all writes together stay within the write rate.
    if (state.tracked.empty() || now.monotonic < state.emptyAt || now.monotonic < state.writeAt) {
        return;
    }
    state.emptyAt = now.monotonic + emptyInterval;
    if (findExpired(state, now.utc)) {
        state.writeAt = now.monotonic + segmentInterval;
        const tracked_segment &segment = state.tracked.front();
        startCall(state, archive_call::EmptySegment, store_put{segment.key, "", segment.revision}, now.monotonic, out);
    }
}

void onCallEnded(archive &state, const result<store_reply> &outcome, time_point now)
{
    state.callSerial.reset();
    switch (state.call) {
    case archive_call::WriteSegment:
        onWriteEnded(state, outcome, now);
        break;
    case archive_call::CompareSegment:
        onCompareEnded(state, outcome, now);
        break;
    case archive_call::ListKeys:
        onListEnded(state, outcome, now);
        break;
    case archive_call::ReadSegment:
        onSegmentRead(state, outcome, now);
        break;
    case archive_call::EmptySegment:
        onEmptyEnded(state, outcome);
        break;
    }
}

} // namespace

archive makeArchive(const daemon_settings &settings, std::mt19937_64 &random)
{
    archive state;
    state.dataCentre = settings.dataCentre;
    state.holder = settings.name;
    state.timing = settings.timing;
    state.random = &random;
    return state;
}

void startArchive(archive &state, epoch_number epoch, const clock_reading &now)
{
    stopArchive(state);
    state.epoch = epoch;
    state.reading = archive_read_state::Reading;
    state.readAt = now.monotonic;
    state.writeAt = now.monotonic;
    state.emptyAt = now.monotonic + emptyInterval;
}

void stopArchive(archive &state)
{
    state.epoch = epoch_number(0);
    state.sequence = 0;
    state.buffered.clear();
    state.buffer.clear();
    state.bufferedBytes = 0;
    state.writing.reset();
    state.writeErrors = 0;
    state.reading = archive_read_state::Idle;
    state.listedTo.clear();
    state.listed = false;
    state.toRead.clear();
    state.ownKeys.clear();
    state.readAhead.clear();
    state.readAheadBytes = 0;
    state.highestEpoch = epoch_number(0);
    state.readErrors = 0;
    state.tracked.clear();
    state.callSerial.reset();
}

bool archiveRecord(archive &state, const job_record &record)
{
    if (state.epoch.value == 0) {
        return false;
    }
    const std::size_t bytes = encodedBound(record);
    if (bytes > maxStoreValueBytes) {
        dropRecord(state, record, "record is larger than a store value may be");
        return false;
    }
    const auto found = state.buffered.find(record.request.id);
    const std::size_t replaced = found == state.buffered.end() ? 0 : found->second->bytes;
    if (found != state.buffered.end() && record.revision <= found->second->record.revision) {
        return true;
    }
    if (state.bufferedBytes - replaced + bytes > maxArchiveBuffer) {
        dropRecord(state, record, "buffer is full");
        return false;
    }
    state.bufferedBytes += bytes - replaced;
    if (found != state.buffered.end()) {
        *found->second = {record, bytes};
    } else {
        state.buffer.push_back({record, bytes});
        state.buffered[record.request.id] = std::prev(state.buffer.end());
    }
    return true;
}

archive_read_state archiveRead(const archive &state)
{
    return state.reading;
}

std::vector<job_record> dequeueArchived(archive &state)
{
    state.readAheadBytes = 0;
    return std::exchange(state.readAhead, {});
}

std::size_t unwrittenBytes(const archive &state)
{
    return state.bufferedBytes + (state.writing ? state.writing->value.size() : 0);
}

void onStoreReply(archive &state, const store_call_ended &ended, const clock_reading &now, outbox &out)
{
    if (ended.user == store_user::Archive && state.callSerial == ended.serial) {
        onCallEnded(state, ended.outcome, now.monotonic);
        onTick(state, now, out);
    }
}

time_point nextWake(const archive &state)
{
    if (state.epoch.value == 0) {
        return time_point::max();
    }
    if (state.callSerial) {
        return state.callDeadline;
    }
    time_point wake = time_point::max();
    if (state.writing || !state.buffer.empty()) {
        wake = std::min(wake, state.writeAt);
    }
    if (mayRead(state)) {
        wake = std::min(wake, state.readAt);
    }
    if (!state.tracked.empty()) {
        wake = std::min(wake, std::max(state.emptyAt, state.writeAt));
    }
    return wake;
}

void onTick(archive &state, const clock_reading &now, outbox &out)
{
    if (state.epoch.value == 0) {
        return;
    }
    if (state.callSerial && now.monotonic >= state.callDeadline) {
        onCallEnded(
            state, makeError(error_kind::Unknown, "the store call did not end before its deadline"), now.monotonic);
    }
    if (!state.callSerial && !startWrite(state, now.monotonic, out) && !startRead(state, now.monotonic, out)) {
        startEmptying(state, now, out);
    }
}

} // namespace sesamespar
