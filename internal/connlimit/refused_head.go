package connlimit

import (
	"io"
	"time"

	"github.com/shedhoist/shedhoist/internal/metric"
)

// Responses to heads that are not read to their end. Nothing of such a request has run.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTooSlow  = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom       = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
)

// Bounds of the time and the bytes in which a caller may notice that its head was refused, before the connection is
// closed: a connection that is closed with unread bytes is reset, and the caller may lose the response.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// refuseHead answers a head that is not read to its end. The server closes the connection then, without a response of its
// own: what it might write fails.
func (c *Conn) refuseHead(response, reason string) error {
	metric.HeadsRefused(reason).Inc()
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	if _, err := io.WriteString(c.Conn, response); err == nil && c.closeWrite() == nil && response != noRoom {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends as the caller does, or at the deadline
	}
	return &RefusedHeadError{Reason: reason}
}

// RefusedHeadError reports that the rest of a head is not read. It is a net.Error that net/http takes for a timeout: it
// closes the connection without a response.
type RefusedHeadError struct{ Reason string }

// Error implements error.
func (e *RefusedHeadError) Error() string { return "head of a request refused: " + e.Reason }

// Timeout implements net.Error.
func (*RefusedHeadError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*RefusedHeadError) Temporary() bool { return false }
