// Package daemon connects the caller, operator and peer listeners with the core
// logic in one process per entry instance; all instances are equal. One control
// goroutine owns the control state; request goroutines read the view that it
// publishes.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/caller"
	"github.com/shedhoist/shedhoist/internal/certs"
	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/core/buffer"
	"github.com/shedhoist/shedhoist/internal/core/cache"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/kvstore"
	"github.com/shedhoist/shedhoist/internal/ledger"
	"github.com/shedhoist/shedhoist/internal/logline"
	"github.com/shedhoist/shedhoist/internal/netx"
	"github.com/shedhoist/shedhoist/internal/operator"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/resources"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Daemon is one entry instance.
type Daemon struct {
	set   *settings.Settings
	log   log.Interface
	now   func() time.Time
	store platform.Store
	repo  *config.Repo

	ctx    context.Context
	stop   context.CancelFunc
	events chan event
	// controlDone is closed when the control goroutine has ended.
	controlDone chan struct{}
	done        sync.WaitGroup

	view       view.Holder
	hints      *cache.Hints
	explainLog *explain.Log
	engines    *target.Client
	dispatch   *dispatch.Dispatcher
	callers    *caller.Server
	admission  *admission
	ledger     *ledger.Ledger
	pool       *peer.Pool
	peers      *peer.Server

	fetchingConfig atomic.Bool
	platformOK     atomic.Bool
	observedCount  atomic.Int64 // number of targets that this instance probes

	budget        *buffer.Budget // bytes that callers make this instance hold in memory
	callerLimiter *connlimit.Limiter

	callerLn, operatorLn, peerLn net.Listener
	callerSrv, operatorSrv       *drain.Server
}

// streamIdleTimeout is the longest pause between two pieces of a response stream.
const streamIdleTimeout = 10 * time.Second

// eventQueueSize is the capacity of the queue of control events.
const eventQueueSize = 1024

// New opens the listeners on all addresses of the settings but does not serve yet.
// If it fails, all listeners are closed.
func New(set *settings.Settings, logger log.Interface) (*Daemon, error) {
	d := &Daemon{set: set, log: logger.WithField("instance", set.Name).WithField("zone", set.Zone), now: time.Now,
		events: make(chan event, eventQueueSize), controlDone: make(chan struct{}), hints: cache.NewHints(cache.DefaultHintKeys), explainLog: explain.NewLog(set.Limits.WhyRecords)}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.budget = buffer.New(resources.CallerMemory(set.Limits.MemoryBytes()))
	d.store = platform.NewClient(set.Platform.URL, set.Platform.Token, nil)
	d.repo = &config.Repo{Store: d.store, Now: d.now}
	d.ledger = ledger.New(d.ctx, d.store, atmostonce.DefaultParams, d.now)
	d.engines = target.NewClient(settings.Duration(set.Timing.ConnectMS))
	d.admission = newAdmission(d.now)
	d.dispatch = &dispatch.Dispatcher{Instance: set.Name, Zone: set.Zone, View: &d.view, Targets: d.engines,
		Stores: kvstore.NewClient(settings.Duration(set.Timing.ConnectMS)), Hints: d.hints, Explain: d.explainLog, Log: d.log, Now: d.now,
		Ledger: ledgerClient{d}, StreamIdleTimeout: streamIdleTimeout, MaxResponseBytes: int64(set.Limits.AnswerBytes)}
	d.dispatch.Init(d.ctx)
	d.callers = &caller.Server{View: &d.view, Dispatch: d.dispatch, Admission: d.admission, Limits: set.Limits, Log: d.log, Now: d.now}
	if err := d.listen(); err != nil {
		d.closeListeners()
		d.stop()
		return nil, err
	}
	return d, nil
}

