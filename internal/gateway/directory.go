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

// In a large fleet not every instance follows every cache store: a store bears few
// polls, and its lists are long. In each zone one or two instances follow the
// stores, and the others of the zone take what changed from them, along a tree of
// bounded width, so that neither polls nor bytes between zones grow with the fleet.

// Pace of going through the tree.
const (
	// pullInterval is the pause between two looks at another's directory.
	pullInterval = 150 * time.Millisecond
	// pullTimeout bounds one look.
	pullTimeout = 500 * time.Millisecond
	// pullMoreInterval is the pause before the next look if something was left out of the last one.
	pullMoreInterval = pullInterval / 4
	// maxListedParts is how many parts one answer lists of stores that the asker does not know,
	// unless a single store holds more: some 20 kB, so that the treeFanout instances that ask
	// at once are all answered within half of pullTimeout over 10 Mbit/s. Without a bound,
	// after a start of all 91 instances 192 looks failed, and the last instance knew all
	// stores 4 s after the start.
	maxListedParts = 1500
	// maxRelayAge is how much older a store's last word may be for having come by way
	// of others: two steps of the tree.
	maxRelayAge = 800 * time.Millisecond
	// joinWindow is how long a new process waits to learn how large the fleet is
	// before it follows stores, or watches the object store, itself.
	joinWindow = time.Second
)

// DirectoryRequest asks for what changed in the cache stores.
type DirectoryRequest struct {
	Process uint64 `cbor:"1,keyasint"` // whose numbers Seq is of
	Seq     uint64 `cbor:"2,keyasint"` // the last change that the asker has
	// Stores are the addresses of those of which the asker has all up to Seq.
	Stores []string `cbor:"3,keyasint,omitempty"`
}

// DirectoryReply is the answer.
type DirectoryReply struct {
	Process uint64        `cbor:"1,keyasint"`
	Seq     uint64        `cbor:"2,keyasint"`
	ClockMS float64       `cbor:"3,keyasint"`           // servers' clock now, 0: not known
	Stores  []StoreUpdate `cbor:"4,keyasint"`           // those that answer
	More    bool          `cbor:"5,keyasint,omitempty"` // some were left out, to be asked for at once
	// Staleness has the ages of the teller's copies of what the object store holds: those who
	// ask for the directory are those who go by its news.
	Staleness []staleness.Report `cbor:"6,keyasint,omitempty"`
}

// StoreUpdate is what changed in one store.
type StoreUpdate struct {
	Address  string       `cbor:"1,keyasint"`
	Epoch    uint64       `cbor:"2,keyasint"`
	AgeMS    int64        `cbor:"3,keyasint"`           // since the store answered
	Complete bool         `cbor:"4,keyasint,omitempty"` // Parts is all that it holds
	Salts    []string     `cbor:"5,keyasint,omitempty"` // each once
	Parts    []PartUpdate `cbor:"6,keyasint,omitempty"` // in order
	// Ages has how long each of Parts has been complete, see encodeAge.
	Ages []byte `cbor:"7,keyasint,omitempty"`
	// CompleteLagMS is how much longer ago than AgeMS the teller's knowledge was whole.
	CompleteLagMS int64 `cbor:"8,keyasint,omitempty"`
}

// ageStep is the granule of ages, which are rounded down: one byte tells up to 4 s.
const ageStep = 20 * time.Millisecond

// PartUpdate is one change.
type PartUpdate struct {
	_      struct{} `cbor:",toarray"`
	Salt   int      // index in Salts
	Part   string
	Tokens int // -1: no longer held
}

// removedPart stands for the tokens of a part that is no longer held.
const removedPart = -1

// Directory answers another instance's look.
func (h *peerHandler) Directory(req *DirectoryRequest, out *DirectoryReply) error {
	*out = h.g.cache.directoryFor(*req)
	out.Staleness = h.g.staleness.Reports(h.g.now())
	return nil
}

// directoryFor collects what the asker lacks.
func (c *cacheDirectory) directoryFor(ask DirectoryRequest) DirectoryReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	out := DirectoryReply{Process: c.processID, Seq: c.journal.Seq()}
	if !c.serverClockAt.IsZero() {
		out.ClockMS = c.serverClock + float64(now.Sub(c.serverClockAt))/float64(time.Millisecond)
	}
	listed := 0 // parts of stores that are told whole
	for address, sh := range c.inventories {
		epoch, _, known := sh.Position()
		if !known {
			continue
		}
		events, whole := c.journal.Since(address, ask.Seq)
		n := StoreUpdate{Address: address, Epoch: epoch, AgeMS: now.Sub(sh.AsOf()).Milliseconds() + 1, CompleteLagMS: sh.AsOf().Sub(sh.CompleteAsOf()).Milliseconds(),
			Complete: whole || ask.Process != c.processID || !slices.Contains(ask.Stores, address)}
		if n.Complete {
			held := sh.All()
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
			events[i].CompletedAt = sh.CompletedAt(events[i].Key)
		}
		n.pack(events, now)
		out.Stores = append(out.Stores, n)
	}
	return out
}

