package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/rendezvous"
	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/core/streamversion"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// A stream may go on only at the version of the targets' software that began it: within one response, and
// over its caller's tries at any instance. The instance that sends the first event binds the stream to the
// version. While a service has several versions, or may have had some, it tells a few peers, found by
// rendezvous hashing of the stream; whoever a caller takes the stream up at asks them. A stream that nobody
// knows goes on only if a single version can have begun it.

const (
	// streamHomes is how many peers are told of a stream's version, in different zones where possible.
	streamHomes = 3
	// askedPeers is how many are asked for it: more than were told, since the instances may not agree on
	// who is alive.
	askedPeers = 6
	// streamAskTimeout bounds the question to a peer: a round trip between zones takes 3 ms.
	streamAskTimeout = 150 * time.Millisecond
	// takeUpTime is how long after a stream's deadline its caller may take it up.
	takeUpTime = 15 * time.Second
	// streamRecordsDelay is how long records wait to be sent together.
	streamRecordsDelay = time.Millisecond
	// streamRecordsTimeout bounds the sending of records to a peer.
	streamRecordsTimeout = 300 * time.Millisecond
	// maxStreamRecords bounds the records in one message.
	maxStreamRecords = 256
	// maxHistoryAge is the age of the list of targets from which on changes of it may be missed.
	maxHistoryAge = watcherTimeout + otherStaleMargin + maxStaleDelay
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

// StreamQuestion asks a peer for a stream's version.
type StreamQuestion struct {
	ID       streamversion.ID `cbor:"1,keyasint"`
	Service  string           `cbor:"2,keyasint"` // the only one of its route, or ""
	WindowMS int64            `cbor:"3,keyasint"` // the stream began no longer ago
	ByID     bool             `cbor:"4,keyasint"` // ID is the stream's; else it is the request's
}

// StreamAnswer is the reply to a StreamQuestion.
type StreamAnswer struct {
	Found    bool                  `cbor:"1,keyasint"`
	Binding  streamversion.Binding `cbor:"2,keyasint"`
	Versions []string              `cbor:"3,keyasint,omitempty"` // of the service's targets within the window
	Complete bool                  `cbor:"4,keyasint"`           // these are all
	// Ambiguous says that requests like the one in question began streams at several versions.
	Ambiguous bool `cbor:"5,keyasint"`
	// Remembers, Alone: see streamversion.Knowledge. Releases before 2026-12 don't tell.
	Remembers bool     `cbor:"6,keyasint,omitempty"`
	Alone     []string `cbor:"7,keyasint,omitempty"`
}

// knowledge returns the answer as the core takes it.
func (a StreamAnswer) knowledge() streamversion.Knowledge {
	return streamversion.Knowledge{Binding: a.Binding, Found: a.Found, Ambiguous: a.Ambiguous, Remembers: a.Remembers, Versions: a.Versions, Alone: a.Alone, Complete: a.Complete}
}

// streamVersions knows which version of the software began each stream.
type streamVersions struct {
	g       *Gateway
	records streamversion.Records
	history streamversion.History
	due     wait.Signal
	begun   wait.Signal // a stream has begun

	mu      sync.Mutex
	pending []streamversion.Record // to be told
}

// observe records the versions of the listed targets, and tells of the streams of services that have
// got a second one. It is called by the control goroutine.
func (s *streamVersions) observe(targets map[string]*catalog.Target) {
	listed := map[string][]string{}
	for _, t := range targets {
		if !slices.Contains(listed[t.Service], t.Software) {
			listed[t.Service] = append(listed[t.Service], t.Software)
		}
	}
	now := s.g.now()
	for _, service := range s.history.Observe(listed, now) {
		own := s.records.Own(service, now)
		s.g.log.WithField("service", service).WithField("versions", listed[service]).WithField("streams", len(own)).Info("targets of several versions serve")
		s.tell(own...)
	}
}

// checkHistory records that changes of the targets may be missed, if so. It is called by the control
// goroutine in each tick.
func (s *streamVersions) checkHistory(paused bool) {
	if now := s.g.now(); paused || s.listAge(now) > maxHistoryAge {
		s.history.Interrupt(now)
	}
}

// listAge returns the age of this instance's list of targets.
func (s *streamVersions) listAge(now time.Time) time.Duration {
	age, known := s.g.staleness.Age(staleness.Targets, now)
	if !known {
		return maxHistoryAge + 1
	}
	return age
}

// versionsWithin returns the versions of a service's targets within a window, and whether these are all.
func (s *streamVersions) versionsWithin(service string, window time.Duration) (versions []string, complete bool) {
	now := s.g.now()
	versions, complete = s.history.Within(service, window, now)
	return versions, complete && s.listAge(now) <= maxHistoryAge
}

// begin binds a stream to the version that sends its first event, or notes that it goes on there. It began
// within window.
func (s *streamVersions) begin(record streamversion.Record, window time.Duration) {
	s.begun.Raise()
	if !s.records.Bind(record, true, s.g.now()) {
		metric.StreamsForgotten.Inc()
		return
	}
	if versions, complete := s.versionsWithin(record.Binding.Service, window); !complete || len(versions) > 1 {
		s.tell(record)
	}
}

// tell queues records for the peers that remember them.
func (s *streamVersions) tell(records ...streamversion.Record) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, records...)
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

