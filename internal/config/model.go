// Package config holds the operators' configuration: customers, models,
// targets, services, stores, operators and policy. A directory of TOML files
// forms one Bundle. A bundle takes effect atomically, as a new generation.
package config

// Bundle is the complete configuration of a fleet.
type Bundle struct {
	Customers []Customer `toml:"customer" json:"customers" validate:"dive"`
	Models    []Model    `toml:"model" json:"models" validate:"dive"`
	Targets   []Target   `toml:"target" json:"targets" validate:"dive"`
	Services  []Service  `toml:"service" json:"services" validate:"dive"`
	Stores    []Store    `toml:"store" json:"stores" validate:"dive"`
	Operators []Operator `toml:"operator" json:"operators" validate:"dive"`
	Policy    *Policy    `toml:"policy" json:"policy,omitempty"`
}

// Customer is one organisation that sends requests. Customers are isolated
// from one another because they do not trust each other.
type Customer struct {
	Name string `toml:"name" json:"name" validate:"name"`
	// KeyHashes are SHA-256 hashes of the customer's bearer keys, in
	// hexadecimal. Several may be valid at once, for rotation.
	KeyHashes []string `toml:"key_sha256" json:"key_sha256" validate:"min=1,dive,len=64,hexadecimal"`
	// Secret is mixed into the customer's cache keys: 32 bytes in hexadecimal.
	Secret   string   `toml:"isolation_secret" json:"isolation_secret" validate:"len=64,hexadecimal"`
	Priority int      `toml:"priority" json:"priority" validate:"min=0,max=9"` // 0 is served first
	Weight   float64  `toml:"weight" json:"weight" validate:"min=0"`           // relative share among customers of equal priority; 0 means 1
	Models   []string `toml:"models" json:"models"`
	Services []string `toml:"services" json:"services"`
	Limits   Limits   `toml:"limits" json:"limits"`
}

// Limits are one customer's limits across the whole fleet. 0 means no limit.
type Limits struct {
	Requests        float64 `toml:"requests_per_second" json:"requests_per_second" validate:"min=0"`
	PromptTokens    float64 `toml:"prompt_tokens_per_second" json:"prompt_tokens_per_second" validate:"min=0"`
	GeneratedTokens float64 `toml:"generated_tokens_per_second" json:"generated_tokens_per_second" validate:"min=0"`
	Concurrency     int     `toml:"concurrency" json:"concurrency" validate:"min=0"`
}

// Model is one language model, its weight versions and its adapters.
type Model struct {
	Name string `toml:"name" json:"name" validate:"name"`
	// Version is the weight version that new requests use.
	Version         string    `toml:"version" json:"version" validate:"name"`
	Versions        []string  `toml:"versions" json:"versions" validate:"min=1,dive,name"`
	Adapters        []Adapter `toml:"adapter" json:"adapters" validate:"dive"`
	MaxPromptTokens int       `toml:"max_prompt_tokens" json:"max_prompt_tokens" validate:"min=0"`
	// PrefillUSPerToken is the assumed time to compute one prompt token, in
	// microseconds.
	PrefillUSPerToken float64 `toml:"prefill_us_per_token" json:"prefill_us_per_token" validate:"min=0"`
	// KVBytesPerToken is the size of one token's KV cache, in bytes.
	KVBytesPerToken int `toml:"kv_bytes_per_token" json:"kv_bytes_per_token" validate:"min=0"`
	// MaxFirstTokenMS is the longest predicted time to the first token at which
	// a request of priority 0 is admitted, in milliseconds; 0 means no limit.
	// Each priority step lowers the limit by a twentieth, so that requests that
	// are served last are rejected first.
	MaxFirstTokenMS float64 `toml:"first_token_ms" json:"first_token_ms,omitempty" validate:"min=0"`
	// DeadlineMS is the time limit of a request from its arrival, in milliseconds.
	DeadlineMS int `toml:"deadline_ms" json:"deadline_ms" validate:"min=0"`
}

// Adapter is a small set of weights applied on top of a model. Requests select
// it as "model:adapter".
type Adapter struct {
	Name string `toml:"name" json:"name" validate:"name"`
}

// Target is one model engine.
type Target struct {
	Name               string `toml:"name" json:"name" validate:"name"`
	Address            string `toml:"address" json:"address" validate:"address"`
	Zone               string `toml:"zone" json:"zone" validate:"name"`
	Model              string `toml:"model" json:"model" validate:"name"`
	ChecksFencingToken bool   `toml:"checks_fencing_token" json:"checks_fencing_token"`
	// Slots is the engine's batch size, in requests; 0 means DefaultSlots.
	Slots int `toml:"slots" json:"slots" validate:"min=0"`
}

// DefaultSlots is the batch size assumed of a target that declares none.
const DefaultSlots = 16

