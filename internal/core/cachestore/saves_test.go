package cachestore_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
)

// TestPendingSaves guards against a save that is treated as ended while it may still be executed, and
// against one that stays pending forever.
func TestPendingSaves(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	activity := map[string]cachestore.TargetActivity{"b": {UnresponsiveFor: time.Minute}}
	const minAge = 100 * time.Millisecond
	var s cachestore.PendingSaves
	pending := func(ms int) (parts []string) {
		for _, k := range s.PendingParts(at(ms), minAge, func(target string) cachestore.TargetActivity { return activity[target] }) {
			parts = append(parts, k.Part)
		}
		return parts
	}
	begin := func(target, part string) *cachestore.Save {
		return s.Begin(target, []cachestore.Key{{Salt: "s", Part: part}}, at(0))
	}
	answered, unsent, abandoned, silent, unanswered := begin("a", "answered"), begin("a", "unsent"), begin("a", "left"), begin("b", "lost"), begin("b", "unanswered")
	responsive := begin("c", "responsive")
	is.Equal(pending(99), nil)
	unsent.NotSent(at(100))
	answered.Answered(at(100))
	abandoned.Abandoned(at(100))
	silent.Abandoned(at(100))
	responsive.Abandoned(at(100))
	is.Equal(pending(100), []string{"answered", "left", "lost", "unanswered", "responsive"}) // the target may still write
	activity["a"] = cachestore.TargetActivity{LastResponse: at(150)}
	is.Equal(pending(349), []string{"left", "lost", "unanswered", "responsive"})
	is.Equal(pending(350), []string{"lost", "unanswered", "responsive"}) // target a has responded since
	is.Equal(pending(1599), []string{"lost", "unanswered", "responsive"})
	is.Equal(pending(1600), []string{"lost", "unanswered"}) // no instance reports target c as unresponsive
	is.Equal(pending(10_099), []string{"lost", "unanswered"})
	is.Equal(pending(10_100), []string{"unanswered"})
	unanswered.Answered(at(20_000))
	is.Equal(pending(20_200), nil)
}
