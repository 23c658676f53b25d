// Checks that every kind of error in a configuration is reported with its exact location. Guards against errors that
// are accepted silently and against findings that point to the wrong line.
#include "version/configuration_parser.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

using report = std::vector<std::string>;

/// Returns the findings of a text, each as LINE:COLUMN: FIELD: PROBLEM, ALLOWED.
report findingsOf(const std::string &text)
{
    const parsed_configuration outcome = parseConfiguration(text, "f", config_version(1));
    CHECK((outcome.settings == nullptr) == !outcome.problems.empty());
    report lines;
    for (const finding &single : outcome.problems) {
        CHECK(single.file == "f");
        lines.push_back(formatFinding(single).substr(2));
    }
    return lines;
}

/// Returns the findings of a text that follows a valid head of two lines.
report findingsBelowHead(const std::string &text)
{
    return findingsOf("cell: c\ndata_centres: [d]\n" + text);
}

/// Returns the findings of fields of one policy map, which starts in line 4, column 10.
report findingsInPolicy(const std::string &field)
{
    return findingsBelowHead("policies:\n  batch: {" + field + "}\n");
}

/// Returns the findings of one work field at the end of a valid declaration in line 5.
report findingsInWork(const std::string &field)
{
    return findingsBelowHead("teams: [{name: t, home: d, quota: {processors: 4, memory: 8GiB}}]\nwork:\n"
                             "- {name: w, team: t, kind: batch, processors: 1, memory: 1GiB, "
                             + field + "}\n");
}

} // namespace

TEST_CASE("unknown fields are reported with the nearest name")
{
    CHECK(findingsBelowHead("retentoin: 1h\n") == report{"3:1: retentoin: unknown field, did you mean retention?"});
    CHECK(findingsInPolicy("prority: 1")
          == report{"4:11: policies.batch.prority: unknown field, did you mean priority?"});
    CHECK(findingsBelowHead("limits: {zzzzzzzzzz: 1}\n")
          == report{"3:10: limits.zzzzzzzzzz: unknown field, expected processors, memory, set_aside or "
                    "slots_per_worker"});
    CHECK(findingsBelowHead("<<: {retention: 1h}\n").size() == 1);
}

TEST_CASE("missing fields are reported at their map")
{
    CHECK(findingsOf("retention: 1h\n")
          == report{"1:1: cell: missing field, it is required", "1:1: data_centres: missing field, it is required"});
    CHECK(findingsBelowHead("teams:\n- {name: t}\n") == report{"4:3: teams[0].home: missing field, it is required"});
    CHECK(findingsBelowHead("teams:\n- {name: t, home: d, quota: {memory: 1GiB}}\n")
          == report{"4:29: teams[0].quota.processors: missing field, it is required"});
}

TEST_CASE("duplicate fields and names are reported")
{
    CHECK(findingsBelowHead("retention: 1h\nretention: 2h\n")
          == report{"4:1: retention: duplicate field, expected it once"});
    CHECK(findingsOf("cell: c\ndata_centres: [d, e, d]\n")
          == report{"2:22: data_centres[2]: \"d\" is declared twice, expected a name of its own"});
    CHECK(findingsBelowHead("teams: [{name: t, home: d}, {name: t, home: d}]\n")
          == report{"3:36: teams[1].name: \"t\" is declared twice, expected a name of its own"});
    CHECK(findingsBelowHead("teams: [{name: t, home: d}]\nwork:\n"
                            "- {name: w, team: t, kind: batch, processors: 1, memory: 1GiB}\n"
                            "- {name: w, team: t, kind: batch, processors: 1, memory: 1GiB}\n")
          == report{"6:10: work[1].name: \"w\" is declared twice, expected a name of its own"});
}