// listen opens the listeners for callers, operators and peers, with TLS where
// certificates are set, and builds their servers.
func (d *Daemon) listen() error {
	t := d.set.TLS
	sec := peer.Security{Secret: []byte(d.set.Peers.Secret)}
	if t.PeerCert != "" {
		src, err := certs.Load(certs.Files{Cert: t.PeerCert, Key: t.PeerKey, CA: t.PeerCA}, d.now)
		if err != nil {
			return err
		}
		sec.TLS = src
	}
	d.pool = peer.NewPool(sec, d.now)
	var err error
	if d.peers, err = peer.NewServer(d, sec, d.pool); err != nil {
		return err
	}
	if d.peerLn, err = net.Listen("tcp", d.set.Listen.Peers); err != nil {
		return err
	}
	callerTLS, err := d.serverTLS(t.CallerCert, t.CallerKey)
	if err != nil {
		return err
	}
	operatorTLS, err := d.serverTLS(t.OperatorCert, t.OperatorKey)
	if err != nil {
		return err
	}
	if d.callerLn, err = netx.ListenDefault(d.set.Listen.Callers); err != nil {
		return err
	}
	if d.operatorLn, err = netx.ListenDefault(d.set.Listen.Operators); err != nil {
		return err
	}
	limits := resources.ShareDescriptors(resources.SystemDescriptors())
	d.peers.SetMaxConns(limits.Peers)
	d.callerLimiter = d.newLimiter("callers", callerTLS, connlimit.Options{MaxDescriptors: limits.Callers})
	d.callerSrv = d.newServer(d.callerHandler(), d.callerLn, callerTLS, d.callerLimiter)
	ops := &operator.Edge{State: d, Keys: d.set.Operators.KeyHashes}
	opsLimiter := d.newLimiter("operators", operatorTLS, connlimit.Options{Essential: true, MaxDescriptors: resources.MaxAdminConns})
	d.operatorSrv = d.newServer(ops.Handler(), d.operatorLn, operatorTLS, opsLimiter)
	return nil
}

// tlsBytes is what TLS adds to the cost of a connection, in bytes of memory.
const tlsBytes = 40 << 10

// newLimiter completes the options of a limiter for the connections of one listener.
func (d *Daemon) newLimiter(name string, tlsConfig *tls.Config, o connlimit.Options) *connlimit.Limiter {
	o.Name, o.Budget, o.Costs, o.Log, o.Now = name, d.budget, connlimit.DefaultCosts, d.log, d.now
	o.HeaderBytes = func() int { return d.set.Limits.HeaderBytes }
	if tlsConfig != nil {
		o.Costs.Conn += tlsBytes
	}
	return connlimit.New(o)
}

func (d *Daemon) newServer(h http.Handler, ln net.Listener, tlsConfig *tls.Config, limiter *connlimit.Limiter) *drain.Server {
	l := d.set.Limits
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Duration(l.HeaderSeconds) * time.Second,
		IdleTimeout: time.Duration(l.IdleSeconds) * time.Second, MaxHeaderBytes: l.HeaderBytes, ErrorLog: logline.Logger(d.log)}
	limiter.Attach(srv, http.HandlerFunc(caller.RefuseForRoom))
	netx.LimitReceiveBuffer(ln, connlimit.ReceiveBuffer)
	out := drain.NewServer(srv, ln, tlsConfig, d.log)
	out.WrapListener(limiter.Listener)
	return out
}

// countUnread counts what the kernel holds unread of callers' connections, as long as it may be much.
func (d *Daemon) countUnread(ctx context.Context) {
	for wait.For(ctx, connlimit.UnreadInterval) {
		d.callerLimiter.CountUnread()
	}
}

// serverTLS returns the configuration of a TLS server, or nil if no certificate is set.
func (d *Daemon) serverTLS(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	src, err := certs.Load(certs.Files{Cert: cert, Key: key}, d.now)
	if err != nil {
		return nil, err
	}
	return src.Server(), nil
}

func (d *Daemon) closeListeners() {
	for _, ln := range [...]net.Listener{d.callerLn, d.operatorLn, d.peerLn} {
		if ln != nil {
			ln.Close()
		}
	}
}

// CallerAddr returns the address of the listener for callers.
func (d *Daemon) CallerAddr() string { return d.callerLn.Addr().String() }

// OperatorAddr returns the address of the listener for operators.
func (d *Daemon) OperatorAddr() string { return d.operatorLn.Addr().String() }

// PeerAddr returns the address of the listener for peers.
func (d *Daemon) PeerAddr() string { return d.peerLn.Addr().String() }

