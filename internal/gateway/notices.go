package gateway

import (
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// hearWord takes what a target says of itself in an answer.
func (g *Gateway) hearWord(t *catalog.Target, w Word, by registry.Source) {
	if w.Leaving {
		metric.LeavingNotices.Inc()
		g.hearLeaving(t, by)
	}
	if w.Rest > 0 {
		metric.BackoffRequests.Inc()
		g.giveRest(t, w.Rest, by)
	}
}

// giveRest keeps callers' requests from a target that wants none for some time. Each instance
// goes by what it was told itself: a target asks those of which it gets too much.
func (g *Gateway) giveRest(t *catalog.Target, rest time.Duration, by registry.Source) {
	if next := g.answering(t, by); next != t {
		t, rest = next, min(rest, registry.InheritedNoticeTTL)
	}
	until, news := g.ejected.RequestBackoffInResponse(t.ID, rest, by.RequestSent)
	if !news {
		return
	}
	g.log.WithField("target", t.ID).WithField("rest_ms", rest.Milliseconds()).WithField("until", until.UTC().Format(time.RFC3339Nano)).
		WithField("from", by.Channel).WithField("by", by.Reporter).Info("target asks for rest")
}

// answering is the life of a target that gave an answer: not the one that was meant, if another
// has been listed meanwhile that had started before the request was sent.
func (g *Gateway) answering(meant *catalog.Target, by registry.Source) *catalog.Target {
	if by.RequestSent.IsZero() {
		return meant
	}
	v := g.view.Load()
	if v.Targets[meant.ID] != nil {
		return meant
	}
	for _, t := range v.Targets {
		if t.Name == meant.Name && t.Start > meant.Start && registry.StartedBeforeRequest(t.Start, by.RequestSent, g.now()) {
			return t
		}
	}
	return meant
}

// reporter is the life of a target that gave a report: not the one that was asked, if that is
// over.
func reporter(asked *catalog.Target, r Report) *catalog.Target {
	if r.Start == 0 || asked.Start == 0 || r.Start == asked.Start {
		return asked
	}
	other := catalog.Target{Name: asked.Name, Start: r.Start}.WithID()
	return &other
}

// wordOf is the word that came with the answer to a call, or with its refusal.
func wordOf(w Word, err error) Word {
	var call *CallError
	if errors.As(err, &call) {
		return call.Word
	}
	return w
}
