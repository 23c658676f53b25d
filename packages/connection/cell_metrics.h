// Names of the metrics of a daemon of a cell. docs/operators.md describes each of them.
#pragma once

#include <string_view>

namespace sesamespar::cell_metrics {

// Counters of caller requests.
constexpr std::string_view jobsAccepted = "job_answers{outcome=\"accepted\"}";
constexpr std::string_view jobsKnown = "job_answers{outcome=\"known\"}";
constexpr std::string_view jobsRefused = "job_answers{outcome=\"refused\"}";
constexpr std::string_view jobsUnknown = "job_answers{outcome=\"unknown\"}";
constexpr std::string_view jobsMalformed = "job_answers{outcome=\"malformed\"}";
constexpr std::string_view keysRejected = "requests_with_rejected_key";
constexpr std::string_view noQueue = "requests_without_queue";
constexpr std::string_view storeLostRefusals = "store_lost_refusals";
constexpr std::string_view loadRefusals = "load_refusals";
constexpr std::string_view jobsRelayed = "jobs_relayed";
constexpr std::string_view statusQuestions = "status_questions";
constexpr std::string_view statusOverdue = "status_questions_overdue";
constexpr std::string_view intakeWritesFailed = "intake_writes_failed";

// Counters of the leader.
constexpr std::string_view termsBegun = "terms_begun";
constexpr std::string_view termsEnded = "terms_ended";
constexpr std::string_view progressWrites = "progress_writes";
constexpr std::string_view progressWritesFailed = "progress_writes_failed";
constexpr std::string_view runsPlaced = "runs_placed";
constexpr std::string_view startsSent = "starts_sent";
constexpr std::string_view startsRefused = "starts_refused";
constexpr std::string_view startsUnanswered = "starts_unanswered";
constexpr std::string_view stopsSent = "stops_sent";
constexpr std::string_view polls = "worker_polls";
constexpr std::string_view pollsMissed = "worker_polls_missed";
constexpr std::string_view callsDelegated = "worker_calls_delegated";
constexpr std::string_view callsReassigned = "worker_calls_reassigned";
constexpr std::string_view callsRefused = "worker_calls_refused";
constexpr std::string_view leasesExpired = "worker_leases_lapsed";
constexpr std::string_view adviceRequestsSent = "advice_questions";
constexpr std::string_view adviceFailed = "advice_failed";
constexpr std::string_view adviceOverdue = "advice_overdue";
constexpr std::string_view adviceLate = "advice_late";

// Counters of a daemon that calls the advisor for the leader.
constexpr std::string_view adviceProxied = "advice_proxied";

// Links to the other daemons.
constexpr std::string_view linksSilent = "link_connections_silent";
constexpr std::string_view linksLost = "link_connections_lost";
constexpr std::string_view packetsResent = "link_packets_resent";
constexpr std::string_view packetsDropped = "link_packets_dropped";
constexpr std::string_view unacknowledgedTime = "link_unacknowledged_ms";

// Histograms, in milliseconds.
constexpr std::string_view requestTime = "request_ms";
constexpr std::string_view waitTime = "wait_ms";
constexpr std::string_view placementTime = "placement_ms";
constexpr std::string_view takeoverTime = "takeover_ms";
constexpr std::string_view adviceTime = "advice_ms";
constexpr std::string_view startTime = "worker_call_ms{call=\"start\"}";
constexpr std::string_view stopTime = "worker_call_ms{call=\"stop\"}";
constexpr std::string_view pollTime = "worker_call_ms{call=\"poll\"}";
constexpr std::string_view readTime = "store_call_ms{call=\"read\"}";
constexpr std::string_view listTime = "store_call_ms{call=\"list\"}";
constexpr std::string_view intakeTime = "store_call_ms{call=\"store_jobs\"}";
constexpr std::string_view progressTime = "store_call_ms{call=\"store_progress\"}";
constexpr std::string_view loadTime = "store_call_ms{call=\"store_load\"}";
constexpr std::string_view leaseTime = "store_call_ms{call=\"lease\"}";
constexpr std::string_view claimTime = "store_call_ms{call=\"claim\"}";
constexpr std::string_view cancelTime = "store_call_ms{call=\"store_cancel\"}";

} // namespace sesamespar::cell_metrics
