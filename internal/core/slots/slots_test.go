package slots_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/core/slots"
)

// TestWait guards against a predicted wait while a slot is free, and checks the wait behind a queue.
func TestWait(t *testing.T) {
	is := is.New(t)
	for _, l := range []slots.Load{{}, {Own: 100}, {Slots: 6, Own: 5}, {Slots: 6, Own: 2, Peers: 3}, {Slots: 6, Own: 2, Peers: 3.9}, {Slots: 1}} {
		is.True(l.HasFree())
		is.Equal(l.Wait(30), 0.0)
		is.Equal(l.Excess(30, 1), 0.0) // a slot is free: never refused, however short the time
	}
	l := slots.Load{Slots: 6, Own: 2, Peers: 10}
	is.True(!l.HasFree())
	is.Equal(l.Wait(30), 35.0) // the 13th: 7 requests leave before it, one each 5 ms
}

// TestMeanWait compares the mean wait with samples of a Poisson process, and checks that it is Wait if
// only own requests are known.
func TestMeanWait(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	poisson := func(mean float64) (n int) {
		for p := rnd.Float64(); p > math.Exp(-mean); p *= rnd.Float64() {
			n++
		}
		return n
	}
	for _, l := range []slots.Load{{Slots: 6, Peers: 2}, {Slots: 6, Own: 1, Peers: 4}, {Slots: 6, Peers: 8}, {Slots: 6, Own: 4, Peers: 20}} {
		is := is.New(t)
		const samples = 20_000
		sum := 0.0
		for range samples {
			sum += max(float64(l.Own+poisson(l.Peers)+1-l.Slots), 0) * 30 / float64(l.Slots)
		}
		is.True(math.Abs(l.MeanWait(30)-sum/samples) < 0.5) // ms
	}
	is := is.New(t)
	own := slots.Load{Slots: 6, Own: 9}
	is.Equal(own.MeanWait(30), own.Wait(30))
	is.Equal(slots.Load{Own: 9, Peers: 9}.MeanWait(30), 0.0)
}

// TestExcess guards against refusals of requests that may be answered in time, and of any request
// before the service time is known.
func TestExcess(t *testing.T) {
	is := is.New(t)
	l := slots.Load{Slots: 6, Peers: 25} // waits 100 ms, of which 75 count
	is.Equal(l.Excess(30, 105), 0.0)
	is.Equal(l.Excess(30, 95), 10.0)
	is.Equal(l.Excess(0, 95), 0.0)
}

// TestRetryAfter checks that callers return when the queue has shrunk, spread over time, and not
// later than they would wait.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(slots.RetryAfter(100, 900, 0), 100*time.Millisecond)
	is.Equal(slots.RetryAfter(100, 900, 0.5), 125*time.Millisecond)
	is.Equal(slots.RetryAfter(2000, 900, 0), 200*time.Millisecond)
	is.True(slots.RetryAfter(2000, 900, 0.999) <= 300*time.Millisecond) // callers wait no longer
	is.Equal(slots.RetryAfter(1, 900, 0), 50*time.Millisecond)
	is.Equal(slots.RetryAfter(100, -5, 0), 50*time.Millisecond)
}

// TestServiceTime guards against a service time that includes waits in queues: of answers that may
// have queued, of a target that stalls, and of an instance that starts in an overload.
func TestServiceTime(t *testing.T) {
	is := is.New(t)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	var s slots.ServiceTime
	for range 100 {
		s.Observe(ms(150), true)
	}
	is.Equal(s.Estimate(), 0.0) // nothing is known from queued requests alone
	for i := range 9 {
		s.Observe(ms(20+i), false)
		is.Equal(s.Estimate(), 0.0)
	}
	s.Observe(ms(20), false)
	is.True(s.Estimate() >= 20 && s.Estimate() < 22)
	for range 1000 {
		s.Observe(ms(500), true)
	}
	is.True(s.Estimate() < 22)
	for range 5 {
		s.Observe(ms(5000), false)
	}
	is.True(s.Estimate() < 25)
	for range 500 {
		s.Observe(ms(60), false) // the service has become slower
	}
	is.True(s.Estimate() > 55)
	for range 50 {
		s.Observe(ms(20), true) // and is faster again: seen in queued requests too
	}
	is.True(s.Estimate() < 21)
}
