package targetlimit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/targetlimit"
)

// TestLaterReportHolds guards against a limit that an older response ends or names again, and against an end that
// is not remembered.
func TestLaterReportHolds(t *testing.T) {
	const target = "t"
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	named := func(perSecond float64, s int) targetlimit.Report {
		return targetlimit.Report{Named: true, PerSecond: perSecond, At: at(s)}
	}
	ended := func(s int) targetlimit.Report { return targetlimit.Report{At: at(s)} }
	cases := []struct {
		name    string
		reports []targetlimit.Report
		changed []bool
		want    targetlimit.Report
	}{
		{"named", []targetlimit.Report{named(2, 10)}, []bool{true}, named(2, 10)},
		{"named again", []targetlimit.Report{named(2, 10), named(2, 11)}, []bool{true, false}, named(2, 11)},
		{"changed", []targetlimit.Report{named(2, 10), named(3, 11)}, []bool{true, true}, named(3, 11)},
		{"ended", []targetlimit.Report{named(2, 10), ended(11)}, []bool{true, true}, ended(11)},
		{"an older response names none", []targetlimit.Report{named(2, 10), ended(9)}, []bool{true, false}, named(2, 10)},
		{"an older report after its end", []targetlimit.Report{named(2, 10), ended(11), named(2, 10)}, []bool{true, true, false}, ended(11)},
		{"named anew", []targetlimit.Report{named(2, 10), ended(11), named(2, 12)}, []bool{true, true, true}, named(2, 12)},
		{"none at all", []targetlimit.Report{ended(10)}, []bool{false}, targetlimit.Report{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var limits targetlimit.Limits
			for i, w := range c.reports {
				is.Equal(limits.Learn(target, w), c.changed[i])
			}
			got, _ := limits.Of(target)
			is.Equal(got, c.want)
		})
	}
}

// TestRetain guards against limits of targets that are gone, and against ends that are kept for good or forgotten
// while older reports may come.
func TestRetain(t *testing.T) {
	is := is.New(t)
	var limits targetlimit.Limits
	now := time.Unix(1000, 0)
	for _, id := range []string{"gone", "named", "ended"} {
		limits.Learn(id, targetlimit.Report{Named: true, PerSecond: 1, At: now})
	}
	limits.Learn("ended", targetlimit.Report{At: now.Add(1)})
	keep := func(id string) bool { return id != "gone" }
	limits.Retain(keep, now.Add(time.Second))
	is.Equal(len(limits.All()), 2)
	is.Equal(limits.Count(), 1)
	limits.Retain(keep, now.Add(time.Hour))
	_, known := limits.Of("named")
	is.True(known)
	is.Equal(len(limits.All()), 1)
}

// TestPermitWaitIsNeverZero guards against a refusal that lets callers ask again at once, where rounding leaves
// a bucket just below one permit.
func TestPermitWaitIsNeverZero(t *testing.T) {
	is := is.New(t)
	var permits targetlimit.Permits
	now := time.Unix(0, 0)
	for range 10 { // ten times 0.1 is a little less than 1
		ok, wait := permits.Take("t", 1, now)
		is.True(ok != (wait > 0))
		now = now.Add(100 * time.Millisecond)
	}
	ok, wait := permits.Take("t", 1, now)
	is.True(ok != (wait > 0))
}

// TestPermitsKeepRate checks with random times that permits never exceed the rate by more than the burst, and
// that whoever asks as often as allowed gets nearly all of them.
func TestPermitsKeepRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.05, 40).Draw(t, "rate")
		step := time.Duration(rapid.IntRange(1, 200).Draw(t, "step")) * time.Millisecond
		var permits targetlimit.Permits
		start := time.Unix(0, 0)
		var granted []time.Time
		now := start
		for range 400 {
			if ok, wait := permits.Take("t", perSecond, now); ok {
				granted = append(granted, now)
			} else if wait <= 0 {
				t.Fatalf("refused without a time to wait")
			}
			now = now.Add(step)
		}
		const burst = 2 // permits at once, and one that was due
		for i := range granted {
			for j := i; j < len(granted); j += 7 {
				if most := perSecond*granted[j].Sub(granted[i]).Seconds() + perSecond*0.25 + burst; float64(j-i+1) > most {
					t.Fatalf("%d permits in %v, at most %.1f allowed", j-i+1, granted[j].Sub(granted[i]), most)
				}
			}
		}
		offered := 400.0
		least := min(perSecond*now.Sub(start).Seconds(), offered)*0.7 - burst
		if float64(len(granted)) < least {
			t.Fatalf("%d permits, at least %.1f expected", len(granted), least)
		}
	})
}
