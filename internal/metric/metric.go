// Package metric defines the counters and histograms of the daemon; gauges are named where
// they are set, see SetGauge. docs/METRICS.md describes all of them for operators.
package metric

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Counters and histograms without labels.
var (
	SavesSkipped          = metrics.NewCounter("shedhoist_keeps_skipped_total") // because too many exports were in progress
	SavedBytes            = metrics.NewCounter("shedhoist_kept_bytes_total")
	Retries               = metrics.NewCounter("shedhoist_retries_total")
	Resumes               = metrics.NewCounter("shedhoist_resumes_total")
	RetryBudgetRefusals   = metrics.NewCounter("shedhoist_retry_budget_refusals_total")
	MemoryFullRefusals    = metrics.NewCounter("shedhoist_memory_full_refusals_total")
	NotStartedInTime      = metrics.NewCounter("shedhoist_requests_not_started_in_time_total")
	SlotRefusals          = metrics.NewCounter("shedhoist_slot_refusals_total")
	OverFairShareRefusals = metrics.NewCounter("shedhoist_over_fair_share_refusals_total") // of customers above their fair share
	WarmupRequests        = metrics.NewCounter("shedhoist_cold_requests_total")            // sent to targets that are warming up
	WarmupRefusals        = metrics.NewCounter("shedhoist_cold_refusals_total")
	LeavingNotices        = metrics.NewCounter("shedhoist_leaving_words_total")         // responses in which a target announces that it is leaving
	BrittleRefusals       = metrics.NewCounter("shedhoist_brittle_refusals_total")      // requests that brittle targets turned away
	StreamsForgotten      = metrics.NewCounter("shedhoist_streams_forgotten_total")     // streams whose version was not kept for want of room
	LimitsNamed           = metrics.NewCounter("shedhoist_target_limits_named_total")   // limits of requests a second that targets named, new or changed
	TargetLimitRefusals   = metrics.NewCounter("shedhoist_target_limit_refusals_total") // because the targets' limits are used up
	CallersGivenUp        = metrics.NewCounter("shedhoist_callers_given_up_total")      // that took nothing for too long
	BodiesRefused         = metrics.NewCounter("shedhoist_bodies_refused_total")        // for want of memory for them
	BackoffRequests       = metrics.NewCounter("shedhoist_rest_words_total")            // responses in which a target requests backoff
	BackoffRefusals       = metrics.NewCounter("shedhoist_rest_refusals_total")         // because all targets are in backoff
	DelayedFetches        = metrics.NewCounter("shedhoist_fetches_delayed_total")       // parts held but not fetched: not yet complete for long enough
	HomePartFetches       = metrics.NewCounter("shedhoist_home_part_fetches_total")     // parts that targets were told to fetch from the prompt's home target
	BlockedFetches        = metrics.NewCounter("shedhoist_fetches_blocked_total")       // parts held but not fetched: a save of them is pending
	UnreachableZones      = metrics.NewCounter("shedhoist_silent_zones_total")
	EvacuatedRefusals     = metrics.NewCounter("shedhoist_evacuated_refusals_total")
	TargetPartitions      = metrics.NewCounter("shedhoist_target_partitions_total") // times that no target of a service could be reached
	Relays                = metrics.NewCounter("shedhoist_relays_total")            // connections to targets through peers
	RelayFailures         = metrics.NewCounter("shedhoist_relays_failed_total")     // that no peer could open
	RelaysCarried         = metrics.NewCounter("shedhoist_relays_carried_total")    // opened on behalf of peers
	TargetCrashes         = metrics.NewCounter("shedhoist_target_crashes_total")    // detected by requests that failed there
	QuarantineRejections  = metrics.NewCounter("shedhoist_quarantine_rejections_total")
	QuarantineTrials      = metrics.NewCounter("shedhoist_quarantine_trials_total")
	UnusableTargetEntries = metrics.NewCounter("shedhoist_target_entries_unusable_total")
	// UnreadableWeightVersions counts weight version objects that can't be read.
	UnreadableWeightVersions = metrics.NewCounter("shedhoist_weight_versions_unreadable_total")
	UnreadableObjects        = metrics.NewCounter("shedhoist_objects_unreadable_total")
	MismatchedResponses      = metrics.NewCounter("shedhoist_mismatched_answers_total") // responses that belong to another request
	InvalidResponses         = metrics.NewCounter("shedhoist_invalid_responses_total")  // of any server, that are none in HTTP
	PromptTokens             = metrics.NewCounter("shedhoist_prompt_tokens_total")
	CachedTokens             = metrics.NewCounter("shedhoist_prompt_tokens_cached_total")
	RestoredTokens           = metrics.NewCounter("shedhoist_prompt_tokens_restored_total")
	GeneratedTokens          = metrics.NewCounter("shedhoist_generated_tokens_total")
	LedgerWrites             = metrics.NewCounter("shedhoist_ledger_writes_total")
	LedgerErrors             = metrics.NewCounter("shedhoist_ledger_errors_total")
	LedgerConflicts          = metrics.NewCounter("shedhoist_ledger_conflicts_total")
	PeerBytes                = metrics.NewCounter("shedhoist_peer_bytes_total") // written to peers
	PeerMessages             = metrics.NewCounter("shedhoist_peer_messages_total")
	PeerStrangersClosed      = metrics.NewCounter("shedhoist_peer_strangers_closed_total") // connections that gave way before they were authenticated
	TargetProbes             = metrics.NewCounter("shedhoist_target_probes_total")
	Orders                   = metrics.NewCounter("shedhoist_orders_total")
	Panics                   = metrics.NewCounter("shedhoist_panics_total")
	ConfigErrors             = metrics.NewCounter("shedhoist_config_errors_total")
	PlatformErrors           = metrics.NewCounter("shedhoist_platform_errors_total")
	UpdatesFailed            = metrics.NewCounter("shedhoist_news_failed_total")         // updates requested from a peer that did not arrive complete
	UpdatesBypassed          = metrics.NewCounter("shedhoist_news_doubted_total")        // times that an instance that follows its peers' updates read the object store instead
	RolloutWaits             = metrics.NewHistogram("shedhoist_rollout_wait_seconds")    // waits for the runs of cordoned targets
	RolloutInterrupted       = metrics.NewCounter("shedhoist_rollout_interrupted_total") // orders that cut off prompts that run at most once
	FirstToken               = metrics.NewHistogram("shedhoist_first_token_seconds")
	PredictionError          = metrics.NewHistogram("shedhoist_prediction_error_seconds") // absolute error of the predicted time to the first response
	BetweenTokens            = metrics.NewHistogram("shedhoist_between_tokens_seconds")
)

