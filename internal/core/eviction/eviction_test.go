package eviction_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/eviction"
)

// Phases under short names.
const (
	closing   = eviction.Closing
	receiving = eviction.Receiving
	idle      = eviction.Idle
	running   = eviction.Running
)

// TestForMemory guards against the wrong connection being closed: a whole request, one in progress for one that will
// hold as much, more than are needed, or an idle one before one that has stalled.
func TestForMemory(t *testing.T) {
	const kb = 1 << 10
	for _, tt := range []struct {
		name       string
		candidates []eviction.Candidate
		need, held int64
		want       []int
	}{
		{"none", nil, 1, 1, nil},
		{"a whole request stays", []eviction.Candidate{{running, 1000 * kb, time.Hour}}, kb, kb, nil},
		{"the one that holds most of equally stalled ones", []eviction.Candidate{{receiving, 10 * kb, time.Second}, {receiving, 20 * kb, time.Second}}, kb, kb, []int{1}},
		{"the one that has stalled longest of equal ones", []eviction.Candidate{{receiving, 10 * kb, time.Second}, {receiving, 10 * kb, 2 * time.Second}}, kb, kb, []int{1}},
		{"as many as are needed", []eviction.Candidate{{receiving, 10 * kb, time.Second}, {receiving, 20 * kb, time.Second}, {receiving, 30 * kb, time.Second}}, 40 * kb, kb, []int{2, 1}},
		{"none if they are not enough", []eviction.Candidate{{receiving, 10 * kb, time.Second}, {running, 100 * kb, 0}}, 40 * kb, kb, nil},
		{"one in progress stays for an equal one", []eviction.Candidate{{receiving, 20 * kb, 0}}, kb, 20 * kb, nil},
		{"one in progress gives way to a much smaller one", []eviction.Candidate{{receiving, 80 * kb, 0}}, kb, 20 * kb, []int{0}},
		{"a stalled one before an idle one", []eviction.Candidate{{idle, 20 * kb, time.Hour}, {receiving, 20 * kb, time.Second}}, kb, kb, []int{1}},
		{"an idle one before one in progress", []eviction.Candidate{{receiving, 80 * kb, 0}, {idle, 20 * kb, time.Second}}, kb, kb, []int{1}},
		{"a new one stays", []eviction.Candidate{{idle, 20 * kb, 0}}, kb, kb, nil},
		{"idle ones stay for a large one", []eviction.Candidate{{idle, 20 * kb, time.Hour}}, kb, 4000 * kb, nil},
		{"one that is being closed only if its caller takes its time", []eviction.Candidate{{closing, 20 * kb, 0}, {closing, 20 * kb, time.Second}}, kb, kb, []int{1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(eviction.ForMemory(tt.candidates, tt.need, tt.held), tt.want)
		})
	}
}

// TestForConnection guards against a whole request that is closed for a connection, and against a crowd that keeps
// others out: there is always one to close unless all are running, and it has made progress no later than any that has
// just come.
func TestForConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOf(candidate()).Draw(t, "candidates")
		i, ok := eviction.ForConnection(candidates)
		if ok != slices.ContainsFunc(candidates, func(c eviction.Candidate) bool { return c.Phase != running }) {
			t.Fatalf("found %v among %v", ok, candidates)
		}
		if ok && candidates[i].Phase == running {
			t.Fatalf("chose %d of %v", i, candidates)
		}
		if ok && candidates[i].Stalled < 250*time.Millisecond && slices.ContainsFunc(candidates, func(c eviction.Candidate) bool {
			return c.Phase != running && c.Stalled > candidates[i].Stalled
		}) {
			t.Fatalf("chose %d, which came later, of %v", i, candidates)
		}
	})
}

// TestSmallFindsRoom guards against callers that keep a small request out by sending slowly, by much, or by coming back:
// whatever is not whole gives way to it.
func TestSmallFindsRoom(t *testing.T) {
	const small = 1 << 10
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(candidate(), 1, 50).Draw(t, "candidates")
		free := int64(0)
		for _, c := range candidates {
			stalled := c.Stalled >= 250*time.Millisecond
			if c.Phase == idle && stalled && small <= 16*c.Held || c.Phase == closing && stalled || c.Phase == receiving && (stalled || c.Held >= 2*small) {
				free += c.Held
			}
		}
		victims := eviction.ForMemory(candidates, small, small)
		if (victims != nil) != (free >= small) {
			t.Fatalf("victims %v, %d bytes could be freed of %v", victims, free, candidates)
		}
		for _, i := range victims {
			if candidates[i].Phase == running {
				t.Fatalf("victims %v of %v", victims, candidates)
			}
		}
	})
}

func candidate() *rapid.Generator[eviction.Candidate] {
	return rapid.Custom(func(t *rapid.T) eviction.Candidate {
		return eviction.Candidate{
			Phase:   eviction.Phase(rapid.IntRange(0, 3).Draw(t, "phase")),
			Held:    rapid.Int64Range(1, 1<<20).Draw(t, "held"),
			Stalled: time.Duration(rapid.IntRange(0, 2000).Draw(t, "stalled")) * time.Millisecond,
		}
	})
}
