package e2e_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// cutOff starts three instances, the last of which can't reach the others nor
// be reached by them: its peers' secret is another.
func cutOff(t *testing.T) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Instances: 3, Engines: 2, Timing: quick, Alone: true, Settings: func(s *settings.Settings) {
		if s.Name == "entry-3" {
			s.Peers.Secret = "another"
		}
	}})
}

// TestCutOffFromPeers: an instance that reaches the platform but no peer serves
// on by itself: it observes every target, follows the configuration, and gives
// nothing new to a leaving target.
func TestCutOffFromPeers(t *testing.T) {
	is := is.New(t)
	f := cutOff(t)
	alone := f.Daemons[2]
	a := ask{prompt: "x", tokens: 3}
	is.Equal(a.send(t, f.URL(2), f.Keys[0]).text, a.want(fleet.Version))
	b := f.Bundle()
	b.Customers = b.Customers[:1]
	is.NoErr(f.Apply(b, "revoke"))
	eventually(t, "the change is in force there too", func() bool { return alone.Status().Generation == 2 })
	is.Equal(a.send(t, f.URL(2), f.Keys[1]).status, http.StatusUnauthorized)
	f.Platform.SetMachine(platform.Machine{Name: "engine-1", Kind: "target", State: platform.StateLeaving})
	eventually(t, "it knows that the target leaves", func() bool { return alone.Targets()[0].State == "leaving" })
	before := f.Engines[0].Counters().Runs
	for i := range 8 {
		is.Equal(ask{prompt: fmt.Sprint(i), tokens: 2}.send(t, f.URL(2), f.Keys[0]).status, http.StatusOK)
	}
	is.Equal(f.Engines[0].Counters().Runs, before)
}

// TestKeepersDisagree: the cut-off instance takes itself for the keeper of every
// partition, as others do of theirs. A key that is used on both sides at once
// still runs once: the loser of the write finds the winner's claim.
func TestKeepersDisagree(t *testing.T) {
	is := is.New(t)
	f := cutOff(t)
	conflicts := metric.LedgerConflicts.Get()
	for i := range 20 {
		c := call{method: "POST", path: "/swaps", key: fmt.Sprint("k", i), op: fmt.Sprint("o", i)}
		got := c.atOnce(t, f, 3)
		is.Equal(runs(f, c.op), 1)
		for _, r := range got {
			is.True(r.status == http.StatusOK || r.status == http.StatusConflict)
		}
	}
	is.True(metric.LedgerConflicts.Get() > conflicts) // both sides did write
}
