package inflight

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMeanRequests guards against a mean that depends on the moment at which it is read: 40 requests
// of 25 ms a second are one request on average, and none remain some time after the last.
func TestMeanRequests(t *testing.T) {
	is := is.New(t)
	var m MeanRequests
	now := time.Unix(1000, 0)
	is.Equal(m.Mean(now), 0.0)
	sum, n := 0.0, 0
	for i := range 40 * 2 {
		m.Add(2, now)
		m.Add(-2, now.Add(12500*time.Microsecond))
		now = now.Add(25 * time.Millisecond)
		if mean := m.Mean(now); i >= 40 {
			sum, n = sum+mean, n+1
			is.True(math.Abs(mean-1) < 0.15)
		}
	}
	is.True(math.Abs(sum/float64(n)-1) < 0.1)
	is.True(m.Mean(now.Add(time.Second)) < 0.001)
	m.Add(1, now.Add(-time.Second)) // a clock read earlier by another goroutine
	is.True(m.Mean(now.Add(10*time.Second)) > 0.99)
}
