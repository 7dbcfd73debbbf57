package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// runOf sends one run of a model, and gives up what comes of it.
func (f *restingFleet) runOf(t *testing.T, model string) {
	f.seq++
	l, err := f.d.Start(t.Context(), &dispatch.Request{ID: fmt.Sprint("r", f.seq), Customer: &view.Customer{}, View: f.view, Model: &config.Model{Name: model, Version: "v", DeadlineMS: 1 << 30},
		Path: "/v1/completions", Canonical: fmt.Sprint("prompt ", f.seq), Arrived: f.d.Now(), Body: func(target.Extension) target.Body { return target.Body{"{}"} }})
	if err == nil {
		l.Close()
	}
}

// TestRunsSeeRestOver guards against a target that stays unused after its rest because runs of
// a model that it does not serve take its trials.
func TestRunsSeeRestOver(t *testing.T) {
	is := is.New(t)
	f := newRestingFleet(t)
	bad := f.targets[0]
	bad.refuse("1")
	for bad.reached.Load() == 0 {
		f.runOf(t, "m")
	}
	bad.serve()
	for range 40 {
		f.pass(100 * time.Millisecond)
		f.runOf(t, "another")
		f.runOf(t, "m")
	}
	is.True(bad.reached.Load() > 1)
}
