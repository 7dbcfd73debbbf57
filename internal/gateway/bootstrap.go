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

// Kind and name of the object through which instances find each other when no seed answers.
const (
	bootstrapKind = "shedhoist-bootstrap"
	bootstrapName = "instances"
)

// Intervals and size of the bootstrap object.
const (
	// bootstrapEvery is how often the first-ranked instance checks whether the object names
	// live instances.
	bootstrapEvery = 5 * time.Second
	// soloBootstrapEvery is how often an instance that knows no other searches for others in
	// the object.
	soloBootstrapEvery = time.Second
	// maxBootstrapAddresses is how many addresses the object holds, independent of the size of
	// the fleet: one live address is enough to learn all others.
	maxBootstrapAddresses = 8
)

// bootstrap is the value of the bootstrap object.
type bootstrap struct {
	Addresses []string `json:"addresses"` // of the peer listeners, sorted
}

// maintainBootstrap keeps live addresses in the bootstrap object, or joins through it while
// this instance knows no other.
func (g *Gateway) maintainBootstrap(ctx context.Context) {
	wait.For(ctx, joinWindow) // most instances join through a seed
	for ctx.Err() == nil {
		alive := g.view.Load().Alive
		interval := bootstrapEvery
		switch {
		case len(alive) <= 1:
			interval = soloBootstrapEvery
			g.findInstances(ctx)
		case rankOf(alive, g.settings().Name, bootstrapName) == 0:
			g.refreshBootstrap(ctx)
		}
		if !wait.For(ctx, wait.Jitter(interval)) {
			return
		}
	}
}

// findInstances joins through the addresses in the object, and adds the address of this
// instance if it is missing and there is room.
func (g *Gateway) findInstances(ctx context.Context) {
	object, version, err := g.readBootstrap(ctx)
	if err != nil {
		return // logged; tried again soon
	}
	own := g.PeerAddr()
	for _, address := range object.Addresses {
		if address != own {
			g.joinVia(address)
		}
	}
	if !slices.Contains(object.Addresses, own) && len(object.Addresses) < maxBootstrapAddresses {
		g.writeBootstrap(ctx, append(object.Addresses, own), version)
	}
}

// refreshBootstrap replaces the addresses with those of live instances once the live ones
// among them number less than half of maxBootstrapAddresses, or of the fleet if it is
// smaller.
func (g *Gateway) refreshBootstrap(ctx context.Context) {
	object, version, err := g.readBootstrap(ctx)
	if err != nil {
		return // logged; tried again soon
	}
	var live []string
	g.queryControl(func(c *controlState) {
		for _, m := range c.members.Members() {
			if m.State == member.Alive {
				live = append(live, m.Address)
			}
		}
	})
	liveNamed := 0
	for _, address := range object.Addresses {
		if slices.Contains(live, address) {
			liveNamed++
		}
	}
	if 2*liveNamed >= min(maxBootstrapAddresses, len(live)) {
		return
	}
	g.writeBootstrap(ctx, live[:min(maxBootstrapAddresses, len(live))], version)
}

// readBootstrap returns the object and its version; a missing object is empty, with version
// 0.
func (g *Gateway) readBootstrap(ctx context.Context) (bootstrap, platform.Version, error) {
	var value bootstrap
	o, err := g.store.Get(ctx, bootstrapKind, bootstrapName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return value, 0, nil
	}
	if err == nil {
		err = json.Unmarshal(o.Value, &value)
	}
	if err != nil {
		g.log.WithError(err).Info("bootstrap object not read")
	}
	return value, o.Version, err
}

// writeBootstrap writes the object if its version is unchanged: of two concurrent writers one
// wins, which is enough.
func (g *Gateway) writeBootstrap(ctx context.Context, addresses []string, version platform.Version) {
	slices.Sort(addresses)
	data, err := json.Marshal(bootstrap{Addresses: addresses})
	if err != nil {
		panic(err) // strings always marshal
	}
	if _, err := g.store.Put(ctx, bootstrapKind, bootstrapName, data, version); err != nil {
		g.log.WithError(err).Info("bootstrap object not written")
		return
	}
	g.log.WithField("addresses", addresses).Info("bootstrap object written")
}
