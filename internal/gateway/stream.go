package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// Bounds of a stream.
const (
	maxEventBytes = 1 << 20 // bytes of one event
	// stallGapFactor times a route's longest pause between events, and minStallTimeout at least, is
	// the silence after which a stream goes on elsewhere. Callers bear eight such pauses,
	// and two seconds at least; the other target needs the rest to read the prompt.
	stallGapFactor  = 4
	minStallTimeout = 1200 * time.Millisecond
)

// stallTimeout is the longest silence between the events of a stream that can go on
// elsewhere.
func (x *exchange) stallTimeout() time.Duration {
	return max(stallGapFactor*x.route.MaxEventGap, minStallTimeout)
}

// EventSizeError says that an event is longer than maxEventBytes.
type EventSizeError struct{}

// Error implements error.
func (*EventSizeError) Error() string { return "event is too long" }

// relayStream passes on events as they come, each whole or not at all. A stream that
// breaks goes on at another target behind the last event passed on, if its route
// lets it; what the caller has then stays one stream.
func (x *exchange) relayStream(at *attemptState) attemptResult {
	events := eventReader{r: bufio.NewReader(at.httpResponse.Body)}
	flush := http.NewResponseController(x.w)
	for first := true; ; first = false {
		if at.silenceTimer != nil && !first {
			at.silenceTimer.Reset(x.stallTimeout())
		}
		data, id, err := events.next()
		if at.silenceTimer != nil {
			at.silenceTimer.Stop() // a caller that reads slowly is no silence of the target
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(at, first)
		}
		if err != nil {
			return attemptResult{event: attempt.FailedMidResponse, connBroken: true, cause: &BadResponseError{Target: at.target.ID, Reason: "stream is not whole", Cause: err}}
		}
		if first {
			x.recordFirstByte(at)
		}
		if !x.isNextEvent(id) {
			return attemptResult{event: attempt.FailedMidResponse, cause: &BadResponseError{Target: at.target.ID, Reason: "event " + id + " after event " + x.lastEventID}}
		}
		if !x.headerSent {
			x.writeHeader(at.httpResponse.StatusCode, at.httpResponse.Header, -1)
		} else if first {
			metric.Resumes.Inc()
		}
		if _, err := x.w.Write(data); err != nil {
			return attemptResult{event: attempt.CallerGone, cause: err}
		}
		if err := flush.Flush(); err != nil {
			return attemptResult{event: attempt.CallerGone, cause: err}
		}
		if id != "" {
			x.lastEventID = id
		}
	}
}

// isNextEvent says whether an event may come behind the last one passed on: ids rise,
// also where the stream went on at another target.
func (x *exchange) isNextEvent(id string) bool {
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true // an id that is no number tells no order
	}
	last, err := strconv.ParseUint(x.lastEventID, 10, 64)
	return err != nil || next > last
}

// endStream takes a stream's proper end. One without any event is an answer all
// the same.
func (x *exchange) endStream(at *attemptState, empty bool) attemptResult {
	if empty {
		x.recordFirstByte(at)
	}
	if !x.headerSent {
		x.writeHeader(at.httpResponse.StatusCode, at.httpResponse.Header, -1)
	}
	return attemptResult{delivered: true, status: at.httpResponse.StatusCode}
}

// eventReader cuts a text/event-stream into whole events (HTML standard, section
// 9.2.6), their bytes unchanged.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
}

var idField = []byte("id:")

// next returns one event with the blank line behind it, and its id if it has
// one. io.EOF is the stream's end between events; within one it is
// io.ErrUnexpectedEOF. The bytes are valid until the next call.
func (e *eventReader) next() (data []byte, id string, err error) {
	e.buf = e.buf[:0]
	for {
		start := len(e.buf)
		for {
			piece, err := e.r.ReadSlice('\n')
			e.buf = append(e.buf, piece...)
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
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimPrefix(rest, []byte(" ")))
		}
	}
}
