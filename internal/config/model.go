// Package config holds what operators declare: customers, models, targets,
// services, stores, operators and policy. A directory of TOML files is one
// Bundle; a bundle is put in force whole, as a generation, or not at all.
package config

// Bundle is everything that operators declare.
type Bundle struct {
	Customers []Customer `toml:"customer" json:"customers" validate:"dive"`
	Models    []Model    `toml:"model" json:"models" validate:"dive"`
	Targets   []Target   `toml:"target" json:"targets" validate:"dive"`
	Services  []Service  `toml:"service" json:"services" validate:"dive"`
	Stores    []Store    `toml:"store" json:"stores" validate:"dive"`
	Operators []Operator `toml:"operator" json:"operators" validate:"dive"`
	Policy    *Policy    `toml:"policy" json:"policy,omitempty"`
}

// Customer is one organisation that sends requests. Customers distrust one another.
type Customer struct {
	Name string `toml:"name" json:"name" validate:"name"`
	// KeyHashes are SHA-256 hashes of the customer's bearer keys, in
	// hexadecimal. Several may be valid at once, for rotation.
	KeyHashes []string `toml:"key_sha256" json:"key_sha256" validate:"min=1,dive,len=64,hexadecimal"`
	// Secret seeds the customer's cache keys: 32 bytes in hexadecimal.
	Secret   string   `toml:"isolation_secret" json:"isolation_secret" validate:"len=64,hexadecimal"`
	Priority int      `toml:"priority" json:"priority" validate:"min=0,max=9"` // 0 is served first
	Weight   float64  `toml:"weight" json:"weight" validate:"min=0"`           // share among equals; 0 means 1
	Models   []string `toml:"models" json:"models"`
	Services []string `toml:"services" json:"services"`
	Limits   Limits   `toml:"limits" json:"limits"`
}

// Limits bound one customer over the whole fleet. 0 means no limit.
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
	// PrefillUS is the planning time to compute one prompt token, in microseconds.
	PrefillUS float64 `toml:"prefill_us_per_token" json:"prefill_us_per_token" validate:"min=0"`
	// KVBytes is the size of one token's cache, in bytes.
	KVBytes int `toml:"kv_bytes_per_token" json:"kv_bytes_per_token" validate:"min=0"`
	// FirstTokenMS is the longest predicted time to the first token with which
	// a request of priority 0 is taken up, in milliseconds; 0 is no bound.
	// Each step of priority takes a twentieth off, so that what is served last
	// is refused first.
	FirstTokenMS float64 `toml:"first_token_ms" json:"first_token_ms,omitempty" validate:"min=0"`
	// DeadlineMS bounds one request from its arrival, in milliseconds.
	DeadlineMS int `toml:"deadline_ms" json:"deadline_ms" validate:"min=0"`
}

// Adapter is a small set of weights over a model, called as "model:adapter".
type Adapter struct {
	Name string `toml:"name" json:"name" validate:"name"`
}

// Target is one model engine.
type Target struct {
	Name    string `toml:"name" json:"name" validate:"name"`
	Address string `toml:"address" json:"address" validate:"address"`
	Zone    string `toml:"zone" json:"zone" validate:"name"`
	Model   string `toml:"model" json:"model" validate:"name"`
	Fenced  bool   `toml:"checks_fencing_token" json:"checks_fencing_token"`
	// Slots is how many runs the engine batches at once; 0 means DefaultSlots.
	Slots int `toml:"slots" json:"slots" validate:"min=0"`
}

// DefaultSlots is the batch size assumed of a target that declares none.
const DefaultSlots = 16

// Service is a plain HTTP service beside the models.
type Service struct {
	Name      string            `toml:"name" json:"name" validate:"name"`
	Instances []ServiceInstance `toml:"instance" json:"instances" validate:"min=1,dive"`
	// EchoesID says that every answer carries the request's X-Request-Id.
	// Only then are connections to the service used again.
	EchoesID  bool    `toml:"echoes_request_id" json:"echoes_request_id"`
	Routes    []Route `toml:"route" json:"routes" validate:"dive"`
	TimeoutMS int     `toml:"timeout_ms" json:"timeout_ms" validate:"min=0"`
}

