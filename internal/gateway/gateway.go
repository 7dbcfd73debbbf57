// Package gateway implements an entry instance on a platform whose operators declare
// routes, services and customers in an object store. Requests are forwarded byte for byte to
// the service that their route names. The package makes the decisions; a Codec knows the
// headers and object formats of the platform.
//
// One control goroutine owns the instance's state and publishes it as an immutable view, which
// request goroutines read.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/shedhoist/shedhoist/internal/breaker"
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/core/admission"
	"github.com/shedhoist/shedhoist/internal/core/buffer"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/placement"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/core/rollout"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/core/warmup"
	"github.com/shedhoist/shedhoist/internal/drain"
	"github.com/shedhoist/shedhoist/internal/loadreport"
	"github.com/shedhoist/shedhoist/internal/netx"
	"github.com/shedhoist/shedhoist/internal/peer"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/registry"
	"github.com/shedhoist/shedhoist/internal/resources"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Ports are the adapters to everything outside the process.
type Ports struct {
	Codec   Codec
	Store   platform.KindStore
	Engines Engines
	// Listen opens a listener, and Dial a connection to a peer or a target; nil: on the network
	// of this machine. Tests set them to an in-memory network.
	Listen func(address string) (net.Listener, error)
	Dial   peer.DialFunc
	// ConnCosts is what callers' connections cost; nil: connlimit.DefaultCosts.
	ConnCosts *connlimit.Costs
}

// Gateway is one entry instance.
type Gateway struct {
	currentSettings atomic.Pointer[Settings]
	log             log.Interface
	now             func() time.Time
	codec           Codec
	store           platform.KindStore
	engines         Engines

	ctx         context.Context
	cancel      context.CancelFunc
	events      chan event
	controlDone chan struct{}
	goroutines  wait.Group

	view             viewHolder
	startup          startupLatches
	storeReachable   atomic.Bool
	lastStoreContact atomic.Int64 // when the object store answered last, ns after startedAt
	startedAt        time.Time
	// lastPeerContact is when a peer answered last, ns after startedAt.
	lastPeerContact atomic.Int64
	staleness       *staleness.Tracker // of this instance's copies of the object store's contents
	// failingKinds has the kinds for which calls to the store fail.
	failingMu      sync.Mutex
	failingKinds   map[string]bool
	syncingMembers atomic.Bool               // the list of all members is being requested
	catchingUp     atomic.Bool               // updates are being fetched from a peer
	aheadPeer      atomic.Pointer[aheadPeer] // a peer with newer state that was not asked for it yet
	// targetsDue has the targets' changes read from the object store once, though this instance
	// relies on its peers' updates.
	targetsDue wait.Signal
	// versionsDue is the same for the named versions.
	versionsDue wait.Signal
	// evacuationsDue is the same for the evacuated zones.
	evacuationsDue wait.Signal
	// configDue wakes up fetchConfigs.
	configDue       wait.Signal
	configReceivers configReceivers // peers that fetch the configuration here
	pool            *peer.Pool
	peers           *peer.Server

	upstream      *upstream
	crashDetector *crashDetector
	// quarantine tracks requests during which targets crashed.
	quarantine      *quarantine.Tracker
	suspectsDue     wait.Signal
	suspectsOutbox  *treeOutbox[quarantine.Key, quarantine.Report]
	suspectsUnsaved atomic.Bool    // suspects have changed since they were written to the object store
	lastCompared    atomic.Int64   // when suspects were last compared with a peer's, ns after startedAt
	warmup          warmup.Limiter // limits requests to targets that are warming up
	zoneMonitor     zoneMonitor    // zones that are unreachable as a whole
	targetLinks     targetLinks    // the services whose targets this instance reaches
	brittle         brittleReports // brittle targets that turned requests away
	limits          targetLimits   // requests a second that targets take from all instances together
	streams         streamVersions // the versions of the targets' software that began streams
	relays          relays         // peers that reach targets for this instance
	breaker         *breaker.Set   // targets whose requests fail
	buffers         *buffer.Budget // bytes that callers make this instance hold in memory
	callerLimiter   *connlimit.Limiter
	retryBudgets    retryBudgets
	// admissions is the history of admitted and refused prompts, by service and level.
	admissions admission.History
	// predictor is shared by all requests.
	predictorMu           sync.Mutex
	predictor             *placement.Predictor
	peerLoads             *loadreport.PeerWork
	peerRequests          *loadreport.PeerRequests // at targets with few slots
	serviceTimes          serviceTimes             // of services without a model
	peerSilences          *loadreport.UnresponsiveTargets
	peerPendingSaves      *loadreport.PendingSaves
	customerShares        customerShares      // customers above their fair shares of scarce capacity
	peerAtMostOncePrompts *loadreport.KeySets // cordoned targets, see LoadReport.AtMostOncePrompts
	storePositions        positionTracker
	cache                 *cacheDirectory
	rollout               *rolloutController
	inFlight              atomic.Int64
	stopTimes             atomic.Pointer[drain.Schedule] // of the stop in progress; nil: none

	successSampler, saveSampler sampler // limit the rate of log lines

	callerLn, readyLn, peerLn, metricsLn net.Listener
	callerSrv, readySrv, metricsSrv      *drain.Server // metricsSrv is nil without a listener
}

