package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// Limits of a stream.
const (
	maxEventBytes = 1 << 20 // size of one event
	// A stream is resumed elsewhere after a silence of stallGapFactor times the route's
	// MaxEventGap, or minStallTimeout if that is longer. Callers tolerate eight such gaps,
	// and two seconds at least; the other target needs the remaining time to read the
	// prompt.
	stallGapFactor  = 4
	minStallTimeout = 1200 * time.Millisecond
)

// stallTimeout returns the longest silence between events of a stream that can be resumed
// elsewhere.
func (x *exchange) stallTimeout() time.Duration {
	return max(stallGapFactor*x.route.MaxEventGap, minStallTimeout)
}

// EventSizeError reports an event larger than maxEventBytes.
type EventSizeError struct{}

// Error implements error.
func (*EventSizeError) Error() string { return "event exceeds the size limit" }

// relayStream forwards events as they arrive, each one completely or not at all. If the
// stream breaks and the route is resumable, the next attempt continues after the last
// forwarded event, so that the caller sees a single stream.
func (x *exchange) relayStream(at *attemptState) attemptResult {
	events := newEventSource(x, at)
	defer events.close()
	x.out.setOnSlow(events.startAhead)
	defer x.out.setOnSlow(nil)
	for first := true; ; first = false {
		data, id, err := events.next(first)
		if errors.Is(err, io.EOF) {
			return x.endStream(at, first)
		}
		if err != nil {
			return incompleteResponse(at, "stream is incomplete", err)
		}
		if first {
			x.recordFirstByte(at)
		}
		if !x.isNextEvent(id) {
			return attemptResult{event: attempt.FailedMidResponse, cause: &BadResponseError{Target: at.target.ID, Reason: "event id " + id + " out of order, last was " + x.lastEventID}}
		}
		x.beginStream(at.target)
		if !x.headerSent {
			x.writeHeader(at.httpResponse.StatusCode, at.httpResponse.Header, -1)
		} else if first {
			metric.Resumes.Inc()
		}
		if err := x.out.write(data, true); err != nil {
			return attemptResult{event: attempt.CallerGone, cause: err}
		}
		if id != "" {
			x.lastEventID = id
		}
	}
}

// isNextEvent reports whether an event may follow the last forwarded one: ids increase,
// also when the stream is resumed at another target.
func (x *exchange) isNextEvent(id string) bool {
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true // only numeric ids have an order
	}
	last, err := strconv.ParseUint(x.lastEventID, 10, 64)
	return err != nil || next > last
}

// endStream handles the regular end of a stream. A stream without events is a valid
// response.
func (x *exchange) endStream(at *attemptState, empty bool) attemptResult {
	if empty {
		x.recordFirstByte(at)
	}
	x.learnRunTime(at)
	if !x.headerSent {
		x.writeHeader(at.httpResponse.StatusCode, at.httpResponse.Header, -1)
	}
	return attemptResult{delivered: true, status: at.httpResponse.StatusCode}
}

// eventReader splits a text/event-stream into events (HTML standard, section 9.2.6) and
// leaves their bytes unchanged.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

var idField = []byte("id:")

// next returns one event including the blank line that ends it, and its id if it has one.
// The error is io.EOF if the stream ends between events, io.ErrUnexpectedEOF if it ends
// within one. The bytes are valid until the next call.
func (e *eventReader) next() (data []byte, id string, err error) {
	e.buf = e.buf[:0]
	for {
		start := len(e.buf)
		for {
			chunk, err := e.r.ReadSlice('\n')
			e.buf = append(e.buf, chunk...)
			if len(e.buf) > maxEventBytes {
				return nil, "", &EventSizeError{}
			}
			if err == nil {
				break
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			if errors.Is(err, io.EOF) && len(e.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, "", err
		}
		line := bytes.TrimRight(e.buf[start:], "\r\n")
		if len(line) == 0 {
			return e.buf, id, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}