TEST_CASE("wrong and missing units are reported")
{
    CHECK(findingsBelowHead("retention: 24\n")
          == report{"3:12: retention: \"24\" has no unit, expected a duration such as 500ms, 90s, 10m or 24h, from 1m "
                    "to 24h"});
    CHECK(findingsBelowHead("retention: 24d\n")
          == report{"3:12: retention: \"24d\" has the wrong unit, expected a duration such as 500ms, 90s, 10m or "
                    "24h, from 1m to 24h"});
    CHECK(findingsInPolicy("cap: 60") == report{"4:16: policies.batch.cap: \"60\" has no unit, expected 1% to 100%"});
    CHECK(findingsInPolicy("attempts: 3x")
          == report{"4:21: policies.batch.attempts: \"3x\" has the wrong unit, expected a whole number from 1 to 100"});
    CHECK(findingsBelowHead("teams: [{name: t, home: d, quota: {processors: 4c, memory: 8GB}}]\n")
          == report{"3:48: teams[0].quota.processors: \"4c\" has the wrong unit, expected processors such as 2, 0.5 or "
                    "500m, from 0 to 1000000",
                    "3:60: teams[0].quota.memory: \"8GB\" has the wrong unit, expected memory such as 512MiB or 4GiB, "
                    "from 0MiB to 16384TiB"});
}

TEST_CASE("negative, overflowing, fractional and non-finite numbers are reported")
{
    const std::string allowed = ", expected a whole number from 0 to 9";
    CHECK(findingsInPolicy("priority: -1") == report{"4:21: policies.batch.priority: \"-1\" is negative" + allowed});
    CHECK(findingsInPolicy("priority: 10") == report{"4:21: policies.batch.priority: \"10\" is too large" + allowed});
    CHECK(findingsInPolicy("priority: 99999999999999999999")
          == report{"4:21: policies.batch.priority: \"99999999999999999999\" is too large" + allowed});
    CHECK(findingsInPolicy("priority: .nan")
          == report{"4:21: policies.batch.priority: \".nan\" is not a finite number" + allowed});
    CHECK(findingsInPolicy("priority: -.inf")
          == report{"4:21: policies.batch.priority: \"-.inf\" is not a finite number" + allowed});
    CHECK(findingsInPolicy("priority: 1.5")
          == report{"4:21: policies.batch.priority: \"1.5\" is not a whole number" + allowed});
    CHECK(findingsInPolicy("priority: 0x5")
          == report{"4:21: policies.batch.priority: \"0x5\" has the wrong unit" + allowed});
    CHECK(findingsInPolicy("priority: high")
          == report{"4:21: policies.batch.priority: \"high\" is not a number" + allowed});
    CHECK(findingsInWork("tasks: 0")
          == report{"5:71: work[0].tasks: \"0\" is too small, expected a whole number from 1 to 10000"});
    CHECK(findingsInWork("run_time: 9223372036854775807h")
          == report{"5:74: work[0].run_time: \"9223372036854775807h\" is too large, expected a duration such as 500ms, "
                    "90s, 10m or 24h, from 1ms to 8760h"});
    CHECK(findingsBelowHead("teams: [{name: t, home: d, quota: {processors: 0.0005, memory: 1GiB}}]\n")
          == report{"3:48: teams[0].quota.processors: \"0.0005\" has more than three digits after the point, expected "
                    "processors such as 2, 0.5 or 500m, from 0 to 1000000"});
}

TEST_CASE("values outside the allowed choices are reported")
{
    CHECK(findingsInPolicy("order: lifo")
          == report{"4:18: policies.batch.order: \"lifo\" is not allowed, expected fifo or shortest-first"});
    CHECK(findingsInPolicy("placement: best")
          == report{"4:22: policies.batch.placement: \"best\" is not allowed, expected pack, spread or first-fit"});
    CHECK(findingsInPolicy("preemptible: yes")
          == report{"4:24: policies.batch.preemptible: \"yes\" is not allowed, expected false or true"});
}

