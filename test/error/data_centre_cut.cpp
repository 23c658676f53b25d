// A data centre is partitioned from the others and from the store. Guards against a partition that stops work which
// needs only one side, and against work that runs on both sides.
#include "harness/cell_test.h"

using namespace sesamespar;
using namespace sesamespar::harness;

namespace {

bool isNotRunOrUnknown(answer_status status)
{
    return status == answer_status::Refused || status == answer_status::Unknown;
}

} // namespace

TEST_CASE("a data centre that is cut off serves its own teams only")
{
    cell_shape shape;
    shape.proxied = true;
    const auto running = startTestCell(shape);
    const std::size_t inside = daemonIndex(*running, "metsovo-2");
    const std::size_t outside = daemonIndex(*running, "ioannina-1");
    REQUIRE(cutDataCentre(*running, "metsovo", true));

    const submit_request own = makeRequest("team-metsovo", "once-metsovo", "own", "run_ms=50");
    const submit_request others = makeRequest("team-ioannina", "once-ioannina", "others", "run_ms=50");
    submit_request foreign = makeRequest("team-metsovo", "once-metsovo", "foreign", "run_ms=50");
    foreign.wait = milliseconds(1000);
    submit_request outgoing = makeRequest("team-zagori", "once-zagori", "outgoing", "run_ms=50");
    outgoing.wait = milliseconds(1000);
    CHECK(submitUntilFinal(*running, inside, own, testTimeout).status == answer_status::Done);
    CHECK(submitUntilFinal(*running, outside, others, testTimeout).status == answer_status::Done);
    CHECK(isNotRunOrUnknown(submit(*running, outside, foreign).status));
    CHECK(isNotRunOrUnknown(submit(*running, inside, outgoing).status));

    REQUIRE(cutDataCentre(*running, "metsovo", false));
    CHECK(submitUntilFinal(*running, outside, foreign, testTimeout).status == answer_status::Done);
    CHECK(submitUntilFinal(*running, inside, outgoing, testTimeout).status == answer_status::Done);
    requireInvariants(*running);
}
