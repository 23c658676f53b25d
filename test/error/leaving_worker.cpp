// The platform marks VMs as leaving. Guards against tasks that are placed on VMs which the platform is about to remove.
#include "harness/cell_test.h"

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

/// Time after which no task may start on a leaving VM: twice the interval between reads of the VM list, and a margin.
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

TEST_CASE("no task starts in a rack whose VMs are leaving")
{
    const auto running = startTestCell();
    for (const vm_entry &vm : running->vms.vms) {
        if (vm.dataCentre.value == "metsovo" && vm.rack.value == "rack-01") {
            REQUIRE(setVm(*running, vm.name, "leaving", grace));
        }
    }
    // Submits work before the daemons have read the changed list, and again after the grace period.
    requireAll(submitAllUntilFinal(*running, makeSubmissions(*running), testTimeout), answer_status::Done);
    waitUntil(grace, [] { return false; });
    requireAll(submitAllUntilFinal(*running, makeSubmissions(*running), testTimeout), answer_status::Done);
    requireInvariants(*running);
}
