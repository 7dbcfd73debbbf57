package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/ledger"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
)

// headerKey is the caller's idempotency key; headerReplayed marks a stored
// answer (draft-ietf-httpapi-idempotency-key-header).
const (
	headerKey      = "Idempotency-Key"
	headerReplayed = "Idempotent-Replayed"
	maxKey         = 256 // bytes
)

// claim makes the claim of a keyed request that is not idempotent. It returns
// nil for a request that needs none, the stored answer of an earlier run, or
// the final problem. Only a returned entry may be dispatched.
func (d *Dispatcher) claim(ctx context.Context, req *ServiceRequest, idempotent bool) (*atmostonce.Entry, *target.Response, error) {
	key := req.Header.Get(headerKey)
	if idempotent || key == "" {
		return nil, nil, nil
	}
	if len(key) > maxKey {
		return nil, nil, problem.New(problem.BadRequest, "the idempotency key is too long")
	}
	h := xxhash.New()
	for _, part := range [...]string{req.Service.Name, req.Method, req.Path} {
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(req.Body)
	e := &atmostonce.Entry{ID: ledger.NewID(req.Customer.Name, key), Nonce: ledger.NewNonce(), RequestHash: h.Sum64()}
	a, err := d.Ledger.Claim(ctx, *e)
	if err != nil {
		// Should the claim be durable after all, free it: it is not dispatched.
		d.Ledger.Settle(e.ID, e.Nonce, atmostonce.Outcome{Void: true})
		p := problem.New(problem.LedgerUnavailable, "the ledger of requests that may not be repeated can't be reached")
		p.RetryAfter = ledgerRetry
		return nil, nil, p
	}
	return d.judge(e, a)
}

// ledgerRetry is when a caller may come back after a ledger failure.
const ledgerRetry = 2 * time.Second

func (d *Dispatcher) judge(e *atmostonce.Entry, a atmostonce.Result) (*atmostonce.Entry, *target.Response, error) {
	switch a.Verdict {
	case atmostonce.Granted:
		return e, nil, nil
	case atmostonce.Mismatch:
		return nil, nil, problem.New(problem.KeyReused, "the idempotency key was used for another request")
	case atmostonce.Completed:
		if !a.Outcome.Truncated {
			h := http.Header{headerReplayed: {"true"}}
			if a.Outcome.ContentType != "" {
				h.Set("Content-Type", a.Outcome.ContentType)
			}
			return nil, &target.Response{Status: a.Outcome.Status, Header: h, Body: a.Outcome.Body}, nil
		}
		return nil, nil, &problem.Problem{Kind: problem.OutcomeUnknown, Execution: problem.Ran, Detail: "it ran; its answer was too long to keep"}
	}
	return nil, nil, &problem.Problem{Kind: problem.OutcomeUnknown, Execution: problem.MayHaveRun, RetryAfter: time.Second,
		Detail: "a request with this key was taken up before; its outcome is not known"}
}

// settle tells the ledger what became of a claim. One whose request may have
// run without an answer is left as it is.
func (d *Dispatcher) settle(claim *atmostonce.Entry, answer *target.Response, ex problem.Execution) {
	switch {
	case claim == nil:
	case answer != nil:
		d.Ledger.Settle(claim.ID, claim.Nonce, atmostonce.Outcome{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body})
	case ex == problem.NotRun:
		d.Ledger.Settle(claim.ID, claim.Nonce, atmostonce.Outcome{Void: true})
	}
}

// closeReplay closes the books of a request that was not dispatched.
func (d *Dispatcher) closeReplay(rec *explain.Record, err error) {
	p, ok := err.(*problem.Problem)
	if !ok {
		d.closeCall(rec, "replayed", problem.Ran)
		return
	}
	p.RequestID = rec.ID
	d.closeCall(rec, string(p.Kind), p.Execution)
}
