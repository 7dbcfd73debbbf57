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
	// crashKept is how long a crash is remembered for requests whose break is noticed late.
	// A target that starts again under the same id takes longer.
	crashKept = time.Second
	// crashRest keeps requests away from a target that crashed: its entry stands until its
	// heartbeats are missed, for some seconds.
	crashRest = 3 * time.Second
	// crashRequests bounds the requests that are remembered of one crash.
	crashRequests = 128
)

// brokenRequest is a request whose connection to a target broke.
type brokenRequest struct {
	id       string
	key      quarantine.Key
	customer string
	route    string
}

// crashes looks after broken connections, once for each life of a target at a time.
type crashes struct {
	g  *Gateway
	mu sync.Mutex
	m  map[string]*crashCheck // by the target's life
}

type crashCheck struct {
	crashed bool
	broken  []brokenRequest // until the outcome is known
}

// broke notes that the connection of a request broke while it was under way.
func (c *crashes) broke(t *catalog.Target, r brokenRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.m[t.ID]
	switch {
	case check == nil:
		check = &crashCheck{}
		c.m[t.ID] = check
		c.g.start(func() { c.look(t, check) })
	case check.crashed:
		c.g.start(func() { c.g.crashed(t, []brokenRequest{r}) })
		return
	}
	if len(check.broken) < crashRequests {
		check.broken = append(check.broken, r)
	}
}

// look connects to the target: a process that is gone is known by its host's refusal.
func (c *crashes) look(t *catalog.Target, check *crashCheck) {
	asked := c.g.now()
	err := c.connect(t.Address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	c.mu.Lock()
	broken := check.broken
	check.crashed, check.broken = refused, nil
	if refused {
		c.g.ejected.Eject(t.ID, crashRest)
		time.AfterFunc(crashKept, func() { c.forget(t.ID) })
	} else {
		delete(c.m, t.ID)
	}
	c.mu.Unlock()
	entry := c.g.log.WithField("target", t.ID).WithField("address", t.Address).WithField("requests", len(broken)).
		WithField("took_ms", c.g.now().Sub(asked).Milliseconds())
	switch {
	case refused:
		metric.TargetCrashes.Inc()
		entry.Info("target crashed")
		c.g.crashed(t, broken)
	case err != nil:
		entry.WithError(err).Info("connections to a target broke, whether it crashed is not known")
	default:
		entry.Info("connections to a target broke, it lives")
	}
}

func (c *crashes) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.m, id)
}

func (c *crashes) connect(address string) error {
	ctx, cancel := context.WithTimeout(c.g.ctx, targetConnect)
	defer cancel()
	conn, err := c.g.upstream.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