// New opens listeners on all addresses of the settings and starts nothing else. If it fails,
// it leaves nothing open.
func New(set *Settings, ports Ports, logger log.Interface) (*Gateway, error) {
	g := &Gateway{log: logger.WithField("instance", set.Name).WithField("zone", set.Zone), now: time.Now, codec: ports.Codec, store: ports.Store,
		engines: ports.Engines, events: make(chan event, eventQueueSize), controlDone: make(chan struct{}), targetsDue: wait.NewSignal(), versionsDue: wait.NewSignal(), evacuationsDue: wait.NewSignal(), configDue: wait.NewSignal(), startup: newStartupLatches(), failingKinds: map[string]bool{}}
	g.currentSettings.Store(set)
	g.startedAt = g.now()
	g.staleness = &staleness.Tracker{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.upstream = newUpstreamWithDial(ports.Dial)
	g.upstream.dialRelayed = g.relays.dialRelayed
	g.quarantine, g.suspectsDue = quarantine.NewTracker(), wait.NewSignal()
	g.suspectsOutbox = newTreeOutbox[quarantine.Key](suspectsDelay, newest[quarantine.Report])
	g.targetLinks.g, g.relays.g = g, g
	g.limits.g, g.limits.outbox = g, newTreeOutbox[string](treeOutboxDelay, laterChange)
	g.streams.g, g.streams.due, g.streams.begun, g.streams.reading = g, wait.NewSignal(), wait.NewSignal(), make(chan struct{}, 1)
	g.streams.records.Start(g.now())
	g.brittle.g, g.brittle.outbox = g, newTreeOutbox[loadreport.Key](treeOutboxDelay, addRefusals)
	g.zoneMonitor.g, g.zoneMonitor.waiting = g, map[string]map[*attemptState]func(){}
	g.crashDetector = &crashDetector{g: g, checks: map[string]*crashCheck{}}
	g.breaker = breaker.New(g.now)
	g.buffers = buffer.New(resources.CallerMemory(set.MemoryBytes))
	g.predictor = placement.NewPredictor()
	g.peerLoads, g.peerSilences, g.peerPendingSaves = loadreport.NewPeerWork(loadReportTTL), loadreport.NewUnresponsiveTargets(loadReportTTL), loadreport.NewPendingSaves(pendingSaveTTL, loadReportTTL)
	g.peerRequests = loadreport.NewPeerRequests(loadReportTTL)
	g.customerShares.g, g.customerShares.peers = g, loadreport.NewPeerCustomers(customerSumsTTL, loadReportTTL)
	g.peerAtMostOncePrompts = loadreport.NewKeySets(loadReportTTL)
	g.cache = newCacheDirectory(g)
	g.rollout = newRolloutController(g)
	g.retryBudgets.g = g
	g.storeReachable.Store(true) // until a call fails
	if ports.Listen == nil {
		ports.Listen = netx.Listen
	}
	if ports.ConnCosts == nil {
		ports.ConnCosts = &connlimit.DefaultCosts
	}
	if err := g.listen(ports); err != nil {
		g.closeListeners()
		g.cancel()
		return nil, err
	}
	return g, nil
}

// settings returns the settings in force.
func (g *Gateway) settings() *Settings { return g.currentSettings.Load() }

// Reload applies changed settings. Addresses and names stay as they are: they belong to the
// machine, which does not change under a running process.
func (g *Gateway) Reload(next *Settings) {
	merged := *g.settings()
	merged.Seeds, merged.Retry, merged.StopWithin = next.Seeds, next.Retry, next.StopWithin
	g.currentSettings.Store(&merged)
	g.log.WithField("seeds", merged.Seeds).Info("settings reloaded")
}

func (g *Gateway) seeds() []string { return g.settings().Seeds }

func (g *Gateway) closeListeners() {
	for _, ln := range [...]net.Listener{g.callerLn, g.readyLn, g.peerLn, g.metricsLn} {
		if ln != nil {
			ln.Close()
		}
	}
}

// CallerAddr returns the address of the callers' listener.
func (g *Gateway) CallerAddr() string { return g.callerLn.Addr().String() }

// ReadyAddr returns the address of the readiness listener, which the balancer polls.
func (g *Gateway) ReadyAddr() string { return g.readyLn.Addr().String() }

// PeerAddr returns the address of the peers' listener.
func (g *Gateway) PeerAddr() string { return g.peerLn.Addr().String() }

// spawn runs f on a goroutine that Shutdown waits for.
func (g *Gateway) spawn(f func()) { g.goroutines.Go(f) }

// Start starts all background goroutines and begins to serve.
func (g *Gateway) Start() {
	set := g.settings()
	params := member.DefaultParams
	params.Period = peerPeriod
	// The first incarnation is 1, not a timestamp: a former incarnation under this name is
	// refuted as soon as a peer reports it.
	self := member.Member{Name: set.Name, Address: g.PeerAddr(), Zone: set.Zone, Incarnation: 1}
	c := &controlState{log: g.log, now: g.now, named: map[string]rollout.NamedVersions{}, members: member.New(params, self, rand.IntN), storeReachable: true, rolloutWithin: set.RolloutWithin, configWithin: set.ConfigWithin,
		followsEvacuations: set.EvacuateWithin > 0,
		targets:            newTargetTable(g.log, set.Name), staleness: g.staleness, warmupAllowedAt: g.now().Add(warmupSettleTime), streams: &g.streams}
	c.targets.OnRestart(func(n registry.Restart) { g.transferBackoff(c, n) })
	g.spawn(func() { g.runControl(g.ctx, c) })
	g.watchAll(g.ctx)
	for _, f := range [...]func(context.Context){g.joinSeeds, g.pollPeersWithoutStore, g.pollStaleness, g.fetchConfigs, g.maintainBootstrap, g.forgetGone, g.maintainQuarantine, g.reportSuspects, g.brittle.run, g.limits.run, g.streams.run, g.streams.runMark, g.reportLoads, g.runRollouts, g.countUnread, g.cache.run, g.cache.pullDirectory, g.cache.collectGarbage} {
		g.spawn(func() { f(g.ctx) })
	}
	g.serveListener("callers", g.callerSrv.Serve)
	g.serveListener("readiness", g.readySrv.Serve)
	if g.metricsSrv != nil {
		g.serveListener("metrics", g.metricsSrv.Serve)
	}
	g.serveListener("peers", func() error { return g.peers.Serve(g.peerLn) })
	g.log.WithField("callers", g.CallerAddr()).WithField("peers", g.PeerAddr()).WithField("store", set.PlatformAddress).Info("started")
}

func (g *Gateway) serveListener(name string, f func() error) {
	go func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && g.ctx.Err() == nil {
			g.log.WithError(err).WithField("listener", name).Error("listener failed")
		}
	}()
}

