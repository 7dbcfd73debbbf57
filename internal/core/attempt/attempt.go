// Package attempt is one request's life between arrival and final answer, as a
// pure state machine: what happened goes in by Step, what to do next comes
// out. It alone decides whether a request is sent again, resumed elsewhere or
// ended, and what may truthfully be said about its execution.
package attempt

import "github.com/shedhoist/shedhoist/internal/problem"

// Event is what happened to the request.
type Event uint8

// Events. Their order in a life: Place, then one of the ends for each attempt.
const (
	NotSent              Event = iota // no byte of the request reached a connection
	Refused                           // the target refused in its documented way: it did not run
	FailedBeforeResponse              // the connection broke after bytes were sent, before an answer began
	FailedMidResponse                 // the answer began and is not whole
	Mismatched                        // the answer belongs to another request
	TimedOut                          // the attempt or the request passed its deadline
	CallerGone                        // the caller closed its connection
	Done                              // the whole answer is there
)

// String names the event for why-records, logs and metrics.
func (e Event) String() string {
	return [...]string{"not sent", "refused", "broke before the answer", "broke within the answer", "answer of another request",
		"timed out", "caller gone", "done"}[e]
}

// Action is what to do next.
type Action uint8

// Actions.
const (
	Finish Action = iota // deliver the answer: the request is complete
	Fail                 // end with the verdict's problem
	Retry                // send the whole request to another target
	Resume               // continue elsewhere behind the tokens already delivered
)

// String names the action for logs.
func (a Action) String() string { return [...]string{"finish", "fail", "retry", "resume"}[a] }

// Verdict is the machine's answer to an event.
type Verdict struct {
	Action    Action
	Kind      problem.Kind
	Execution problem.Execution
}

// Request is the state of one request. The zero value is not usable.
type Request struct {
	idempotent bool
	resumable  bool // a broken answer can continue behind its delivered tokens
	left       int  // attempts left
	touched    bool // some attempt may have run
	answered   bool // some attempt's answer began
	over       bool
}

// New starts a request that may use up to attempts attempts. A request that
// is not idempotent is sent again only if it is certain that it did not run.
func New(idempotent, resumable bool, attempts int) *Request {
	return &Request{idempotent: idempotent, resumable: resumable, left: attempts}
}

// Step takes the end of one attempt. budget spends one retry if there is one;
// it is asked only when all else allows another attempt. Step must not be
// called again after Finish or Fail.
func (r *Request) Step(ev Event, budget func() bool) Verdict {
	if r.over {
		return Verdict{Action: Fail, Kind: problem.Internal, Execution: r.execution()}
	}
	r.left--
	r.note(ev)
	if ev == Done {
		r.over = true
		return Verdict{Action: Finish, Execution: problem.Ran}
	}
	if action, ok := r.again(ev); ok && r.left > 0 && budget() {
		return Verdict{Action: action}
	}
	r.over = true
	return Verdict{Action: Fail, Kind: kinds[ev], Execution: r.execution()}
}

// NoTarget ends a request for which no (further) target may be used.
func (r *Request) NoTarget() Verdict {
	r.over = true
	return Verdict{Action: Fail, Kind: problem.NoTarget, Execution: r.execution()}
}

// Quarantined ends a request that is to be kept from (further) targets.
func (r *Request) Quarantined() Verdict {
	r.over = true
	return Verdict{Action: Fail, Kind: problem.Quarantined, Execution: r.execution()}
}

// note keeps the truth: once touched, never "not run" again.
func (r *Request) note(ev Event) {
	switch ev {
	case NotSent, Refused:
	case FailedMidResponse, Done:
		r.touched, r.answered = true, true
	default:
		r.touched = true
	}
}

// again says whether the event allows another attempt, and of which sort.
func (r *Request) again(ev Event) (Action, bool) {
	switch ev {
	case NotSent, Refused:
		return Retry, true
	case FailedBeforeResponse, Mismatched:
		return Retry, r.idempotent
	case FailedMidResponse:
		if r.resumable {
			return Resume, r.idempotent
		}
		return Retry, r.idempotent
	}
	return Fail, false
}

func (r *Request) execution() problem.Execution {
	switch {
	case r.answered:
		return problem.Ran
	case r.touched:
		return problem.MayHaveRun
	}
	return problem.NotRun
}

var kinds = map[Event]problem.Kind{
	NotSent: problem.NoTarget, Refused: problem.Overloaded, FailedBeforeResponse: problem.TargetFailed,
	FailedMidResponse: problem.BadAnswer, Mismatched: problem.BadAnswer, TimedOut: problem.TargetTimeout,
	CallerGone: problem.CallerGone,
}
