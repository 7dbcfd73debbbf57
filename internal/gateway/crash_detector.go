package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/quarantine"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// Whether a target crashed when the connection of a request broke: a target may also reset
// connections, or cut answers short, and live on.

// Bounds of looking.
const (
	// crashRetention is how long a crash is remembered for requests whose break is noticed late.
	// A target that starts again under the same id takes longer.
	crashRetention = time.Second
	// crashEjectTime keeps requests away from a target that crashed: its entry stands until its
	// heartbeats are missed, for some seconds.
	crashEjectTime = 3 * time.Second
	// maxCrashRequests bounds the requests that are remembered of one crash.
	maxCrashRequests = 128
)

// interruptedRequest is a request whose connection to a target broke.
type interruptedRequest struct {
	id       string
	key      quarantine.Key
	customer string
	route    string
}

// crashDetector looks after broken connections, once for each life of a target at a time.
type crashDetector struct {
	g      *Gateway
	mu     sync.Mutex
	checks map[string]*crashCheck // by the target's life
}

type crashCheck struct {
	crashed     bool
	interrupted []interruptedRequest // until the outcome is known
}

// connBroken notes that the connection of a request broke while it was under way.
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

// probe connects to the target: a process that is gone is known by its host's refusal.
func (c *crashDetector) probe(t *catalog.Target, check *crashCheck) {
	asked := c.g.now()
	err := c.connect(t.Address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	c.mu.Lock()
	broken := check.interrupted
	check.crashed, check.interrupted = refused, nil
	if refused {
		c.g.breaker.Eject(t.ID, crashEjectTime)
		time.AfterFunc(crashRetention, func() { c.forget(t.ID) })
	} else {
		delete(c.checks, t.ID)
	}
	c.mu.Unlock()
	entry := c.g.log.WithField("target", t.ID).WithField("address", t.Address).WithField("requests", len(broken)).
		WithField("took_ms", c.g.now().Sub(asked).Milliseconds())
	switch {
	case refused:
		metric.TargetCrashes.Inc()
		entry.Info("target crashed")
		c.g.handleCrash(t, broken)
	case err != nil:
		entry.WithError(err).Info("connections to a target broke, whether it crashed is not known")
	default:
		entry.Info("connections to a target broke, it lives")
	}
}

func (c *crashDetector) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.checks, id)
}

func (c *crashDetector) connect(address string) error {
	ctx, cancel := context.WithTimeout(c.g.ctx, targetConnectTimeout)
	defer cancel()
	conn, err := c.g.upstream.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
