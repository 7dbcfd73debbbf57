package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFormerHoldersTargetsAreGuarded: a new holder leaves alone the targets that the one before closed, or
// all if that is not known, until its orders are old enough.
func TestFormerHoldersTargetsAreGuarded(t *testing.T) {
	is := is.New(t)
	last, gap := time.Unix(100, 0), 3*time.Second
	early, late := last.Add(gap-time.Millisecond), last.Add(gap)
	news := RolloutUpdate{Holder: "old", Cordoned: []string{"a"}, Loaded: []LoadedTarget{{Target: "b"}}}
	known := newHandoverGuard("old", last, gap, news)
	is.True(known.blocks("a", early))
	is.True(known.blocks("b", early))
	is.True(!known.blocks("c", early))
	is.True(!known.blocks("a", late))
	unknown := newHandoverGuard("another", last, gap, news)
	is.True(unknown.blocks("c", early))
	is.True(!unknown.blocks("c", late))
	is.True(!handoverGuard{}.blocks("a", early))
}
