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
	// pullGap is the pause between two looks at another's directory.
	pullGap = 150 * time.Millisecond
	// pullTimeout bounds one look.
	pullTimeout = 500 * time.Millisecond
	// moreGap is the pause before the next look if something was left out of the last one.
	moreGap = pullGap / 4
	// wholeParts is how many parts one answer lists of stores that the asker does not know,
	// unless a single store holds more: some 20 kB, so that the treeFan instances that ask
	// at once are all answered within half of pullTimeout over 10 Mbit/s. Without a bound,
	// after a start of all 91 instances 192 looks failed, and the last instance knew all
	// stores 4 s after the start.
	wholeParts = 1500
	// relayAge is how much older a store's last word may be for having come by way
	// of others: two steps of the tree.
	relayAge = 800 * time.Millisecond
	// joinTime is how long a new process waits to learn how large the fleet is
	// before it follows stores, or watches the object store, itself.
	joinTime = time.Second
)

// DirectoryAsk asks for what changed in the cache stores.
type DirectoryAsk struct {
	Process uint64 `cbor:"1,keyasint"` // whose numbers Seq is of
	Seq     uint64 `cbor:"2,keyasint"` // the last change that the asker has
	// Stores are the addresses of those of which the asker has all up to Seq.
	Stores []string `cbor:"3,keyasint,omitempty"`
}

// Directory is the answer.
type Directory struct {
	Process uint64      `cbor:"1,keyasint"`
	Seq     uint64      `cbor:"2,keyasint"`
	ClockMS float64     `cbor:"3,keyasint"`           // servers' clock now, 0: not known
	Stores  []StoreNews `cbor:"4,keyasint"`           // those that answer
	More    bool        `cbor:"5,keyasint,omitempty"` // some were left out, to be asked for at once
	// Fresh has the ages of the teller's copies of what the object store holds: those who
	// ask for the directory are those who go by its news.
	Fresh []staleness.Report `cbor:"6,keyasint,omitempty"`
}

// StoreNews is what changed in one store.
type StoreNews struct {
	Address string     `cbor:"1,keyasint"`
	Epoch   uint64     `cbor:"2,keyasint"`
	AgeMS   int64      `cbor:"3,keyasint"`           // since the store answered
	Whole   bool       `cbor:"4,keyasint,omitempty"` // Parts is all that it holds
	Salts   []string   `cbor:"5,keyasint,omitempty"` // each once
	Parts   []PartNews `cbor:"6,keyasint,omitempty"` // in order
	// Ages has how long each of Parts has been complete, see ageOf.
	Ages []byte `cbor:"7,keyasint,omitempty"`
	// BehindMS is how much longer ago than AgeMS the teller's knowledge was whole.
	BehindMS int64 `cbor:"8,keyasint,omitempty"`
}

// ageStep is the granule of ages, which are rounded down: one byte tells up to 4 s.
const ageStep = 20 * time.Millisecond

// PartNews is one change.
type PartNews struct {
	_      struct{} `cbor:",toarray"`
	Salt   int      // index in Salts
	Part   string
	Tokens int // -1: no longer held
}

// gonePart stands for the tokens of a part that is no longer held.
const gonePart = -1

// Directory answers another instance's look.
func (h *peerHandler) Directory(req *DirectoryAsk, out *Directory) error {
	*out = h.g.cache.tell(*req)
	out.Fresh = h.g.fresh.Reports(h.g.now())
	return nil
}

