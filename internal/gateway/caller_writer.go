package gateway

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
)

const (
	// A caller that takes nothing is given up after the silence of a stream that callers
	// tolerate themselves: eight gaps between events, four latency objectives, and two
	// seconds at least.
	callerGapFactor       = 8
	callerObjectiveFactor = 4
	minCallerPatience     = 2 * time.Second
	// slowWriteThreshold is the duration from which on a write counts as slow, so that events
	// are read ahead. What a target sends in that time fits in the buffers of its connection.
	slowWriteThreshold = 50 * time.Millisecond
	// maxWritePiece is how many bytes a caller has to take within its patience. A caller on a
	// slow link takes a large answer in many pieces, each of which counts as progress.
	maxWritePiece = 16 << 10
	// progressInterval is how often a slow write is checked for progress: several times in the
	// shortest patience.
	progressInterval = 250 * time.Millisecond
	// unackedMargin is how much later than the caller's patience the kernel closes its connection.
	// Where all bytes fit in the kernel's buffer no write is slow, and only the kernel sees that the
	// caller reads nothing.
	unackedMargin = 500 * time.Millisecond
)

// callerPatience returns how long a caller of a route may take nothing. route is nil for a
// request that has none.
func callerPatience(route *catalog.Route) time.Duration {
	if route == nil {
		return minCallerPatience
	}
	return max(callerGapFactor*route.MaxEventGap, callerObjectiveFactor*route.LatencyObjective, minCallerPatience)
}

// SlowCallerError reports a caller that took nothing for longer than its patience.
type SlowCallerError struct {
	Patience time.Duration
}

// Error implements error.
func (e *SlowCallerError) Error() string {
	return "caller took nothing for " + strconv.FormatInt(e.Patience.Milliseconds(), 10) + " ms"
}

// callerWriter writes the body of a response to the caller. It is used by the goroutine of the
// request only; the callback of its timer only sets a deadline and calls onSlow.
type callerWriter struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	patience time.Duration
	now      func() time.Time
	unacked  func() (bytes int, known bool) // written and not acknowledged by the caller

	mu      sync.Mutex
	timer   *time.Timer // calls limitWrite; nil: nothing was written yet
	armed   bool        // the timer runs
	since   time.Time   // when the current write began
	writing bool
	slow    bool          // the current write is slow, and has a deadline
	waiting int           // unacked bytes at the last look, during a slow write
	onSlow  func()        // called with mu held once a write is slow, before it ends; may be nil
	slowest time.Duration // the longest slow write
	gaveUp  *SlowCallerError
}

func newCallerWriter(w http.ResponseWriter, patience time.Duration, now func() time.Time, unacked func() (int, bool)) *callerWriter {
	return &callerWriter{w: w, control: http.NewResponseController(w), patience: patience, now: now, unacked: unacked}
}

// setOnSlow sets the function that is called when a write is slow, or none.
func (c *callerWriter) setOnSlow(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onSlow = f
}

// write writes p, and flushes the response if flush is set. It fails with a *SlowCallerError if
// the caller takes nothing for too long. The connection can't be used any more after an error.
func (c *callerWriter) write(p []byte, flush bool) error {
	for {
		piece := p[:min(len(p), maxWritePiece)]
		p = p[len(piece):]
		c.begin()
		_, err := c.w.Write(piece)
		if err == nil && flush && len(p) == 0 {
			err = c.control.Flush()
		}
		if err = c.end(err); err != nil || len(p) == 0 {
			return err
		}
	}
}

func (c *callerWriter) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.since = true, c.now()
	if !c.armed {
		c.arm(slowWriteThreshold)
	}
}

// arm sets the timer. It runs on when a write ends, since setting and stopping it for each write costs
// more than looking, at most every slowWriteThreshold, whether a write is slow. c.mu is held.
func (c *callerWriter) arm(d time.Duration) {
	c.armed = true
	if c.timer == nil {
		c.timer = time.AfterFunc(d, c.limitWrite)
		return
	}
	c.timer.Reset(d)
}

// close stops the timer.
func (c *callerWriter) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
}

// limitWrite sets a deadline for the current write if it is slow. While the write goes on, each change of the unacknowledged bytes moves the
// deadline: Linux lets a write go on only when a third of the connection's buffer, up to 4 MB, is
// free, which takes longer than the patience of a caller that reads slowly all the time.
func (c *callerWriter) limitWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed = false; !c.writing {
		return
	}
	now := c.now()
	if elapsed := now.Sub(c.since); elapsed < slowWriteThreshold {
		c.arm(slowWriteThreshold - elapsed)
		return
	}
	waiting, known := c.unacked()
	// Errors of SetWriteDeadline mean that the connection is closed.
	switch {
	case !c.slow:
		_ = c.control.SetWriteDeadline(c.since.Add(c.patience))
	case waiting != c.waiting:
		_ = c.control.SetWriteDeadline(now.Add(c.patience))
	}
	c.waiting = waiting
	if known {
		c.arm(progressInterval)
	}
	if !c.slow && c.onSlow != nil {
		c.onSlow()
	}
	c.slow = true
}

func (c *callerWriter) end(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if !c.slow {
		return err
	}
	c.slow = false
	c.arm(slowWriteThreshold) // it may be set to progressInterval, too late for the next write
	c.slowest = max(c.slowest, c.now().Sub(c.since))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		metric.CallersGivenUp.Inc()
		c.gaveUp = &SlowCallerError{Patience: c.patience}
		return c.gaveUp
	}
	_ = c.control.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	return err
}

// withSlowCallerFields adds to a log line how long the caller let a write wait at most, and how many
// bytes were read ahead for it.
func (x *exchange) withSlowCallerFields(e *log.Entry) *log.Entry {
	if x.out == nil || x.out.slowest == 0 {
		return e
	}
	e = e.WithField("caller_slow_ms", x.out.slowest.Milliseconds()).WithField("read_ahead_bytes", x.mostReadAhead)
	if x.out.gaveUp != nil {
		e = e.WithField("caller_given_up", true)
	}
	return e
}

// limitLastWrite sets a deadline for what net/http writes after the handler returns: the rest of
// a small response, or the end of a stream. net/http removes it once that is written.
func limitLastWrite(w http.ResponseWriter, now time.Time, route *catalog.Route) {
	_ = http.NewResponseController(w).SetWriteDeadline(now.Add(callerPatience(route))) // fails only if the connection is closed
}
