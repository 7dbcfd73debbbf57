// Package quarantine decides which requests are rejected because they crash targets: equivalent
// requests, and those that have a part of their prompts in common. It records which of them were
// running at targets that crashed and which receive a complete response elsewhere. It does no I/O and
// reads no clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key identifies requests that may have the same effect on a target: they are equivalent, or share a part
// of their prompts. It is a cryptographic hash, so
// that no customer can craft a request that collides with another's.
type Key [16]byte

// String returns the key in hexadecimal, as it appears in logs.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Request holds the parts of a request that determine its Key: the customer and everything that
// the target receives.
type Request struct {
	Customer string // "": anonymous, the route is public
	Method   string
	Host     string
	URI      string   // path and query, as the caller sent them
	Body     [][]byte // in pieces
}

// KeyOf returns the key of a request.
func KeyOf(r Request) Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{r.Customer, r.Method, r.Host, r.URI} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:]) // the length prefix keeps the parts' boundaries unambiguous
		h.Write([]byte(part))
	}
	for _, piece := range r.Body {
		h.Write(piece)
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// Part is one part of a prompt.
type Part struct {
	Customer string // as in Request, or AllCustomers
	Model    string
	ID       string
}

// AllCustomers stands for all customers that share cached parts.
const AllCustomers = "\x00all"

// partMethod stands in a part's key where a request's has its method. No method has a zero byte.
const partMethod = "\x00part"

// KeyOfPart returns the key of all requests with a part in their prompts.
func KeyOfPart(p Part) Key {
	return KeyOf(Request{Customer: p.Customer, Method: partMethod, Host: p.Model, URI: p.ID})
}
