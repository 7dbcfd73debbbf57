package cachestore_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
)

// TestLateSaves guards against a save that is told to be over while it may still take place, and one
// that is told to be late for good.
func TestLateSaves(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	signs := map[string]cachestore.TargetActivity{"b": {UnresponsiveFor: time.Minute}}
	const due = 100 * time.Millisecond
	var s cachestore.PendingSaves
	late := func(ms int) (parts []string) {
		for _, k := range s.PendingParts(at(ms), due, func(target string) cachestore.TargetActivity { return signs[target] }) {
			parts = append(parts, k.Part)
		}
		return parts
	}
	begin := func(target, part string) *cachestore.Save {
		return s.Begin(target, []cachestore.Key{{Salt: "s", Part: part}}, at(0))
	}
	answered, unsent, left, lost, waits := begin("a", "answered"), begin("a", "unsent"), begin("a", "left"), begin("b", "lost"), begin("b", "waits")
	doubt := begin("c", "doubt")
	is.Equal(late(99), nil)
	unsent.NotSent(at(100))
	answered.Answered(at(100))
	left.Abandoned(at(100))
	lost.Abandoned(at(100))
	doubt.Abandoned(at(100))
	is.Equal(late(100), []string{"answered", "left", "lost", "waits", "doubt"}) // the target may still write
	signs["a"] = cachestore.TargetActivity{LastResponse: at(150)}
	is.Equal(late(349), []string{"left", "lost", "waits", "doubt"})
	is.Equal(late(350), []string{"lost", "waits", "doubt"}) // the target has been heard of
	is.Equal(late(1599), []string{"lost", "waits", "doubt"})
	is.Equal(late(1600), []string{"lost", "waits"}) // nobody finds it silent
	is.Equal(late(10_099), []string{"lost", "waits"})
	is.Equal(late(10_100), []string{"waits"})
	waits.Answered(at(20_000))
	is.Equal(late(20_200), nil)
}
