// Package prefix derives the keys under which a prompt's cache is known.
//
// A key is a link of a keyed hash chain over fixed chunks of the prompt's
// canonical bytes. The chain's seed holds the customer's secret, the model,
// the weight version and the adapter, so two customers, versions or adapters
// never share a key, and a key tells nothing about the bytes below it without
// the secret.
package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// ChunkBytes is the length of one chunk of canonical prompt, in bytes. At about
// four bytes a token it is one cache piece of about a thousand tokens (brief,
// "Sizes of today").
const ChunkBytes = 4096

// BytesPerToken is the planning ratio between prompt bytes and tokens.
const BytesPerToken = 4

// Key names the cache of a prompt up to and including one chunk.
type Key [16]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Seed starts a chain. It is secret: it must not be logged or sent to a peer.
type Seed [sha256.Size]byte

// NewSeed binds a chain to its owner and its weights. Each part is preceded by
// its length, so no two lists of parts give the same input.
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

// Salt is the isolation salt handed to engines: it separates cache as the seed
// does, without giving the seed away.
func (s Seed) Salt() string {
	mac := hmac.New(sha256.New, s[:])
	mac.Write([]byte("salt"))
	return hex.EncodeToString(mac.Sum(nil)[:16])
}

// Chain appends one key for each whole chunk of canonical to dst. The rest
// behind the last whole chunk has no key: it is always computed.
func (s Seed) Chain(canonical string, dst []Key) []Key {
	mac := hmac.New(sha256.New, s[:])
	var prev Key
	var sum [sha256.Size]byte
	chunk := make([]byte, ChunkBytes) // hashes take bytes; one buffer serves all chunks
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

// RootHash identifies the head of a customer's prompt without regard to weights.
func RootHash(secret []byte, canonical string) uint64 {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(canonical[:min(len(canonical), ChunkBytes)]))
	var sum [sha256.Size]byte
	return binary.BigEndian.Uint64(mac.Sum(sum[:0]))
}

// EstimateTokens estimates the tokens in n bytes of prompt, rounded up.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Message is one turn of a chat.
type Message struct {
	Role    string
	Content string
}

// Bytes that frame a chat's canonical form.
const (
	frameStart = 0x00 // opens a message; escaped inside content
	frameBody  = 0x01 // ends the role
	frameQuote = 0xFF // follows a frameStart that belongs to the content
)

// Canonical writes a chat as bytes. Two different chats never give the same
// bytes: a NUL in a role or content is quoted, so frames can't be forged. No
// length stands in front, so a message or a chat that only grows at its end
// keeps its earlier bytes as a prefix, and with them its keys.
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
