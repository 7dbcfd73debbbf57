package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/shedhoist/shedhoist/internal/core/attempt"
)

// maxBufferedResponse is the size in bytes up to which a response is buffered before it is
// forwarded. If a larger one fails midway, the caller's connection is closed.
const maxBufferedResponse = 1 << 20

// relayBuffered forwards a response that is not a stream after it has been read completely.
func (x *exchange) relayBuffered(at *attemptState) attemptResult {
	buffered, whole, err := x.bufferResponse(at)
	defer func() {
		if x.fallback != buffered {
			x.release(buffered)
		}
	}()
	if err != nil {
		return incompleteResponse(at, "response body is incomplete", err)
	}
	x.recordFirstByte(at)
	status := at.httpResponse.StatusCode
	if x.headerSent { // the attempt was to resume a stream
		return attemptResult{event: attempt.FailedMidResponse, cause: &BadResponseError{Target: at.target.ID, Reason: "stream was not resumed, status " + strconv.Itoa(status)}}
	}
	mayRetry := status >= http.StatusInternalServerError && x.route.Repeatable() && len(buffered.body) <= maxBufferedResponse
	if mayRetry && whole {
		x.release(x.fallback)
		x.fallback = buffered
	}
	switch {
	case mayRetry:
		return attemptResult{event: attempt.FailedMidResponse, cause: &BadResponseError{Target: at.target.ID, Reason: "failed with status " + strconv.Itoa(status)}}
	case !whole:
		return x.relayLarge(at, buffered)
	}
	if isSuccess(status) {
		x.learnServiceTime(at)
	}
	if err := buffered.deliver(x); err != nil {
		return attemptResult{event: attempt.CallerGone, cause: err}
	}
	return attemptResult{delivered: true, status: status}
}

// relayLarge forwards a response as it arrives that is larger than maxBufferedResponse, or than
// the budget allows. head holds what was read of it so far.
func (x *exchange) relayLarge(at *attemptState, head *bufferedResponse) attemptResult {
	x.writeHeader(head.status, head.header, at.httpResponse.ContentLength)
	if err := x.out.write(head.body, false); err != nil {
		return attemptResult{event: attempt.CallerGone, cause: err}
	}
	head.body = nil
	x.release(head)
	buf := make([]byte, maxWritePiece)
	x.conn.Add(maxWritePiece)
	x.conn.AddUnread() // the target is read at the speed of the caller
	for {
		n, readErr := at.httpResponse.Body.Read(buf)
		if n > 0 {
			if err := x.out.write(buf[:n], false); err != nil {
				return attemptResult{event: attempt.CallerGone, cause: err}
			}
		}
		if errors.Is(readErr, io.EOF) {
			return attemptResult{delivered: true, status: head.status}
		}
		if readErr != nil {
			return incompleteResponse(at, "response body is incomplete", readErr)
		}
	}
}

// bufferedResponse is a target's response, held in memory.
type bufferedResponse struct {
	status   int
	header   http.Header
	body     []byte
	length   int64 // that the target stated, -1: none; for HEAD that of a body that is not sent (RFC 9110, section 8.6)
	reserved int64 // bytes of the instance's budget
}

// deliver writes the response. It returns an error only if the caller is given up: a caller that
// closed its connection does not make the response incomplete.
func (b *bufferedResponse) deliver(x *exchange) error {
	length := int64(len(b.body))
	if x.r.Method == http.MethodHead {
		length = b.length
	}
	x.writeHeader(b.status, b.header, length)
	_ = x.out.write(b.body, true)
	if x.out.gaveUp != nil {
		return x.out.gaveUp
	}
	return nil
}