// ServiceInstance is one machine that runs the service.
type ServiceInstance struct {
	Name    string `toml:"name" json:"name" validate:"name"`
	Address string `toml:"address" json:"address" validate:"address"`
	Zone    string `toml:"zone" json:"zone" validate:"name"`
}

// Route says how one path prefix of a service may be treated. What no route
// names is not idempotent.
type Route struct {
	Path       string   `toml:"path" json:"path" validate:"startswith=/"`
	Methods    []string `toml:"methods" json:"methods" validate:"dive,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	Idempotent bool     `toml:"idempotent" json:"idempotent"`
}

// Store is one store instance that keeps cache outside accelerators.
type Store struct {
	Name       string `toml:"name" json:"name" validate:"name"`
	Address    string `toml:"address" json:"address" validate:"address"`
	Zone       string `toml:"zone" json:"zone" validate:"name"`
	MemoryMB   int    `toml:"memory_mb" json:"memory_mb" validate:"min=0"`
	DiskMB     int    `toml:"disk_mb" json:"disk_mb" validate:"min=0"`
	MemoryMBps int    `toml:"memory_link_mb_per_second" json:"memory_link_mb_per_second" validate:"min=0"`
	DiskMBps   int    `toml:"disk_link_mb_per_second" json:"disk_link_mb_per_second" validate:"min=0"`
}

// Operator may read the operators' endpoints, or change the configuration.
type Operator struct {
	Name      string   `toml:"name" json:"name" validate:"name"`
	KeyHashes []string `toml:"key_sha256" json:"key_sha256" validate:"min=1,dive,len=64,hexadecimal"`
}

// Policy is the set of dials of routing and retries.
type Policy struct {
	// RecomputeWeight is the price of one recomputed prompt token in
	// milliseconds of first token: near 0 favours latency, higher values
	// favour the recomputed share.
	RecomputeWeight float64 `toml:"recompute_weight_ms_per_token" json:"recompute_weight_ms_per_token" validate:"min=0"`
	// Router is "" for the predicted cost, or a baseline to compare with.
	Router string `toml:"router" json:"router,omitempty" validate:"omitempty,oneof=round-robin least-load affinity oracle"`
	// NoStores keeps no cache in stores and restores none.
	NoStores bool `toml:"no_stores" json:"no_stores,omitempty"`
	// Candidates is how many homes a prompt's root has; 0 means DefaultCandidates.
	Candidates int `toml:"candidates" json:"candidates" validate:"min=0,max=64"`
	// KeepTokens is the shortest prefix worth keeping in a store; 0 means DefaultKeepTokens.
	KeepTokens int `toml:"keep_min_tokens" json:"keep_min_tokens" validate:"min=0"`
	// MaxAttempts bounds the attempts of one request; 0 means DefaultAttempts.
	MaxAttempts int `toml:"max_attempts" json:"max_attempts" validate:"min=0,max=10"`
	// MinReady is the share of a model's targets that a rollout leaves ready;
	// 0 means DefaultMinReady.
	MinReady float64 `toml:"rollout_min_ready" json:"rollout_min_ready,omitempty" validate:"min=0,max=1"`
	// RetryShare is the share of requests that may be retried; 0 means DefaultRetryShare.
	RetryShare float64 `toml:"retry_share" json:"retry_share" validate:"min=0,max=1"`
}

// Policy defaults.
const (
	DefaultCandidates = 3
	DefaultKeepTokens = 2048
	DefaultAttempts   = 3
	DefaultRetryShare = 0.1
	DefaultMinReady   = 0.75
	DefaultDeadlineMS = 60_000
	DefaultPrefillUS  = 50
	DefaultKVBytes    = 2048
)

// PolicyOrDefault returns the dials with defaults filled in.
func (b *Bundle) PolicyOrDefault() Policy {
	var p Policy
	if b.Policy != nil {
		p = *b.Policy
	}
	if p.Candidates == 0 {
		p.Candidates = DefaultCandidates
	}
	if p.KeepTokens == 0 {
		p.KeepTokens = DefaultKeepTokens
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = DefaultAttempts
	}
	if p.MinReady == 0 {
		p.MinReady = DefaultMinReady
	}
	if p.RetryShare == 0 {
		p.RetryShare = DefaultRetryShare
	}
	return p
}
