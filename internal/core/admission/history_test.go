package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/admission"
)

// TestRefusalAge checks how long refusals are found to last: up to a gap of a second, by service,
// and for a level from the first refusal of its own or of a more urgent level on.
func TestRefusalAge(t *testing.T) {
	is := is.New(t)
	l := admission.NewLevels([]admission.Level{{Rank: 0}, {Rank: 1}, {Rank: 2}})
	start := time.Unix(100, 0)
	var h admission.History
	steps := []struct {
		at      time.Duration
		service string
		level   int
		want    time.Duration
	}{
		{0, "a", 1, 0},
		{900 * ms, "a", 1, 900 * ms},
		{900 * ms, "a", 2, 900 * ms}, // since the refusals of level 1
		{1000 * ms, "b", 2, 0},
		{1000 * ms, "a", 0, 0},
		{1900 * ms, "a", 0, 900 * ms},
		{2800 * ms, "a", 1, 2800 * ms}, // refusals of level 0 count
		{3801 * ms, "a", 1, 0},         // a gap
		{3801 * ms, "a", 0, 0},
	}
	for _, s := range steps {
		is.Equal(h.Refused(s.service, l, s.level, start.Add(s.at)), s.want)
	}
	h.Retain(func(service string) bool { return service == "b" })
	is.Equal(h.Refused("a", l, 1, start.Add(3900*ms)), time.Duration(0))
}

// TestStarvedLevel checks that the limits of a level are relaxed while it is admitted far less often
// than all requests of its service, as when the urgent requests alone exceed the capacity, that
// the differences within the level remain, and that a few refusals do not suffice.
func TestStarvedLevel(t *testing.T) {
	is := is.New(t)
	l := admission.NewLevels([]admission.Level{{Rank: 0, Objective: time.Second}, {Rank: 1}})
	now := time.Unix(100, 0)
	var h admission.History
	limits := func(r admission.Request) admission.Limits { return h.Limits("a", l, r, now) }
	for range 60 {
		h.Admitted("a", 0, now)
		h.Refused("a", l, 0, now)
	}
	h.Refused("a", l, 1, now)
	h.Refused("a", l, 1, now)
	is.True(!limits(admission.Request{Rank: 1}).Relaxed)
	h.Refused("a", l, 1, now)
	is.Equal(limits(admission.Request{Rank: 1}), admission.Limits{Level: 1, MemoryShare: 1, Relaxed: true})
	is.True(limits(admission.Request{Rank: 1, AboveFairShare: true}).MemoryShare < 1)
	is.True(!limits(admission.Request{Rank: 0}).Relaxed)
	is.True(!h.Limits("b", l, admission.Request{Rank: 1}, now).Relaxed) // another service
	h.Admitted("a", 1, now)                                             // one of four is not much less than half
	is.Equal(limits(admission.Request{Rank: 1}), l.Limits(admission.Request{Rank: 1}))
	h.Refused("a", l, 1, now)
	h.Refused("a", l, 1, now)
	is.True(limits(admission.Request{Rank: 1}).Relaxed)
	now = now.Add(20 * time.Second) // the counts have decayed
	is.True(!limits(admission.Request{Rank: 1}).Relaxed)
}

// TestRetryAfter checks that callers return spread over a time that grows with the age of the
// overload, the more urgent first, in time for a response.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	const hour = time.Hour
	is.Equal(admission.RetryAfter(0, 0, hour, 0), 500*ms)
	is.Equal(admission.RetryAfter(0, 0, hour, 1), 1500*ms)
	is.Equal(admission.RetryAfter(0, 8*time.Second, hour, 0), 4*time.Second)
	is.Equal(admission.RetryAfter(0, 8*time.Second, hour, 1), 8*time.Second)
	for _, age := range []time.Duration{0, time.Second, 10 * time.Second} {
		for _, random := range []float64{0, 0.5, 0.999} {
			for level := range 2 {
				is.True(admission.RetryAfter(level, age, hour, random) < admission.RetryAfter(level+1, age, hour, random))
			}
			for _, left := range []time.Duration{0, 600 * ms, 3 * time.Second} {
				got := admission.RetryAfter(1, age, left, random)
				is.True(got <= left/3)
				is.True(got >= left/6)
			}
		}
	}
	is.Equal(admission.RetryAfter(7, 0, hour, 1), admission.RetryAfter(2, 0, hour, 1))
}
