package dispatch_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// TestBackoffOfAnotherModel guards against reporting a model without targets as
// overloaded because a target of another model is in backoff.
func TestBackoffOfAnotherModel(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t)
	kind := func() problem.Kind {
		_, err := f.d.Start(t.Context(), &dispatch.Request{ID: "other", Customer: &view.Customer{}, View: f.view, Model: &config.Model{Name: "none", Version: "v", DeadlineMS: 1 << 30},
			Path: "/v1/completions", Canonical: "prompt", Arrived: f.d.Now(), Body: func(target.Extension) target.Body { return target.Body{"{}"} }})
		var p *problem.Problem
		is.True(errors.As(err, &p))
		return p.Kind
	}
	is.Equal(kind(), problem.NoTarget)
	f.targets[0].refuse("3")
	for range 5 {
		_ = f.run(t.Context()) // the target refuses some, which puts it in backoff
	}
	is.Equal(kind(), problem.NoTarget)
}
