package gateway

import (
	"errors"
	"io"

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// bufferMemoryShare is the share of the instance's memory limit that bodies, buffered answers and data
// read ahead may use. Go's heap grows to twice what is in use before a collection ends, so that a
// quarter in use takes up to half of the memory. The other half is for connections, the catalog
// and the directory of the cache.
const bufferMemoryShare = 0.25

// bufferLimit returns the limit in bytes for an instance; 0 is none.
func bufferLimit(memoryBytes int64) int64 { return int64(bufferMemoryShare * float64(memoryBytes)) }

// BufferFullError reports that the instance can't hold more bytes of requests.
type BufferFullError struct{}

// Error implements error.
func (*BufferFullError) Error() string {
	return "the bodies and answers in hand use up this instance's memory for them"
}

// holdBody reserves room for n bytes of the request's body until the request ends.
func (x *exchange) holdBody(n int64) bool {
	if !x.g.buffers.Reserve(n) {
		return false
	}
	x.heldBody += n
	return true
}

// releaseHeld returns what the request's body and a fallback response use.
func (x *exchange) releaseHeld() {
	x.g.buffers.Release(x.heldBody)
	x.heldBody = 0
	x.release(x.fallback)
}

// release returns what a buffered response uses.
func (x *exchange) release(b *bufferedResponse) {
	if b != nil {
		x.g.buffers.Release(b.reserved)
		b.reserved = 0
	}
}

// holdingReader reserves room for the bytes that are read through it: the size of a chunked body
// is not known before.
type holdingReader struct {
	r io.Reader
	x *exchange
}

// Read implements io.Reader.
func (h *holdingReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if n > 0 && !h.x.holdBody(int64(n)) {
		return 0, &BufferFullError{}
	}
	return n, err
}

// bodyProblem maps an error from reading the body to a problem.
func (x *exchange) bodyProblem(err error) *problem.Problem {
	var full *BufferFullError
	if errors.As(err, &full) {
		return x.bufferFull()
	}
	return body.Problem(err)
}

// bufferFull refuses a request whose body this instance can't hold. Its connection is closed, since
// net/http would otherwise read the body before it sends the refusal.
func (x *exchange) bufferFull() *problem.Problem {
	metric.BodiesRefused.Inc()
	x.w.Header().Set("Connection", "close")
	return retryLater(problem.Overloaded, (&BufferFullError{}).Error(), retryAfterShort)
}

// initialResponseBuffer is the initial buffer for an answer of unknown length.
const initialResponseBuffer = 4 << 10

// bufferResponse reads a target's response up to maxBufferedResponse. whole is false if there is
// more, since it is larger or the budget leaves no room for it.
func (x *exchange) bufferResponse(at *attemptState) (b *bufferedResponse, whole bool, err error) {
	b = &bufferedResponse{status: at.httpResponse.StatusCode, header: at.httpResponse.Header}
	size := int64(initialResponseBuffer)
	if length := at.httpResponse.ContentLength; length >= 0 {
		size = min(length, maxBufferedResponse) + 1 // one more: the last Read returns io.EOF
	}
	for {
		if len(b.body) == cap(b.body) {
			if len(b.body) > maxBufferedResponse || !x.g.buffers.Reserve(size-b.reserved) {
				return b, false, nil
			}
			b.reserved = size
			b.body = append(make([]byte, 0, size), b.body...)
			size = min(2*size, maxBufferedResponse+1)
		}
		n, err := at.httpResponse.Body.Read(b.body[len(b.body):cap(b.body)])
		b.body = b.body[:len(b.body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b, len(b.body) <= maxBufferedResponse, nil
		case err != nil:
			return b, false, err
		}
	}
}
