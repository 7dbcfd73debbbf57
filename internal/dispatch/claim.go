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

// headerIdempotencyKey carries the caller's idempotency key; headerReplayed marks a
// stored response (draft-ietf-httpapi-idempotency-key-header).
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Idempotent-Replayed"
	maxKeyBytes          = 256 // bytes
)

// claim claims the idempotency key of a request that is not idempotent. It returns
// nil values for a request that needs no claim, the stored response of an earlier
// execution, or the final problem. A claimed request may be dispatched only if its
// entry is returned.
func (d *Dispatcher) claim(ctx context.Context, req *ServiceRequest, idempotent bool) (*atmostonce.Entry, *target.Response, error) {
	key := req.Header.Get(headerIdempotencyKey)
	if idempotent || key == "" {
		return nil, nil, nil
	}
	if len(key) > maxKeyBytes {
		return nil, nil, problem.New(problem.BadRequest, "the idempotency key is too long")
	}
	h := xxhash.New()
	for _, part := range [...]string{req.Service.Name, req.Method, req.Path} {
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(req.Body)
	entry := &atmostonce.Entry{ID: ledger.NewID(req.Customer.Name, key), Nonce: ledger.NewNonce(), RequestHash: h.Sum64()}
	result, err := d.Ledger.Claim(ctx, *entry)
	if err != nil {
		// The claim may be durable nevertheless. The request is not dispatched, so free it.
		d.Ledger.Settle(entry.ID, entry.Nonce, atmostonce.Outcome{Void: true})
		p := problem.New(problem.LedgerUnavailable, "the ledger of requests that may not be repeated can't be reached")
		p.RetryAfter = ledgerRetryAfter
		return nil, nil, p
	}
	return d.resolveClaim(entry, result)
}

// ledgerRetryAfter is the Retry-After of a request refused because of a ledger failure.
const ledgerRetryAfter = 2 * time.Second

// resolveClaim returns what follows from the verdict on a claim: the entry to
// dispatch, the stored response, or the final problem.
func (d *Dispatcher) resolveClaim(entry *atmostonce.Entry, result atmostonce.Result) (*atmostonce.Entry, *target.Response, error) {
	switch result.Verdict {
	case atmostonce.Granted:
		return entry, nil, nil
	case atmostonce.Mismatch:
		return nil, nil, problem.New(problem.KeyReused, "the idempotency key was used for another request")
	case atmostonce.Completed:
		if !result.Outcome.Truncated {
			h := http.Header{headerReplayed: {"true"}}
			if result.Outcome.ContentType != "" {
				h.Set("Content-Type", result.Outcome.ContentType)
			}
			return nil, &target.Response{Status: result.Outcome.Status, Header: h, Body: result.Outcome.Body}, nil
		}
		return nil, nil, &problem.Problem{Kind: problem.OutcomeUnknown, Execution: problem.Ran, Detail: "it ran; its answer was too long to keep"}
	}
	return nil, nil, &problem.Problem{Kind: problem.OutcomeUnknown, Execution: problem.MayHaveRun, RetryAfter: time.Second,
		Detail: "a request with this key was taken up before; its outcome is not known"}
}

// settle records the outcome of a claim in the ledger, or frees the claim of a request
// that did not run. The claim of a request that may have run without a response
// remains pending.
func (d *Dispatcher) settle(claim *atmostonce.Entry, resp *target.Response, execution problem.Execution) {
	switch {
	case claim == nil:
	case resp != nil:
		d.Ledger.Settle(claim.ID, claim.Nonce, atmostonce.Outcome{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body})
	case execution == problem.NotRun:
		d.Ledger.Settle(claim.ID, claim.Nonce, atmostonce.Outcome{Void: true})
	}
}

// closeWithoutDispatch completes the record of a request that was not dispatched.
func (d *Dispatcher) closeWithoutDispatch(rec *explain.Record, err error) {
	p, ok := err.(*problem.Problem)
	if !ok {
		d.closeServiceRecord(rec, "replayed", problem.Ran)
		return
	}
	p.RequestID = rec.ID
	d.closeServiceRecord(rec, string(p.Kind), p.Execution)
}
