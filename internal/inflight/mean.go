package inflight

import (
	"math"
	"sync"
	"time"
)

// meanTime is the time constant of MeanRequests. Requests that take 15 to 30 ms come and go several
// times between two load reports, so that their number at one moment says little about the next.
const meanTime = 100 * time.Millisecond

// MeanRequests is the number of requests in flight, averaged over time with exponentially
// decreasing weight. The zero value has seen no request. It is safe for concurrent use.
type MeanRequests struct {
	mu        sync.Mutex
	current   int
	mean      float64 // as of updatedAt
	updatedAt time.Time
}

// Add changes the number of requests in flight at now.
func (m *MeanRequests) Add(delta int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(now)
	m.current += delta
}

// Mean returns the mean at now.
func (m *MeanRequests) Mean(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.update(now)
	return m.mean
}

// update advances the mean to now.
func (m *MeanRequests) update(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		current := float64(m.current)
		m.mean = current + (m.mean-current)*math.Exp(-float64(elapsed)/float64(meanTime))
		m.updatedAt = now
	}
}
