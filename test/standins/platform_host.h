// The platform as daemons see it: key-value store and VM list behind one meter, with the faults that tests
// ask for. Knows nothing of HTTP; a call comes with a function that answers it.
#pragma once

#include "connection/store_api.h"
#include "standins/call_meter.h"
#include "standins/key_value_store.h"
#include "standins/timer_queue.h"
#include "standins/vm_registry.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sesamespar::standins {

/// Why a call got no reply.
enum class store_refusal {
    Down, ///< The service is down; HTTP status 503.
    TooMany, ///< The call is beyond the rate; HTTP status 429.
};

/// What a call gets.
using store_outcome = std::variant<store_reply, store_refusal>;
/// Answers one call.
using store_answer = std::function<void(const store_outcome &)>;

/// How the service is disturbed.
enum class store_outage {
    None,
    Refusing, ///< Answers every call at once with a refusal.
    Silent, ///< Answers no call until the outage is over, then with a refusal. No call takes effect.
};

/// Faults that are in force.
struct store_faults {
    store_outage outage = store_outage::None;
    milliseconds delay{0}; ///< Time between the effect of a call and its answer.
    std::int64_t putAnswersToLose = 0; ///< So many puts take effect without an answer.
};

/// The platform's state with its lock.
struct platform_host;

/// Makes the host.
std::shared_ptr<platform_host> makePlatformHost(std::shared_ptr<timer_queue> timers);

/// Handles one call and answers it now or later, on any thread.
void callPlatform(platform_host &host, const store_request &request, store_answer answer);

/// Faults in force.
store_faults currentFaults(platform_host &host);

/// Sets the faults.
void setFaults(platform_host &host, const store_faults &faults);

/// Sets the rates of the meter.
void setRates(platform_host &host, std::uint64_t readsPerSecond, std::uint64_t writesPerSecond);

/// Sets the lag of the VM list.
void setVmLag(platform_host &host, milliseconds lag);

/// Adds VMs, or replaces those of the same name.
void addVms(platform_host &host, const std::vector<vm_entry> &vms);

/// Sets the state of a VM; false if no VM has the name.
bool changeVm(platform_host &host, const worker_id &name, vm_state state);

/// Takes a VM off the list; false if no VM has the name.
bool dropVm(platform_host &host, const worker_id &name);

/// Counters as JSON.
std::string platformReport(platform_host &host);

} // namespace sesamespar::standins
