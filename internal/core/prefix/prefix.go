// Package prefix derives the cache keys of a prompt's prefixes.
//
// A key is a link of a keyed hash chain over fixed-size chunks of the prompt's
// canonical bytes. The chain's seed is derived from the customer's secret, the
// model, the weight version and the adapter, so two customers, versions or
// adapters never share a key, and without the secret a key reveals nothing about
// the bytes that it covers.
package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// ChunkBytes is the length of one chunk of a canonical prompt, in bytes. At about
// four bytes a token it covers about a thousand tokens, one cache piece (see
// "Sizes of today" in the project's brief).
const ChunkBytes = 4096

// BytesPerToken is the assumed ratio of prompt bytes to tokens.
const BytesPerToken = 4

// Key identifies the cache of a prompt up to and including one chunk.
type Key [16]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Seed is the initial value of a key chain. It is secret and must not be logged or sent to a peer.
type Seed [sha256.Size]byte

// NewSeed derives the seed of a customer's secret, a model, a weight version and an
// adapter. Each part is preceded by its length, so that different lists of parts
// never produce the same input.
func NewSeed(secret []byte, model, version, adapter string) Seed {
	mac := hmac.New(sha256.New, secret)
	for _, part := range [...]string{"shedhoist/prefix/1", model, version, adapter} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		mac.Write(n[:])
		mac.Write([]byte(part))
	}
	var s Seed
	mac.Sum(s[:0])
	return s
}

// Salt returns the isolation salt that is passed to engines: it separates caches in
// the same way as the seed without revealing it.
func (s Seed) Salt() string {
	mac := hmac.New(sha256.New, s[:])
	mac.Write([]byte("salt"))
	return hex.EncodeToString(mac.Sum(nil)[:16])
}

// Chain appends one key for each full chunk of canonical to dst. A partial chunk at
// the end has no key; it is always recomputed.
func (s Seed) Chain(canonical string, dst []Key) []Key {
	mac := hmac.New(sha256.New, s[:])
	var prev Key
	var sum [sha256.Size]byte
	chunk := make([]byte, ChunkBytes) // hash.Hash takes a byte slice; one buffer is reused for all chunks
	for len(canonical) >= ChunkBytes {
		mac.Reset()
		mac.Write(prev[:])
		copy(chunk, canonical)
		mac.Write(chunk)
		copy(prev[:], mac.Sum(sum[:0]))
		dst = append(dst, prev)
		canonical = canonical[ChunkBytes:]
	}
	return dst
}

// RootHash returns a hash, keyed by the customer's secret, of a prompt's first chunk, or of the
// whole prompt if it is shorter. It is independent of the model and its weights.
func RootHash(secret []byte, canonical string) uint64 {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(canonical[:min(len(canonical), ChunkBytes)]))
	var sum [sha256.Size]byte
	return binary.BigEndian.Uint64(mac.Sum(sum[:0]))
}

// EstimateTokens estimates the number of tokens in n bytes of prompt, rounded up.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// Framing bytes of a chat's canonical form.
const (
	frameStart = 0x00 // starts a message; escaped inside a role or content
	frameBody  = 0x01 // ends the role
	frameQuote = 0xFF // follows a frameStart byte that belongs to a role or content
)

// Canonical encodes a chat as bytes. Different chats never have the same encoding if
// no role contains frameBody or starts with frameQuote: a NUL in a role or content is
// escaped, so that it can't be taken for the start of a message. There are
// no length prefixes, so a chat or message that is only appended to keeps its
// earlier encoding as a prefix, and with it its keys.
func Canonical(msgs []Message) string {
	size := 0
	for _, m := range msgs {
		size += len(m.Role) + len(m.Content) + 2
	}
	var out strings.Builder
	out.Grow(size)
	for _, m := range msgs {
		out.WriteByte(frameStart)
		writeQuoted(&out, m.Role)
		out.WriteByte(frameBody)
		writeQuoted(&out, m.Content)
	}
	return out.String()
}

// writeQuoted writes s with its frameStart bytes escaped.
func writeQuoted(out *strings.Builder, s string) {
	for {
		i := strings.IndexByte(s, frameStart)
		if i < 0 {
			out.WriteString(s)
			return
		}
		out.WriteString(s[:i+1])
		out.WriteByte(frameQuote)
		s = s[i+1:]
	}
}
