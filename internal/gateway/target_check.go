package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// Checks of targets by a connect: this instance's own, and those that it asks its peers for.

const (
	// targetCheckTimeout bounds a peer's check of a target: its connect, and the call.
	targetCheckTimeout = 300 * time.Millisecond
	// targetCheckPeers is the number of peers that are asked about a target.
	targetCheckPeers = 2
)

// connectDirectly opens and closes a connection to a target's address.
func (g *Gateway) connectDirectly(address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	defer cancel()
	conn, err := g.upstream.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing has been sent
	return nil
}

// connectResult is the result of a connect to a target.
type connectResult struct {
	target *catalog.Target
	err    error
}

// connectAll connects to targets at the same time, see connectDirectly, and returns a channel with the result of
// each.
func (g *Gateway) connectAll(targets []*catalog.Target, timeout time.Duration) <-chan connectResult {
	results := make(chan connectResult, len(targets))
	for _, t := range targets {
		g.spawn(func() { results <- connectResult{t, g.connectDirectly(t.Address, timeout)} })
	}
	return results
}

// connectOutcome is how a connect to a target ended.
type connectOutcome uint8

// Values of connectOutcome.
const (
	connectMade       connectOutcome = iota + 1
	connectRefused                   // the host answered that nobody listens
	connectUnanswered                // no answer in time
)

// String returns the outcome's name in logs.
func (o connectOutcome) String() string {
	switch o {
	case connectMade:
		return "connected"
	case connectRefused:
		return "refused"
	case connectUnanswered:
		return "no answer"
	}
	return "unknown"
}

// outcomeOf returns the outcome of a connect that ended with err.
func outcomeOf(err error) connectOutcome {
	switch {
	case err == nil:
		return connectMade
	case errors.Is(err, syscall.ECONNREFUSED):
		return connectRefused
	}
	return connectUnanswered
}

// TargetCheck asks a peer to connect to a target.
type TargetCheck struct {
	Address string `cbor:"1,keyasint"`
}

// TargetCheckReply says how the connect of a TargetCheck ended.
type TargetCheckReply struct {
	Outcome connectOutcome `cbor:"1,keyasint"`
	// Partitioned is set if the peer itself reaches no target of the service: its outcome then says nothing.
	Partitioned bool `cbor:"2,keyasint,omitempty"`
}

// CheckTarget connects to a target on behalf of a peer. Other addresses are not connected to.
func (h *peerHandler) CheckTarget(req *TargetCheck, out *TargetCheckReply) error {
	t := h.g.view.Load().targetAt(req.Address)
	if t == nil {
		return nil
	}
	if out.Partitioned = h.g.targetLinks.partitionedFrom(t.Service); out.Partitioned {
		return nil
	}
	out.Outcome = outcomeOf(h.g.connectDirectly(req.Address, linkProbeTimeout))
	return nil
}

// checkByPeers asks peers, one after another, to connect to a target. It returns the first
// statement and the name of the peer that made it; ok is false if none could tell.
func (g *Gateway) checkByPeers(address string) (reply TargetCheckReply, by string, ok bool) {
	peers := g.view.Load().otherPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(targetCheckPeers, len(peers))] {
		ctx, cancel := context.WithTimeout(g.ctx, targetCheckTimeout)
		reply = TargetCheckReply{}
		err := g.pool.Call(ctx, m.Address, peerService+".CheckTarget", &TargetCheck{Address: address}, &reply)
		cancel()
		if err == nil && !reply.Partitioned && reply.Outcome != 0 {
			return reply, m.Name, true
		}
	}
	return TargetCheckReply{}, "", false
}

// targetAt returns the target at an address, or nil if none is known.
func (v *View) targetAt(address string) *catalog.Target {
	for _, t := range v.Targets {
		if t.Address == address {
			return t
		}
	}
	return nil
}

// presentTargets returns the targets that are not leaving and that match.
func (v *View) presentTargets(match func(t *catalog.Target) bool) []*catalog.Target {
	var out []*catalog.Target
	for _, t := range v.Targets {
		if match(t) && !t.IsLeaving() {
			out = append(out, t)
		}
	}
	return out
}
