package gateway

import (
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// applyNotice takes what a target says of itself in an answer.
func (g *Gateway) applyNotice(t *catalog.Target, w Notice, by registry.Source) {
	if w.Leaving {
		metric.LeavingNotices.Inc()
		g.noteLeaving(t, by)
	}
	if w.Backoff > 0 {
		metric.BackoffRequests.Inc()
		g.applyBackoff(t, w.Backoff, by)
	}
}

// applyBackoff keeps callers' requests from a target that wants none for some time. Each instance
// goes by what it was told itself: a target asks those of which it gets too much.
func (g *Gateway) applyBackoff(t *catalog.Target, rest time.Duration, by registry.Source) {
	if next := g.respondingIncarnation(t, by); next != t {
		t, rest = next, min(rest, registry.InheritedNoticeTTL)
	}
	until, news := g.breaker.RequestBackoffInResponse(t.ID, rest, by.RequestSent)
	if !news {
		return
	}
	g.log.WithField("target", t.ID).WithField("rest_ms", rest.Milliseconds()).WithField("until", until.UTC().Format(time.RFC3339Nano)).
		WithField("from", by.Channel).WithField("by", by.Reporter).Info("target asks for rest")
}

// respondingIncarnation is the life of a target that gave an answer: not the one that was meant, if another
// has been listed meanwhile that had started before the request was sent.
func (g *Gateway) respondingIncarnation(meant *catalog.Target, by registry.Source) *catalog.Target {
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

// reportingIncarnation is the life of a target that gave a report: not the one that was asked, if that is
// over.
func reportingIncarnation(asked *catalog.Target, r Report) *catalog.Target {
	if r.Start == 0 || asked.Start == 0 || r.Start == asked.Start {
		return asked
	}
	other := catalog.Target{Name: asked.Name, Start: r.Start}.WithID()
	return &other
}

// noticeOf is the word that came with the answer to a call, or with its refusal.
func noticeOf(w Notice, err error) Notice {
	var call *CallError
	if errors.As(err, &call) {
		return call.Notice
	}
	return w
}
