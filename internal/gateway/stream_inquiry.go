package gateway

import (
	"context"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/streamversion"
)

// Questions about a stream that a caller takes up.

const (
	// askedPeers is how many peers are asked for a stream: more than were told, since the instances may not
	// agree on who is alive.
	askedPeers = 6
	// streamAskTimeout bounds the question to a peer: a round trip between zones takes 3 ms.
	streamAskTimeout = 150 * time.Millisecond
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
	// Remembers, Alone: see streamversion.Knowledge. Releases before 2026-12 don't tell.
	Remembers bool     `cbor:"6,keyasint,omitempty"`
	Alone     []string `cbor:"7,keyasint,omitempty"`
}

// knowledge returns the answer as the core takes it.
func (a StreamAnswer) knowledge() streamversion.Knowledge {
	return streamversion.Knowledge{Binding: a.Binding, Found: a.Found, Ambiguous: a.Ambiguous, Remembers: a.Remembers, Versions: a.Versions, Alone: a.Alone, Complete: a.Complete}
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