// Ready reports whether this instance should get new connections: it has a
// configuration and a list of targets, is not isolated, and is not stopping.
func (g *Gateway) Ready() bool {
	v := g.view.Load()
	return v.initialized() && !v.Isolated && !v.Draining
}

// forgetGoneEvery is how often the state kept for targets that are gone is removed.
const forgetGoneEvery = 10 * time.Second

// forgetGone periodically removes the state kept for targets and cache stores that are gone, and for streams that
// can't be taken up any more.
func (g *Gateway) forgetGone(ctx context.Context) {
	for wait.For(ctx, wait.Jitter(forgetGoneEvery)) {
		v := g.view.Load()
		known := map[string]bool{}
		for id := range v.Targets {
			known[id] = true
		}
		if v.Config != nil {
			for _, s := range v.Config.Stores {
				known[s.Address] = true
			}
		}
		keep := func(name string) bool { return known[name] }
		g.upstream.inflight.Retain(keep)
		g.breaker.Retain(keep)
		g.warmup.Retain(keep)
		g.brittle.retain(keep)
		g.serviceTimes.retain(v.Config.HasService)
		g.limits.retain(keep)
		g.admissions.Retain(v.Config.HasService)
		g.streams.records.Expire(g.now())
		g.predictorMu.Lock()
		g.predictor.Retain(keep)
		g.predictorMu.Unlock()
	}
}

// sinceStoreContact returns the time since the object store answered last.
func (g *Gateway) sinceStoreContact() time.Duration {
	return g.now().Sub(g.startedAt) - time.Duration(g.lastStoreContact.Load())
}

// Alive returns the number of known live instances, including this one.
func (g *Gateway) Alive() int { return len(g.view.Load().Alive) }

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) configVersion() uint64 {
	if cfg := g.view.Load().Config; cfg != nil {
		return cfg.Version
	}
	return 0
}

// Kill closes everything immediately, without a notice to peers or callers.
func (g *Gateway) Kill() {
	g.cancel()
	g.callerSrv.Close()
	g.readySrv.Close()
	if g.metricsSrv != nil {
		g.metricsSrv.Close()
	}
	g.peerLn.Close()
	g.peers.Close()
	g.pool.Close()
	g.upstream.closeIdle()
}
