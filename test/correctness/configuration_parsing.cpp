// Checks that a valid configuration is parsed with every value as written, and that absent fields have their defaults.
// Guards against wrong unit conversions and against defaults that differ from the operators' documentation.
#include "version/configuration_parser.h"
#include "version/unit_syntax.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace sesamespar;

namespace {

const char *const completeText = R"(cell: paguri
data_centres: [metsovo, ioannina, zagori]
retention: 12h
limits: {processors: 90%, memory: 80%, set_aside: 20%, slots_per_worker: 16}
policies:
  query:   {priority: 8, order: shortest-first, placement: first-fit, queue_limit: 5000, guaranteed: 20%, cap: 60%, preemptible: true, preemption_limit: 5, task_lease: 90s, attempts: 4}
  batch:   {preemptible: false}
teams:
  - {name: booking-desk, home: metsovo, weight: 4, quota: {processors: 200, memory: 400GiB, accelerators: 2}}
  - {name: desk-2, home: zagori}
work:
  - {name: tour-manifest, team: booking-desk, kind: batch, tasks: 4, processors: 2, memory: 4GiB, accelerators: 1, run_time: 90s, repeatable: true}
  - {name: quotes, team: desk-2, kind: query, processors: 0.5, memory: 512MiB}
  - {name: desk, team: desk-2, kind: service, processors: 250m, memory: 1TiB}
)";

