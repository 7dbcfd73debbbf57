package inflight

import (
	"sync"
	"time"
)

// ResponseTracker tracks how long a target has not responded to requests. The zero value has seen
// no request. It is safe for concurrent use.
type ResponseTracker struct {
	mu              sync.Mutex
	unansweredSince time.Time // when the first request after the last activity was sent; zero: none
	lastActivity    time.Time // zero: never
}

// RecordRequest records that a request is sent at now.
func (t *ResponseTracker) RecordRequest(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unansweredSince.IsZero() {
		t.unansweredSince = now
	}
}

// RecordActivity records any sign of life of the target: a response, or that it closed a
// connection.
func (t *ResponseTracker) RecordActivity(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unansweredSince, t.lastActivity = time.Time{}, now
}

// UnresponsiveForWithPeers returns how long the target has not responded to this instance or to
// another one, to which it has not responded since peersSince (zero: to none). Activity seen by
// this instance after peersSince overrides the other instance's observation.
func (t *ResponseTracker) UnresponsiveForWithPeers(peersSince, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := t.unansweredSince
	if peersSince.After(t.lastActivity) && (since.IsZero() || peersSince.Before(since)) {
		since = peersSince
	}
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// RecordAbandoned records that the request sent at a time is given up without a response. If that
// happens before minWait has passed the request is not counted as unanswered, since no response
// was due yet.
func (t *ResponseTracker) RecordAbandoned(sent, now time.Time, minWait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unansweredSince.Equal(sent) && now.Sub(sent) < minWait {
		t.unansweredSince = time.Time{}
	}
}

// LastActivity returns the time of the target's last activity; zero: there was none.
func (t *ResponseTracker) LastActivity() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastActivity
}

// UnresponsiveFor returns the time since the first unanswered request; 0 if there is none.
func (t *ResponseTracker) UnresponsiveFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(t.unansweredSince)
}