// sendPending sends the queued records, one message for each peer.
func (s *streamVersions) sendPending(ctx context.Context) {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.mu.Unlock()
	byPeer, now, v := map[string][]StreamRecord{}, s.g.now(), s.g.view.Load()
	addresses := map[string]string{}
	for _, r := range pending {
		wire := StreamRecord{ID: r.ID, Request: r.Request, Binding: r.Binding, KeepMS: r.Until.Sub(now).Milliseconds()}
		for _, m := range peersFor(v, r.ID, streamHomes) {
			byPeer[m.Name] = append(byPeer[m.Name], wire)
			addresses[m.Name] = m.Address
		}
	}
	for name, records := range byPeer {
		for chunk := range slices.Chunk(records, maxStreamRecords) {
			s.g.spawn(func() { s.send(ctx, name, addresses[name], chunk) })
		}
	}
}

func (s *streamVersions) send(ctx context.Context, name, address string, records []StreamRecord) {
	ctx, cancel := context.WithTimeout(ctx, streamRecordsTimeout)
	defer cancel()
	err := s.g.pool.Call(ctx, address, peerService+".Streams", &StreamRecords{Records: records}, &Ack{})
	if err != nil {
		s.g.log.WithError(err).WithField("peer", name).WithField("streams", len(records)).Info("versions of streams not told")
	}
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

// StreamVersion handles a peer's question.
func (h *peerHandler) StreamVersion(req *StreamQuestion, out *StreamAnswer) error {
	*out = h.g.streams.answer(req)
	return nil
}

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

// Ways in which an instance knows where a stream may go on, besides those of package streamversion.
const (
	streamBoundHere   = "own"   // it went through this instance, or a peer told it
	streamBoundByPeer = "peer"  // a peer knows
	streamMoved       = "moved" // its service gets no requests of the route any more
)

// answer returns what this instance knows of a stream.
func (s *streamVersions) answer(q *StreamQuestion) (a StreamAnswer) {
	now, window := s.g.now(), time.Duration(q.WindowMS)*time.Millisecond
	if q.ByID {
		a.Binding, a.Found = s.records.Find(q.ID, now)
	} else {
		a.Binding, a.Found, a.Ambiguous = s.records.FindRequest(q.ID, now)
	}
	a.Remembers = s.records.Remember(window, now)
	a.Versions, a.Complete = s.versionsWithin(q.Service, window)
	a.Alone = s.history.Alone(q.Service, window+maxHistoryAge, now) // lists of other instances may lag by that
	return a
}

// find returns where a stream may go on, and how that is known. An instance that gets no answer of any peer
// may have missed a new version.
func (s *streamVersions) find(ctx context.Context, q *StreamQuestion) (b streamversion.Binding, how string) {
	inquiry := s.newInquiry(q)
	own := s.answer(q)
	if inquiry.Add(own.knowledge()) {
		return own.Binding, streamBoundHere
	}
	answered := !s.g.hasOtherSeeds()
	for answer := range s.ask(ctx, q) {
		answered = true
		if inquiry.Add(answer.knowledge()) {
			break
		}
	}
	if !answered {
		inquiry.Service = ""
	}
	b, how = inquiry.Decide()
	if how == streamversion.ByName {
		how = streamBoundByPeer
	}
	return b, how
}

// newInquiry returns an inquiry into the stream of a question. In a large fleet some of the streams' holders
// are not asked, and count as lost.
func (s *streamVersions) newInquiry(q *StreamQuestion) *streamversion.Inquiry {
	v, now := s.g.view.Load(), s.g.now()
	members := len(v.Peers)
	for _, since := range v.Gone {
		if now.Sub(since) <= time.Duration(q.WindowMS)*time.Millisecond {
			members++
		}
	}
	return &streamversion.Inquiry{Service: q.Service, Members: members, Holders: min(members, 1+streamHomes), Named: q.ByID}
}

// ask asks peers for a stream's version, and returns their answers as they come.
func (s *streamVersions) ask(ctx context.Context, question *StreamQuestion) func(yield func(StreamAnswer) bool) {
	v := s.g.view.Load()
	n := askedPeers
	if len(v.Peers) <= maxSmallFleet {
		n = maxSmallFleet
	}
	peers := peersFor(v, question.ID, n)
	return func(yield func(StreamAnswer) bool) {
		ctx, cancel := context.WithTimeout(ctx, streamAskTimeout)
		defer cancel()
		answers := make(chan *StreamAnswer, len(peers))
		for _, m := range peers {
			s.g.spawn(func() {
				var answer StreamAnswer
				if err := s.g.pool.Call(ctx, m.Address, peerService+".StreamVersion", question, &answer); err != nil {
					answers <- nil
					return
				}
				answers <- &answer
			})
		}
		for range peers {
			if answer := <-answers; answer != nil && !yield(*answer) {
				return
			}
		}
	}
}
