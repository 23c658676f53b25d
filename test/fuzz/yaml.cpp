// Checks that malformed and hostile texts produce findings in bounded time. Guards against crashes, endless loops, deep
// recursion and memory growth in the parser, whose input arrives over the network.
#include "version/configuration_parser.h"
#include "version/daemon_settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <string>
#include <vector>

using namespace sesamespar;
using namespace std::string_literals;

namespace {

constexpr std::size_t maxTextBytes = 262144;

const std::string validText = R"(cell: paguri
data_centres: [metsovo, ioannina]
retention: 24h
limits: {processors: 100%, memory: 100%, set_aside: 25%, slots_per_worker: 8}
policies:
  query: {priority: 9, order: fifo, placement: spread, guaranteed: 20%, cap: 60%, task_lease: 60s}
teams:
  - {name: desk, home: metsovo, weight: 4, quota: {processors: 200, memory: 400GiB}}
work:
  - name: tour-manifest
    team: desk
    kind: batch
    processors: 0.5
    memory: 4GiB
    run_time: "90s"
)";

/// Parses a text as a configuration and as daemon settings. Checks that each result is either settings or findings,
/// and that the locations of findings lie within the text.
void parseBoth(const std::string &text)
{
    const parsed_configuration cell = parseConfiguration(text, "f", config_version(1));
    REQUIRE((cell.settings == nullptr) == !cell.problems.empty());
    REQUIRE(cell.problems.size() <= 1001);
    const auto lines = 1 + std::count(text.begin(), text.end(), '\n');
    for (const finding &single : cell.problems) {
        REQUIRE(single.line >= 0);
        REQUIRE(single.line <= lines + 1);
        REQUIRE(single.problem.size() < 300);
        REQUIRE(single.field.size() < 600);
    }
    const parsed_daemon_settings daemon = parseDaemonSettings(text, "f");
    REQUIRE(daemon.settings.has_value() == daemon.problems.empty());
}

std::string repeatUpToMaxSize(const std::string &part)
{
    std::string text;
    while (text.size() + part.size() <= maxTextBytes) {
        text += part;
    }
    return text;
}

/// Applies one to four random mutations: replaces, removes or inserts a byte, or copies a part of the text.
std::string mutate(std::string text, std::mt19937_64 &random)
{
    static const std::string alphabet = "\0\x01\t\n\r !\"#%&'*+,-.:<>?@[]{}|`~0aZ\x7F\x80\xC3\xEF\xFF"s;
    const auto below = [&](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    };
    for (std::size_t change = below(4) + 1; change > 0 && !text.empty(); --change) {
        const std::size_t at = below(text.size());
        switch (below(4)) {
        case 0:
            text[at] = alphabet[below(alphabet.size())];
            break;
        case 1:
            text.erase(at, 1);
            break;
        case 2:
            text.insert(at, 1, alphabet[below(alphabet.size())]);
            break;
        default:
            text.insert(at, text.substr(below(text.size()), below(40) + 1));
        }
    }
    return text;
}

/// Returns an anchored list with two aliases of the list one level below, which doubles its size when expanded.
std::string doublingAliasList(int level)
{
    const std::string name = "a" + std::to_string(level);
    const std::string below = "*a" + std::to_string(level - 1);
    return name + ": &" + name + " [" + below + ", " + below + "]\n";
}

} // namespace

TEST_CASE("mutated texts produce settings or findings")
{
    REQUIRE(parseConfiguration(validText, "f", config_version(1)).settings);
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        parseBoth(mutate(validText, random));
    }
}

TEST_CASE("truncated texts produce settings or findings")
{
    for (std::size_t length = 0; length < validText.size(); ++length) {
        parseBoth(validText.substr(0, length));
        parseBoth(validText.substr(length));
    }
}

TEST_CASE("random bytes produce findings")
{
    std::mt19937_64 random(1);
    std::uniform_int_distribution<int> byte(0, 255);
    for (int round = 0; round < 2000; ++round) {
        std::string text(static_cast<std::size_t>(round % 200), '\0');
        for (char &c : text) {
            c = static_cast<char>(byte(random));
        }
        parseBoth(text);
    }
}

TEST_CASE("repeated fragments produce findings within seconds")
{
    const std::vector<std::string> fragments{"[",
                                             "{",
                                             "- ",
                                             "? ",
                                             ": ",
                                             "{a: ",
                                             "[a, ",
                                             "? [",
                                             "\"",
                                             "'",
                                             "\"a\n",
                                             "&a ",
                                             "*a ",
                                             "!a ",
                                             "!<a> ",
                                             "%TAG ",
                                             "%YAML 1 ",
                                             "--- \n",
                                             "...\n",
                                             "|\n ",
                                             ">\n ",
                                             "#",
                                             "\n",
                                             "\r",
                                             " ",
                                             "a: b: ",
                                             "a\n",
                                             "a: 1\n",
                                             "- a\n",
                                             "- - ",
                                             "[[]]",
                                             "[\"a\":",
                                             "\\",
                                             "<<: {}\n",
                                             "{}, ",
                                             "]",
                                             "}",
                                             "\t",
                                             "\xEF\xBB\xBF",
                                             "\xFF",
                                             std::string(1, '\0'),
                                             "? a\n: b\n"};
    for (const std::string &fragment : fragments) {
        INFO("piece " << fragment);
        const auto start = std::chrono::steady_clock::now();
        parseBoth(repeatUpToMaxSize(fragment));
        // All fragments together took 5.4 s when this test was written. With quadratic cost one takes minutes.
        CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(20));
    }
}

TEST_CASE("aliases that would grow exponentially are not expanded")
{
    std::string text = "a0: &a0 [x, x]\n";
    for (int level = 1; level < 60; ++level) {
        text += doublingAliasList(level);
    }
    parseBoth(text);
    parseBoth("cell: c\nteams: &t\n- *t\n");
}
