// API keys on the callers' HTTP listener. Guards against a key that is lost between the header and the decision, also
// on a connection that is already open, and against refusals with the wrong status.
#include "../fixtures/running_front.h"

#include <cpprest/http_client.h>

using namespace sesamespar;
using web::http::methods;

namespace {

/// Answers each request by its key.
caller_answer answerByKey(const api_key &key)
{
    if (key.value == "above limit") {
        return call_refused{"", milliseconds(60000), refusal_cause::Load};
    }
    if (key.value == "store lost") {
        return call_refused{"", milliseconds(2000)};
    }
    return key.value == "good" ? caller_answer(job_status{}) : caller_answer(key_rejected{});
}

} // namespace

TEST_CASE("each request is answered by its own key, also on an open connection")
{
    platform::caller_front_sinks sinks;
    sinks.requests = [](const caller_request &request, const caller_done &done) {
        done(answerByKey(request.key));
        return true;
    };
    const running_front running = startRunningFront(sinks);
    web::http::client::http_client client(running.callersUrl);
    const std::vector<std::tuple<std::string, int, std::string>> expected = {
        {"good", 200, ""}, {"", 401, ""}, {"bad", 401, ""}, {"above limit", 429, "60"}, {"store lost", 503, "2"}};
    for (const auto &method : {methods::POST, methods::GET, methods::DEL}) {
        for (const auto &[key, status, retryAfter] : expected) {
            INFO(method << " " << key);
            web::http::http_request request(method);
            request.set_request_uri("/q/0000000000000001");
            if (!key.empty()) {
                request.headers().add("sesamespar-credential", key);
            }
            const web::http::http_response response = client.request(request).get();
            CHECK(response.status_code() == status);
            const auto found = response.headers().find("Retry-After");
            CHECK((found == response.headers().end() ? "" : found->second) == retryAfter);
        }
    }
}
