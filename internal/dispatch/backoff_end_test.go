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

// runModel sends one run of a model and ignores its result.
func (f *fakeFleet) runModel(t *testing.T, model string) {
	f.seq++
	run, err := f.d.Start(t.Context(), &dispatch.Request{ID: fmt.Sprint("r", f.seq), Customer: &view.Customer{}, View: f.view, Model: &config.Model{Name: model, Version: "v", DeadlineMS: 1 << 30},
		Path: "/v1/completions", Canonical: fmt.Sprint("prompt ", f.seq), Arrived: f.d.Now(), Body: func(target.Extension) target.Body { return target.Body{"{}"} }})
	if err == nil {
		run.Close()
	}
}

// TestRunsReturnAfterBackoff guards against a target that stays unused after its
// backoff because runs of a model that it does not serve claim its probes.
func TestRunsReturnAfterBackoff(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t)
	refusing := f.targets[0]
	refusing.refuse("1")
	for refusing.requests.Load() == 0 {
		f.runModel(t, "m")
	}
	refusing.serve()
	for range 40 {
		f.advanceClock(100 * time.Millisecond)
		f.runModel(t, "another")
		f.runModel(t, "m")
	}
	is.True(refusing.requests.Load() > 1)
}
