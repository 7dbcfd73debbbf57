package connlimit

import (
	"bytes"
	"net/http"
	"time"
)

const (
	// defaultHeaderBytes limits a head where the configuration sets no limit.
	defaultHeaderBytes = 64 << 10
	// serverReadAhead is how many bytes net/http reads at a time: behind a head as much of the body may have
	// been read.
	serverReadAhead = 4 << 10
)

// MaxHeaderBytes is the largest head that a configuration may allow, for http.Server.
const MaxHeaderBytes = 1 << 20

// headSize is the size of a head, or of a part of one.
type headSize struct {
	bytes, lines int64
}

func sizeOf(p []byte) headSize {
	return headSize{bytes: int64(len(p)), lines: int64(bytes.Count(p, []byte{'\n'}))}
}

func (s headSize) plus(more headSize) headSize {
	return headSize{bytes: s.bytes + more.bytes, lines: s.lines + more.lines}
}

// followedBy returns a bound on the size of the last bytes read, as many as the server may hold, after more were read.
func (s headSize) followedBy(more headSize) headSize {
	if more.bytes >= serverReadAhead {
		return more
	}
	sum := s.plus(more)
	sum.bytes = min(sum.bytes, serverReadAhead)
	sum.lines = min(sum.lines, sum.bytes)
	return sum
}

// parsedSize returns the size of a head that has been parsed.
func parsedSize(r *http.Request) headSize {
	line := headSize{bytes: int64(len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)), lines: 2}
	return sizeOfHeader(r.Header).plus(line)
}

func sizeOfHeader(h http.Header) (size headSize) {
	for name, values := range h {
		for _, v := range values {
			size.bytes += int64(len(name) + len(v))
			size.lines++
		}
	}
	return size
}

// headerBytes returns the size of the largest head in force.
func (l *Limiter) headerBytes() int64 {
	if l.options.HeaderBytes != nil {
		if n := l.options.HeaderBytes(); n > 0 {
			return int64(min(n, MaxHeaderBytes))
		}
	}
	return defaultHeaderBytes
}

// headerTimeout returns how long a head may take; 0: as long as the server allows.
func (l *Limiter) headerTimeout() time.Duration {
	if l.options.HeaderTimeout == nil {
		return 0
	}
	return l.options.HeaderTimeout()
}