// Service is an HTTP service that is not a model.
type Service struct {
	Name      string            `toml:"name" json:"name" validate:"name"`
	Instances []ServiceInstance `toml:"instance" json:"instances" validate:"min=1,dive"`
	// EchoesRequestID states that every response carries the request's
	// X-Request-Id. Connections to the service are reused only in that case.
	EchoesRequestID bool    `toml:"echoes_request_id" json:"echoes_request_id"`
	Routes          []Route `toml:"route" json:"routes" validate:"dive"`
	TimeoutMS       int     `toml:"timeout_ms" json:"timeout_ms" validate:"min=0"`
}

// ServiceInstance is one machine that runs the service.
type ServiceInstance struct {
	Name    string `toml:"name" json:"name" validate:"name"`
	Address string `toml:"address" json:"address" validate:"address"`
	Zone    string `toml:"zone" json:"zone" validate:"name"`
}

// Route states whether requests with a path prefix of a service are idempotent.
// Requests that match no route are not.
type Route struct {
	Path       string   `toml:"path" json:"path" validate:"startswith=/"`
	Methods    []string `toml:"methods" json:"methods" validate:"dive,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	Idempotent bool     `toml:"idempotent" json:"idempotent"`
}

// Store is one instance of the cache store, which holds KV cache outside the
// accelerators.
type Store struct {
	Name       string `toml:"name" json:"name" validate:"name"`
	Address    string `toml:"address" json:"address" validate:"address"`
	Zone       string `toml:"zone" json:"zone" validate:"name"`
	MemoryMB   int    `toml:"memory_mb" json:"memory_mb" validate:"min=0"`
	DiskMB     int    `toml:"disk_mb" json:"disk_mb" validate:"min=0"`
	MemoryMBps int    `toml:"memory_link_mb_per_second" json:"memory_link_mb_per_second" validate:"min=0"`
	DiskMBps   int    `toml:"disk_link_mb_per_second" json:"disk_link_mb_per_second" validate:"min=0"`
}

// Operator is a person or program that may use the operators' endpoints and
// change the configuration.
type Operator struct {
	Name      string   `toml:"name" json:"name" validate:"name"`
	KeyHashes []string `toml:"key_sha256" json:"key_sha256" validate:"min=1,dive,len=64,hexadecimal"`
}

// Policy holds the parameters of routing and retries.
type Policy struct {
	// RecomputeWeight is the cost of one recomputed prompt token, expressed in
	// milliseconds of time to the first token. Values near 0 favour latency,
	// higher values favour a low share of recomputed tokens.
	RecomputeWeight float64 `toml:"recompute_weight_ms_per_token" json:"recompute_weight_ms_per_token" validate:"min=0"`
	// Router is "" for routing by predicted cost, or the name of a baseline
	// algorithm to compare it with.
	Router string `toml:"router" json:"router,omitempty" validate:"omitempty,oneof=round-robin least-load affinity oracle"`
	// NoStores disables saving cache to stores and restoring it from them.
	NoStores bool `toml:"no_stores" json:"no_stores,omitempty"`
	// Candidates is the number of preferred targets of a prompt's root; 0 means
	// DefaultCandidates.
	Candidates int `toml:"candidates" json:"candidates" validate:"min=0,max=64"`
	// MinSaveTokens is the shortest prefix saved to a store, in tokens; 0 means
	// DefaultMinSaveTokens.
	MinSaveTokens int `toml:"keep_min_tokens" json:"keep_min_tokens" validate:"min=0"`
	// MaxAttempts is the maximum number of attempts per request; 0 means
	// DefaultMaxAttempts.
	MaxAttempts int `toml:"max_attempts" json:"max_attempts" validate:"min=0,max=10"`
	// MinReady is the share of a model's targets that must stay ready during a
	// rollout; 0 means DefaultMinReady.
	MinReady float64 `toml:"rollout_min_ready" json:"rollout_min_ready,omitempty" validate:"min=0,max=1"`
	// RetryShare is the maximum ratio of retries to requests; 0 means
	// DefaultRetryShare.
	RetryShare float64 `toml:"retry_share" json:"retry_share" validate:"min=0,max=1"`
}

// Defaults for fields of Policy and Model that are 0.
const (
	DefaultCandidates        = 3
	DefaultMinSaveTokens     = 2048
	DefaultMaxAttempts       = 3
	DefaultRetryShare        = 0.1
	DefaultMinReady          = 0.75
	DefaultDeadlineMS        = 60_000
	DefaultPrefillUSPerToken = 50
	DefaultKVBytesPerToken   = 2048
)

// PolicyOrDefault returns the bundle's policy with defaults filled in.
func (b *Bundle) PolicyOrDefault() Policy {
	var p Policy
	if b.Policy != nil {
		p = *b.Policy
	}
	if p.Candidates == 0 {
		p.Candidates = DefaultCandidates
	}
	if p.MinSaveTokens == 0 {
		p.MinSaveTokens = DefaultMinSaveTokens
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = DefaultMaxAttempts
	}
	if p.MinReady == 0 {
		p.MinReady = DefaultMinReady
	}
	if p.RetryShare == 0 {
		p.RetryShare = DefaultRetryShare
	}
	return p
}