TEST_CASE("references to undeclared names are reported")
{
    CHECK(findingsBelowHead("teams: [{name: t, home: e}]\n")
          == report{"3:25: teams[0].home: data centre \"e\" is not declared, expected a name from data_centres"});
    CHECK(findingsBelowHead("work:\n- {name: w, team: t, kind: batch, processors: 1, memory: 1GiB}\n")
          == report{"4:19: work[0].team: team \"t\" is not declared, expected a name from teams"});
}

TEST_CASE("names with invalid characters or length are reported")
{
    const std::string allowed = " is not a name, expected a-z, 0-9 and -, not first -, at most 128 characters";
    CHECK(findingsOf("cell: Paguri\ndata_centres: [d]\n") == report{"1:7: cell: \"Paguri\"" + allowed});
    CHECK(findingsOf("cell: c\ndata_centres: [-a, b_c]\n")
          == report{"2:16: data_centres[0]: \"-a\"" + allowed, "2:20: data_centres[1]: \"b_c\"" + allowed});
    CHECK(findingsOf("cell: \"\"\ndata_centres: [d]\n") == report{"1:7: cell: \"\"" + allowed});
    CHECK(findingsOf("cell: \"a\\tb\"\ndata_centres: [d]\n") == report{"1:7: cell: \"a?b\"" + allowed});
    CHECK(findingsOf("cell: " + std::string(129, 'a') + "\ndata_centres: [d]\n")
          == report{"1:7: cell: \"" + std::string(48, 'a') + "...\"" + allowed});
}

TEST_CASE("values of the wrong type are reported")
{
    CHECK(findingsOf("[a]\n") == report{"1:1: is a list, expected a map of fields"});
    CHECK(findingsBelowHead("teams: {name: t}\n") == report{"3:8: teams: is a map, expected a list"});
    CHECK(findingsBelowHead("limits: 5\n") == report{"3:9: limits: is a single value, expected a map of fields"});
    CHECK(findingsBelowHead("limits:\n") == report{"3:1: limits: has no value, expected a map of fields"});
    CHECK(findingsBelowHead("retention: [1h]\n")
          == report{"3:12: retention: is a list, expected a duration such as 500ms, 90s, 10m or 24h, from 1m to 24h"});
    CHECK(findingsOf("cell: c\ndata_centres: []\n")
          == report{"2:15: data_centres: is empty, expected at least one data centre"});
    CHECK(findingsBelowHead("? [a]\n: b\n") == report{"3:3: a key is not a plain name, expected a field name"});
    CHECK(findingsOf("cell: c\ndata_centres: [a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q]\n")
          == report{"2:15: data_centres: has 17 entries, expected at most 16"});
}

TEST_CASE("contradicting shares, quotas and resource needs are reported")
{
    CHECK(findingsInPolicy("guaranteed: 50%, cap: 40%")
          == report{"4:23: policies.batch.guaranteed: is above cap, expected at most the cap of the kind"});
    CHECK(findingsBelowHead("policies:\n  batch: {guaranteed: 60%}\n  query: {guaranteed: 41%}\n")
          == report{"4:3: policies: the guaranteed shares of all kinds add up to 101%, expected at most 100%"});
    CHECK(findingsInWork("accelerators: 1")
          == report{"5:3: work[0]: one task needs more than the quota of the team, expected a need within the quota "
                    "of \"t\""});
    CHECK(findingsBelowHead("teams: [{name: t, home: d, quota: {processors: 4, memory: 8GiB}}]\nwork:\n"
                            "- {name: w, team: t, kind: gang, tasks: 5, processors: 1, memory: 1GiB}\n")
          == report{"5:3: work[0]: all tasks together need more than the quota of the team, expected a need within "
                    "the quota of \"t\""});
    CHECK(findingsBelowHead("teams: [{name: t, home: d}]\nwork:\n"
                            "- {name: w, team: t, kind: service, processors: 1, memory: 1GiB, repeatable: false}\n")
          == report{"5:78: work[0].repeatable: a service is always repeatable, expected true"});
}

