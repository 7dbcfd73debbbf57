// Package target is the edge towards model engines and plain services. The
// engines' dialect stands in docs/STANDINS.md, "engine".
package target

import "encoding/json"

// Headers of the dialect.
const (
	HeaderRequestID = "X-Request-Id"  // echoed on every answer
	HeaderExecution = "X-Execution"   // "not-run" on a documented refusal
	HeaderDeadline  = "X-Deadline-Ms" // time left for the request
)

// ExecutionNotRun is the value of HeaderExecution on a documented refusal.
const ExecutionNotRun = "not-run"

// Extension is the member "shedhoist" of a run request: what an engine must
// know beyond the OpenAI request.
type Extension struct {
	Version  string   `json:"weight_version"`
	Adapter  string   `json:"adapter,omitempty"`
	Priority int      `json:"priority"`
	Salt     string   `json:"cache_salt"`
	Keys     []string `json:"cache_keys,omitempty"`
	Import   *Import  `json:"import,omitempty"`
	Resume   string   `json:"resume_text,omitempty"` // continue behind this text
}

// Import tells the engine where to fetch cache from before it computes.
// Without a manifest the engine, if it lacks any of the keys, looks for one in
// the stores, in their order.
type Import struct {
	Stores      []string `json:"stores"` // host:port; one, if a manifest is named
	Manifest    string   `json:"manifest,omitempty"`
	CoveredKeys int      `json:"covered,omitempty"` // leading keys worth fetching
}

// Usage is the count of tokens of a run.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of the prompt was not computed.
type PromptDetails struct {
	CachedTokens   int `json:"cached_tokens"`   // resident plus restored
	RestoredTokens int `json:"restored_tokens"` // of these, imported from a store
}

// Status is an engine's report of itself; it lags.
type Status struct {
	Name         string   `json:"name"`
	Model        string   `json:"model"`
	Version      string   `json:"weight_version"` // "" while none is loaded
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

// CacheEvent says that an engine now holds, or no longer holds, a key.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Key     string `json:"key"`
	Removed bool   `json:"removed,omitempty"`
}

// Events is a page of cache events. A Seq that is not the one before plus one
// marks a gap.
type Events struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// OrderKind is what an order asks for. Orders are absolute: to give one twice
// changes nothing.
type OrderKind string

// Order kinds.
const (
	OrderLoad        OrderKind = "load"         // be at weight version Version
	OrderAdapter     OrderKind = "adapter"      // have adapter Adapter
	OrderDropAdapter OrderKind = "drop-adapter" // not have adapter Adapter
	OrderRole        OrderKind = "role"         // have role Role
)

// Order is one order to an engine.
type Order struct {
	Kind         OrderKind `json:"kind"`
	Version      string    `json:"weight_version,omitempty"`
	Adapter      string    `json:"adapter,omitempty"`
	Role         string    `json:"role,omitempty"`
	FencingToken uint64    `json:"fence"` // fencing token of the lease it is given under
}

// Export asks an engine to write the cache of a chain to a store: pieces
// first, manifest last.
type Export struct {
	Store   string   `json:"store"`
	Version string   `json:"weight_version"`
	Adapter string   `json:"adapter,omitempty"`
	Salt    string   `json:"cache_salt"`
	Keys    []string `json:"cache_keys"`
}

// ExportResult says how much of the chain is now kept.
type ExportResult struct {
	SavedKeys int   `json:"kept"`  // leading keys below the manifest
	Bytes     int64 `json:"bytes"` // written to the store
}

// encode marshals a value of this package; its types always marshal.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // only unsupported types fail, and wire types have none
	}
	return data
}
