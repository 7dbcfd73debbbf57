package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFormerHoldersTargetsAreGuarded guards against orders of a new holder to targets that the former
// holder cordoned or loaded, or to any target if those are not known, before the lease gap is over.
func TestFormerHoldersTargetsAreGuarded(t *testing.T) {
	is := is.New(t)
	lastAct, gap := time.Unix(100, 0), 3*time.Second
	early, late := lastAct.Add(gap-time.Millisecond), lastAct.Add(gap)
	update := RolloutUpdate{Holder: "old", Cordoned: []string{"a"}, Loaded: []LoadedTarget{{Target: "b"}}}
	known := newHandoverGuard("old", lastAct, gap, update)
	is.True(known.blocks("a", early))
	is.True(known.blocks("b", early))
	is.True(!known.blocks("c", early))
	is.True(!known.blocks("a", late))
	unknown := newHandoverGuard("another", lastAct, gap, update)
	is.True(unknown.blocks("c", early))
	is.True(!unknown.blocks("c", late))
	is.True(!handoverGuard{}.blocks("a", early))
}
