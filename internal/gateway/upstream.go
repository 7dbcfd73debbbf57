package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/netx"
)

// upstream sends requests to targets.
type upstream struct {
	kept  *http.Client // connections are kept: for requests that may run twice
	fresh *http.Client // a connection for each request
	work  *inflight.Loads
}

// Bounds of connections to targets.
const (
	// targetConnect bounds a connect: round trips between zones take 3 ms, a new
	// connection a millisecond of the target's time.
	targetConnect = 400 * time.Millisecond
	keptPerTarget = 16
	// keptIdle is below the idle timeouts that targets announce, in whole seconds.
	keptIdle = 900 * time.Millisecond
)

func newUpstream() *upstream {
	client := func(idle int) *http.Client {
		return &http.Client{Transport: netx.Transport(netx.TransportOptions{Connect: targetConnect, IdlePerHost: idle, IdleFor: keptIdle}),
			CheckRedirect: netx.NoRedirect}
	}
	return &upstream{kept: client(keptPerTarget), fresh: client(0), work: inflight.New()}
}

func (u *upstream) close() { u.kept.CloseIdleConnections() }

// outgoing is one request on its way to a target.
type outgoing struct {
	address string
	method  string
	url     *url.URL // the caller's: its path and query are sent as they were written
	host    string
	header  http.Header
	body    []byte
	reuse   bool // a kept connection will do
}

// send issues the request once. sent says whether any byte of it may have
// reached the target. The body can't be rewound, so that net/http never sends it
// a second time.
func (u *upstream) send(ctx context.Context, o outgoing) (resp *http.Response, sent bool, err error) {
	to := &url.URL{Scheme: "http", Host: o.address, Path: o.url.Path, RawPath: o.url.RawPath, RawQuery: o.url.RawQuery, ForceQuery: o.url.ForceQuery}
	req := (&http.Request{Method: o.method, URL: to, Host: o.host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: o.header, Body: netx.OnceBody(bytes.NewReader(o.body)),
		ContentLength: int64(len(o.body))}).WithContext(ctx)
	if o.reuse {
		return netx.Send(u.kept, req)
	}
	return netx.Send(u.fresh, req)
}