// Start starts the background loops and serves on all listeners.
func (d *Daemon) Start() {
	advertise := d.set.Peers.Advertise
	if advertise == "" {
		advertise = d.PeerAddr()
	}
	params := member.DefaultParams
	params.Period = settings.Duration(d.set.Timing.HeartbeatMS)
	params.SuspicionTimeout = 6 * params.Period
	self := member.Member{Name: d.set.Name, Address: advertise, Zone: d.set.Zone, Incarnation: uint64(d.now().UnixMilli())}
	c := &control{targets: observe.New(observe.ParamsFor(params.Period)), members: member.New(params, self, rand.IntN), now: d.now}
	for _, f := range [...]func(context.Context){
		func(ctx context.Context) { d.run(ctx, c) }, d.followConfig, d.followMachines, d.probeTargets, d.joinSeeds, d.runRollouts, d.countUnread,
	} {
		d.done.Add(1)
		go func() {
			defer d.done.Done()
			f(d.ctx)
		}()
	}
	serve := func(listener string, f func() error) {
		go func() {
			if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && d.ctx.Err() == nil {
				d.log.WithError(err).WithField("listener", listener).Error("listener stopped unexpectedly")
			}
		}()
	}
	serve("callers", d.callerSrv.Serve)
	serve("operators", d.operatorSrv.Serve)
	serve("peers", func() error { return d.peers.Serve(d.peerLn) })
	d.log.WithField("callers", d.CallerAddr()).WithField("operators", d.OperatorAddr()).WithField("peers", advertise).Info("started")
}

// Ready reports whether this instance should receive callers' requests: it has a
// configuration, has probed every target at least once, and is not draining.
func (d *Daemon) Ready() bool {
	v := d.view.Load()
	return v.Config != nil && v.TargetsProbed && !v.Draining
}

// callerHandler adds the load balancer's health endpoints to the callers' API.
// While the instance drains it sends Connection: close, so that callers
// reconnect to another instance.
func (d *Daemon) callerHandler() http.Handler {
	api := d.callers.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/livez":
			w.WriteHeader(http.StatusOK)
			return
		case "/readyz":
			if !d.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		if d.view.Load().Draining {
			w.Header().Set("Connection", "close")
		}
		api.ServeHTTP(w, r)
	})
}

func (d *Daemon) recordPlatformResult(err error) { d.platformOK.Store(err == nil) }

// CutError reports how many requests a shutdown aborted.
type CutError struct{ Requests int64 }

// Error implements error.
func (e *CutError) Error() string { return "daemon: shutdown aborted requests in flight" }

// idleLinger is how long a stopping process keeps idle connections open: callers on
// machines that stall for seconds still get their requests in, and a stop may take
// two minutes.
const idleLinger = 5 * time.Second

// Shutdown stops the daemon gracefully. It reports not ready at once, keeps
// accepting requests until the load balancer has had time to notice, and then
// finishes the requests in flight. It returns a *CutError if ctx ends or the drain
// deadline passes while requests are still running.
func (d *Daemon) Shutdown(ctx context.Context) error {
	notice, drainTimeout := settings.Duration(d.set.Timing.DrainNoticeMS), settings.Duration(d.set.Timing.DrainMS)
	acceptUntil := d.now().Add(notice)
	d.callers.SetStopSchedule(&drain.Schedule{AcceptUntil: acceptUntil, AbortAt: acceptUntil.Add(drainTimeout)})
	d.query(func(c *control) {
		c.draining = true
		d.view.Store(c.buildView(d.set.Name))
	})
	d.log.WithField("in_hand", d.callers.InFlight()).Info("draining")
	wait.For(ctx, notice)
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	err := d.callerSrv.Stop(drainCtx, idleLinger)
	aborted := d.callers.InFlight()
	if err != nil {
		d.callerSrv.Close()
	}
	d.announceLeaving()
	drain.StopAdmin(ctx, d.operatorSrv)
	d.peerLn.Close()
	d.peers.Close()
	d.stop()
	d.done.Wait()
	d.dispatch.Wait()
	d.ledger.Wait()
	d.pool.Close()
	d.engines.Close()
	if err != nil && aborted > 0 {
		d.log.WithField("requests", aborted).Error("shutdown aborted requests")
		return &CutError{Requests: aborted}
	}
	d.log.Info("stopped")
	return nil
}

// Kill stops the daemon as a crash would: it closes listeners and connections
// without waiting for requests in flight and does not notify peers.
func (d *Daemon) Kill() {
	d.stop()
	d.callerSrv.Close()
	d.operatorSrv.Close()
	d.peerLn.Close()
	d.peers.Close()
	d.pool.Close()
	d.engines.Close()
}

// announceLeaving notifies some peers that this instance leaves.
func (d *Daemon) announceLeaving() {
	var probes []member.Probe
	var self member.Member
	d.query(func(c *control) { probes, self = c.members.Leave(), c.members.Self() })
	var wg sync.WaitGroup
	for _, p := range probes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.ping(d.ctx, p, self, nil, true)
		}()
	}
	wg.Wait()
}

// SetOracleHints replaces the estimates of cache contents and load with exact values,
// for the oracle policy of experiments. Call it before the first request.
func (d *Daemon) SetOracleHints(h route.Hints) { d.dispatch.OracleHints = h }
