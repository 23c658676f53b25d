// Tests of the archive of job records. Guards against records that are lost after a failed write, segments that
// overwrite segments of another leadership, too many writes to the store, and memory that grows while the store is
// down.
#include "process/archive.h"

#include "connection/codec.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace sesamespar;

namespace {

clock_reading at(int ms)
{
    return {time_point(milliseconds(ms)), utc_time(1000000 + ms)};
}

daemon_settings makeDaemon()
{
    daemon_settings settings;
    settings.name = daemon_id("a");
    settings.dataCentre = data_centre_id("d");
    return settings;
}

job_record recordOf(const std::string &key, std::uint64_t counter = 1, std::size_t payload = 10)
{
    job_record record;
    record.request.id = {team_id("t"), idempotency_key(key)};
    record.request.work = work_id("w");
    record.request.expires = utc_time(1100000);
    record.request.payload = std::string(payload, 'p');
    record.revision = {epoch_number(1), counter};
    record.tasks.resize(1);
    return record;
}

/// In-memory store that can be down and can lose the reply to a write that it has applied.
struct fake_store {
    std::map<std::string, store_value> values;
    std::uint64_t revisions = 0;
    bool down = false;
    bool losesReplies = false;
    int puts = 0;
    int calls = 0;

    result<store_reply> run(const store_request &request)
    {
        ++calls;
        if (down) {
            return makeError(error_kind::Unreachable, "down");
        }
        if (const auto *put = std::get_if<store_put>(&request)) {
            ++puts;
            auto &value = values[put->key];
            const bool applied = value.revision == put->expected;
            if (applied) {
                value = {put->value, store_revision(++revisions)};
            }
            if (losesReplies) {
                return makeError(error_kind::Unknown, "lost");
            }
            return store_reply(store_put_reply{applied, value.revision});
        }
        if (const auto *get = std::get_if<store_get>(&request)) {
            const auto found = values.find(get->key);
            return store_reply(found == values.end() ? store_value{} : found->second);
        }
        const auto &list = std::get<store_list>(request);
        store_keys keys;
        for (const auto &[key, value] : values) {
            if (key.rfind(list.prefix, 0) == 0 && key > list.after && keys.keys.size() < 3) {
                keys.keys.push_back(key);
            }
        }
        return store_reply(keys);
    }
};

struct fixture {
    std::mt19937_64 random{3};
    archive state = makeArchive(makeDaemon(), random);
    fake_store store;

    /// Advances from `from` to `to` in steps of 10 ms and, at each step, answers store calls until none is pending.
    void run(int from, int to)
    {
        for (int ms = from; ms < to; ms += 10) {
            outbox out;
            onTick(state, at(ms), out);
            for (int limit = 0; limit < 100 && !out.empty(); ++limit) {
                const auto call = std::get<call_store>(out.front());
                out.clear();
                onStoreReply(state, {call.user, call.serial, store.run(call.request)}, at(ms), out);
            }
        }
    }

    std::set<std::string> readBack(int from)
    {
        std::set<std::string> keys;
        startArchive(state, epoch_number(9), at(from));
        run(from, from + 1000);
        CHECK(archiveRead(state) == archive_read_state::Finished);
        for (const job_record &record : dequeueArchived(state)) {
            keys.insert(record.request.id.key.value);
        }
        return keys;
    }
};

} // namespace

TEST_CASE("records are read back after a takeover")
{
    fixture leader;
    startArchive(leader.state, epoch_number(1), at(0));
    for (int index = 0; index < 20; ++index) {
        CHECK(archiveRecord(leader.state, recordOf("k" + std::to_string(index))));
        leader.run(index * 600, index * 600 + 600);
    }
    CHECK(leader.store.values.size() == 20);
    CHECK(unwrittenBytes(leader.state) == 0);
    CHECK(leader.store.values.begin()->first == "archive/d/00000000000000000001/a/00000000000000000000");
    CHECK(leader.readBack(20000).size() == 20);
    CHECK(leader.state.highestEpoch == epoch_number(1));
}

