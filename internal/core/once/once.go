// Package once is the at-most-once ledger of requests that may not be
// repeated, as a pure state machine for each partition.
//
// A claim is made durable before its request is dispatched; the outcome
// follows. All claims of a partition stand in one chain that is only ever
// changed by conditional writes of one object, the tip. Whoever holds the
// tip's present version knows the whole chain, so a claim it appends is unique;
// a writer that was paused or deposed has an old version and loses the write.
// That is why no lease is needed: a keeper is only a place where claims meet.
//
// The caller offers claims and outcomes, asks Next for a write that is due,
// carries it out, and reports what became of it.
package once

import "github.com/fxamacker/cbor/v2"

// ID names a claim: a hash of customer and idempotency key.
type ID [16]byte

// Nonce tells one dispatch's claim from another's of the same ID.
type Nonce [8]byte

// Outcome is a stored answer. Body is empty and Cut true if it was too long.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	Cut         bool   `cbor:"4,keyasint,omitempty"`
	Void        bool   `cbor:"5,keyasint,omitempty"` // it certainly was not dispatched: the ID is free again
}

// MaxOutcome bounds a stored body, in bytes.
const MaxOutcome = 4096

// Entry is one claim in the chain.
type Entry struct {
	ID      ID       `cbor:"1,keyasint"`
	Nonce   Nonce    `cbor:"2,keyasint"`
	Request uint64   `cbor:"3,keyasint"` // hash of method, path and body
	At      int64    `cbor:"4,keyasint"` // Unix seconds
	Outcome *Outcome `cbor:"5,keyasint,omitempty"`
}

// Segment is a full part of the chain, moved out of the tip.
type Segment struct {
	Key    string `cbor:"1,keyasint"`
	Newest int64  `cbor:"2,keyasint"` // Unix seconds of its last entry
}

// Tip is the one object of a partition that is written conditionally.
type Tip struct {
	Segments []Segment `cbor:"1,keyasint"`
	Entries  []Entry   `cbor:"2,keyasint"`
	Batch    Nonce     `cbor:"3,keyasint"` // of the last write
}

// EncodeError says that a tip or segment can't be read or written.
type EncodeError struct{ Cause error }

// Error implements error.
func (e *EncodeError) Error() string { return "once: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// DecodeTip parses a stored tip; no bytes are an empty chain.
func DecodeTip(data []byte) (Tip, error) {
	var t Tip
	if len(data) == 0 {
		return t, nil
	}
	if err := cbor.Unmarshal(data, &t); err != nil {
		return Tip{}, &EncodeError{Cause: err}
	}
	return t, nil
}

// DecodeSegment parses a stored segment.
func DecodeSegment(data []byte) ([]Entry, error) {
	var out []Entry
	if err := cbor.Unmarshal(data, &out); err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return out, nil
}
