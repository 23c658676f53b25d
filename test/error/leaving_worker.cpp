// The platform marks VMs as leaving, or an operator drains one. Guards against tasks that are placed on VMs
// that are about to go.
#include "harness/cell_test.h"

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

/// Time within which no new work may go to a leaving VM: the interval of reading the list, twice, and slack.
constexpr milliseconds grace{6000};

std::vector<submission> makeSubmissions(const cell &running)
{
    std::vector<submission> submissions;
    for (std::size_t count = 0; count < 60; ++count) {
        submissions.push_back(
            {count % running.daemons.size(), makeRequest("team-metsovo", "batch-metsovo", "job", "run_ms=300")});
    }
    return submissions;
}

} // namespace

TEST_CASE("a rack that leaves gets no new tasks")
{
    const auto running = startTestCell();
    for (const vm_entry &vm : running->vms.vms) {
        if (vm.dataCentre.value == "metsovo" && vm.rack.value == "rack-01") {
            REQUIRE(setVm(*running, vm.name, "leaving", grace));
        }
    }
    // Work that comes while the list is noticed, and work that comes after.
    requireAll(submitAllUntilFinal(*running, makeSubmissions(*running), generous), answer_status::Done);
    waitUntil(grace, [] { return false; });
    requireAll(submitAllUntilFinal(*running, makeSubmissions(*running), generous), answer_status::Done);
    requireInvariants(*running);
}