TEST_CASE("records are batched into one segment, and a newer revision replaces an unwritten older one")
{
    fixture leader;
    startArchive(leader.state, epoch_number(1), at(0));
    for (std::uint64_t counter = 1; counter <= 50; ++counter) {
        for (int index = 0; index < 20; ++index) {
            archiveRecord(leader.state, recordOf("k" + std::to_string(index), counter));
        }
    }
    archiveRecord(leader.state, recordOf("k0", 7));
    leader.run(0, 600);
    REQUIRE(leader.store.values.size() == 1);
    const auto records = decodeRecords(leader.store.values.begin()->second.value);
    REQUIRE(records);
    CHECK(records.value().size() == 20);
    CHECK(records.value().front().revision.counter == 50);
}

TEST_CASE("segments are written at most twice a second and stay within the size limit")
{
    fixture leader;
    startArchive(leader.state, epoch_number(1), at(0));
    for (int index = 0; index < 300; ++index) {
        archiveRecord(leader.state, recordOf("k" + std::to_string(index), 1, 16384));
    }
    leader.run(0, 5000);
    CHECK(leader.store.puts == 10);
    for (const auto &[key, value] : leader.store.values) {
        CHECK(value.value.size() <= maxSegmentBytes);
        CHECK(value.value.size() > maxSegmentBytes / 2);
    }
}

TEST_CASE("a write whose reply was lost is retried with the same content and creates no second segment")
{
    fixture leader;
    startArchive(leader.state, epoch_number(1), at(0));
    leader.store.losesReplies = true;
    archiveRecord(leader.state, recordOf("k0"));
    leader.run(0, 300);
    archiveRecord(leader.state, recordOf("k1"));
    leader.run(300, 3000);
    CHECK(leader.store.values.size() == 1);
    leader.store.losesReplies = false;
    leader.run(3000, 15000);
    CHECK(leader.store.values.size() == 2);
    CHECK(leader.state.segmentsWritten == 2);
    CHECK(leader.readBack(20000) == std::set<std::string>{"k0", "k1"});
}

TEST_CASE("a segment of an earlier leadership under the same key is not mistaken for an own write")
{
    fixture leader;
    const std::string used = "archive/d/00000000000000000001/a/00000000000000000000";
    const store_value earlierSegment{encodeRecords({recordOf("old")}), store_revision(1)};
    leader.store.values[used] = earlierSegment;
    leader.store.revisions = 1;
    startArchive(leader.state, epoch_number(1), at(0));
    archiveRecord(leader.state, recordOf("new"));
    leader.run(0, 3000);
    CHECK(leader.store.values.at(used).value == earlierSegment.value);
    CHECK(leader.store.values.size() == 2);
    CHECK(leader.readBack(5000) == std::set<std::string>{"old", "new"});
}

TEST_CASE("while the store is down the buffer is bounded and keeps the oldest records")
{
    fixture leader;
    leader.store.down = true;
    startArchive(leader.state, epoch_number(1), at(0));
    int accepted = 0;
    for (int index = 0; index < 1000; ++index) {
        accepted += archiveRecord(leader.state, recordOf("k" + std::to_string(index), 1, 16384)) ? 1 : 0;
    }
    CHECK(unwrittenBytes(leader.state) <= maxArchiveBuffer);
    CHECK(accepted > 400);
    CHECK(leader.state.recordsDropped == static_cast<std::uint64_t>(1000 - accepted));
    leader.run(0, 20000);
    CHECK(leader.store.calls < 40);
    CHECK(archiveRead(leader.state) == archive_read_state::Failed);
    leader.store.down = false;
    leader.run(20000, 60000);
    CHECK(archiveRead(leader.state) == archive_read_state::Finished);
    CHECK(unwrittenBytes(leader.state) == 0);
    startArchive(leader.state, epoch_number(2), at(60000));
    std::set<std::string> keys;
    for (int round = 0; round < 10; ++round) {
        leader.run(60000 + round * 1000, 61000 + round * 1000);
        for (const job_record &record : dequeueArchived(leader.state)) {
            keys.insert(record.request.id.key.value);
        }
    }
    CHECK(keys.size() == static_cast<std::size_t>(accepted));
    CHECK(keys.count("k0") == 1);
}

