package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/cachestore"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// In a large fleet not every instance polls every cache store, because a store supports few polls
// at a time and its listings are long. In each zone one or two instances poll the stores. The
// others of the zone pull the changes from them along a tree of bounded fan-out, so that neither
// the polls nor the traffic between zones grow with the fleet.

// Intervals and limits of pulling the directory through the relay tree.
const (
	// pullInterval is the mean pause between two pulls of a peer's directory.
	pullInterval = 150 * time.Millisecond
	// pullTimeout limits one pull.
	pullTimeout = 500 * time.Millisecond
	// pullMoreInterval is the mean pause before the next pull if the last reply was incomplete.
	pullMoreInterval = pullInterval / 4
	// maxListedParts is the maximum number of parts in the full listings of one reply, unless a
	// single store holds more. It makes some 20 kB, so that treeFanout instances that ask at
	// the same time all get their reply within half of pullTimeout over 10 Mbit/s. Without this
	// limit, 192 pulls failed after a simultaneous start of 91 instances, and the last instance
	// knew all stores only 4 s after the start.
	maxListedParts = 1500
	// maxRelayAge is how much older than maxInventoryAge a store's last response may be if it
	// was relayed by other instances: two hops in the tree.
	maxRelayAge = 800 * time.Millisecond
	// joinWindow is how long a new process waits to learn the size of the fleet before it
	// polls the cache stores or watches the object store itself.
	joinWindow = time.Second
)

// DirectoryRequest requests the changes in the cache stores since Seq.
type DirectoryRequest struct {
	Process uint64 `cbor:"1,keyasint"` // the process whose journal Seq refers to
	Seq     uint64 `cbor:"2,keyasint"` // the last change that the sender knows
	// Stores are the addresses of the stores that the sender knows completely up to Seq.
	Stores []string `cbor:"3,keyasint,omitempty"`
}

// DirectoryReply is the reply to a DirectoryRequest.
type DirectoryReply struct {
	Process uint64        `cbor:"1,keyasint"`
	Seq     uint64        `cbor:"2,keyasint"`
	ClockMS float64       `cbor:"3,keyasint"`           // store servers' clock now; 0: unknown
	Stores  []StoreUpdate `cbor:"4,keyasint"`           // the stores whose contents are known
	More    bool          `cbor:"5,keyasint,omitempty"` // some stores were left out; request them without delay
	// Staleness has the ages of the replying instance's copies of what the object store holds.
	// The instances that pull the directory from it also receive its updates of these.
	Staleness []staleness.Report `cbor:"6,keyasint,omitempty"`
}

// StoreUpdate holds the changes in one store, or all its contents.
type StoreUpdate struct {
	Address  string       `cbor:"1,keyasint"`
	Epoch    uint64       `cbor:"2,keyasint"`
	AgeMS    int64        `cbor:"3,keyasint"`           // since the time as of which the contents are valid, rounded up
	Complete bool         `cbor:"4,keyasint,omitempty"` // Parts lists all contents of the store
	Salts    []string     `cbor:"5,keyasint,omitempty"` // without duplicates
	Parts    []PartUpdate `cbor:"6,keyasint,omitempty"` // in the order of the changes
	// Ages holds, for each of Parts, how long it has been complete, see encodeAge.
	Ages []byte `cbor:"7,keyasint,omitempty"`
	// CompleteLagMS is how much older than AgeMS the last complete state of the contents is.
	CompleteLagMS int64 `cbor:"8,keyasint,omitempty"`
}

// ageStep is the unit of StoreUpdate.Ages, which are rounded down; one byte covers up to 4 s.
const ageStep = 20 * time.Millisecond

// PartUpdate is the change of one part.
type PartUpdate struct {
	_      struct{} `cbor:",toarray"`
	Salt   int      // index in StoreUpdate.Salts
	Part   string
	Tokens int // removedPart: no longer held
}

// removedPart is the value of PartUpdate.Tokens for a part that is no longer held.
const removedPart = -1

