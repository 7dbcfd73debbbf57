package gateway

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/peer"
)

// While an instance is partitioned from the targets of a service, it reaches them through peers: each attempt gets
// a tunnel through one of them. The instance goes on to make all decisions on its requests; the peer
// connects and passes bytes on, and opens no tunnel of its own for it, so that there are no loops.

const (
	// maxTunnels bounds the tunnels that an instance carries for its peers at a time.
	maxTunnels = 64
	// maxRelayTries is the number of peers that are asked for a tunnel, one after another.
	maxRelayTries = 3
	// relayTimeout bounds the opening of one tunnel: the peer's connect to the target takes most of it.
	relayTimeout = targetConnectTimeout + 100*time.Millisecond
	// relayBackoff is how long a peer that could not open a tunnel, whatever the target, is not asked
	// for another.
	relayBackoff = 500 * time.Millisecond
)

// NoRelayError says that no peer can carry a connection to the targets now.
type NoRelayError struct{ Address string }

// Error implements error.
func (e *NoRelayError) Error() string { return "no peer can relay to " + e.Address }

// relays selects the peers that relay for this instance, and counts what it relays for them.
type relays struct {
	g *Gateway

	mu           sync.Mutex
	backoffUntil map[string]time.Time // by name of the peer
	carried      int                  // tunnels that this instance carries
	idle         chan struct{}        // closed when carried returns to 0; nil while it is 0
}

// dialRelayed opens a connection to a target through a peer. If it fails, nothing was sent.
func (r *relays) dialRelayed(ctx context.Context, to dialTarget) (net.Conn, error) {
	candidates := r.candidates(to.zone)
	var err error = &NoRelayError{Address: to.address}
	for _, m := range candidates[:min(maxRelayTries, len(candidates))] {
		var conn net.Conn
		conn, err = r.openVia(ctx, m, to.address)
		if err == nil {
			metric.Relays.Inc()
			if to.onRelay != nil {
				to.onRelay(m.Name)
			}
			return conn, nil
		}
		if ctx.Err() != nil || !r.mayTryNext(m, err) {
			break
		}
	}
	metric.RelayFailures.Inc()
	return nil, err
}

func (r *relays) openVia(ctx context.Context, m member.Member, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return r.g.pool.DialTunnel(ctx, m.Address, address)
}

// mayTryNext reports whether another peer may open the tunnel that one failed to open. If that
// peer failed whatever the target, it is left alone for a while.
func (r *relays) mayTryNext(m member.Member, err error) bool {
	if failedAtTarget(err) {
		return false
	}
	var failed *peer.TunnelError
	if errors.As(err, &failed) && failed.Status == peer.TunnelDenied {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backoffUntil == nil {
		r.backoffUntil = map[string]time.Time{}
	}
	now := r.g.now()
	maps.DeleteFunc(r.backoffUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	r.backoffUntil[m.Name] = now.Add(relayBackoff)
	return true
}

// failedAtTarget reports whether a tunnel was not opened because its target is gone for a peer that
// reaches others.
func failedAtTarget(err error) bool {
	var failed *peer.TunnelError
	return errors.As(err, &failed) && (failed.Status == peer.TunnelRefused || failed.Status == peer.TunnelUnanswered)
}

// candidates returns the peers that may relay to a zone, the best first: those that reach all services, and
// among them those in this instance's zone or in the target's, through which bytes cross zones no more
// often than without a relay.
func (r *relays) candidates(zone string) []member.Member {
	usable := r.usable()
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	own := r.g.settings().Zone
	isNear := func(m member.Member) bool { return m.Zone == own || m.Zone == zone }
	slices.SortStableFunc(usable, func(a, b member.Member) int {
		return cmp.Or(compareBool(!a.Partitioned, !b.Partitioned), compareBool(isNear(a), isNear(b)))
	})
	return usable
}

// usable returns the live peers that are not in backoff.
func (r *relays) usable() []member.Member {
	peers := r.g.view.Load().otherPeers()
	now := r.g.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(peers, func(m member.Member) bool {
		return now.Before(r.backoffUntil[m.Name])
	})
}

// homeZone returns the zone whose targets cost the fewest bytes between zones: this instance's own,
// if a peer there can relay, else that of some peer that can.
func (r *relays) homeZone() string {
	own := r.g.settings().Zone
	usable := slices.DeleteFunc(r.usable(), func(m member.Member) bool { return m.Partitioned })
	if len(usable) == 0 || slices.ContainsFunc(usable, func(m member.Member) bool { return m.Zone == own }) {
		return own
	}
	return usable[rand.IntN(len(usable))].Zone
}

// open opens a connection to a target on behalf of a peer, see peer.OpenTunnelFunc. It refuses
// where this instance would not send a request to the target itself, so that drains and evacuations
// hold whichever of the two learns of them first.
func (r *relays) open(ctx context.Context, address string) (net.Conn, peer.TunnelStatus, func()) {
	v := r.g.view.Load()
	t := v.relayTarget(address)
	switch {
	case v.Draining || v.Isolated:
		return nil, peer.TunnelUnable, func() {}
	case t == nil:
		return nil, peer.TunnelDenied, func() {}
	case r.g.targetLinks.partitionedFrom(t.Service):
		return nil, peer.TunnelUnable, func() {}
	case !r.acquire():
		return nil, peer.TunnelBusy, func() {}
	}
	ctx, cancel := context.WithTimeout(ctx, targetConnectTimeout)
	defer cancel()
	conn, err := r.g.upstream.dial(ctx, "tcp", address)
	r.g.targetLinks.connectEnded(t, err)
	if err != nil {
		r.release()
		return nil, tunnelStatusOf(err), func() {}
	}
	metric.RelaysCarried.Inc()
	return conn, peer.TunnelOpen, r.release
}

func tunnelStatusOf(err error) peer.TunnelStatus {
	if outcomeOf(err) == connectRefused {
		return peer.TunnelRefused
	}
	return peer.TunnelUnanswered
}

// acquire counts one more tunnel, unless there are too many.
func (r *relays) acquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.carried >= maxTunnels {
		return false
	}
	if r.carried == 0 {
		r.idle = make(chan struct{})
	}
	r.carried++
	return true
}

func (r *relays) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.carried--; r.carried == 0 {
		close(r.idle)
		r.idle = nil
	}
}

// awaitIdle waits until this instance carries no tunnels, or ctx ends.
func (r *relays) awaitIdle(ctx context.Context) {
	r.mu.Lock()
	idle := r.idle
	r.mu.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// relayTarget returns the target at an address, or nil if there is none that gets requests.
func (v *View) relayTarget(address string) *catalog.Target {
	for _, t := range v.Targets {
		if t.Address == address && !t.IsLeaving() && !slices.Contains(v.EvacuatedZones, t.Zone) {
			return t
		}
	}
	return nil
}
