package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/cachestore"
)

// Codec is the dialect of callers, servers and operators. It translates and
// decides nothing.
type Codec interface {
	// Kinds names the kinds of objects that are followed.
	Kinds() (config, targets, versions string)
	// EvacuationsKind names the kind whose objects evacuate the zones of their names. It is
	// asked for only where operators evacuate zones.
	EvacuationsKind() string
	// ConfigName names the one object of its kind that holds the configuration.
	ConfigName() string
	// Config, Target and DecodeNamedVersion decode an object's value.
	DecodeConfig(value []byte) (*catalog.Config, error)
	DecodeTarget(name string, value []byte) (catalog.Target, error)
	DecodeNamedVersion(name string, value []byte) (catalog.ModelVersion, error)

	// ParseRequest decodes a caller's header.
	ParseRequest(h http.Header) (CallerRequest, error)
	// ForwardHeader is the header of an attempt at a target: the caller's, without
	// what concerns its connection and what only we may set.
	ForwardHeader(in http.Header, a Attempt) http.Header
	// ParseResponse decodes a target's answer.
	ParseResponse(status int, h http.Header) TargetResponse
	// CallerResponseHeader is a target's header as the caller gets it.
	CallerResponseHeader(in http.Header) http.Header
	// ProblemHeader completes the header of an answer of our own.
	ProblemHeader(h http.Header, id string, retryAfter time.Duration)
}

// CallerRequest is what a caller's header says.
type CallerRequest struct {
	ID          string
	APIKey      string
	Timeout     time.Duration // how long the caller waits; 0: not said
	LastEventID string        // the caller goes on behind this event of a broken stream
	Prompt      *Prompt       // nil: a plain request
}

// Prompt describes a model request.
type Prompt struct {
	Model     string
	Tokens    int
	MaxOutput int
	Parts     []Part // in order; the last is the request's own
}

// memoryTokens is how much of a target's memory the request will keep while it runs, in tokens:
// its prompt, and half of the longest answer, since callers ask for twice what most get.
// 0 for a plain request.
func (c *CallerRequest) memoryTokens() int {
	if c.Prompt == nil {
		return 0
	}
	return c.Prompt.Tokens + c.Prompt.MaxOutput/2
}

// Part is one part of a prompt. Equal ids are equal text.
type Part struct {
	ID     string
	Tokens int
}

// Attempt is what a target is told beyond the caller's words.
type Attempt struct {
	Target      string // name of the one that is meant
	Customer    string // "": none
	Remaining   time.Duration
	LastEventID string // go on behind this event
	Model       *ModelAttempt
}

// ModelAttempt is the part of an Attempt that only model servers read.
type ModelAttempt struct {
	Priority     int // 0 is the most urgent
	Version      uint64
	Salt         string
	Cache        []PartPlan // one for each part; empty: nothing to fetch or keep
	FetchUntilMS int64      // on the servers' clock: a fetch not done by then is given up
}

// PartPlan says where one part comes from and where it is kept.
type PartPlan struct {
	FetchFrom   string // address; "": nowhere
	FetchTokens int
	SaveTo      string // address; "": nowhere
}

// TargetResponse is what the header of a target's answer says.
type TargetResponse struct {
	ID               string
	Signed           bool // the target vouches for it as an answer to a request
	NotExecuted      bool // the request did not run and never will
	Misdirected      bool // another incarnation, or other weights, than meant
	Encoded          bool // something on the way changed the body's encoding
	WeightVersion    uint64
	RetryAfter       time.Duration
	KeepAliveTimeout time.Duration // how long the target keeps an unused connection; 0: not said
	Notice           Notice
}

// Notice is what a target says of itself in the header of any answer.
type Notice struct {
	Leaving bool          // it takes no new requests
	Backoff time.Duration // it turned this instance away, and wants no requests from it for so long; 0: not said
}

// Engines makes the calls to targets and cache stores that are not callers'
// requests. Failures are *CallError.
type Engines interface {
	Report(ctx context.Context, address, id string) (Report, error)
	// Load orders weights; nil means that the order was accepted or holds already. The word is
	// what the target says of itself; that of a refusal is in the CallError.
	Load(ctx context.Context, o LoadOrder) (Notice, error)
	// CacheEvents returns the events from since on, waiting for some.
	CacheEvents(ctx context.Context, address string, since uint64, wait time.Duration) (CacheEvents, error)
	CacheList(ctx context.Context, address string) (CacheList, error)
	// Free frees parts, if the store still is in the epoch and its clock has not
	// passed untilMS.
	Free(ctx context.Context, address string, epoch uint64, untilMS int64, parts []cachestore.Key) error
}

// Report is a target's own word of its state; it lags some hundred ms.
type Report struct {
	Start           int64 // of the life that answers, Unix ms by the target's clock; 0: not told
	Models          []catalog.ModelVersion
	OrderInProgress bool   // an order is being carried out
	OrderSeq        uint64 // orders accepted since the start
	Queued, Running int
	Notice          Notice
}

// LoadOrder asks a target for a weight version.
type LoadOrder struct {
	Target, Address string
	Model           string
	Version         uint64
	Holder          string
	Token           uint64 // fencing token
	ExpectedSeq     uint64 // the order is void if the target has accepted others since
	InterruptRuns   bool   // break the model's runs off instead of waiting for their ends
}

// CacheEvents is a page of events of what a store holds.
type CacheEvents struct {
	Epoch   uint64
	Next    uint64
	Gap     bool // some of the events up to Next are left out
	ClockMS float64
	Events  []cachestore.Event
	// Unreadable is how many events can't be read and are left out; Gap is true then.
	Unreadable int
}

// CacheList is all that a store holds.
type CacheList struct {
	Epoch   uint64
	Next    uint64
	ClockMS float64
	Held    []cachestore.StoredPart
	Partial []cachestore.StoredPart // not complete, but taking space
	// Unreadable is how many parts can't be read and are left out.
	Unreadable int
}

// CallError says that a call to a target or a store failed.
type CallError struct {
	Address string
	Call    string
	Status  int // 0: no answer
	Notice  Notice
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	msg := e.Address + ": " + e.Call + " failed"
	if e.Status != 0 {
		msg += " with status " + strconv.Itoa(e.Status)
	}
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return msg
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
