package gateway

import (
	"context"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/member"
	"github.com/shedhoist/shedhoist/internal/core/streamversion"
)

// Questions about a stream that a caller takes up.

const (
	// askedPeers is how many peers are asked for a stream: more than were told, since the instances may not
	// agree on who is alive.
	askedPeers = 6
	// streamAskTimeout bounds the question to a peer: a round trip between zones takes 3 ms.
	streamAskTimeout = 150 * time.Millisecond
	// streamListTimeout bounds the reading of the list of targets for a stream: callers are refused within a
	// quarter of a second.
	streamListTimeout = 90 * time.Millisecond
)

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
	// Remembers, Alone, Unreached: see streamversion.Knowledge. Earlier releases don't tell.
	Remembers bool     `cbor:"6,keyasint,omitempty"`
	Alone     []string `cbor:"7,keyasint,omitempty"`
	Unreached []string `cbor:"8,keyasint,omitempty"`
}

// knowledge returns the answer as the core takes it.
func (a StreamAnswer) knowledge() streamversion.Knowledge {
	return streamversion.Knowledge{Binding: a.Binding, Found: a.Found, Ambiguous: a.Ambiguous, Remembers: a.Remembers, Versions: a.Versions, Alone: a.Alone, Complete: a.Complete,
		Unreached: a.Unreached}
}

// Ways in which an instance knows where a stream may go on, besides those of package streamversion.
const (
	streamBoundHere   = "own"   // it went through this instance, or a peer told it
	streamBoundByPeer = "peer"  // a peer knows
	streamMoved       = "moved" // its service gets no requests of the route any more
)

// StreamVersion handles a peer's question.
func (h *peerHandler) StreamVersion(req *StreamQuestion, out *StreamAnswer) error {
	*out = h.g.streams.answer(req)
	return nil
}

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
	a.Unreached = s.contacts.LostWithin(window, now)
	return a
}

// find returns where a stream may go on, and how that is known.
func (s *streamVersions) find(ctx context.Context, q *StreamQuestion) (b streamversion.Binding, how string) {
	inquiry, asked := s.newInquiry(q), s.g.now()
	own := s.answer(q)
	if inquiry.Add(s.g.settings().Name, own.knowledge()) {
		return own.Binding, streamBoundHere
	}
	s.askPeers(ctx, q, inquiry)
	b, how = inquiry.Decide()
	if how == streamversion.Unknown && inquiry.MayMissVersions() && s.readTargets(ctx, asked) {
		inquiry.Current = true
		inquiry.Add(s.g.settings().Name, s.answer(q).knowledge())
		b, how = inquiry.Decide()
	}
	switch how {
	case streamversion.ByName:
		how = streamBoundByPeer
	case streamversion.Unknown:
		s.g.log.WithField("by_id", q.ByID).WithField("members", len(inquiry.Members)).WithField("lost", inquiry.Lost()).WithField("unreached", inquiry.Unreached()).
			Info("version of a stream not found")
	}
	return b, how
}

// askPeers adds to an inquiry what peers know. An instance that gets no answer of any peer may have missed a new
// version.
func (s *streamVersions) askPeers(ctx context.Context, q *StreamQuestion, inquiry *streamversion.Inquiry) {
	answered := !s.g.hasOtherSeeds()
	for reply := range s.ask(ctx, q) {
		switch reply.outcome {
		case peerSilent:
			inquiry.AddUnreached(reply.peer)
		case peerAnswered:
			answered = true
			if inquiry.Add(reply.peer, reply.knowledge) {
				return
			}
		}
	}
	if !answered {
		inquiry.Service = ""
	}
}

// newInquiry returns an inquiry into the stream of a question. In a large fleet some of the streams' holders
// are not asked, and count as lost.
func (s *streamVersions) newInquiry(q *StreamQuestion) *streamversion.Inquiry {
	v, now := s.g.view.Load(), s.g.now()
	inquiry := &streamversion.Inquiry{Service: q.Service, Named: q.ByID}
	for _, m := range v.Peers {
		inquiry.Members = append(inquiry.Members, m.Name)
	}
	for _, m := range v.Gone {
		if now.Sub(m.Since) <= time.Duration(q.WindowMS)*time.Millisecond {
			inquiry.Members = append(inquiry.Members, m.Name)
		}
	}
	inquiry.Holders = min(len(inquiry.Members), 1+streamHomes)
	return inquiry
}

// readTargets reads the list of targets unless this instance has it as of a time. It reports whether it has
// then. One call to the object store serves all streams that were taken up before.
func (s *streamVersions) readTargets(ctx context.Context, asOf time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, streamListTimeout)
	defer cancel()
	select {
	case s.reading <- struct{}{}:
		defer func() { <-s.reading }()
	case <-ctx.Done():
		return s.hasTargets(asOf)
	}
	if s.hasTargets(asOf) {
		return true
	}
	if err := s.g.readTargets(ctx); err != nil {
		s.g.log.WithError(err).Info("targets not read for a stream")
	}
	return s.hasTargets(asOf)
}

// hasTargets reports whether this instance has the list of targets as of a time or later.
func (s *streamVersions) hasTargets(asOf time.Time) bool {
	now := s.g.now()
	return !now.Add(-s.listAge(now)).Before(asOf)
}

// askOutcome is how a question to a peer ended.
type askOutcome uint8

// The outcomes.
const (
	peerEnded  askOutcome = iota // its process has ended
	peerSilent                   // its process may go on, but doesn't answer
	peerAnswered
)

// streamReply is what came of a question to a peer.
type streamReply struct {
	peer      string
	outcome   askOutcome
	knowledge streamversion.Knowledge // if it answered
}

// ask asks peers for a stream's version, and returns their replies as they come.
func (s *streamVersions) ask(ctx context.Context, question *StreamQuestion) func(yield func(streamReply) bool) {
	v := s.g.view.Load()
	n := askedPeers
	if len(v.Peers) <= maxSmallFleet {
		n = maxSmallFleet
	}
	peers := peersFor(v, question.ID, n)
	return func(yield func(streamReply) bool) {
		ctx, cancel := context.WithTimeout(ctx, streamAskTimeout)
		defer cancel()
		replies := make(chan streamReply, len(peers))
		for _, m := range peers {
			s.g.spawn(func() { replies <- s.askPeer(ctx, m, question) })
		}
		for range peers {
			if !yield(<-replies) {
				return
			}
		}
	}
}

// askPeer asks one peer until ctx ends. The process of a peer whose connection ends, or that refuses one, has
// ended; one that doesn't answer may go on.
func (s *streamVersions) askPeer(ctx context.Context, m member.Member, question *StreamQuestion) streamReply {
	var answer StreamAnswer
	reply := streamReply{peer: m.Name}
	err := s.g.pool.Call(ctx, m.Address, peerService+".StreamVersion", question, &answer)
	switch {
	case err == nil:
		reply.outcome, reply.knowledge = peerAnswered, answer.knowledge()
	case ctx.Err() != nil:
		reply.outcome = peerSilent
	}
	return reply
}