// PeerCallBytes counts the bytes written to peers by method, requests and responses.
func PeerCallBytes(method string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_peer_call_bytes_total{method=%q}`, method))
}

// BudgetedRequests counts the requests for a service, each of which earns a share of a retry.
func BudgetedRequests(service string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_budgeted_requests_total{service=%q}`, service))
}

// ServiceRetries counts the decisions about another attempt at a service, by the end of the attempt before
// and by what became of the retry budget: "charged", "free", "exhausted" or "not-asked".
func ServiceRetries(service, cause, budget string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_service_retries_total{service=%q,cause=%q,budget=%q}`, service, cause, budget))
}

// LevelRefusals counts the prompts refused at full targets, by their level of priority at the service.
func LevelRefusals(level int) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_level_refusals_total{level="%d"}`, level))
}

// RetryBalanceGauge is the name of the gauge of the retries that this instance has left for a service.
func RetryBalanceGauge(service string) string {
	return fmt.Sprintf(`shedhoist_retry_balance{service=%q}`, service)
}

// Permits counts the permits that this instance asked for to send requests to targets with limits, by result:
// "granted", "denied" or "unanswered".
func Permits(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_target_permits_total{result=%q}`, result))
}

// StreamsTakenUp counts the streams that callers took up, by how it was known where they may go on.
func StreamsTakenUp(known string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_streams_taken_up_total{known=%q}`, known))
}

// HeadsRefused counts heads of requests that were not read to their end, by reason.
func HeadsRefused(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_heads_refused_total{reason=%q}`, reason))
}

// ConnectionsEvicted counts callers' connections that were closed to make room for others, by listener and by what they
// were used for.
func ConnectionsEvicted(listener, phase string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_connections_evicted_total{listener=%q,phase=%q}`, listener, phase))
}

// RequestsRefused counts requests that were refused before they ran, by listener and by what was lacking for them.
func RequestsRefused(listener, lack string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_requests_refused_total{listener=%q,lack=%q}`, listener, lack))
}

// ConnectionsRefused counts callers' connections that were closed at once, by listener and by what was lacking for them.
func ConnectionsRefused(listener, lack string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_connections_refused_total{listener=%q,lack=%q}`, listener, lack))
}

// SetGauge sets the gauge of the given name, which it creates if necessary.
func SetGauge(name string, value float64) { metrics.GetOrCreateGauge(name, nil).Set(value) }

// Write writes all metrics, including those of the process, in the Prometheus text format.
func Write(w io.Writer) { metrics.WritePrometheus(w, true) }

// Requests counts final responses by kind ("model", "service") and outcome.
func Requests(kind, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_requests_total{kind=%q,outcome=%q}`, kind, outcome))
}

// LimitRefusals counts requests refused because of a customer's limits.
func LimitRefusals(customer, reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_limit_refusals_total{customer=%q,reason=%q}`, customer, reason))
}

// StoreErrors counts failed requests to a store.
func StoreErrors(store string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_store_errors_total{store=%q}`, store))
}

// Attempts counts attempts at a target by how they ended.
func Attempts(target, result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_attempts_total{target=%q,end=%q}`, target, result))
}

// Results of connects to targets, a label value of TargetConnects.
const (
	ConnectSucceeded  = "connected"
	ConnectRefused    = "refused"
	ConnectUnanswered = "unanswered"
)

// TargetConnects counts the connects to targets for requests, by result.
func TargetConnects(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_target_connects_total{result=%q}`, result))
}
