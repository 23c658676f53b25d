// The leader's archive of job records in the store. Records are appended in segments, many to a value, and
// read back when a leader takes over. It is written asynchronously and is not needed to accept a job.
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

/// Most bytes of records that wait to be written.
constexpr std::size_t maxArchiveBuffer = 8388608;
/// Most bytes of records in one segment.
constexpr std::size_t maxSegmentBytes = 262144;
/// Most bytes of records that were read back and not yet taken.
constexpr std::size_t maxReadAheadBytes = 4194304;
/// Most segments whose expiry is tracked, about 8 MiB of keys. Others stay in the store.
constexpr std::size_t maxTrackedSegments = 65536;
/// Shortest time between two writes of segments.
constexpr milliseconds segmentInterval{500};
/// Shortest time between two writes that empty an expired segment.
constexpr milliseconds emptyInterval{1000};
/// A record is kept for this time after its expiry.
constexpr milliseconds keptAfterExpiry{60000};

/// How far reading the archive back is.
enum class archive_read_state {
    Idle, ///< Not started.
    Reading,
    Finished, ///< Every segment that was listed was read; the records taken so far and those left are all.
    Failed, ///< The store does not answer at present. Reading goes on and may still finish.
};

/// A segment in the store whose records will expire.
struct tracked_segment {
    std::string key;
    store_revision revision;
    utc_time expires; ///< Of the record that lasts longest.
};

/// What the call under way is for.
enum class archive_call {
    WriteSegment,
    CompareSegment, ///< Reads a segment that exists already, to tell an earlier write of ours from a foreign one.
    ListKeys,
    ReadSegment,
    EmptySegment,
};

/// A record that waits to be written, with the estimated size of its encoding.
struct archive_entry {
    job_record record;
    std::size_t bytes = 0;
};

/// A segment whose content is fixed until it is known to be written.
struct archive_segment {
    std::string key;
    std::string value;
    utc_time expires; ///< Of the record that lasts longest.
    bool compare = false; ///< The key was found in use; its value must be compared.
};

/// State of the archive at one leader.
struct archive {
    data_centre_id dataCentre;
    daemon_id holder;
    timing_settings timing;
    std::mt19937_64 *random = nullptr; ///< Outlives this struct.
    epoch_number epoch; ///< Of the leadership; 0 while this daemon does not lead.

    std::uint64_t sequence = 0; ///< Of the next segment.
    std::list<archive_entry> buffer; ///< Oldest first, one entry for each job.
    std::unordered_map<job_id, std::list<archive_entry>::iterator> buffered;
    std::size_t bufferedBytes = 0;
    std::optional<archive_segment> writing;
    time_point writeAt; ///< Earliest time of the next write.
    unsigned writeErrors = 0; ///< In a row.

    archive_read_state reading = archive_read_state::Idle;
    std::string listedTo; ///< Last key of the last page.
    bool listed = false; ///< The last page was seen.
    std::deque<std::string> toRead; ///< Keys of the page that are not yet read.
    std::set<std::string> ownKeys; ///< Written by this leadership before reading finished; they are not read.
    std::vector<job_record> readAhead;
    std::size_t readAheadBytes = 0;
    epoch_number highestEpoch; ///< Highest epoch among the keys found.
    time_point readAt; ///< Earliest time of the next list or read.
    unsigned readErrors = 0; ///< In a row.

    std::deque<tracked_segment> tracked;
    time_point emptyAt; ///< Earliest time of the next look at expired segments.

    std::uint64_t lastSerial = 0;
    std::optional<std::uint64_t> callSerial; ///< Serial of the call under way.
    archive_call call = archive_call::WriteSegment; ///< What it is for.
    time_point callDeadline; ///< When it counts as lost.

    std::uint64_t segmentsWritten = 0;
    std::uint64_t segmentsRead = 0;
    std::uint64_t segmentsMalformed = 0;
    std::uint64_t recordsDropped = 0; ///< Records that found the buffer full or are larger than a value may be.
};

/// Makes the archive of a daemon that does not lead.
archive makeArchive(const daemon_settings &settings, std::mt19937_64 &random);

/// Begins a leadership: reading back starts, and records may be appended.
void startArchive(archive &state, epoch_number epoch, const clock_reading &now);

/// Ends a leadership: what is not yet written is dropped, since the next leader appends its own records.
void stopArchive(archive &state);

/// Appends a record, or replaces an older revision of the same job that still waits. Returns false, counts
/// and warns if the buffer is full, or the record is larger than a value of the store.
bool archiveRecord(archive &state, const job_record &record);

/// How far reading back is.
archive_read_state archiveRead(const archive &state);

/// Hands out the records read so far, oldest segment first; a job may appear more than once. Reading pauses
/// while too much is left here.
std::vector<job_record> takeArchived(archive &state);

/// Bytes of records that wait to be written, for metrics.
std::size_t unwrittenBytes(const archive &state);

/// Handles the end of a call of Archive; late ones are ignored.
void onStoreReply(archive &state, const store_call_ended &ended, const clock_reading &now, outbox &out);

/// Time at which onTick() has something to do; time_point::max() while this daemon does not lead. Changes with
/// archiveRecord() and takeArchived().
time_point nextWake(const archive &state);

/// Starts the call that is due and gives up one that was lost.
void onTick(archive &state, const clock_reading &now, outbox &out);

} // namespace sesamespar
