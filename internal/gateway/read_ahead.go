package gateway

import (
	"bufio"
	"bytes"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/buffer"
)

const (
	// maxReadAhead bounds what is read ahead for one stream. A stream of 30 kB a second, faster
	// than any model writes, fills it in 8 s, the longest patience of usual routes.
	maxReadAhead = 256 << 10
	// usualEvent is how many bytes of an event are part of what each request costs.
	usualEvent = 4 << 10
	// eventOverhead is counted for each event on top of its bytes: its entry in the queue and
	// the rounding up of its allocation.
	eventOverhead = 96
	// budgetPollInterval is how often a stream looks again for room in a budget that others
	// use up. Targets tolerate seconds.
	budgetPollInterval = 100 * time.Millisecond
)

// eventSource returns the events of a target's response in order. While the caller takes events
// promptly, the goroutine of the request reads them itself. When a write to the caller is slow,
// another goroutine reads ahead, until the caller has caught up or the response ends.
type eventSource struct {
	x       *exchange
	at      *attemptState
	events  eventReader // belongs to the goroutine that reads
	share   *buffer.Stream
	counted int64 // bytes of the buffer of events that are counted

	// Used by the goroutine of the request, and by startAhead during its writes.
	ahead   bool // another goroutine reads
	written int64
	stop    chan struct{} // closed to end the other goroutine
	done    chan struct{} // closed when it has ended

	mu      sync.Mutex
	queue   []readEvent
	waiting bool          // the goroutine of the request waits for an event
	queued  chan struct{} // signals that an event was added to the queue
	taken   chan struct{} // signals that an event was taken from the queue, or that waiting was set
}

// readEvent is an event that was read ahead, or the error that ended the reading.
type readEvent struct {
	data     []byte
	id       string
	err      error
	reserved int64 // bytes of the budget
	last     bool  // the goroutine that read ahead has ended
}

func newEventSource(x *exchange, at *attemptState) *eventSource {
	return &eventSource{x: x, at: at, counted: usualEvent, events: eventReader{r: bufio.NewReader(at.httpResponse.Body)}}
}

// next returns the next event, as eventReader does. first is set for the first event. The bytes
// are valid until the next call.
func (s *eventSource) next(first bool) (data []byte, id string, err error) {
	s.releaseWritten()
	if !s.ahead {
		return s.read(first)
	}
	return s.take()
}

// read reads an event from the target. The silence timer runs only meanwhile, so that a slow
// caller does not count as silence of the target.
func (s *eventSource) read(first bool) (data []byte, id string, err error) {
	if s.at.silenceTimer != nil && !first {
		s.at.silenceTimer.Reset(s.x.stallTimeout())
	}
	data, id, err = s.events.next()
	s.countBuffer()
	if s.at.silenceTimer != nil {
		s.at.silenceTimer.Stop()
	}
	return data, id, err
}

// countBuffer counts the buffer of the event in hand, which grows to the size of the largest event.
func (s *eventSource) countBuffer() {
	if grown := int64(cap(s.events.buf)) - s.counted; grown > 0 {
		s.x.conn.Add(grown)
		s.counted += grown
	}
}

// take returns the oldest event that was read ahead, and waits for one if there is none. Once the
// request's deadline has passed, what was read ahead is of no use to the caller.
func (s *eventSource) take() (data []byte, id string, err error) {
	for {
		if err := s.x.ctx.Err(); err != nil {
			return nil, "", err
		}
		e, ok := s.pop()
		if !ok {
			<-s.queued // the other goroutine always adds something: its reading ends with the context
			continue
		}
		if e.last {
			<-s.done
			s.ahead = false
		}
		s.written = e.reserved
		return e.data, e.id, e.err
	}
}

func (s *eventSource) pop() (e readEvent, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer wake(s.taken)
	if len(s.queue) == 0 {
		s.waiting = true
		return readEvent{}, false
	}
	e, s.queue[0] = s.queue[0], readEvent{}
	s.queue = s.queue[1:]
	return e, true
}

// startAhead starts to read ahead. It is called during a write of the request's goroutine, which
// meanwhile uses nothing of s but the bytes that it writes.
func (s *eventSource) startAhead() {
	if s.ahead {
		return
	}
	if s.share == nil {
		s.share = buffer.NewStream(s.x.g.buffers, maxReadAhead)
		s.x.conn.AddUnread() // the target is read at the speed of the caller once no more may be read ahead
		s.queued, s.taken = make(chan struct{}, 1), make(chan struct{}, 1)
	}
	s.ahead, s.waiting = true, false
	s.stop, s.done = make(chan struct{}), make(chan struct{})
	s.events.buf = nil // holds the bytes that are being written
	go s.readAhead()
}

// readAhead reads events until one is put that is the last.
func (s *eventSource) readAhead() {
	defer close(s.done)
	for {
		data, id, err := s.read(false)
		if err != nil {
			// The target has finished, though the caller may read for seconds more.
			s.at.endWork()
		}
		if !s.put(data, id, err) {
			return
		}
	}
}

// put adds an event to the queue. It waits while the stream's bound or the budget leaves no room,
// which lets the target wait. It returns false if nothing more is to be read by this goroutine:
// the response has ended, the caller has caught up, or close was called.
func (s *eventSource) put(data []byte, id string, err error) bool {
	size := int64(len(data)) + eventOverhead
	for {
		if added, last := s.tryPut(readEvent{data: data, id: id, err: err}, size); added {
			wake(s.queued)
			return !last
		}
		var poll <-chan time.Time
		if s.share.Fits(size) {
			poll = time.After(budgetPollInterval)
		}
		select {
		case <-s.taken:
		case <-poll:
		case <-s.stop:
			return false
		}
	}
}

// tryPut adds an event to the queue if there is room. An error needs none, and neither does an
// event that the caller is waiting for: it is the one event in hand that each stream may hold.
func (s *eventSource) tryPut(e readEvent, size int64) (added, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.last = e.err != nil || s.waiting && len(s.queue) == 0
	if !e.last {
		if !s.share.Reserve(size) {
			return false, false
		}
		e.data, e.reserved = bytes.Clone(e.data), size
	}
	s.waiting = false
	s.queue = append(s.queue, e)
	return true, e.last
}

// close ends the reading and drops what was not taken. The attempt can't go on afterwards.
func (s *eventSource) close() {
	if s.share == nil {
		return
	}
	if s.ahead {
		s.at.cancel() // ends a read from the target
		close(s.stop)
		<-s.done
		s.ahead = false
	}
	s.releaseWritten()
	for _, e := range s.queue {
		s.share.Release(e.reserved)
	}
	s.queue = nil
	s.x.mostReadAhead = max(s.x.mostReadAhead, s.share.MostHeld())
}

// releaseWritten returns the bytes of the last taken event to the budget.
func (s *eventSource) releaseWritten() {
	if s.written > 0 {
		s.share.Release(s.written)
		s.written = 0
	}
}

// wake makes a channel with a buffer of one readable.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // already readable
	}
}
