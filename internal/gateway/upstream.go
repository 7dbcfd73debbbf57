package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/netx"
	"github.com/shedhoist/shedhoist/internal/peer"
)

// upstream sends requests to targets.
type upstream struct {
	singleUseClient *http.Client // a connection for each request
	dial            peer.DialFunc
	inflight        *inflight.Loads

	mu                 sync.Mutex
	keepAliveClients   map[time.Duration]*http.Client // by how long unused connections are kept
	serviceIdleTimeout map[string]time.Duration       // the shortest such time that a service's targets told
}

// Bounds of connections to targets.
const (
	// targetConnectTimeout bounds a connect: round trips between zones take 3 ms, a new
	// connection a millisecond of the target's time.
	targetConnectTimeout = 400 * time.Millisecond
	// maxIdlePerTarget is how many unused connections to one target are kept: an instance
	// has one to four requests there at a time.
	maxIdlePerTarget = 4
	// minTargetIdleTimeout is how long they are kept where targets do not say for how long they keep
	// theirs: less than the shortest time that can be said.
	minTargetIdleTimeout = 900 * time.Millisecond
	// idleCloseMargin is how much earlier than a target an instance closes: the time that is
	// said is in whole seconds, and a request must not cross the target's close.
	idleCloseMargin = 1500 * time.Millisecond
	// maxTargetIdleTimeout bounds the time for any target, so that few connections are held open.
	maxTargetIdleTimeout = 8 * time.Second
)

func newUpstream() *upstream { return newUpstreamWithDial(nil) }

// newUpstreamWithDial is newUpstream on another network; nil is this machine's.
func newUpstreamWithDial(dial peer.DialFunc) *upstream {
	if dial == nil {
		dial = netx.Dialer(targetConnectTimeout).DialContext
	}
	return &upstream{dial: dial, singleUseClient: newClient(dial, 0, 0), inflight: inflight.New(), keepAliveClients: map[time.Duration]*http.Client{}, serviceIdleTimeout: map[string]time.Duration{}}
}

// newClient returns a client that keeps connections by the life of a target: one that was
// opened to an earlier life, perhaps behind a cut, is never used for a later one.
func newClient(dial peer.DialFunc, perTarget int, idle time.Duration) *http.Client {
	t := netx.Transport(netx.TransportOptions{ConnectTimeout: targetConnectTimeout, MaxIdlePerHost: perTarget, IdleTimeout: idle})
	t.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, targetConnectTimeout)
		defer cancel()
		to, _ := ctx.Value(dialKey{}).(dialTarget)
		if to.onSlow != nil {
			defer time.AfterFunc(slowConnectThreshold, to.onSlow).Stop()
		}
		return dial(ctx, network, to.address)
	}
	return &http.Client{Transport: t, CheckRedirect: netx.NoRedirect}
}

// dialKey is the context's key of a dialTarget.
type dialKey struct{}

// dialTarget is what a dial is told by its context.
type dialTarget struct {
	address string
	onSlow  func() // is called once the connect has taken slowConnectThreshold; nil: nothing is
}

// incarnationHost stands for a target's life in place of a host's name.
func incarnationHost(id string) string { return "t" + strconv.FormatUint(xxhash.Sum64String(id), 16) }

// keepAliveClient is the client whose connections are kept for as long as a service's targets
// bear.
func (u *upstream) keepAliveClient(service string) *http.Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	idle, said := u.serviceIdleTimeout[service]
	if !said {
		idle = minTargetIdleTimeout
	}
	c := u.keepAliveClients[idle]
	if c == nil {
		c = newClient(u.dial, maxIdlePerTarget, idle)
		u.keepAliveClients[idle] = c
	}
	return c
}

// learnKeepAlive takes a target's word of how long it keeps unused connections. What it says is
// in whole seconds, so there are few different ones.
func (u *upstream) learnKeepAlive(service string, said time.Duration) {
	if said <= 0 {
		return
	}
	idle := min(max(said-idleCloseMargin, minTargetIdleTimeout), maxTargetIdleTimeout).Truncate(minTargetIdleTimeout / 2)
	u.mu.Lock()
	defer u.mu.Unlock()
	if known, ok := u.serviceIdleTimeout[service]; !ok || idle < known {
		u.serviceIdleTimeout[service] = idle
	}
}

func (u *upstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.keepAliveClients {
		c.CloseIdleConnections()
	}
}

// upstreamRequest is one request on its way to a target.
type upstreamRequest struct {
	service   string
	targetID  string // id of the life that is meant
	address   string
	onSlow    func() // see dialTarget
	method    string
	url       *url.URL // the caller's: its path and query are sent as they were written
	host      string
	header    http.Header
	body      []byte
	reuseConn bool // a kept connection will do
}

// send issues the request once. The body can't be rewound, so that net/http never sends it
// a second time.
func (u *upstream) send(ctx context.Context, o upstreamRequest) (resp *http.Response, way netx.SendInfo, err error) {
	to := &url.URL{Scheme: "http", Host: incarnationHost(o.targetID), Path: o.url.Path, RawPath: o.url.RawPath, RawQuery: o.url.RawQuery, ForceQuery: o.url.ForceQuery}
	req := (&http.Request{Method: o.method, URL: to, Host: o.host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: o.header, Body: netx.SingleUseBody(bytes.NewReader(o.body)),
		ContentLength: int64(len(o.body))}).WithContext(context.WithValue(ctx, dialKey{}, dialTarget{address: o.address, onSlow: o.onSlow}))
	if req.Host == "" {
		req.Host = o.address
	}
	if o.reuseConn {
		return netx.Send(u.keepAliveClient(o.service), req)
	}
	return netx.Send(u.singleUseClient, req)
}