TEST_CASE("reading pauses until the records are taken")
{
    fixture leader;
    for (int index = 0; index < 40; ++index) {
        const auto key = "archive/d/00000000000000000001/a/000000000000000000" + std::to_string(10 + index);
        std::vector<job_record> records;
        records.reserve(15);
        for (int part = 0; part < 15; ++part) {
            records.push_back(recordOf("k" + std::to_string(index) + "-" + std::to_string(part), 1, 16384));
        }
        leader.store.values[key] = {encodeRecords(records), store_revision(1)};
    }
    startArchive(leader.state, epoch_number(2), at(0));
    leader.run(0, 2000);
    CHECK(archiveRead(leader.state) == archive_read_state::Reading);
    std::size_t count = dequeueArchived(leader.state).size();
    CHECK(count * 16384 <= maxReadAheadBytes + maxSegmentBytes);
    CHECK(nextWake(leader.state) <= at(2000).monotonic);
    for (int round = 0; round < 4; ++round) {
        leader.run(2000 + round * 100, 2100 + round * 100);
        count += dequeueArchived(leader.state).size();
    }
    CHECK(archiveRead(leader.state) == archive_read_state::Finished);
    CHECK(count == 600);
}

TEST_CASE("empty and malformed segments are skipped")
{
    fixture leader;
    leader.store.values["archive/d/00000000000000000003/a/1"] = {"", store_revision(1)};
    leader.store.values["archive/d/00000000000000000004/a/1"] = {"malformed", store_revision(2)};
    leader.store.values["archive/d/00000000000000000005/a/1"] = {encodeRecords({recordOf("k")}), store_revision(3)};
    leader.store.values["archive/other/00000000000000000009/a/1"] = {encodeRecords({recordOf("x")}), store_revision(4)};
    CHECK(leader.readBack(0) == std::set<std::string>{"k"});
    CHECK(leader.state.segmentsMalformed == 1);
    CHECK(leader.state.highestEpoch == epoch_number(5));
}

TEST_CASE("expired segments are emptied, at most one per second, and others are kept")
{
    fixture leader;
    startArchive(leader.state, epoch_number(1), at(0));
    for (int index = 0; index < 5; ++index) {
        auto record = recordOf("k" + std::to_string(index));
        if (index == 4) {
            record.request.expires = utc_time(9000000);
        }
        archiveRecord(leader.state, record);
        leader.run(index * 600, index * 600 + 600);
    }
    const auto emptied = [&] {
        return std::count_if(leader.store.values.begin(), leader.store.values.end(), [](const auto &entry) {
            return entry.second.value.empty();
        });
    };
    // The records expire at 100 s and are kept for another 60 s, plus 30 s for clock differences.
    leader.run(180000, 190000);
    CHECK(emptied() == 0);
    leader.run(190000, 192500);
    CHECK(emptied() >= 2);
    CHECK(emptied() <= 3);
    leader.run(192500, 200000);
    CHECK(emptied() == 4);
    CHECK(leader.readBack(300000) == std::set<std::string>{"k4"});
}

TEST_CASE("a daemon that does not lead makes no calls, and late replies are ignored")
{
    fixture leader;
    CHECK(nextWake(leader.state) == time_point::max());
    CHECK_FALSE(archiveRecord(leader.state, recordOf("k")));
    outbox out;
    onTick(leader.state, at(0), out);
    CHECK(out.empty());
    startArchive(leader.state, epoch_number(1), at(0));
    onTick(leader.state, at(0), out);
    REQUIRE(out.size() == 1);
    stopArchive(leader.state);
    startArchive(leader.state, epoch_number(2), at(10));
    onStoreReply(leader.state,
                 {store_user::Archive, std::get<call_store>(out.front()).serial, store_reply(store_keys{})},
                 at(20),
                 out);
    CHECK(archiveRead(leader.state) == archive_read_state::Reading);
}

TEST_CASE("a record that is larger than a store value may be is dropped and counted")
{
    fixture leader;
    startArchive(leader.state, epoch_number(1), at(0));
    auto record = recordOf("k");
    record.tasks.resize(300);
    for (task_record &task : record.tasks) {
        task.result = std::string(4096, 'r');
    }
    CHECK_FALSE(archiveRecord(leader.state, record));
    CHECK(leader.state.recordsDropped == 1);
}
