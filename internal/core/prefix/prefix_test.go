package prefix_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
)

// owner is everything that a prompt's keys are isolated by.
type owner struct {
	secret                  []byte
	model, version, adapter string
}

func drawOwner(t *rapid.T, label string) owner {
	name := rapid.StringMatching(`[a-z0-9.-]{0,4}`)
	return owner{rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, label+" secret"), name.Draw(t, label+" model"),
		name.Draw(t, label+" version"), name.Draw(t, label+" adapter")}
}

func (o owner) seed() prefix.Seed { return prefix.NewSeed(o.secret, o.model, o.version, o.adapter) }

// TestKeysIsolateOwners checks that two customers, models, versions or adapters never
// share a key for the same bytes, or a salt.
func TestKeysIsolateOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawOwner(t, "a")
		b := a
		switch rapid.IntRange(0, 4).Draw(t, "differs in") {
		case 0:
			b.secret = drawOwner(t, "b").secret
		case 1:
			b.model += "x"
		case 2:
			b.version += "x"
		case 3:
			b.adapter += "x"
		case 4: // the same concatenation, split elsewhere
			b.model, b.version = a.model+a.version, ""
		}
		if bytes.Equal(a.secret, b.secret) && a.model == b.model && a.version == b.version && a.adapter == b.adapter {
			t.Skip("drew the same owner")
		}
		prompt := strings.Repeat("7", 3*prefix.ChunkBytes)
		seen := map[prefix.Key]bool{}
		for _, k := range a.seed().Chain(prompt, nil) {
			seen[k] = true
		}
		for _, k := range b.seed().Chain(prompt, nil) {
			if seen[k] {
				t.Fatalf("key %v is shared", k)
			}
		}
		if a.seed().Salt() == b.seed().Salt() {
			t.Fatal("salt is shared")
		}
	})
}

// TestChainDependsOnPrefix checks that a key depends on every byte up to the end of
// its chunk, and on none after it.
func TestChainDependsOnPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := drawOwner(t, "a").seed()
		n := rapid.IntRange(1, 4).Draw(t, "chunks")
		prompt := bytes.Repeat([]byte("abcd"), n*prefix.ChunkBytes/4)
		before := seed.Chain(string(prompt), nil)
		offset := rapid.IntRange(0, len(prompt)-1).Draw(t, "changed byte")
		prompt[offset] ^= 0xFF
		after := seed.Chain(string(prompt), nil)
		for i := range before {
			if same := before[i] == after[i]; same != (i < offset/prefix.ChunkBytes) {
				t.Fatalf("byte %d changed: key %d unchanged is %v", offset, i, same)
			}
		}
	})
}

var messages = rapid.SliceOf(rapid.Custom(func(t *rapid.T) prefix.Message {
	role := rapid.StringOf(rapid.SampledFrom([]rune{'a', 'b'})) // roles contain no framing bytes
	text := rapid.StringOf(rapid.SampledFrom([]rune{0, 1, 0xFF, 'a', 'b'}))
	return prefix.Message{Role: role.Draw(t, "role"), Content: text.Draw(t, "content")}
}))

func equalChats(a, b []prefix.Message) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// TestCanonicalInjective checks that different chats have different canonical bytes,
// even if content contains framing bytes.
func TestCanonicalInjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := messages.Draw(t, "a"), messages.Draw(t, "b")
		if equalChats(a, b) != (prefix.Canonical(a) == prefix.Canonical(b)) {
			t.Fatalf("canonical bytes %q and %q", prefix.Canonical(a), prefix.Canonical(b))
		}
	})
}

// TestCanonicalPrefix checks that a chat or a message that is only appended to keeps
// its bytes as a prefix, and with them its keys.
func TestCanonicalPrefix(t *testing.T) {
	is := is.New(t)
	chat := []prefix.Message{{Role: "system", Content: strings.Repeat("rule ", 4000)}, {Role: "user", Content: "draft"}}
	short := prefix.Canonical(chat)
	chat[1].Content += " with an edit"
	is.True(strings.HasPrefix(prefix.Canonical(chat), short))
	chat = append(chat, prefix.Message{Role: "assistant", Content: "ok"})
	is.True(strings.HasPrefix(prefix.Canonical(chat), short))
}

// FuzzCanonical searches for two different chats with the same canonical bytes.
func FuzzCanonical(f *testing.F) {
	f.Add("user", "a\x00b", "user", "a\x00\xffb")
	f.Add("user", "", "user", "\x00user\x01")
	f.Fuzz(func(t *testing.T, r1, c1, r2, c2 string) {
		if strings.ContainsAny(r1+r2, "\x00\x01") {
			t.Skip()
		}
		a, b := []prefix.Message{{Role: r1, Content: c1}}, []prefix.Message{{Role: r2, Content: c2}}
		if equalChats(a, b) != (prefix.Canonical(a) == prefix.Canonical(b)) {
			t.Fatalf("chats %q and %q", a, b)
		}
	})
}

func BenchmarkChain(b *testing.B) {
	seed := prefix.NewSeed(make([]byte, 32), "m", "v", "")
	prompt := strings.Repeat("x", 64<<10)
	keys := make([]prefix.Key, 0, 16)
	b.SetBytes(int64(len(prompt)))
	b.ReportAllocs()
	for b.Loop() {
		keys = seed.Chain(prompt, keys[:0])
	}
}
