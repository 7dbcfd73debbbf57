package e2e_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/standin/store"
)

// rules is a prompt of 16 whole pieces.
var rules = fleet.Rulebook("the gate", 64<<10)

// kept asks once and waits until a store keeps the prompt whole.
func kept(t *testing.T, f *fleet.Fleet, a ask, key string) reply {
	t.Helper()
	before := exported(f)
	got := a.send(t, f.URL(0), key)
	eventually(t, "the prompt is kept", func() bool { return exported(f) > before })
	return got
}

func exported(f *fleet.Fleet) int64 {
	var n int64
	for _, e := range f.Engines {
		n += e.Counters().ExportedBytes
	}
	return n
}

// TestStaleHint: the engine has dropped a prompt's cache and its events are
// late, so the entry instance still believes it resident. The store makes up
// for it: nothing is computed twice.
func TestStaleHint(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Engine: engine.Options{EventLagMS: 1e9, TimeScale: 0.001}})
	a := ask{prompt: rules, tokens: tokens, stream: true, usage: true}
	kept(t, f, a, f.Keys[0])
	f.Engines[0].DropCache()
	got := a.send(t, f.URL(0), f.Keys[0])
	is.Equal(got.text, a.want(fleet.Version))
	is.Equal(got.usage.PromptDetails.RestoredTokens, 16*1024)
	is.Equal(f.Daemons[0].Explain(got.header.Get("X-Request-Id")).LastAction(), "reuse") // the belief was wrong
	is.Equal(f.Engines[0].Counters().ComputedTokens, int64(16*1024))                     // once, the first time
}

// TestStoreFaults: whatever becomes of the kept pieces, the answer is whole
// and no block is wrong; it costs a recompute.
func TestStoreFaults(t *testing.T) {
	cases := []struct {
		name     string
		fault    store.Faults
		restored int
	}{
		{"healthy", store.Faults{}, 16 * 1024},
		{"down", store.Faults{Down: true}, 0},
		{"corrupt", store.Faults{Corrupt: true}, 0},
		{"full", store.Faults{Full: true}, 16 * 1024}, // reads go on
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, fleet.Options{Instances: 1, Engines: 1, Stores: 1})
			a := ask{prompt: rules, tokens: tokens}
			kept(t, f, a, f.Keys[0])
			f.Engines[0].DropCache()
			f.Stores[0].SetFaults(c.fault)
			got := a.send(t, f.URL(0), f.Keys[0])
			is.Equal(got.text, a.want(fleet.Version))
			if got.usage.PromptDetails.RestoredTokens != c.restored {
				t.Logf("why: %+v", f.Daemons[0].Explain(got.header.Get("X-Request-Id")))
			}
			is.Equal(got.usage.PromptDetails.RestoredTokens, c.restored)
			is.Equal(f.Engines[0].Counters().WrongBlocks, 0)
		})
	}
}

// TestLostPiece: a piece that the store acknowledged and lost leaves no
// manifest behind, so nothing half kept is ever read.
func TestLostPiece(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Stores: 1})
	f.Stores[0].SetFaults(store.Faults{Lose: 1})
	a := ask{prompt: rules, tokens: tokens}
	a.send(t, f.URL(0), f.Keys[0])
	eventually(t, "the export has come to its end", func() bool {
		return strings.Contains(dumpOf(f.Stores[0]), "in-memory")
	})
	f.Engines[0].DropCache()
	got := a.send(t, f.URL(0), f.Keys[0])
	is.Equal(got.text, a.want(fleet.Version))
	is.Equal(got.usage.PromptDetails.RestoredTokens, 0)
}

func dumpOf(s *store.Server) string {
	for k := range s.Moved() {
		return k
	}
	return ""
}

// TestCustomersShareNothing: two customers send the same prompt; neither gets
// a block of the other's, in accelerator memory or in a store.
func TestCustomersShareNothing(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 2, Engines: 1, Stores: 1})
	a := ask{prompt: rules, tokens: tokens}
	kept(t, f, a, f.Keys[0])
	other := a.send(t, f.URL(1), f.Keys[1])
	is.Equal(other.usage.PromptDetails.CachedTokens, 0)
	f.Engines[0].DropCache()
	own := a.send(t, f.URL(1), f.Keys[0])
	is.Equal(own.usage.PromptDetails.RestoredTokens, 16*1024)
	is.Equal(f.Engines[0].Counters().WrongBlocks, 0)
}
