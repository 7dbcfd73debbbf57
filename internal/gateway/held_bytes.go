package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// release returns what a buffered response uses.
func (x *exchange) release(b *bufferedResponse) {
	if b != nil {
		x.conn.Release(b.reserved)
		b.reserved = 0
	}
}

// bodyProblem maps an error from reading the body to a problem.
func (x *exchange) bodyProblem(err error) *problem.Problem {
	var full *body.FullError
	if errors.As(err, &full) || x.conn.Evicted() {
		return x.noRoom()
	}
	return body.Problem(err)
}

// noRoom refuses a request for which there are no memory or descriptors. Its connection is closed, since net/http would
// otherwise read the body before it sends the refusal.
func (x *exchange) noRoom() *problem.Problem {
	x.w.Header().Set("Connection", "close")
	if x.conn.LacksDescriptors() {
		return retryLater(problem.Overloaded, (&connlimit.DescriptorsError{}).Error(), retryAfterShort)
	}
	metric.BodiesRefused.Inc()
	return retryLater(problem.Overloaded, (&body.FullError{}).Error(), retryAfterShort)
}

// refuseForRoom refuses a request that there was no room to begin.
func (g *Gateway) refuseForRoom(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, arrived: g.now(), view: g.view.Load(), conn: connlimit.FromRequest(r)}
	x.limitBodyTime(bodyTimeout)
	x.call, _ = g.codec.ParseRequest(r.Header) // of a header that can't be parsed the id is enough
	x.refuse(x.noRoom())
	limitLastWrite(w, g.now(), nil)
}

// partBytes is what a part of a prompt costs while its request is under work: its entries in the plan of what is fetched
// and saved, and its keys.
const partBytes = 512

// holdParts counts the parts of the request's prompt.
func (x *exchange) holdParts() {
	if x.call.Prompt != nil {
		x.conn.Add(partBytes * int64(len(x.call.Prompt.Parts)))
	}
}

// initialResponseBuffer is the initial buffer for an answer of unknown length.
const initialResponseBuffer = 4 << 10

// bufferResponse reads a target's response up to maxBufferedResponse. whole is false if there is
// more, since it is larger or there is no room for it.
func (x *exchange) bufferResponse(at *attemptState) (b *bufferedResponse, whole bool, err error) {
	b = &bufferedResponse{status: at.httpResponse.StatusCode, header: at.httpResponse.Header, length: at.httpResponse.ContentLength}
	size := int64(initialResponseBuffer)
	if length := at.httpResponse.ContentLength; length >= 0 {
		size = min(length, maxBufferedResponse) + 1 // one more: the last Read returns io.EOF
	}
	for {
		if len(b.body) == cap(b.body) {
			if len(b.body) > maxBufferedResponse || !x.growResponse(b, size) {
				return b, false, nil
			}
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

// growResponse gives a buffered response a buffer of a size, or returns false if there is no room for it. The old buffer
// is held until it has been copied.
func (x *exchange) growResponse(b *bufferedResponse, size int64) bool {
	if !x.conn.Reserve(size) {
		return false
	}
	b.body = append(make([]byte, 0, size), b.body...)
	x.conn.Release(b.reserved)
	b.reserved = size
	return true
}