configuration_ptr parseValid(const std::string &text)
{
    const parsed_configuration outcome = parseConfiguration(text, "cell.yaml", config_version(7));
    INFO(formatFindings(outcome.problems));
    CHECK(outcome.problems.empty());
    REQUIRE(outcome.settings);
    return outcome.settings;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("values are read as written")
{
    const configuration_ptr settings = parseValid(completeText);
    CHECK(settings->version == config_version(7));
    CHECK(settings->text == completeText);
    CHECK(settings->cell == "paguri");
    CHECK(settings->dataCentres
          == std::vector{data_centre_id("metsovo"), data_centre_id("ioannina"), data_centre_id("zagori")});
    CHECK(settings->retention == milliseconds(43200000));
    CHECK(settings->limits.processorPercent == 90);
    CHECK(settings->limits.memoryPercent == 80);
    CHECK(settings->limits.quarantinePercent == 20);
    CHECK(settings->limits.slotsPerWorker == 16);

    const kind_policy &query = policyOf(*settings, work_kind::Query);
    CHECK(query.priority == 8);
    CHECK(query.order == queue_order::ShortestFirst);
    CHECK(query.placement == placement_rule::FirstFit);
    CHECK(query.queueLimit == 5000);
    CHECK(query.guaranteedPercent == 20);
    CHECK(query.capPercent == 60);
    CHECK(query.preemptible);
    CHECK(query.preemptionLimit == 5);
    CHECK(query.taskLease == milliseconds(90000));
    CHECK(query.attempts == 4);
    CHECK_FALSE(policyOf(*settings, work_kind::Batch).preemptible);
}

TEST_CASE("teams and work are read as written")
{
    const configuration_ptr settings = parseValid(completeText);
    const team_settings *team = findTeam(*settings, team_id("booking-desk"));
    REQUIRE(team != nullptr);
    CHECK(team->home == data_centre_id("metsovo"));
    CHECK(team->weight == 4);
    CHECK(team->quota == resources{millicores(200000), mebibytes(409600), accelerators(2)});

    const work_settings *manifest = findWork(*settings, work_id("tour-manifest"));
    REQUIRE(manifest != nullptr);
    CHECK(manifest->team == team_id("booking-desk"));
    CHECK(manifest->kind == work_kind::Batch);
    CHECK(manifest->tasks == 4);
    CHECK(manifest->need == resources{millicores(2000), mebibytes(4096), accelerators(1)});
    CHECK(manifest->runTime == milliseconds(90000));
    CHECK(manifest->repeatable);
}

TEST_CASE("absent fields have their defaults")
{
    const configuration_ptr settings = parseValid("cell: c\ndata_centres: [d]\n");
    CHECK(settings->retention == milliseconds(86400000));
    CHECK(settings->limits.processorPercent == 100);
    CHECK(settings->limits.memoryPercent == 100);
    CHECK(settings->limits.quarantinePercent == 25);
    CHECK(settings->limits.slotsPerWorker == 8);
    CHECK(settings->teams.empty());
    CHECK(settings->work.empty());
    for (const work_kind kind : allWorkKinds) {
        const kind_policy &policy = policyOf(*settings, kind);
        const bool spread = kind == work_kind::Query || kind == work_kind::Service;
        CHECK(policy.placement == (spread ? placement_rule::Spread : placement_rule::Pack));
        CHECK(policy.preemptible == (kind == work_kind::Batch));
        CHECK(policy.order == queue_order::FirstInFirstOut);
        CHECK(policy.queueLimit == 10000);
        CHECK(policy.guaranteedPercent == 0);
        CHECK(policy.capPercent == 100);
        CHECK(policy.preemptionLimit == 3);
        CHECK(policy.taskLease == milliseconds(60000));
        CHECK(policy.attempts == 3);
    }
    CHECK(policyOf(*settings, work_kind::Query).priority == 9);
    CHECK(policyOf(*settings, work_kind::Service).priority == 7);
    CHECK(policyOf(*settings, work_kind::Gang).priority == 5);
    CHECK(policyOf(*settings, work_kind::Batch).priority == 3);
}

TEST_CASE("absent fields of work have their defaults")
{
    const configuration_ptr settings = parseValid(completeText);
    const work_settings *quotes = findWork(*settings, work_id("quotes"));
    REQUIRE(quotes != nullptr);
    CHECK(quotes->tasks == 1);
    CHECK(quotes->need == resources{millicores(500), mebibytes(512), accelerators(0)});
    CHECK(quotes->runTime == milliseconds(60000));
    CHECK_FALSE(quotes->repeatable);
    const work_settings *desk = findWork(*settings, work_id("desk"));
    REQUIRE(desk != nullptr);
    CHECK(desk->repeatable);
    CHECK(desk->need.processors == millicores(250));
    CHECK_FALSE(findTeam(*settings, team_id("desk-2"))->quota.has_value());
    CHECK(findTeam(*settings, team_id("desk-2"))->weight == 1);
}

TEST_CASE("Windows line endings, a byte order mark and quoted values are accepted")
{
    const configuration_ptr settings = parseValid("\xEF\xBB\xBF"
                                                  "cell: 'c'\r\ndata_centres:\r\n  - \"d\"\r\nretention: \"1h\"\r\n");
    CHECK(settings->cell == "c");
    CHECK(settings->retention == milliseconds(3600000));
}

TEST_CASE("a text of exactly the maximum size is accepted")
{
    std::string text = "cell: c\ndata_centres: [d]\n#";
    text.resize(262144, ' ');
    parseValid(text);
}

TEST_CASE("the example configurations are valid")
{
    const configuration_ptr paguri = parseValid(readFile(EXAMPLES "/paguri/cell.yaml"));
    CHECK(paguri->cell == "paguri");
    CHECK(paguri->dataCentres.size() == 3);
    const configuration_ptr pompamassetto = parseValid(readFile(EXAMPLES "/pompamassetto/cell.yaml"));
    CHECK(pompamassetto->cell == "pompamassetto");
    CHECK(pompamassetto->dataCentres.size() == 3);
}

TEST_CASE("formatted amounts use the units of the parser")
{
    CHECK(formatProcessors(millicores(2000)) == "2");
    CHECK(formatProcessors(millicores(500)) == "500m");
    CHECK(formatMemory(mebibytes(512)) == "512MiB");
    CHECK(formatMemory(mebibytes(4096)) == "4GiB");
    CHECK(formatDuration(milliseconds(0)) == "0ms");
    CHECK(formatDuration(milliseconds(1500)) == "1500ms");
    CHECK(formatDuration(milliseconds(90000)) == "90s");
    CHECK(formatDuration(milliseconds(86400000)) == "24h");
}
