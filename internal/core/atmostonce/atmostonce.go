// Package atmostonce implements the at-most-once ledger for requests that must not
// be executed twice. It is a pure state machine, one per partition.
//
// A claim is stored durably before its request is dispatched; the outcome is
// stored afterwards. All claims of a partition form one chain, which changes only
// by conditional writes of a single object, the tip. An instance that holds the
// current version of the tip knows the whole chain, so a claim that it appends is
// unique; an instance that was paused or replaced holds an outdated version and
// its write fails. Therefore no lease is needed: the owner of a partition only
// serves to batch its claims.
//
// The caller submits claims and outcomes, gets a due write from BeginWrite,
// carries it out, and reports the result with WriteSucceeded or WriteFailed.
package atmostonce

import "github.com/fxamacker/cbor/v2"

// ID identifies a claim: a hash of customer and idempotency key.
type ID [16]byte

// Nonce distinguishes claims of the same ID made by different dispatches, and writes of
// the same tip.
type Nonce [8]byte

// Outcome is a stored response. If the body exceeds MaxOutcomeBytes, Body is empty
// and Truncated is set.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Truncated   bool   `cbor:"4,keyasint,omitempty"`
	Void        bool   `cbor:"5,keyasint,omitempty"` // the request was certainly not dispatched: the ID can be claimed again
}

// MaxOutcomeBytes is the largest body that is stored with an outcome.
const MaxOutcomeBytes = 4096

// Entry is a claim in the chain, or the outcome of a claim that precedes it.
type Entry struct {
	ID          ID       `cbor:"1,keyasint"`
	Nonce       Nonce    `cbor:"2,keyasint"`
	RequestHash uint64   `cbor:"3,keyasint"` // hash of method, path and body
	ClaimedAt   int64    `cbor:"4,keyasint"` // Unix seconds
	Outcome     *Outcome `cbor:"5,keyasint,omitempty"`
}

// Segment references a full part of the chain that was moved out of the tip into
// an object of its own.
type Segment struct {
	Key      string `cbor:"1,keyasint"`
	NewestAt int64  `cbor:"2,keyasint"` // Unix seconds: no entry of the segment is newer
}

// Tip is the object of a partition that is written conditionally. It holds the
// newest entries and the list of segments before them.
type Tip struct {
	Segments  []Segment `cbor:"1,keyasint"`
	Entries   []Entry   `cbor:"2,keyasint"`
	LastBatch Nonce     `cbor:"3,keyasint"` // nonce of the write that stored this tip
}

// CodecError reports that a tip or segment cannot be encoded or decoded.
type CodecError struct{ Cause error }

// Error implements error.
func (e *CodecError) Error() string {
	return "at-most-once ledger: encoding or decoding failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Cause }

// decMode takes text that is not UTF-8: a service's Content-Type is stored as it came.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// DecodeTip parses a stored tip. Empty data stands for an empty chain.
func DecodeTip(data []byte) (Tip, error) {
	var t Tip
	if len(data) == 0 {
		return t, nil
	}
	if err := decMode.Unmarshal(data, &t); err != nil {
		return Tip{}, &CodecError{Cause: err}
	}
	return t, nil
}

// DecodeSegment parses a stored segment.
func DecodeSegment(data []byte) ([]Entry, error) {
	var out []Entry
	if err := decMode.Unmarshal(data, &out); err != nil {
		return nil, &CodecError{Cause: err}
	}
	return out, nil
}
