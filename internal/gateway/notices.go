package gateway

import (
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/registry"
)

// applyNotice takes what a target says of itself in an answer.
func (g *Gateway) applyNotice(t *catalog.Target, notice Notice, source registry.Source) {
	if notice.Leaving {
		metric.LeavingNotices.Inc()
		g.noteLeaving(t, source)
	}
	if notice.Backoff > 0 {
		metric.BackoffRequests.Inc()
		g.applyBackoff(t, notice.Backoff, source)
	}
}

// applyBackoff keeps callers' requests from a target that wants none for some time. Each instance
// goes by what it was told itself: a target asks those of which it gets too much.
func (g *Gateway) applyBackoff(t *catalog.Target, backoff time.Duration, source registry.Source) {
	if next := g.respondingIncarnation(t, source); next != t {
		t, backoff = next, min(backoff, registry.InheritedNoticeTTL)
	}
	until, changed := g.breaker.RequestBackoffInResponse(t.ID, backoff, source.RequestSent)
	if !changed {
		return
	}
	g.log.WithField("target", t.ID).WithField("rest_ms", backoff.Milliseconds()).WithField("until", until.UTC().Format(time.RFC3339Nano)).
		WithField("from", source.Channel).WithField("by", source.Reporter).Info("target asks for rest")
}

// respondingIncarnation is the life of a target that gave an answer: not the one that was meant, if another
// has been listed meanwhile that had started before the request was sent.
func (g *Gateway) respondingIncarnation(addressed *catalog.Target, source registry.Source) *catalog.Target {
	if source.RequestSent.IsZero() {
		return addressed
	}
	v := g.view.Load()
	if v.Targets[addressed.ID] != nil {
		return addressed
	}
	for _, t := range v.Targets {
		if t.Name == addressed.Name && t.Start > addressed.Start && registry.StartedBeforeRequest(t.Start, source.RequestSent, g.now()) {
			return t
		}
	}
	return addressed
}

// reportingIncarnation is the life of a target that gave a report: not the one that was asked, if that is
// over.
func reportingIncarnation(addressed *catalog.Target, report Report) *catalog.Target {
	if report.Start == 0 || addressed.Start == 0 || report.Start == addressed.Start {
		return addressed
	}
	other := catalog.Target{Name: addressed.Name, Start: report.Start}.WithID()
	return &other
}

// noticeOf is the word that came with the answer to a call, or with its refusal.
func noticeOf(notice Notice, err error) Notice {
	var callErr *CallError
	if errors.As(err, &callErr) {
		return callErr.Notice
	}
	return notice
}