// Directory handles a peer's DirectoryRequest.
func (h *peerHandler) Directory(req *DirectoryRequest, out *DirectoryReply) error {
	*out = h.g.cache.directoryFor(*req)
	out.Staleness = h.g.staleness.Reports(h.g.now())
	return nil
}

// directoryFor builds the reply to a request: the changes that its sender does not know, and full
// listings of the stores for which changes do not suffice.
func (c *cacheDirectory) directoryFor(req DirectoryRequest) DirectoryReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	out := DirectoryReply{Process: c.processID, Seq: c.journal.Seq()}
	if !c.serverClockAt.IsZero() {
		out.ClockMS = c.serverClock + float64(now.Sub(c.serverClockAt))/float64(time.Millisecond)
	}
	listed := 0 // parts in full listings so far
	for address, inv := range c.inventories {
		epoch, _, known := inv.Position()
		if !known {
			continue
		}
		events, full := c.journal.Since(address, req.Seq)
		update := StoreUpdate{Address: address, Epoch: epoch, AgeMS: now.Sub(inv.AsOf()).Milliseconds() + 1, CompleteLagMS: inv.AsOf().Sub(inv.CompleteAsOf()).Milliseconds(),
			Complete: full || req.Process != c.processID || !slices.Contains(req.Stores, address)}
		if update.Complete {
			held := inv.All()
			if listed > 0 && listed+len(held) > maxListedParts {
				out.More = true
				continue
			}
			listed += len(held)
			events = events[:0]
			for _, h := range held {
				events = append(events, cachestore.Event{Key: h.Key, Added: true, Tokens: h.Tokens})
			}
		}
		for i := range events {
			events[i].CompletedAt = inv.CompletedAt(events[i].Key)
		}
		update.pack(events, now)
		out.Stores = append(out.Stores, update)
	}
	return out
}

// pack appends events to the update, storing each salt once.
func (u *StoreUpdate) pack(events []cachestore.Event, now time.Time) {
	index := map[string]int{}
	for _, e := range events {
		i, ok := index[e.Salt]
		if !ok {
			i = len(u.Salts)
			index[e.Salt] = i
			u.Salts = append(u.Salts, e.Salt)
		}
		p := PartUpdate{Salt: i, Part: e.Part, Tokens: removedPart}
		if e.Added {
			p.Tokens = e.Tokens
		}
		u.Parts = append(u.Parts, p)
		u.Ages = append(u.Ages, encodeAge(e.CompletedAt, now))
	}
}

// encodeAge encodes the time by which a part was complete, which is at most listLead after now, in
// steps of ageStep back from there. A zero time is encoded as the latest.
func encodeAge(completedAt, now time.Time) byte {
	if completedAt.IsZero() {
		return 0
	}
	return byte(min(max(now.Add(listLead).Sub(completedAt)/ageStep, 0), math.MaxUint8))
}

// decodeAge decodes the result of encodeAge.
func decodeAge(age byte, now time.Time) time.Time {
	return now.Add(listLead - time.Duration(age)*ageStep)
}

// unpack reverses pack for an update received at receivedAt. Parts with an invalid salt index are
// left out.
func (u *StoreUpdate) unpack(receivedAt time.Time) []cachestore.Event {
	out := make([]cachestore.Event, 0, len(u.Parts))
	for i, p := range u.Parts {
		if p.Salt < 0 || p.Salt >= len(u.Salts) {
			continue
		}
		e := cachestore.Event{Key: cachestore.Key{Salt: u.Salts[p.Salt], Part: p.Part}, Added: p.Tokens >= 0, Tokens: max(p.Tokens, 0)}
		if i < len(u.Ages) {
			e.CompletedAt = decodeAge(u.Ages[i], receivedAt)
		}
		out = append(out, e)
	}
	return out
}

// treePosition returns this instance's current position in the relay tree, and the zero value while
// the instance is joining.
func (c *cacheDirectory) treePosition() treePosition {
	v := c.g.view.Load()
	if c.g.isJoining() {
		return treePosition{} // the fleet's size is not known yet
	}
	return v.Tree.position()
}

