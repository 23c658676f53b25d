// Archive of a leader's job records in the store. Records are appended in segments, with many records in one store
// value, and read back when a leader takes over. The archive is written asynchronously; accepting a job does not
// wait for it.
#pragma once

#include "base/backoff.h"
#include "connection/event.h"
#include "request/job_record.h"
#include "version/daemon_settings.h"

#include <deque>
#include <list>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesamespar {

/// Maximum total size of the records that wait to be written, in bytes.
constexpr std::size_t maxArchiveBuffer = 8388608;
/// Maximum size of the records in one segment, in bytes.
constexpr std::size_t maxSegmentBytes = 262144;
/// Reading back pauses at this size of records that dequeueArchived() has not returned yet, in bytes.
constexpr std::size_t maxReadAheadBytes = 4194304;
/// Maximum number of segments whose expiry is tracked, about 8 MiB of keys. Untracked segments stay in the store.
constexpr std::size_t maxTrackedSegments = 65536;
/// Minimum interval between two writes to the store.
constexpr milliseconds segmentInterval{500};
/// Minimum interval between two writes that empty expired segments.
constexpr milliseconds emptyInterval{1000};
/// Retention time of a record after its expiry.
constexpr milliseconds retentionAfterExpiry{60000};

/// Progress of reading the archive back.
enum class archive_read_state {
    Idle, ///< This daemon does not lead.
    Reading, ///< Listing and reading segments.
    Finished, ///< Every listed segment was read; dequeueArchived() returns what is left.
    Failed, ///< Several calls in a row failed. Reading continues and may still finish.
};

/// A segment in the store that is emptied after its records have expired.
struct tracked_segment {
    std::string key;
    store_revision revision;
    utc_time expires; ///< Latest expiry of its records.
};

/// Purpose of the call under way.
enum class archive_call {
    WriteSegment,
    CompareSegment, ///< Reads an existing segment to find out whether this leadership wrote it.
    ListKeys,
    ReadSegment,
    EmptySegment,
};

/// A record that waits to be written, with an upper bound for the size of its encoding.
struct archive_entry {
    job_record record;
    std::size_t bytes = 0;
};

/// The segment that is being written. Its content does not change until the write is confirmed.
struct archive_segment {
    std::string key;
    std::string value;
    utc_time expires; ///< Latest expiry of its records.
    bool compare = false; ///< The key exists already; its value must be compared.
};

/// State of the archive at one daemon.
struct archive {
    data_centre_id dataCentre;
    daemon_id holder;
    timing_settings timing;
    std::mt19937_64 *random = nullptr; ///< Outlives this struct.
    epoch_number epoch; ///< Epoch of this leadership; 0 while this daemon does not lead.

    std::uint64_t sequence = 0; ///< Sequence number of the next segment.
    std::list<archive_entry> buffer; ///< Oldest first, one entry for each job.
    std::unordered_map<job_id, std::list<archive_entry>::iterator> buffered;
    std::size_t bufferedBytes = 0;
    std::optional<archive_segment> writing;
    time_point writeAt; ///< Earliest time of the next write.
    unsigned writeErrors = 0; ///< Consecutive failures.

    archive_read_state reading = archive_read_state::Idle;
    std::string listedTo; ///< Last key that was listed.
    bool listed = false; ///< The last page of keys was read.
    std::deque<std::string> toRead; ///< Listed keys whose segments are not read yet.
    std::set<std::string> ownKeys; ///< Keys written by this leadership before reading finished; not read back.
    std::vector<job_record> readAhead; ///< Records for the next dequeueArchived().
    std::size_t readAheadBytes = 0;
    epoch_number highestEpoch; ///< Highest epoch among the keys found.
    time_point readAt; ///< Earliest time of the next list or read.
    unsigned readErrors = 0; ///< Consecutive failures.

    std::deque<tracked_segment> tracked;
    time_point emptyAt; ///< Earliest time of the next scan for expired segments.

    std::uint64_t lastSerial = 0;
    std::optional<std::uint64_t> callSerial; ///< Serial of the call under way.
    archive_call call = archive_call::WriteSegment; ///< Purpose of the call under way.
    time_point callDeadline; ///< When the call counts as lost.

    std::uint64_t segmentsWritten = 0;
    std::uint64_t segmentsRead = 0;
    std::uint64_t segmentsMalformed = 0;
    std::uint64_t recordsDropped = 0; ///< Records dropped because of a full buffer or their size.
};

/// Makes the archive of a daemon that does not lead. `random` must outlive the archive.
archive makeArchive(const daemon_settings &settings, std::mt19937_64 &random);

/// Begins a leadership: starts reading back and accepts records from now on.
void startArchive(archive &state, epoch_number epoch, const clock_reading &now);

/// Ends a leadership. Unwritten records are dropped, because the next leader appends its own records.
void stopArchive(archive &state);

/// Appends a record, or replaces an unwritten older revision of the same job. Returns false if this daemon does not
/// lead. Returns false and counts a dropped record, with a warning for the first of every 1000, if the buffer is full
/// or the record is larger than a store value may be.
bool archiveRecord(archive &state, const job_record &record);

/// Progress of reading back.
archive_read_state archiveRead(const archive &state);

/// Returns the records read since the last call, oldest segment first; a job may appear more than once. Reading
/// pauses while maxReadAheadBytes or more are waiting to be returned.
std::vector<job_record> dequeueArchived(archive &state);

/// Size of the records that wait to be written, in bytes, for the metrics.
std::size_t unwrittenBytes(const archive &state);

/// Handles the end of a store call of the archive. Late replies are ignored.
void onStoreReply(archive &state, const store_call_ended &ended, const clock_reading &now, outbox &out);

/// Time at which onTick() is due next; time_point::max() while this daemon does not lead. archiveRecord() and
/// dequeueArchived() may change it.
time_point nextWake(const archive &state);

/// Ends a call whose deadline has passed and starts the call that is due.
void onTick(archive &state, const clock_reading &now, outbox &out);

} // namespace sesamespar