// pack writes events with each salt once.
func (n *StoreUpdate) pack(events []cachestore.Event, now time.Time) {
	index := map[string]int{}
	for _, e := range events {
		i, ok := index[e.Salt]
		if !ok {
			i = len(n.Salts)
			index[e.Salt] = i
			n.Salts = append(n.Salts, e.Salt)
		}
		p := PartUpdate{Salt: i, Part: e.Part, Tokens: removedPart}
		if e.Added {
			p.Tokens = e.Tokens
		}
		n.Parts = append(n.Parts, p)
		n.Ages = append(n.Ages, encodeAge(e.CompletedAt, now))
	}
}

// encodeAge tells by when a part was complete, which is at most listLead from now.
func encodeAge(at, now time.Time) byte {
	if at.IsZero() {
		return 0
	}
	return byte(min(max(now.Add(listLead).Sub(at)/ageStep, 0), math.MaxUint8))
}

// decodeAge reads what encodeAge wrote.
func decodeAge(age byte, now time.Time) time.Time {
	return now.Add(listLead - time.Duration(age)*ageStep)
}

// unpack reads what pack wrote, heard at a time; parts that name no salt are left out.
func (n *StoreUpdate) unpack(heard time.Time) []cachestore.Event {
	out := make([]cachestore.Event, 0, len(n.Parts))
	for i, p := range n.Parts {
		if p.Salt < 0 || p.Salt >= len(n.Salts) {
			continue
		}
		e := cachestore.Event{Key: cachestore.Key{Salt: n.Salts[p.Salt], Part: p.Part}, Added: p.Tokens >= 0, Tokens: max(p.Tokens, 0)}
		if i < len(n.Ages) {
			e.CompletedAt = decodeAge(n.Ages[i], heard)
		}
		out = append(out, e)
	}
	return out
}

// treePosition is this instance's place in the tree now.
func (c *cacheDirectory) treePosition() treePosition {
	v := c.g.view.Load()
	if c.g.isJoining() {
		return treePosition{} // not known yet
	}
	return v.Tree.position()
}

// pullDirectory takes the directory from others, as long as this instance does not follow
// the stores itself.
func (c *cacheDirectory) pullDirectory(ctx context.Context) {
	var sources []string     // as of the last look
	var ask DirectoryRequest // by the numbers of the source asked last
	failures := 0            // since sources changed; it chooses among them
	missing := false         // the last look failed
	gap := pullInterval
	for wait.For(ctx, gap*3/4+rand.N(gap/2)) {
		gap = pullInterval
		at := c.treePosition()
		if len(at.sources) == 0 {
			ask = DirectoryRequest{}
			continue
		}
		if !slices.Equal(sources, at.sources) {
			sources, failures, ask = at.sources, 0, DirectoryRequest{}
		}
		source := sources[failures%len(sources)]
		started := c.g.now()
		d, err := c.requestDirectory(ctx, source, ask)
		if err != nil {
			failures++
			missing, ask = true, DirectoryRequest{}
			c.g.log.WithError(err).WithField("peer", source).WithField("failures", failures).Warn("cache directory not had")
			continue
		}
		if missing {
			c.g.log.WithField("peer", source).WithField("stores", len(d.Stores)).Info("cache directory had again")
		}
		missing = false
		ask = DirectoryRequest{Process: d.Process, Seq: d.Seq, Stores: c.applyDirectory(d, started)}
		if d.More {
			gap = pullMoreInterval
		}
	}
}

func (c *cacheDirectory) requestDirectory(ctx context.Context, source string, ask DirectoryRequest) (DirectoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var d DirectoryReply
	asked := c.g.now()
	err := c.g.pool.Call(ctx, source, peerService+".Directory", &ask, &d)
	c.g.staleness.Merge(d.Staleness, asked)
	return d, err
}

// applyDirectory brings the inventories up to date with another's word, asked for at started. It
// returns the stores that are known now; others must be told anew.
func (c *cacheDirectory) applyDirectory(d DirectoryReply, started time.Time) (known []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setServerClock(d.ClockMS)
	for i := range d.Stores {
		n := &d.Stores[i]
		sh := c.inventories[n.Address]
		if sh == nil || sh.stopPolling != nil {
			continue // not declared here yet, or followed by this instance itself
		}
		if c.applyStore(sh, n, started) {
			known = append(known, n.Address)
		}
	}
	return known
}

// applyStore is take for one store; c.mu is held.
func (c *cacheDirectory) applyStore(sh *storeInventory, n *StoreUpdate, started time.Time) bool {
	now := c.g.now()
	events := n.unpack(now)
	asOf := started.Add(-time.Duration(n.AgeMS) * time.Millisecond)
	w := cachestore.Response{Epoch: n.Epoch, AsOf: asOf, CompleteAsOf: asOf.Add(-time.Duration(n.CompleteLagMS) * time.Millisecond), Received: now}
	if !n.Complete {
		ok := sh.Apply(w, false, events)
		if ok {
			c.journal.Append(n.Address, events)
		}
		return ok
	}
	held := make([]cachestore.StoredPart, len(events))
	for i, e := range events {
		held[i] = cachestore.StoredPart{Key: e.Key, Tokens: e.Tokens, CompletedAt: e.CompletedAt}
	}
	c.applyList(sh, n.Address, w, held)
	c.g.log.WithField("address", n.Address).WithField("epoch", n.Epoch).WithField("parts", len(held)).WithField("age_ms", n.AgeMS).
		Info("cache store taken over from a peer")
	return true
}
