package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/logline"
	"github.com/shedhoist/shedhoist/internal/netx"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/resources"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Limits of the listeners, independent of the configuration.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second // above any idle limit announced to callers
)

func (g *Gateway) listen(ports Ports) error {
	set := g.settings()
	sec := peer.Security{Secret: []byte(peerSecret)}
	g.pool = peer.NewPoolWithDialer(ports.Dial, sec, g.now)
	var err error
	if g.peers, err = peer.NewServerFor(peerService, &peerHandler{g}, sec); err != nil {
		return err
	}
	g.peers.SetTunnels(g.relays.open)
	for _, l := range [...]struct {
		into    *net.Listener
		address string
	}{{&g.callerLn, set.CallerListen}, {&g.readyLn, set.ReadyListen}, {&g.peerLn, set.PeerListen}, {&g.metricsLn, set.MetricsListen}} {
		if l.address == "" {
			continue
		}
		if *l.into, err = ports.Listen(l.address); err != nil {
			return err
		}
	}
	limits := resources.ShareDescriptors(cmp.Or(set.Descriptors, resources.SystemDescriptors()))
	g.peers.SetMaxConns(limits.Peers)
	g.serveCallersOn(ports, limits.Callers)
	g.readySrv = g.newAdminServer(ports, "readiness", g.readyLn, g.serveReady)
	if g.metricsLn != nil {
		g.metricsSrv = g.newAdminServer(ports, "metrics", g.metricsLn, g.serveMetrics)
	}
	return nil
}

// serveCallersOn makes the server of the callers' listener.
func (g *Gateway) serveCallersOn(ports Ports, maxDescriptors int) {
	idle := &idleConns{limit: g.idleLimit, close: func(conn net.Conn) { g.callerSrv.CloseIdle(conn) }}
	srv := &http.Server{Handler: http.HandlerFunc(g.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: connlimit.MaxHeaderBytes, ErrorLog: logline.Logger(g.log), ConnState: idle.onStateChange}
	g.callerLimiter = connlimit.New(connlimit.Options{Name: "callers", Budget: g.buffers, MaxDescriptors: maxDescriptors,
		HeaderBytes: g.headerLimit, HeaderTimeout: g.headerTimeLimit, Costs: *ports.ConnCosts, Log: g.log, Now: g.now})
	g.callerLimiter.Attach(srv, http.HandlerFunc(g.refuseForRoom))
	netx.LimitReceiveBuffer(g.callerLn, connlimit.ReceiveBuffer)
	g.callerSrv = drain.NewServer(srv, g.callerLn, nil, g.log)
	g.callerSrv.WrapListener(g.callerLimiter.Listener)
}

// maxAdminHeaderBytes is the largest head that a listener for the load balancer or for operators takes.
const maxAdminHeaderBytes = 4 << 10

// newAdminServer makes a server whose requests are answered also while callers use up their share of the memory.
func (g *Gateway) newAdminServer(ports Ports, name string, ln net.Listener, handler http.HandlerFunc) *drain.Server {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxAdminHeaderBytes, ErrorLog: logline.Logger(g.log)}
	limiter := connlimit.New(connlimit.Options{Name: name, Budget: g.buffers, Essential: true, MaxDescriptors: resources.MaxAdminConns,
		HeaderBytes: func() int { return maxAdminHeaderBytes }, Costs: *ports.ConnCosts, Log: g.log, Now: g.now})
	limiter.Attach(srv, nil)
	netx.LimitReceiveBuffer(ln, connlimit.ReceiveBuffer)
	out := drain.NewServer(srv, ln, nil, g.log)
	out.WrapListener(limiter.Listener)
	return out
}

// countUnread counts what the kernel holds unread of callers' connections, as long as it may be much.
func (g *Gateway) countUnread(ctx context.Context) {
	for wait.For(ctx, connlimit.UnreadInterval) {
		g.callerLimiter.CountUnread()
	}
}

// headerLimit returns the configured size of the largest head of a request, in bytes; 0: none.
func (g *Gateway) headerLimit() int {
	if cfg := g.view.Load().Config; cfg != nil {
		return cfg.Limits.HeaderBytes
	}
	return 0
}

// headerTimeLimit returns how long the configuration allows for a head; 0: no limit of its own.
func (g *Gateway) headerTimeLimit() time.Duration {
	if cfg := g.view.Load().Config; cfg != nil {
		return cfg.Limits.HeaderTimeout
	}
	return 0
}

// idleLimit returns the configured idle timeout of callers' connections; 0: none.
func (g *Gateway) idleLimit() time.Duration {
	if cfg := g.view.Load().Config; cfg != nil {
		return cfg.Limits.IdleTimeout
	}
	return 0
}
