// Package target is the client for model engines and plain services. The protocol of the
// engines is specified in docs/STANDINS.md, section "engine".
package target

import "encoding/json"

// Headers of the engine protocol.
const (
	HeaderRequestID = "X-Request-Id"  // echoed in every response
	HeaderExecution = "X-Execution"   // "not-run" in a documented refusal
	HeaderDeadline  = "X-Deadline-Ms" // time left for the request
)

// ExecutionNotRun is the value of HeaderExecution in a documented refusal.
const ExecutionNotRun = "not-run"

// Extension is the member "shedhoist" of a run request. It holds parameters that the
// OpenAI request lacks.
type Extension struct {
	Version  string   `json:"weight_version"`
	Adapter  string   `json:"adapter,omitempty"`
	Priority int      `json:"priority"`
	Salt     string   `json:"cache_salt"`
	Keys     []string `json:"cache_keys,omitempty"`
	Import   *Import  `json:"import,omitempty"`
	Resume   string   `json:"resume_text,omitempty"` // continue after this text
}

// Import tells the engine where to fetch cached prefixes from before it computes. If no
// manifest is named and the engine lacks any of the keys, it looks for a manifest in the
// stores, in the given order.
type Import struct {
	Stores      []string `json:"stores"` // host:port; exactly one if Manifest is set
	Manifest    string   `json:"manifest,omitempty"`
	CoveredKeys int      `json:"covered,omitempty"` // number of leading keys worth fetching
}

// Usage holds the token counts of a run.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how many prompt tokens were not computed.
type PromptDetails struct {
	CachedTokens   int `json:"cached_tokens"`   // resident and restored
	RestoredTokens int `json:"restored_tokens"` // the part that was imported from a store
}

// Status is the status report of an engine. It lags behind the actual state.
type Status struct {
	Name         string   `json:"name"`
	Model        string   `json:"model"`
	Version      string   `json:"weight_version"` // "" if none is loaded
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
	Leaving      bool     `json:"leaving"`
	Loading      bool     `json:"loading"`
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	QueuedTokens int      `json:"queued_tokens"`
	AgeMS        float64  `json:"age_ms"`
	FencingToken uint64   `json:"fence"` // highest fencing token seen
	EventSeq     uint64   `json:"event_seq"`
}

// CacheEvent says that an engine added a cache key or removed one.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Key     string `json:"key"`
	Removed bool   `json:"removed,omitempty"`
}

// Events is a page of cache events. Consecutive events have consecutive Seq values; any
// other step means that events are missing.
type Events struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// OrderKind is the kind of an order. Orders are idempotent: they state the desired
// result, not a change.
type OrderKind string

// Order kinds.
const (
	OrderLoad        OrderKind = "load"         // load weight version Version
	OrderAdapter     OrderKind = "adapter"      // load adapter Adapter
	OrderDropAdapter OrderKind = "drop-adapter" // unload adapter Adapter
	OrderRole        OrderKind = "role"         // assume role Role
)

// Order is an order to an engine.
type Order struct {
	Kind         OrderKind `json:"kind"`
	Version      string    `json:"weight_version,omitempty"`
	Adapter      string    `json:"adapter,omitempty"`
	Role         string    `json:"role,omitempty"`
	FencingToken uint64    `json:"fence"` // fencing token of the lease
}

// Export asks an engine to write a chain of cache blocks to a store: the pieces first,
// the manifest last.
type Export struct {
	Store   string   `json:"store"`
	Version string   `json:"weight_version"`
	Adapter string   `json:"adapter,omitempty"`
	Salt    string   `json:"cache_salt"`
	Keys    []string `json:"cache_keys"`
}

// ExportResult says how much of the chain is now saved.
type ExportResult struct {
	SavedKeys int   `json:"kept"`  // number of leading keys that the manifest covers
	Bytes     int64 `json:"bytes"` // written to the store
}

// encode marshals a wire type of this package, which can't fail.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // only unsupported types fail, and wire types have none
	}
	return data
}
