// Package metric names every metric of the daemon. docs/METRICS.md lists them
// for operators.
package metric

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Counters without labels.
var (
	SavesSkipped          = metrics.NewCounter("shedhoist_keeps_skipped_total")
	SavedBytes            = metrics.NewCounter("shedhoist_kept_bytes_total")
	Retries               = metrics.NewCounter("shedhoist_retries_total")
	Resumes               = metrics.NewCounter("shedhoist_resumes_total")
	RetryBudgetRefusals   = metrics.NewCounter("shedhoist_retry_budget_refusals_total")
	MemoryFullRefusals    = metrics.NewCounter("shedhoist_memory_full_refusals_total")
	WarmupRequests        = metrics.NewCounter("shedhoist_cold_requests_total") // sent to cold targets
	WarmupRefusals        = metrics.NewCounter("shedhoist_cold_refusals_total")
	LeavingNotices        = metrics.NewCounter("shedhoist_leaving_words_total")   // answers in which a target says that it leaves
	BackoffRequests       = metrics.NewCounter("shedhoist_rest_words_total")      // answers in which one asks for rest
	BackoffRefusals       = metrics.NewCounter("shedhoist_rest_refusals_total")   // since all targets ask for rest
	DelayedFetches        = metrics.NewCounter("shedhoist_fetches_delayed_total") // held, and not fetched: not complete for long enough
	BlockedFetches        = metrics.NewCounter("shedhoist_fetches_blocked_total") // held, and not fetched: a save of them is not over
	UnreachableZones      = metrics.NewCounter("shedhoist_silent_zones_total")
	EvacuatedRefusals     = metrics.NewCounter("shedhoist_evacuated_refusals_total")
	TargetCrashes         = metrics.NewCounter("shedhoist_target_crashes_total") // found by requests that broke there
	QuarantineRejections  = metrics.NewCounter("shedhoist_quarantine_rejections_total")
	QuarantineTrials      = metrics.NewCounter("shedhoist_quarantine_trials_total")
	UnusableTargetEntries = metrics.NewCounter("shedhoist_target_entries_unusable_total")
	// UnreadableWeightVersions counts objects that name a weight version and can't be read.
	UnreadableWeightVersions = metrics.NewCounter("shedhoist_weight_versions_unreadable_total")
	UnreadableObjects        = metrics.NewCounter("shedhoist_objects_unreadable_total")
	MismatchedResponses      = metrics.NewCounter("shedhoist_mismatched_answers_total")
	PromptTokens             = metrics.NewCounter("shedhoist_prompt_tokens_total")
	CachedTokens             = metrics.NewCounter("shedhoist_prompt_tokens_cached_total")
	RestoredTokens           = metrics.NewCounter("shedhoist_prompt_tokens_restored_total")
	GeneratedTokens          = metrics.NewCounter("shedhoist_generated_tokens_total")
	LedgerWrites             = metrics.NewCounter("shedhoist_ledger_writes_total")
	LedgerErrors             = metrics.NewCounter("shedhoist_ledger_errors_total")
	LedgerConflicts          = metrics.NewCounter("shedhoist_ledger_conflicts_total")
	PeerBytes                = metrics.NewCounter("shedhoist_peer_bytes_total") // written to peers
	PeerMessages             = metrics.NewCounter("shedhoist_peer_messages_total")
	TargetProbes             = metrics.NewCounter("shedhoist_target_probes_total")
	Orders                   = metrics.NewCounter("shedhoist_orders_total")
	Panics                   = metrics.NewCounter("shedhoist_panics_total")
	ConfigErrors             = metrics.NewCounter("shedhoist_config_errors_total")
	PlatformErrors           = metrics.NewCounter("shedhoist_platform_errors_total")
	UpdatesFailed            = metrics.NewCounter("shedhoist_news_failed_total")  // a peer's news that were asked for and did not arrive whole
	UpdatesBypassed          = metrics.NewCounter("shedhoist_news_doubted_total") // times at which an instance that goes by news asked the object store itself
	FirstToken               = metrics.NewHistogram("shedhoist_first_token_seconds")
	PredictionError          = metrics.NewHistogram("shedhoist_prediction_error_seconds") // of the first answer, either way
	BetweenTokens            = metrics.NewHistogram("shedhoist_between_tokens_seconds")
)

// PeerCallBytes counts what is written to peers by method, calls and answers.
func PeerCallBytes(method string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_peer_call_bytes_total{method=%q}`, method))
}

// SetGauge sets a gauge by its name.
func SetGauge(name string, value float64) { metrics.GetOrCreateGauge(name, nil).Set(value) }

// Write writes all metrics, the process's own included, as Prometheus text.
func Write(w io.Writer) { metrics.WritePrometheus(w, true) }

// Requests counts final answers by kind ("model", "service") and outcome.
func Requests(kind, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_requests_total{kind=%q,outcome=%q}`, kind, outcome))
}

// LimitRefusals counts requests refused by a customer's limit.
func LimitRefusals(customer, reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_limit_refusals_total{customer=%q,reason=%q}`, customer, reason))
}

// StoreErrors counts failed calls to a store.
func StoreErrors(store string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_store_errors_total{store=%q}`, store))
}

// Attempts counts how attempts at a target ended.
func Attempts(target, end string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`shedhoist_attempts_total{target=%q,end=%q}`, target, end))
}
