package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/core/streamversion"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Records of streams, which the instance that begins them tells a few peers.

const (
	// streamHomes is how many peers are told of a stream's version, in different zones where possible.
	streamHomes = 3
	// streamRecordsDelay is how long records wait to be sent together.
	streamRecordsDelay = time.Millisecond
	// streamRecordsTimeout bounds the sending of records to a peer.
	streamRecordsTimeout = 300 * time.Millisecond
	// streamRecordsRetry is the time after which records are sent again that a peer may not have received.
	streamRecordsRetry = time.Second
	// maxStreamRecords bounds the records in one message.
	maxStreamRecords = 256
	// streamRole is the prefix of the rendezvous keys that rank instances for a stream.
	streamRole = "stream/"
)

// StreamRecord tells a peer of a stream's version.
type StreamRecord struct {
	ID      streamversion.ID      `cbor:"1,keyasint"`
	Binding streamversion.Binding `cbor:"2,keyasint"`
	KeepMS  int64                 `cbor:"3,keyasint"` // how much longer its caller may take it up
	Request streamversion.ID      `cbor:"4,keyasint"`
}

// StreamRecords tells a peer of streams that it is to remember.
type StreamRecords struct {
	Records []StreamRecord `cbor:"1,keyasint"`
}

// tell queues records for the peers that remember them.
func (s *streamVersions) tell(records ...streamversion.Record) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[streamversion.ID]streamversion.Record{}
	}
	for _, r := range records {
		s.pending[r.ID] = r
	}
	s.due.Raise()
}

// run sends queued records until ctx ends.
func (s *streamVersions) run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.due.Wait(ctx, time.Minute) && wait.For(ctx, streamRecordsDelay) {
			s.sendPending(ctx)
		}
	}
}

// sendPending sends the queued records, one message for each peer. If no peer is known, they wait for one.
func (s *streamVersions) sendPending(ctx context.Context) {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	byPeer, v := map[string][]streamversion.Record{}, s.g.view.Load()
	var homeless []streamversion.Record
	for _, r := range pending {
		homes := peersFor(v, r.ID, streamHomes)
		if len(homes) == 0 {
			homeless = append(homeless, r)
		}
		for _, m := range homes {
			byPeer[m.Name] = append(byPeer[m.Name], r)
		}
	}
	for name, records := range byPeer {
		for chunk := range slices.Chunk(records, maxStreamRecords) {
			s.g.spawn(func() { s.send(ctx, name, chunk) })
		}
	}
	if len(homeless) > 0 && s.g.hasOtherSeeds() {
		s.g.spawn(func() { s.tellLater(ctx, homeless) })
	}
}

// tellLater queues records after a pause, but for those that are no longer needed.
func (s *streamVersions) tellLater(ctx context.Context, records []streamversion.Record) {
	if wait.For(ctx, streamRecordsRetry) {
		s.tell(unexpired(records, s.g.now())...)
	}
}

// unexpired returns the records of streams that may still be taken up.
func unexpired(records []streamversion.Record, now time.Time) []streamversion.Record {
	return slices.DeleteFunc(slices.Clone(records), func(r streamversion.Record) bool { return !now.Before(r.Until) })
}

// send tells a peer of records until it has taken them. If the peer goes meanwhile, others take its place.
func (s *streamVersions) send(ctx context.Context, name string, records []streamversion.Record) {
	for len(records) > 0 {
		m, live := s.g.view.Load().peer(name)
		if !live {
			s.tellLater(ctx, records)
			return
		}
		err := s.sendOnce(ctx, m.Address, records)
		if err == nil {
			return
		}
		s.g.log.WithError(err).WithField("peer", name).WithField("streams", len(records)).Info("versions of streams not told")
		if !wait.For(ctx, streamRecordsRetry) {
			return
		}
		records = unexpired(records, s.g.now())
	}
}

func (s *streamVersions) sendOnce(ctx context.Context, address string, records []streamversion.Record) error {
	message, now := StreamRecords{}, s.g.now()
	for _, r := range records {
		message.Records = append(message.Records, StreamRecord{ID: r.ID, Request: r.Request, Binding: r.Binding, KeepMS: r.Until.Sub(now).Milliseconds()})
	}
	ctx, cancel := context.WithTimeout(ctx, streamRecordsTimeout)
	defer cancel()
	return s.g.pool.Call(ctx, address, peerService+".Streams", &message, &Ack{})
}

// Streams handles a peer's records.
func (h *peerHandler) Streams(req *StreamRecords, _ *Ack) error {
	now := h.g.now()
	for _, r := range req.Records[:min(len(req.Records), maxStreamRecords)] {
		keep := min(time.Duration(r.KeepMS)*time.Millisecond, maxStreamKeep)
		record := streamversion.Record{ID: r.ID, Request: r.Request, Binding: r.Binding, Until: now.Add(keep)}
		if keep > 0 && !h.g.streams.records.Bind(record, false, now) {
			metric.StreamsForgotten.Inc()
		}
	}
	return nil
}

// maxStreamKeep bounds how long an instance remembers a stream on behalf of a peer.
const maxStreamKeep = 10 * time.Minute

// peersFor returns the live peers that rank highest for a stream, at most n, without this instance. The first
// of each zone come before the others.
func peersFor(v *View, id streamversion.ID, n int) []member.Member {
	type ranked struct {
		member.Member
		score uint64
	}
	role := streamRole + string(id[:])
	all := make([]ranked, 0, len(v.Peers))
	for _, m := range v.Peers {
		if m.Name != v.Self {
			all = append(all, ranked{m, rendezvous.Score(m.Name, role)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	var first, rest []member.Member
	zones := map[string]bool{}
	for _, m := range all {
		if zones[m.Zone] {
			rest = append(rest, m.Member)
			continue
		}
		zones[m.Zone] = true
		first = append(first, m.Member)
	}
	out := append(first, rest...)
	return out[:min(n, len(out))]
}
