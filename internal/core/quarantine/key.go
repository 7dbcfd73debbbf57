// Package quarantine keeps requests from targets that would end under them. It remembers
// which requests were under way at targets that crashed, and which of them are answered
// whole elsewhere, and decides which ones are to be rejected. It does no I/O and reads no
// clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Key is what requests have in common that do the same to a target. It is a
// cryptographic hash, so that no customer can make a request that passes for another's.
type Key [16]byte

// String is the key as logs show it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Request is what makes requests alike: who asks, and all that the target is given to run.
type Request struct {
	Customer string // "": anybody, the route is public
	Method   string
	Host     string
	URI      string // path and query, as the caller wrote them
	Body     []byte
}

// KeyOf returns the key of a request.
func KeyOf(r Request) Key {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{r.Customer, r.Method, r.Host, r.URI} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:]) // where a part ends is no matter of its content
		h.Write([]byte(part))
	}
	h.Write(r.Body)
	return Key(h.Sum(nil)[:len(Key{})])
}