// tell collects what the asker lacks.
func (c *cacheDirectory) tell(ask DirectoryAsk) Directory {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.g.now()
	out := Directory{Process: c.process, Seq: c.journal.Seq()}
	if !c.clockAt.IsZero() {
		out.ClockMS = c.clock + float64(now.Sub(c.clockAt))/float64(time.Millisecond)
	}
	listed := 0 // parts of stores that are told whole
	for address, sh := range c.inventories {
		epoch, _, known := sh.Position()
		if !known {
			continue
		}
		events, whole := c.journal.Since(address, ask.Seq)
		n := StoreNews{Address: address, Epoch: epoch, AgeMS: now.Sub(sh.AsOf()).Milliseconds() + 1, BehindMS: sh.AsOf().Sub(sh.CompleteAsOf()).Milliseconds(),
			Whole: whole || ask.Process != c.process || !slices.Contains(ask.Stores, address)}
		if n.Whole {
			held := sh.All()
			if listed > 0 && listed+len(held) > wholeParts {
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
func (n *StoreNews) pack(events []cachestore.Event, now time.Time) {
	index := map[string]int{}
	for _, e := range events {
		i, ok := index[e.Salt]
		if !ok {
			i = len(n.Salts)
			index[e.Salt] = i
			n.Salts = append(n.Salts, e.Salt)
		}
		p := PartNews{Salt: i, Part: e.Part, Tokens: gonePart}
		if e.Added {
			p.Tokens = e.Tokens
		}
		n.Parts = append(n.Parts, p)
		n.Ages = append(n.Ages, ageOf(e.CompletedAt, now))
	}
}

// ageOf tells by when a part was complete, which is at most listLead from now.
func ageOf(at, now time.Time) byte {
	if at.IsZero() {
		return 0
	}
	return byte(min(max(now.Add(listLead).Sub(at)/ageStep, 0), math.MaxUint8))
}

// completeBy reads what ageOf wrote.
func completeBy(age byte, now time.Time) time.Time {
	return now.Add(listLead - time.Duration(age)*ageStep)
}

// events reads what pack wrote, heard at a time; parts that name no salt are left out.
func (n *StoreNews) events(heard time.Time) []cachestore.Event {
	out := make([]cachestore.Event, 0, len(n.Parts))
	for i, p := range n.Parts {
		if p.Salt < 0 || p.Salt >= len(n.Salts) {
			continue
		}
		e := cachestore.Event{Key: cachestore.Key{Salt: n.Salts[p.Salt], Part: p.Part}, Added: p.Tokens >= 0, Tokens: max(p.Tokens, 0)}
		if i < len(n.Ages) {
			e.CompletedAt = completeBy(n.Ages[i], heard)
		}
		out = append(out, e)
	}
	return out
}

// place is this instance's place in the tree now.
func (c *cacheDirectory) place() position {
	v := c.g.view.Load()
	if c.g.joins() {
		return position{} // not known yet
	}
	return v.Tree.position()
}

// pull takes the directory from others, as long as this instance does not follow
// the stores itself.
func (c *cacheDirectory) pull(ctx context.Context) {
	var sources []string // as of the last look
	var ask DirectoryAsk // by the numbers of the source asked last
	failures := 0        // since sources changed; it chooses among them
	missing := false     // the last look failed
	gap := pullGap
	for wait.For(ctx, gap*3/4+rand.N(gap/2)) {
		gap = pullGap
		at := c.place()
		if len(at.sources) == 0 {
			ask = DirectoryAsk{}
			continue
		}
		if !slices.Equal(sources, at.sources) {
			sources, failures, ask = at.sources, 0, DirectoryAsk{}
		}
		source := sources[failures%len(sources)]
		started := c.g.now()
		d, err := c.look(ctx, source, ask)
		if err != nil {
			failures++
			missing, ask = true, DirectoryAsk{}
			c.g.log.WithError(err).WithField("peer", source).WithField("failures", failures).Warn("cache directory not had")
			continue
		}
		if missing {
			c.g.log.WithField("peer", source).WithField("stores", len(d.Stores)).Info("cache directory had again")
		}
		missing = false
		ask = DirectoryAsk{Process: d.Process, Seq: d.Seq, Stores: c.take(d, started)}
		if d.More {
			gap = moreGap
		}
	}
}

func (c *cacheDirectory) look(ctx context.Context, source string, ask DirectoryAsk) (Directory, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var d Directory
	asked := c.g.now()
	err := c.g.pool.Call(ctx, source, peerService+".Directory", &ask, &d)
	c.g.fresh.Merge(d.Fresh, asked)
	return d, err
}

// take brings the inventories up to date with another's word, asked for at started. It
// returns the stores that are known now; others must be told anew.
func (c *cacheDirectory) take(d Directory, started time.Time) (known []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setClock(d.ClockMS)
	for i := range d.Stores {
		n := &d.Stores[i]
		sh := c.inventories[n.Address]
		if sh == nil || sh.cancel != nil {
			continue // not declared here yet, or followed by this instance itself
		}
		if c.takeStore(sh, n, started) {
			known = append(known, n.Address)
		}
	}
	return known
}

// takeStore is take for one store; c.mu is held.
func (c *cacheDirectory) takeStore(sh *inventory, n *StoreNews, started time.Time) bool {
	now := c.g.now()
	events := n.events(now)
	asOf := started.Add(-time.Duration(n.AgeMS) * time.Millisecond)
	w := cachestore.Response{Epoch: n.Epoch, AsOf: asOf, CompleteAsOf: asOf.Add(-time.Duration(n.BehindMS) * time.Millisecond), Received: now}
	if !n.Whole {
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
	c.listed(sh, n.Address, w, held)
	c.g.log.WithField("address", n.Address).WithField("epoch", n.Epoch).WithField("parts", len(held)).WithField("age_ms", n.AgeMS).
		Info("cache store taken over from a peer")
	return true
}