// pullDirectory pulls the directory from peers until ctx ends, whenever this instance does not poll
// the stores itself. After a failed pull it switches to the next source.
func (c *cacheDirectory) pullDirectory(ctx context.Context) {
	var sources []string     // as of the last pull
	var req DirectoryRequest // refers to the journal of the last source
	failures := 0            // since sources changed; selects the source
	lastFailed := false      // the last pull failed
	pause := pullInterval
	for wait.For(ctx, pause*3/4+rand.N(pause/2)) {
		pause = pullInterval
		position := c.treePosition()
		if len(position.sources) == 0 {
			req = DirectoryRequest{}
			continue
		}
		if !slices.Equal(sources, position.sources) {
			sources, failures, req = position.sources, 0, DirectoryRequest{}
		}
		source := sources[failures%len(sources)]
		requestedAt := c.g.now()
		reply, err := c.requestDirectory(ctx, source, req)
		if err != nil {
			failures++
			lastFailed, req = true, DirectoryRequest{}
			c.g.log.WithError(err).WithField("peer", source).WithField("failures", failures).Warn("cache directory not had")
			continue
		}
		if lastFailed {
			c.g.log.WithField("peer", source).WithField("stores", len(reply.Stores)).Info("cache directory pulled again")
		}
		lastFailed = false
		req = DirectoryRequest{Process: reply.Process, Seq: reply.Seq, Stores: c.applyDirectory(reply, requestedAt)}
		if reply.More {
			pause = pullMoreInterval
		}
	}
}

// requestDirectory sends one request to a peer, and merges the staleness reports of its reply.
func (c *cacheDirectory) requestDirectory(ctx context.Context, source string, req DirectoryRequest) (DirectoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply DirectoryReply
	requestedAt := c.g.now()
	err := c.g.pool.Call(ctx, source, peerService+".Directory", &req, &reply)
	c.g.staleness.Merge(reply.Staleness, requestedAt)
	return reply, err
}

// applyDirectory updates the inventories from a peer's reply to a request sent at requestedAt. It
// returns the addresses of the stores that are known completely now; for the others a full listing
// is needed.
func (c *cacheDirectory) applyDirectory(reply DirectoryReply, requestedAt time.Time) (known []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setServerClock(reply.ClockMS)
	for i := range reply.Stores {
		update := &reply.Stores[i]
		inv := c.inventories[update.Address]
		if inv == nil || inv.stopPolling != nil {
			continue // not in this instance's configuration yet, or polled by it
		}
		if c.applyStore(inv, update, requestedAt) {
			known = append(known, update.Address)
		}
	}
	return known
}

// applyStore applies the update of one store to its inventory. It returns false if a full listing
// is needed. c.mu is held.
func (c *cacheDirectory) applyStore(inv *storeInventory, update *StoreUpdate, requestedAt time.Time) bool {
	now := c.g.now()
	events := update.unpack(now)
	asOf := requestedAt.Add(-time.Duration(update.AgeMS) * time.Millisecond)
	resp := cachestore.Response{Epoch: update.Epoch, AsOf: asOf, CompleteAsOf: asOf.Add(-time.Duration(update.CompleteLagMS) * time.Millisecond), Received: now}
	if !update.Complete {
		ok := inv.Apply(resp, false, events)
		if ok {
			c.journal.Append(update.Address, events)
		}
		return ok
	}
	held := make([]cachestore.StoredPart, len(events))
	for i, e := range events {
		held[i] = cachestore.StoredPart{Key: e.Key, Tokens: e.Tokens, CompletedAt: e.CompletedAt}
	}
	c.applyList(inv, update.Address, resp, held)
	c.g.log.WithField("address", update.Address).WithField("epoch", update.Epoch).WithField("parts", len(held)).WithField("age_ms", update.AgeMS).
		Info("cache store listing received from a peer")
	return true
}
