package gateway

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/inflight"
	"github.com/shedhoist/shedhoist/internal/netx"
	"github.com/shedhoist/shedhoist/internal/peer"
)

// upstream sends requests to targets.
type upstream struct {
	singleUseClient *http.Client // opens a new connection for each request
	relayedClient   *http.Client // opens a new connection through a peer for each request
	dial            peer.DialFunc
	dialRelayed     func(ctx context.Context, to dialTarget) (net.Conn, error)
	inflight        *inflight.Loads

	mu                 sync.Mutex
	keepAliveClients   map[time.Duration]*http.Client // by idle timeout
	serviceIdleTimeout map[string]time.Duration       // by service: the shortest that its targets allow
}

// Limits of connections to targets.
const (
	// targetConnectTimeout bounds a connect: round trips between zones take 3 ms, a new
	// connection 1 ms of the target's time.
	targetConnectTimeout = 400 * time.Millisecond
	// maxIdlePerTarget is the number of idle connections kept to one target: an instance
	// has one to four requests there at a time.
	maxIdlePerTarget = 4
	// minTargetIdleTimeout is how long idle connections are kept where targets announce no
	// keep-alive timeout: less than the shortest that can be announced.
	minTargetIdleTimeout = 900 * time.Millisecond
	// idleCloseMargin is how much earlier than the target an instance closes an idle
	// connection: the announced timeout is in whole seconds, and no request may be sent
	// while the target closes the connection.
	idleCloseMargin = 1500 * time.Millisecond
	// maxTargetIdleTimeout bounds the idle timeout, so that few connections are held open.
	maxTargetIdleTimeout = 8 * time.Second
)

func newUpstream() *upstream { return newUpstreamWithDial(nil) }

// newUpstreamWithDial returns an upstream that connects with dial; nil is the machine's
// own network.
func newUpstreamWithDial(dial peer.DialFunc) *upstream {
	if dial == nil {
		dial = netx.LimitedDialer(targetConnectTimeout, connlimit.ReceiveBuffer).DialContext
	}
	u := &upstream{dial: dial, singleUseClient: newClient(dial, 0, 0), inflight: inflight.New(), keepAliveClients: map[time.Duration]*http.Client{}, serviceIdleTimeout: map[string]time.Duration{}}
	u.relayedClient = u.newRelayedClient()
	return u
}

// newRelayedClient returns a client that connects through peers. It keeps no connections: an open
// one stands for a request to the peer that carries it, and the next request may need no relay.
func (u *upstream) newRelayedClient() *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		to, _ := ctx.Value(dialKey{}).(dialTarget)
		return u.dialRelayed(ctx, to)
	}
	return &http.Client{Transport: netx.NewTransport(netx.TransportOptions{Dial: dial}), CheckRedirect: netx.NoRedirect}
}

// newClient returns a client that pools connections by target incarnation: a connection to
// an earlier incarnation, perhaps broken by a network partition, is never used for a later one.
func newClient(dial peer.DialFunc, perTarget int, idle time.Duration) *http.Client {
	dialFromContext := func(ctx context.Context, network, _ string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, targetConnectTimeout)
		defer cancel()
		to, _ := ctx.Value(dialKey{}).(dialTarget)
		if to.onSlow != nil {
			defer time.AfterFunc(slowConnectThreshold, to.onSlow).Stop()
		}
		conn, err := dial(ctx, network, to.address)
		if to.onEnd != nil {
			to.onEnd(err)
		}
		return conn, err
	}
	return &http.Client{Transport: netx.NewTransport(netx.TransportOptions{Dial: dialFromContext, MaxIdlePerHost: perTarget, IdleTimeout: idle}), CheckRedirect: netx.NoRedirect}
}

// dialKey is the context key of a dialTarget.
type dialKey struct{}

// dialTarget holds the parameters of a dial, passed in its context.
type dialTarget struct {
	address string
	zone    string
	onSlow  func()          // called once the connect has taken slowConnectThreshold; may be nil
	onEnd   func(err error) // called with the result of the connect; may be nil
	// onRelay is called with the name of the peer through which the target was reached; may be nil.
	onRelay func(peer string)
}

// incarnationHost returns a host name that is unique to a target's incarnation. The
// transport pools connections by it.
func incarnationHost(id string) string { return "t" + strconv.FormatUint(xxhash.Sum64String(id), 16) }

// keepAliveClient returns the client whose idle timeout is the one known for a service's
// targets.
func (u *upstream) keepAliveClient(service string) *http.Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	idle, known := u.serviceIdleTimeout[service]
	if !known {
		idle = minTargetIdleTimeout
	}
	c := u.keepAliveClients[idle]
	if c == nil {
		c = newClient(u.dial, maxIdlePerTarget, idle)
		u.keepAliveClients[idle] = c
	}
	return c
}

// learnKeepAlive records the keep-alive timeout that a target announced. It is in whole
// seconds, so there are few distinct values, and few clients.
func (u *upstream) learnKeepAlive(service string, announced time.Duration) {
	if announced <= 0 {
		return
	}
	idle := min(max(announced-idleCloseMargin, minTargetIdleTimeout), maxTargetIdleTimeout).Truncate(minTargetIdleTimeout / 2)
	u.mu.Lock()
	defer u.mu.Unlock()
	if current, ok := u.serviceIdleTimeout[service]; !ok || idle < current {
		u.serviceIdleTimeout[service] = idle
	}
}

// closeIdle closes the connections that no request uses.
func (u *upstream) closeIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.keepAliveClients {
		c.CloseIdleConnections()
	}
}

// upstreamRequest is a request to be sent to a target.
type upstreamRequest struct {
	service   string
	targetID  string // id of the target's incarnation
	dial      dialTarget
	method    string
	url       *url.URL // the caller's; path and query are sent unchanged
	host      string
	header    http.Header
	body      *body.Body
	reuseConn bool // a keep-alive connection may be used
	relayed   bool // it is sent through a peer
}

// send issues the request once. Its body can't be rewound, so that net/http never retries
// it by itself.
func (u *upstream) send(ctx context.Context, o upstreamRequest) (resp *http.Response, way netx.SendInfo, err error) {
	to := &url.URL{Scheme: "http", Host: incarnationHost(o.targetID), Path: o.url.Path, RawPath: o.url.RawPath, RawQuery: o.url.RawQuery, ForceQuery: o.url.ForceQuery}
	req := (&http.Request{Method: o.method, URL: to, Host: o.host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: o.header, Body: netx.SingleUseBody(o.body.Reader()),
		ContentLength: int64(o.body.Len())}).WithContext(context.WithValue(ctx, dialKey{}, o.dial))
	if req.Host == "" {
		req.Host = o.dial.address
	}
	switch {
	case o.relayed:
		return netx.Send(u.relayedClient, req)
	case o.reuseConn:
		return netx.Send(u.keepAliveClient(o.service), req)
	}
	return netx.Send(u.singleUseClient, req)
}
