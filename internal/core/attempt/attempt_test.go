package attempt_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/problem"
)

func budgetLeft() bool      { return true }
func budgetExhausted() bool { return false }

// TestStep checks the verdict on each event that can end the first attempt.
func TestStep(t *testing.T) {
	fail := func(k problem.Kind, e problem.Execution) attempt.Verdict {
		return attempt.Verdict{Action: attempt.Fail, Kind: k, Execution: e}
	}
	retry, resume := attempt.Verdict{Action: attempt.Retry}, attempt.Verdict{Action: attempt.Resume}
	cases := []struct {
		name          string
		ev            attempt.Event
		idempotent    attempt.Verdict // of an idempotent, resumable request
		nonIdempotent attempt.Verdict // of a request that is neither
	}{
		{"not sent", attempt.NotSent, retry, retry},
		{"refused", attempt.Refused, retry, retry},
		{"failed before response", attempt.FailedBeforeResponse, retry, fail(problem.TargetFailed, problem.MayHaveRun)},
		{"failed mid-response", attempt.FailedMidResponse, resume, fail(problem.BadAnswer, problem.Ran)},
		{"mismatched", attempt.Mismatched, retry, fail(problem.BadAnswer, problem.MayHaveRun)},
		{"timed out", attempt.TimedOut, fail(problem.TargetTimeout, problem.MayHaveRun), fail(problem.TargetTimeout, problem.MayHaveRun)},
		{"caller gone", attempt.CallerGone, fail(problem.CallerGone, problem.MayHaveRun), fail(problem.CallerGone, problem.MayHaveRun)},
		{"done", attempt.Done, attempt.Verdict{Action: attempt.Finish, Execution: problem.Ran}, attempt.Verdict{Action: attempt.Finish, Execution: problem.Ran}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(attempt.New(true, true, 3).Step(c.ev, budgetLeft), c.idempotent)
			is.Equal(attempt.New(false, false, 3).Step(c.ev, budgetLeft), c.nonIdempotent)
			is.True(attempt.New(true, true, 1).Step(c.ev, budgetLeft).Action != attempt.Retry)      // no attempts left
			is.True(attempt.New(true, true, 3).Step(c.ev, budgetExhausted).Action != attempt.Retry) // no retry budget left
		})
	}
}

// TestExecutionIsTruthful checks for arbitrary events that a request is reported as not run only
// if no attempt may have run, and that a request that is not idempotent is not retried after an
// attempt that may have run.
func TestExecutionIsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		r := attempt.New(idempotent, rapid.Bool().Draw(t, "resumable"), rapid.IntRange(1, 6).Draw(t, "attempts"))
		mayHaveRun, responseStarted := false, false
		for {
			ev := attempt.Event(rapid.IntRange(int(attempt.NotSent), int(attempt.Done)).Draw(t, "event"))
			if ev != attempt.NotSent && ev != attempt.Refused {
				mayHaveRun = true
			}
			responseStarted = responseStarted || ev == attempt.FailedMidResponse || ev == attempt.Done
			v := r.Step(ev, func() bool { return rapid.Bool().Draw(t, "budget") })
			switch v.Action {
			case attempt.Retry, attempt.Resume:
				if mayHaveRun && !idempotent {
					t.Fatal("a request that may have run was retried")
				}
				continue
			case attempt.Finish:
				if ev != attempt.Done {
					t.Fatalf("finished by event %d", ev)
				}
			case attempt.Fail:
				want := problem.NotRun
				if mayHaveRun {
					want = problem.MayHaveRun
				}
				if responseStarted {
					want = problem.Ran
				}
				if v.Execution != want {
					t.Fatalf("execution %s, want %s", v.Execution, want)
				}
			}
			return
		}
	})
}
