package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/policy"
)

// TestBoundStart guards against requests that are sent to replaced weights without a bound on their start, against
// deadlines that would end them while they run, and against targets that are left out before they have to be.
func TestBoundStart(t *testing.T) {
	const timeout = 10 * time.Second
	for _, c := range []struct {
		name       string
		outdated   time.Duration
		first, run time.Duration // predicted
		lost       bool          // if cut off
		sent       bool
		asDeadline bool
	}{
		{"newest weights", 0, time.Minute, time.Minute, true, true, false},
		{"replaced a moment ago", time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, true, true, true},
		{"starts just in time", 8500 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, true, true, true},
		{"starts too late", 8500 * time.Millisecond, 500 * time.Millisecond, 200 * time.Millisecond, true, false, false},
		{"would be ended by the deadline, and lost", 8 * time.Second, 400 * time.Millisecond, 1500 * time.Millisecond, true, false, false},
		{"would be ended by the deadline, and go on elsewhere", 8 * time.Second, 400 * time.Millisecond, 1500 * time.Millisecond, false, true, true},
		{"runs for long, starts early enough", 7700 * time.Millisecond, 400 * time.Millisecond, 20 * time.Second, true, true, false},
		{"runs for long, goes on elsewhere, starts early enough", 7700 * time.Millisecond, 400 * time.Millisecond, 20 * time.Second, false, true, false},
		{"runs for long, might start too late", 7900 * time.Millisecond, 400 * time.Millisecond, 20 * time.Second, true, false, false},
		{"rollout has ended", timeout, time.Millisecond, time.Millisecond, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := placement.Target{ID: "t", OutdatedFor: c.outdated, FirstResponseMS: float64(c.first.Milliseconds())}
			q := placement.Query{RolloutTimeout: timeout, RunTime: c.run, LostIfCutOff: c.lost, Rand: func() float64 { return 0 }, Policy: policy.Default()}
			is.Equal(placement.Select([]placement.Target{target}, q).Action == placement.Send, c.sent)
			b := placement.BoundStart(c.outdated, timeout, placement.PredictedRun{First: c.first, Run: c.run, LostIfCutOff: c.lost})
			is.Equal(b.Within > 0, c.outdated > 0)
			is.True(b.Within == 0 || b.Expires()+c.outdated < timeout || !c.sent)
			if c.sent {
				is.Equal(b.AsDeadline, c.asDeadline)
			}
		})
	}
}

// TestRunTime guards against predicted runs that are much shorter than most of those seen.
func TestRunTime(t *testing.T) {
	is := is.New(t)
	p := placement.NewPredictor()
	is.True(p.RunTime(1) > time.Minute) // not known
	for i := range 2000 {
		p.ObserveRun(100, time.Duration(i%10+1)*100*time.Millisecond)
	}
	got := p.RunTime(100)
	is.True(got > 600*time.Millisecond)
	is.True(got < time.Second)
	p.ObserveRun(0, time.Hour) // says nothing
	is.Equal(p.RunTime(100), got)
}
