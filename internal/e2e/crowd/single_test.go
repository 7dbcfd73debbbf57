package crowd_test

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
)

// single requests that use up what the limits allow, each with the size of its body.
var single = []struct {
	name    string
	request func() io.Reader
	body    int
}{
	{"a small request", func() io.Reader { return strings.NewReader(requestHead("GET", "/open/x", "s") + "\r\n") }, 0},
	{"many short header lines", func() io.Reader {
		return strings.NewReader(requestHead("GET", "/open/x", "s") + shortLines(legal) + "\r\n")
	}, 0},
	{"many header lines of one name", func() io.Reader {
		return strings.NewReader(requestHead("GET", "/open/x", "s") + strings.Repeat("a:\r\n", legal/4) + "\r\n")
	}, 0},
	{"one long header line", func() io.Reader {
		return strings.NewReader(requestHead("GET", "/open/x", "s") + "a: " + strings.Repeat("x", legal) + "\r\n\r\n")
	}, 0},
	{"a large body of known length", func() io.Reader {
		return strings.NewReader(requestHead("POST", "/open/x", "s") + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes) + strings.Repeat("x", maxBodyBytes))
	}, maxBodyBytes},
	{"a large body in large chunks", func() io.Reader {
		return strings.NewReader(requestHead("POST", "/open/x", "s") + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(piece), maxBodyBytes/piece) + "0\r\n\r\n")
	}, maxBodyBytes},
	{"a large body in small chunks", func() io.Reader {
		return strings.NewReader(requestHead("POST", "/open/x", "s") + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(1), maxBodyBytes/8) + "0\r\n\r\n")
	}, maxBodyBytes / 8},
}

// TestSingleLargeRequests guards against limits that refuse what the pages allow: one request after another at a
// process at rest, each as large as the configuration lets it be.
func TestSingleLargeRequests(t *testing.T) {
	p := startInstance(t)
	for _, tt := range single {
		t.Run(tt.name, func(t *testing.T) {
			got, err := p.exchange(tt.request())
			if err != nil || string(got) != strconv.Itoa(tt.body) {
				t.Errorf("got %q, %v; want the target's answer to %d bytes", got, err, tt.body)
			}
		})
	}
	t.Run("a large answer", func(t *testing.T) {
		got, err := p.exchange(strings.NewReader(requestHead("GET", "/large/x", "s") + "\r\n"))
		if err != nil || len(got) != largeAnswer {
			t.Errorf("got %d bytes, %v; want %d", len(got), err, largeAnswer)
		}
	})
	p.usage.check()
}
