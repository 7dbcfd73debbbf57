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
	meetingKind = "shedhoist-meeting"
	meetingName = "instances"
)

// Pace and size of the meeting point.
const (
	// meetingEvery is how often the first-ranked instance looks whether the object
	// names live instances, and a lonely one looks for others.
	meetingEvery = 5 * time.Second
	lonelyEvery  = time.Second
	// meetingSize is how many addresses the object holds, whatever the size of the
	// fleet: one live one is enough to learn of all others.
	meetingSize = 8
)

// meeting is the object's value.
type meeting struct {
	Addresses []string `json:"addresses"` // of peers' listeners, sorted
}

// meet keeps the meeting point useful, or uses it.
func (g *Gateway) meet(ctx context.Context) {
	wait.For(ctx, joinTime) // most join by way of a seed
	for ctx.Err() == nil {
		alive := g.view.Load().Alive
		every := meetingEvery
		switch {
		case len(alive) <= 1:
			every = lonelyEvery
			g.lookForOthers(ctx)
		case rankOf(alive, g.settings().Name, meetingName) == 0:
			g.refreshMeeting(ctx)
		}
		if !wait.For(ctx, wait.Jitter(every)) {
			return
		}
	}
}

// lookForOthers greets whom the object names, and adds this instance if it names
// nobody else.
func (g *Gateway) lookForOthers(ctx context.Context) {
	m, version, err := g.readMeeting(ctx)
	if err != nil {
		return // logged; tried again soon
	}
	own := g.PeerAddr()
	for _, a := range m.Addresses {
		if a != own {
			g.greet(a)
		}
	}
	if !slices.Contains(m.Addresses, own) && len(m.Addresses) < meetingSize {
		g.writeMeeting(ctx, append(m.Addresses, own), version)
	}
}

// refreshMeeting names live instances again once fewer than half of those named
// are live.
func (g *Gateway) refreshMeeting(ctx context.Context) {
	m, version, err := g.readMeeting(ctx)
	if err != nil {
		return // logged; tried again soon
	}
	var live []string
	g.query(func(c *control) {
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
	if 2*good >= min(meetingSize, len(live)) {
		return
	}
	g.writeMeeting(ctx, live[:min(meetingSize, len(live))], version)
}

func (g *Gateway) readMeeting(ctx context.Context) (meeting, platform.Version, error) {
	var m meeting
	o, err := g.store.Get(ctx, meetingKind, meetingName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return m, 0, nil
	}
	if err == nil {
		err = json.Unmarshal(o.Value, &m)
	}
	if err != nil {
		g.log.WithError(err).Info("meeting point not read")
	}
	return m, o.Version, err
}

// writeMeeting writes on condition: of two writers one wins, which is enough.
func (g *Gateway) writeMeeting(ctx context.Context, addresses []string, want platform.Version) {
	slices.Sort(addresses)
	data, err := json.Marshal(meeting{Addresses: addresses})
	if err != nil {
		panic(err) // strings always marshal
	}
	if _, err := g.store.Put(ctx, meetingKind, meetingName, data, want); err != nil {
		g.log.WithError(err).Info("meeting point not written")
		return
	}
	g.log.WithField("addresses", addresses).Info("meeting point written")
}
