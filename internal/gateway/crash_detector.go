package gateway

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// When the connection of a request breaks, the target may have crashed, or it may have reset the
// connection or truncated the response and still be running. The crash detector finds out which by
// connecting to the target.

// Bounds of crash detection.
const (
	// crashRetention is how long a crash is remembered, for requests whose broken connection is
	// noticed late. A target takes longer than that to start again under the same id.
	crashRetention = time.Second
	// crashEjectTime is how long a crashed target gets no requests: its entry remains for some
	// seconds, until its missed heartbeats are noticed.
	crashEjectTime = 3 * time.Second
	// maxCrashRequests bounds the interrupted requests that are recorded for one crash.
	maxCrashRequests = 128
)

// interruptedRequest is a request whose connection to its target broke.
type interruptedRequest struct {
	id       string
	suspects []suspect
}

// crashDetector checks whether targets crashed when connections to them broke. At most one check
// runs at a time for each incarnation of a target.
type crashDetector struct {
	g      *Gateway
	mu     sync.Mutex
	checks map[string]*crashCheck // by id of the target's incarnation
}

// crashCheck is a check in progress, or a crash found within the last crashRetention.
type crashCheck struct {
	crashed     bool
	interrupted []interruptedRequest // collected until the result is known
}

// connBroken records a request whose connection to a target broke. It starts a check unless one is
// running, and handles the request at once if the target is known to have crashed.
func (c *crashDetector) connBroken(t *catalog.Target, r interruptedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.checks[t.ID]
	switch {
	case check == nil:
		check = &crashCheck{}
		c.checks[t.ID] = check
		c.g.spawn(func() { c.probe(t, check) })
	case check.crashed:
		c.g.spawn(func() { c.g.handleCrash(t, []interruptedRequest{r}) })
		return
	}
	if len(check.interrupted) < maxCrashRequests {
		check.interrupted = append(check.interrupted, r)
	}
}

// probe connects to the target. If the host refuses the connection, the target's process is gone,
// unless a peer is not refused.
func (c *crashDetector) probe(t *catalog.Target, check *crashCheck) {
	startedAt := c.g.now()
	refused, err := c.isRefused(t)
	c.mu.Lock()
	interrupted := check.interrupted
	check.crashed, check.interrupted = refused, nil
	if refused {
		c.g.breaker.Eject(t.ID, crashEjectTime)
		time.AfterFunc(crashRetention, func() { c.forget(t.ID) })
	} else {
		delete(c.checks, t.ID)
	}
	c.mu.Unlock()
	entry := c.g.log.WithField("target", t.ID).WithField("address", t.Address).WithField("requests", len(interrupted)).
		WithField("took_ms", c.g.now().Sub(startedAt).Milliseconds())
	switch {
	case refused:
		metric.TargetCrashes.Inc()
		entry.Info("target crashed")
		c.g.handleCrash(t, interrupted)
	case err != nil:
		entry.WithError(err).Info("connections to a target broke, whether it crashed is not known")
	default:
		entry.Info("connections to a target broke, it lives")
	}
}

// forget removes the record of a crash.
func (c *crashDetector) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.checks, id)
}

// isRefused reports whether the host of a target refuses connections. If it refuses this instance, or
// this instance is partitioned from the targets, a peer is asked: its own links may have refused. The
// error is that of the connect.
func (c *crashDetector) isRefused(t *catalog.Target) (refused bool, err error) {
	err = c.g.connectDirectly(t.Address, targetConnectTimeout)
	c.g.targetLinks.connectEnded(t, err)
	refused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil || !refused && !c.g.targetLinks.partitionedFrom(t.Service) {
		return false, err
	}
	reply, _, ok := c.g.checkByPeers(t.Address)
	if !ok {
		return refused, err
	}
	switch reply.Outcome {
	case connectRefused:
		return true, err
	case connectMade:
		return false, nil
	}
	return false, err
}
