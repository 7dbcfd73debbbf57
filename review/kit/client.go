package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, path, method string
	parts            string
	tokens           string
	deadline         time.Duration
	body             string
}

// outcome is how an attempt ended for its client.
type outcome struct {
	status    int
	signature string
	body      string
	err       error
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, then %v", o.status, o.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes", o.status, o.signature, len(o.body))
}

// client keeps one connection to a machine.
type client struct {
	f    *fleet
	to   string
	http *http.Client
}

func (f *fleet) newClient(i *instance) *client {
	return &client{f: f, to: i.front, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// send makes one attempt and returns how it ended.
func (c *client) send(r request) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.to+r.path, io.NopCloser(strings.NewReader(r.body)))
	must(err)
	req.ContentLength = int64(len(r.body))
	req.Host = "pule25.example"
	req.Header.Set(headerID, r.id)
	req.Header.Set("Shedhoist-Key", "nu6wsjnbanfqasnmgkcu")
	req.Header.Set("Shedhoist-Request-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if r.parts != "" {
		req.Header.Set("Shedhoist-Model", "daka510000")
		req.Header.Set("Shedhoist-Token-Count", r.tokens)
		req.Header.Set("Shedhoist-Prompt-Prefix", r.parts)
	}
	var out outcome
	resp, err := c.http.Do(req)
	if err != nil {
		out.err = err
		c.f.rec.line("client: request %s to %s: %v", r.id, c.to, out)
		return out
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	out.status, out.signature, out.body, out.err = resp.StatusCode, resp.Header.Get(headerSignature), string(data), err
	c.f.rec.line("client: request %s to %s: %v", r.id, c.to, out)
	return out
}
