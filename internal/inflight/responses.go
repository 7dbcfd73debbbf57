package inflight

import (
	"sync"
	"time"
)

// ResponseTracker is how long a target has answered nothing that it was asked. The zero value has
// been asked nothing. It is safe for use by several goroutines.
type ResponseTracker struct {
	mu    sync.Mutex
	since time.Time // of the first request after its last answer; zero: there is none
	heard time.Time // the last sign of it; zero: never
}

// RecordRequest notes a request that is sent now.
func (s *ResponseTracker) RecordRequest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since = now
	}
}

// RecordActivity notes any sign of the target: an answer, or that it closed a connection.
func (s *ResponseTracker) RecordActivity(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.heard = time.Time{}, now
}

// UnresponsiveForWithPeers is how long the silence has lasted, if the target has been silent to another instance
// as well, since a time; zero: to none. What was heard of it since then speaks against that.
func (s *ResponseTracker) UnresponsiveForWithPeers(others, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.since
	if others.After(s.heard) && (since.IsZero() || others.Before(since)) {
		since = others
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// RecordAbandoned notes that the request which was sent at a time is not waited for any longer. One
// that was left so soon that no answer was due says nothing of the target.
func (s *ResponseTracker) RecordAbandoned(sent, now time.Time, due time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.Equal(sent) && now.Sub(sent) < due {
		s.since = time.Time{}
	}
}

// LastActivity is the time of the target's last sign; zero: there was none.
func (s *ResponseTracker) LastActivity() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

// UnresponsiveFor is how long the silence has lasted.
func (s *ResponseTracker) UnresponsiveFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}