TEST_CASE("aliases, anchors, tags and further documents are reported")
{
    CHECK(findingsBelowHead("limits: &l {}\npolicies: *l\n")
          == report{"3:9: an anchor is not supported, expected a value without an anchor",
                    "4:11: an alias is not supported, expected the value itself"});
    CHECK(findingsBelowHead("retention: !!str 1h\n")
          == report{"3:12: a tag is not supported, expected a value without a tag"});
    CHECK(findingsBelowHead("---\ncell: e\n")
          == report{"3:1: a second document starts here, expected one document in the file"});
}

TEST_CASE("texts that are empty, too large or nested too deep are reported")
{
    CHECK(findingsOf("") == report{"0:0: the file is empty, expected a map of fields"});
    CHECK(findingsOf("# only a comment\n") == report{"0:0: the file is empty, expected a map of fields"});
    CHECK(findingsOf(std::string(262145, '#'))
          == report{"0:0: the file has 262145 bytes, expected at most 262144 bytes"});
    const std::string deep = "limits: " + std::string(16, '[') + std::string(16, ']') + "\n";
    CHECK(findingsBelowHead(deep) == report{"3:24: lists and maps are nested too deep, expected at most 16 levels"});
    const std::string deepest = "limits: " + std::string(15, '[') + std::string(15, ']') + "\n";
    CHECK(findingsBelowHead(deepest) == report{"3:9: limits: is a list, expected a map of fields"});
}

TEST_CASE("tabs, control characters and invalid UTF-8 are reported")
{
    CHECK(findingsBelowHead("limits:\n\tmemory: 50%\n") == report{"4:1: tab character, expected spaces"});
    CHECK(findingsBelowHead("retention:\t1h # a\tb\n")
          == report{"3:11: tab character, expected spaces", "3:18: tab character, expected spaces"});
    CHECK(findingsBelowHead("# \x01\n") == report{"3:3: control character, expected printable text"});
    CHECK(findingsBelowHead(std::string("# \0\n", 4)) == report{"3:3: control character, expected printable text"});
    const std::string utf8 = ": invalid UTF-8, expected text in UTF-8";
    CHECK(findingsBelowHead("# \xFF\n") == report{"3:3" + utf8});
    CHECK(findingsBelowHead("# \xC0\xAF\n") == report{"3:3" + utf8, "3:4" + utf8});
    CHECK(findingsBelowHead("# \xED\xA0\x80\n") == report{"3:3" + utf8, "3:4" + utf8, "3:5" + utf8});
    CHECK(findingsBelowHead("# \xE2\x82") == report{"3:3" + utf8, "3:4" + utf8});
}

TEST_CASE("syntax errors are reported")
{
    CHECK(findingsOf("cell: c\n  data_centres: [d]\n")
          == report{"2:15: syntax error: illegal map value, expected YAML"});
    CHECK(findingsOf("cell: c\ndata_centres: [d\nretention: 1h\n")
          == report{"3:10: syntax error: end of sequence flow not found, expected YAML"});
    CHECK(findingsOf("cell: *nothing\n")
          == report{"1:7: syntax error: the referenced anchor is not defined, expected YAML"});
}

TEST_CASE("all errors of a file are in one report, in the order of their locations")
{
    const report lines = findingsOf("cell: C\ndata_centres: [d, d]\nretention: 1\npolicies:\n  batch: {priority: x}\n"
                                    "teams: [{name: T, home: e}]\nwork: [{name: w}]\nretentoin: 2\n");
    REQUIRE(lines.size() == 11);
    CHECK(lines.front().substr(0, 9) == "1:7: cell");
    CHECK(lines.back().substr(0, 14) == "8:1: retentoin");
}

TEST_CASE("a long report ends with a note")
{
    std::string text = "cell: c\ndata_centres: [d]\n";
    for (int line = 0; line < 1500; ++line) {
        text += "x" + std::to_string(line) + ": 1\n";
    }
    const report lines = findingsOf(text);
    REQUIRE(lines.size() == 1001);
    CHECK(lines.back() == "0:0: there are more findings, correct these and check the file again");
}
