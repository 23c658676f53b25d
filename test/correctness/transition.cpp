// Checks that a new version cannot change the home of a team or the name of the cell. Guards against two data centres
// that both schedule the jobs of one team, and against applying the file of another cell.
#include "version/configuration_parser.h"

#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

const std::string head = "cell: c\ndata_centres: [d, e]\n";

parsed_configuration parse(const std::string &text)
{
    return parseConfiguration(text, "f", config_version(1));
}

findings transition(const std::string &from, const std::string &to)
{
    const parsed_configuration current = parse(from);
    const parsed_configuration next = parse(to);
    REQUIRE(current.settings);
    REQUIRE(next.settings);
    return checkTransition(*current.settings, next, "f");
}

} // namespace

TEST_CASE("the home of a team cannot be changed")
{
    const findings problems = transition(head + "teams: [{name: s, home: d}, {name: t, home: d}]\n",
                                         head + "teams:\n- {name: t, home: e}\n- {name: s, home: d}\n");
    CHECK(formatFindings(problems)
          == "f:4:19: teams[0].home: the home of team \"t\" cannot be changed, expected d; declare a new team "
             "instead\n");
}

TEST_CASE("every team with a changed home is reported")
{
    const findings problems = transition(head + "teams: [{name: s, home: d}, {name: t, home: d}]\n",
                                         head + "teams: [{name: s, home: e}, {name: t, home: e}]\n");
    CHECK(problems.size() == 2);
}

TEST_CASE("the name of the cell cannot be changed")
{
    const findings problems = transition(head, "cell: other\ndata_centres: [d, e]\n");
    CHECK(formatFindings(problems) == "f:1:7: cell: the name of the cell cannot be changed, expected c\n");
}

TEST_CASE("teams may be added, removed and otherwise changed, and data centres may be added")
{
    CHECK(transition(head + "teams: [{name: s, home: d}, {name: t, home: d}]\n",
                     "cell: c\ndata_centres: [f, e, d]\nteams: [{name: t, home: d, weight: 9}, {name: u, home: f}]\n")
              .empty());
    CHECK(transition(head + "teams: [{name: s, home: d}]\n", head + "teams: [{name: s, home: d}]\n").empty());
}

TEST_CASE("the transition to an invalid text has no findings")
{
    const parsed_configuration current = parse(head);
    REQUIRE(current.settings);
    CHECK(checkTransition(*current.settings, parse("cell: other\n"), "f").empty());
}
