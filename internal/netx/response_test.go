package netx

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestInvalidResponses guards against a client of any server that takes a response for one though a part of it is none in
// HTTP, and against one that refuses a sound response.
func TestInvalidResponses(t *testing.T) {
	const ok, okay = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\nokay"
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for name, c := range map[string]struct {
		response string
		valid    bool
	}{
		"sound":                       {ok + "X-Y: v\r\n" + okay, true},
		"all bytes of names":          {ok + "!#$%&'*+-.^_`|~09azAZ: v\r\n" + okay, true},
		"value of Latin-1":            {ok + "X: \xe9\r\n" + okay, true},
		"folded value":                {ok + "X: v\r\n w\r\n" + okay, true},
		"no length":                   {ok + "\r\nokay", true},
		"sound trailer":               {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nokay\r\n0\r\nX: v\r\n\r\n", true},
		"informational":               {hints + ok + okay, true},
		"many informational":          {strings.Repeat(hints, maxResponseHeaderBytes/len(hints)) + ok + okay, true},
		"too many informational":      {strings.Repeat(hints, 2*maxResponseHeaderBytes/len(hints)) + ok + okay, false},
		"status":                      {"HTTP/1.1 000 Trouble\r\n" + okay, false},
		"blank in a name":             {ok + "X Y: v\r\n" + okay, false},
		"blank before the colon":      {ok + "Content-Length : 4\r\n\r\nokay", false},
		"control byte in a name":      {ok + "X\x01Y: v\r\n" + okay, false},
		"control byte in a value":     {ok + "X: \x01\r\n" + okay, false},
		"informational, its name":     {"HTTP/1.1 103 Early Hints\r\nX Y: v\r\n\r\n" + ok + okay, false},
		"trailer, its name":           {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nokay\r\n0\r\nX Y: v\r\n\r\n", false},
		"trailer, a control byte":     {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nokay\r\n0\r\nX\x01: v\r\n\r\n", false},
		"long name":                   {ok + strings.Repeat("x ", 10_000) + ": v\r\n" + okay, false},
		"blank in a name of no value": {ok + "internal error while reading:\r\n" + okay, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = io.WriteString(far, c.response) // the client may read a part of it
				}
			}()
			transport := NewTransport(TransportOptions{Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
			body, err := get(transport)
			if c.valid {
				is.NoErr(err)
				is.Equal(body, "okay")
				return
			}
			is.True(IsInvalidResponse(err))
			is.True(len(err.Error()) < 2*maxReason)
		})
	}
}

// get sends a request and returns the body of the response.
func get(transport http.RoundTripper) (string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://t/", nil)
	if err != nil {
		return "", err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
