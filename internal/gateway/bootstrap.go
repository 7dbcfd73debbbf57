package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Name of the object by which instances find one another when no seed answers.
const (
	bootstrapKind = "shedhoist-bootstrap"
	bootstrapName = "instances"
)

// Pace and size of the bootstrap object.
const (
	// bootstrapEvery is how often the first-ranked instance looks whether the object
	// names live instances, and a lonely one looks for others.
	bootstrapEvery     = 5 * time.Second
	soloBootstrapEvery = time.Second
	// maxBootstrapAddresses is how many addresses the object holds, whatever the size of the
	// fleet: one live one is enough to learn of all others.
	maxBootstrapAddresses = 8
)

// bootstrap is the object's value.
type bootstrap struct {
	Addresses []string `json:"addresses"` // of peers' listeners, sorted
}

// maintainBootstrap keeps the bootstrap object useful, or uses it.
func (g *Gateway) maintainBootstrap(ctx context.Context) {
	wait.For(ctx, joinWindow) // most join by way of a seed
	for ctx.Err() == nil {
		alive := g.view.Load().Alive
		every := bootstrapEvery
		switch {
		case len(alive) <= 1:
			every = soloBootstrapEvery
			g.findInstances(ctx)
		case rankOf(alive, g.settings().Name, bootstrapName) == 0:
			g.refreshBootstrap(ctx)
		}
		if !wait.For(ctx, wait.Jitter(every)) {
			return
		}
	}
}

// findInstances greets whom the object names, and adds this instance if it names
// nobody else.
func (g *Gateway) findInstances(ctx context.Context) {
	m, version, err := g.readBootstrap(ctx)
	if err != nil {
		return // logged; tried again soon
	}
	own := g.PeerAddr()
	for _, a := range m.Addresses {
		if a != own {
			g.joinVia(a)
		}
	}
	if !slices.Contains(m.Addresses, own) && len(m.Addresses) < maxBootstrapAddresses {
		g.writeBootstrap(ctx, append(m.Addresses, own), version)
	}
}

// refreshBootstrap names live instances again once fewer than half of those named
// are live.
func (g *Gateway) refreshBootstrap(ctx context.Context) {
	m, version, err := g.readBootstrap(ctx)
	if err != nil {
		return // logged; tried again soon
	}
	var live []string
	g.queryControl(func(c *controlState) {
		for _, x := range c.members.Members() {
			if x.State == member.Alive {
				live = append(live, x.Address)
			}
		}
	})
	good := 0
	for _, a := range m.Addresses {
		if slices.Contains(live, a) {
			good++
		}
	}
	if 2*good >= min(maxBootstrapAddresses, len(live)) {
		return
	}
	g.writeBootstrap(ctx, live[:min(maxBootstrapAddresses, len(live))], version)
}

func (g *Gateway) readBootstrap(ctx context.Context) (bootstrap, platform.Version, error) {
	var m bootstrap
	o, err := g.store.Get(ctx, bootstrapKind, bootstrapName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return m, 0, nil
	}
	if err == nil {
		err = json.Unmarshal(o.Value, &m)
	}
	if err != nil {
		g.log.WithError(err).Info("bootstrap object not read")
	}
	return m, o.Version, err
}

// writeBootstrap writes on condition: of two writers one wins, which is enough.
func (g *Gateway) writeBootstrap(ctx context.Context, addresses []string, want platform.Version) {
	slices.Sort(addresses)
	data, err := json.Marshal(bootstrap{Addresses: addresses})
	if err != nil {
		panic(err) // strings always marshal
	}
	if _, err := g.store.Put(ctx, bootstrapKind, bootstrapName, data, want); err != nil {
		g.log.WithError(err).Info("bootstrap object not written")
		return
	}
	g.log.WithField("addresses", addresses).Info("bootstrap object written")
}
