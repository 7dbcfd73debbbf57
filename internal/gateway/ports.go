package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/cachestore"
)

// Codec translates the headers of callers and targets and the objects of operators to and from
// the types of this package. It makes no decisions.
type Codec interface {
	// Kinds returns the names of the kinds of objects that are watched.
	Kinds() (config, targets, versions string)
	// EvacuationsKind returns the name of the kind in which each object evacuates the zone of the
	// same name. It is called only where operators evacuate zones.
	EvacuationsKind() string
	// ConfigName returns the name of the one object of its kind that holds the configuration.
	ConfigName() string
	// DecodeConfig, DecodeTarget and DecodeNamedVersion decode an object's value.
	DecodeConfig(value []byte) (*catalog.Config, error)
	DecodeTarget(name string, value []byte) (catalog.Target, error)
	DecodeNamedVersion(name string, value []byte) (catalog.ModelVersion, error)

	// ParseRequest decodes the header of a caller's request.
	ParseRequest(h http.Header) (CallerRequest, error)
	// ForwardHeader returns the header of an attempt at a target: the caller's, without
	// hop-by-hop fields and fields that only the gateway may set, plus those of the attempt.
	ForwardHeader(in http.Header, a Attempt) http.Header
	// ParseResponse decodes the header of a target's response.
	ParseResponse(status int, h http.Header) TargetResponse
	// CallerResponseHeader returns the header of a target's response as sent to the caller.
	CallerResponseHeader(in http.Header) http.Header
	// ProblemHeader completes the header of a problem response of the gateway itself.
	ProblemHeader(h http.Header, id string, retryAfter time.Duration)
}

// CallerRequest is the decoded header of a caller's request.
type CallerRequest struct {
	ID          string
	APIKey      string
	Timeout     time.Duration // how long the caller waits; 0: not specified
	LastEventID string        // the caller resumes a broken stream after this event
	Resumes     string        // ID of the request that brought the first event of that stream
	Prompt      *Prompt       // nil: a plain request
}

// Prompt describes a model request.
type Prompt struct {
	Model     string
	Tokens    int
	MaxOutput int
	Parts     []Part // in order; the last is the request's own
}

// memoryTokens returns how much of a target's memory the request occupies while it runs, in tokens:
// its prompt and half of the maximum output, since callers request twice what most receive.
// It is 0 for a plain request.
func (c *CallerRequest) memoryTokens() int {
	if c.Prompt == nil {
		return 0
	}
	return c.Prompt.Tokens + c.Prompt.MaxOutput/2
}

// Part is one part of a prompt. Parts with equal IDs have equal text.
type Part struct {
	ID     string
	Tokens int
}

// Attempt is what an attempt adds to the caller's header.
type Attempt struct {
	Target      string // name of the intended target
	Customer    string // "": none
	Remaining   time.Duration
	LastEventID string // resume the stream after this event
	Model       *ModelAttempt
}

// ModelAttempt is the part of an Attempt that only model servers read.
type ModelAttempt struct {
	Priority     int // 0 is the most urgent
	Version      uint64
	Salt         string
	Cache        []PartPlan // one for each part; empty: nothing to fetch or save
	FetchUntilMS int64      // on the servers' clock: a fetch not done by then is abandoned
}

// PartPlan says from where one part's cache is fetched and where it is saved.
type PartPlan struct {
	FetchFrom   string // address; "": nowhere
	FetchTokens int
	SaveTo      string // address; "": nowhere
}

// TargetResponse is the decoded header of a target's response.
type TargetResponse struct {
	ID               string
	Signed           bool // the target confirms it as a response to a request
	NotExecuted      bool // the request did not run and never will
	Misdirected      bool // another incarnation, or other weights, than meant
	Encoded          bool // an intermediary changed the body's encoding
	WeightVersion    uint64
	RetryAfter       time.Duration
	KeepAliveTimeout time.Duration // how long the target keeps an idle connection open; 0: not specified
	Notice           Notice
}

// Notice is what a target announces about itself in the header of any response.
type Notice struct {
	Leaving bool          // it accepts no new requests
	Backoff time.Duration // it refused this instance and requests no requests from it for so long; 0: none requested
	// Brittle is how many requests a second it can turn away, those of all instances together, before it
	// falls over; 0: it is not brittle.
	Brittle int
	Limit   RateLimit
}

// RateLimit is how many requests a second a target takes from all instances together. The zero value says
// that it names no limit.
type RateLimit struct {
	Named     bool
	PerSecond float64 // not negative; below 1: one request in more than a second
}

// Engines makes the calls to targets and cache stores that are not callers'
// requests. Failures are *CallError.
type Engines interface {
	// Report requests a target's report.
	Report(ctx context.Context, address, id string) (Report, error)
	// Load orders a target to load weights; nil means that the order was accepted or is already
	// fulfilled. The notice is that of the response; the notice of a refusal is in the CallError.
	Load(ctx context.Context, o LoadOrder) (Notice, error)
	// CacheEvents returns the events from since on, and waits for some if there are none yet.
	CacheEvents(ctx context.Context, address string, since uint64, wait time.Duration) (CacheEvents, error)
	// CacheList lists all parts in a store.
	CacheList(ctx context.Context, address string) (CacheList, error)
	// Free frees parts if the store is still in the epoch and its clock has not
	// passed untilMS.
	Free(ctx context.Context, address string, epoch uint64, untilMS int64, parts []cachestore.Key) error
}

// Report is a target's report of its own state; it lags by some hundred ms.
type Report struct {
	Start           int64 // of the incarnation that responds, Unix ms by the target's clock; 0: not specified
	Models          []catalog.ModelVersion
	OrderInProgress bool   // an order is being carried out
	OrderSeq        uint64 // number of orders accepted since the start
	Queued, Running int
	Notice          Notice
}

// LoadOrder orders a target to load a weight version.
type LoadOrder struct {
	Target, Address string
	Model           string
	Version         uint64
	Holder          string
	Token           uint64 // fencing token
	ExpectedSeq     uint64 // the order is void if the target's OrderSeq differs
	InterruptRuns   bool   // interrupt the model's running requests instead of waiting for them
}

// CacheEvents is a page of events about a store's contents.
type CacheEvents struct {
	Epoch   uint64
	Next    uint64
	Gap     bool // some of the events up to Next are missing
	ClockMS float64
	Events  []cachestore.Event
	// Unreadable is the number of events that can't be decoded and are missing; Gap is true then.
	Unreadable int
}

// CacheList is the complete contents of a store.
type CacheList struct {
	Epoch   uint64
	Next    uint64
	ClockMS float64
	Held    []cachestore.StoredPart
	Partial []cachestore.StoredPart // incomplete, but taking up space
	// Unreadable is the number of parts that can't be decoded and are missing.
	Unreadable int
}

// CallError says that a call to a target or a store failed.
type CallError struct {
	Address string
	Call    string
	Status  int // 0: no response
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
