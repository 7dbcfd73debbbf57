package evacuation_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/evacuation"
	"github.com/shedhoist/shedhoist/internal/platform"
)

// TestEmptyList checks that an empty list that was received differs from a list that was never
// received.
func TestEmptyList(t *testing.T) {
	is := is.New(t)
	var z evacuation.Zones
	is.True(!z.Listed())
	is.True(!z.ApplyList(0, 0, nil))
	is.True(z.Listed())
	is.True(z.LastChange() > 0)
}

// history is what an object store held at each revision.
type history [][]string

func (h history) at(v platform.Version) []string { return h[v] }

// TestAnyOrder applies lists and changes from several sources, late and repeated, at random. The
// copy must always be the list of its revision, which must never decrease, and the last change must
// not be later than that revision.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		states := history{nil}
		steps := [][]evacuation.Change{nil}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			name := rapid.SampledFrom(names).Draw(t, "zone")
			now := slices.Clone(states[len(states)-1])
			i := slices.Index(now, name)
			if i >= 0 {
				now = slices.Delete(now, i, i+1)
			} else {
				now = append(now, name)
			}
			slices.Sort(now)
			states, steps = append(states, now), append(steps, []evacuation.Change{{Zone: name, Removed: i >= 0}})
		}
		newest := platform.Version(len(states) - 1)
		var z evacuation.Zones
		z.ApplyList(0, 0, nil)
		for range 30 {
			before := z.Revision()
			if rapid.Bool().Draw(t, "list") {
				at := platform.Version(rapid.IntRange(0, int(newest)).Draw(t, "at"))
				z.ApplyList(at, at, states.at(at))
			} else {
				from := platform.Version(rapid.IntRange(0, int(z.Revision())).Draw(t, "from"))
				to := platform.Version(rapid.IntRange(int(from), int(newest)).Draw(t, "to"))
				var page []evacuation.Change
				for _, s := range steps[from+1 : to+1] {
					page = append(page, s...)
				}
				z.ApplyChanges(to, page)
			}
			if z.Revision() < before || z.LastChange() > max(z.Revision(), 1) {
				t.Fatalf("at %d after %d, changed %d", z.Revision(), before, z.LastChange())
			}
			if !slices.Equal(z.Names(), states.at(z.Revision())) {
				t.Fatalf("%v at %d, the store had %v", z.Names(), z.Revision(), states.at(z.Revision()))
			}
		}
	})
}
