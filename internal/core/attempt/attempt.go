// Package attempt is the state machine of one request from its arrival to its final response.
// Step takes the event that ended an attempt and returns the next action. The package alone
// decides whether a request is retried, resumed at another target or ended, and what the caller
// is told about its execution. It does no I/O and reads no clock.
package attempt

import "github.com/shedhoist/shedhoist/internal/problem"

// Event is how an attempt ended.
type Event uint8

// The events that end an attempt.
const (
	NotSent              Event = iota // no byte of the request reached a connection
	Refused                           // the target refused in its documented way, so the request did not run
	FailedBeforeResponse              // the connection broke after bytes were sent and before a response started
	FailedMidResponse                 // the response started and is incomplete or invalid
	Mismatched                        // the response belongs to another request
	TimedOut                          // the attempt or the request exceeded its deadline
	CallerGone                        // the caller closed its connection
	Done                              // the response is complete
)

// String returns the event's name, which appears in explain records, logs and metrics.
func (e Event) String() string {
	return [...]string{"not sent", "refused", "broke before the answer", "broke within the answer", "answer of another request",
		"timed out", "caller gone", "done"}[e]
}

// Action is what to do next.
type Action uint8

// The actions; Finish and Fail end the request.
const (
	Finish Action = iota // deliver the response: the request is complete
	Fail                 // end the request with the problem in Verdict.Kind
	Retry                // send the whole request to another target
	Resume               // continue at another target after the tokens already delivered
)

// String returns the action's name in logs.
func (a Action) String() string { return [...]string{"finish", "fail", "retry", "resume"}[a] }

// Verdict is the result of a step. Kind is set for Fail, Execution for Fail and Finish.
type Verdict struct {
	Action    Action
	Kind      problem.Kind
	Execution problem.Execution
}

// Request is the state of one request. Use New to create one.
type Request struct {
	idempotent      bool
	resumable       bool // an incomplete response can continue after its delivered tokens
	attemptsLeft    int
	mayHaveRun      bool // an attempt may have run at its target
	responseStarted bool // the response of an attempt started
	ended           bool
}

// New returns the state of a request with a maximum number of attempts. A request that is not
// idempotent is retried only if it certainly did not run.
func New(idempotent, resumable bool, attempts int) *Request {
	return &Request{idempotent: idempotent, resumable: resumable, attemptsLeft: attempts}
}

// Step records the end of an attempt and returns the next action. budget takes a retry from the
// retry budget and reports whether there was one; it is called only if everything else allows
// another attempt. Step must not be called again after Finish or Fail.
func (r *Request) Step(ev Event, budget func() bool) Verdict {
	if r.ended {
		return Verdict{Action: Fail, Kind: problem.Internal, Execution: r.execution()}
	}
	r.attemptsLeft--
	r.recordExecution(ev)
	if ev == Done {
		r.ended = true
		return Verdict{Action: Finish, Execution: problem.Ran}
	}
	if action, ok := r.nextAttempt(ev); ok && r.attemptsLeft > 0 && budget() {
		return Verdict{Action: action}
	}
	r.ended = true
	return Verdict{Action: Fail, Kind: problemKinds[ev], Execution: r.execution()}
}

// NoTarget ends a request for which there is no target, or no further one.
func (r *Request) NoTarget() Verdict {
	r.ended = true
	return Verdict{Action: Fail, Kind: problem.NoTarget, Execution: r.execution()}
}

// Quarantined ends a request that is quarantined and may be sent to no target, or no further one.
func (r *Request) Quarantined() Verdict {
	r.ended = true
	return Verdict{Action: Fail, Kind: problem.Quarantined, Execution: r.execution()}
}

// recordExecution records whether the request may have run. Once it may have, it is never
// reported as not run again.
func (r *Request) recordExecution(ev Event) {
	switch ev {
	case NotSent, Refused:
	case FailedMidResponse, Done:
		r.mayHaveRun, r.responseStarted = true, true
	default:
		r.mayHaveRun = true
	}
}

// nextAttempt reports whether an event allows another attempt, and returns its action.
func (r *Request) nextAttempt(ev Event) (Action, bool) {
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

// execution returns what is known about the execution of the request.
func (r *Request) execution() problem.Execution {
	switch {
	case r.responseStarted:
		return problem.Ran
	case r.mayHaveRun:
		return problem.MayHaveRun
	}
	return problem.NotRun
}

// problemKinds are the problems reported to the caller if the request ends with an event.
var problemKinds = map[Event]problem.Kind{
	NotSent: problem.NoTarget, Refused: problem.Overloaded, FailedBeforeResponse: problem.TargetFailed,
	FailedMidResponse: problem.BadAnswer, Mismatched: problem.BadAnswer, TimedOut: problem.TargetTimeout,
	CallerGone: problem.CallerGone,
}
