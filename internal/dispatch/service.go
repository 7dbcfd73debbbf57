package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// ServiceRequest is one request to a plain service, admitted.
type ServiceRequest struct {
	ID       string
	Customer *view.Customer
	View     *view.View
	Service  *config.Service
	Method   string
	Path     string // below the service, with query
	Header   http.Header
	Body     []byte
	Arrived  time.Time
}

// DefaultServiceTimeout bounds a service call that declares no timeout.
const DefaultServiceTimeout = 30 * time.Second

// Idempotent says whether a request to a service may be sent again. What no
// route names may not.
func Idempotent(s *config.Service, method, path string) bool {
	best, out := -1, false
	for _, r := range s.Routes {
		if !strings.HasPrefix(path, r.Path) || len(r.Path) <= best || !allows(r.Methods, method) {
			continue
		}
		best, out = len(r.Path), r.Idempotent
	}
	return out
}

func allows(methods []string, method string) bool {
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return len(methods) == 0
}

// Timeout is how long a call of a service may last.
func Timeout(s *config.Service) time.Duration {
	if s.TimeoutMS > 0 {
		return time.Duration(s.TimeoutMS) * time.Millisecond
	}
	return DefaultServiceTimeout
}

// Call sends a request to a service and returns its whole answer, or the
// final *problem.Problem.
func (d *Dispatcher) Call(ctx context.Context, req *ServiceRequest) (*target.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout(req.Service))
	defer cancel()
	idempotent := Idempotent(req.Service, req.Method, req.Path)
	rec := &explain.Record{ID: req.ID, Instance: d.Instance, Customer: req.Customer.Name, Kind: "service", Name: req.Service.Name,
		Generation: req.View.Head.Generation, Arrived: req.Arrived}
	claim, replay, err := d.claim(ctx, req, idempotent)
	if replay != nil || err != nil {
		d.closeReplay(rec, err)
		return replay, err
	}
	machine := attempt.New(idempotent, false, req.View.Policy.MaxAttempts)
	d.earn(req.View.Policy.RetryShare)
	answer, verdict, cause := d.tryInstances(ctx, req, machine, rec, idempotent)
	outcome := "done"
	if answer == nil {
		outcome = string(verdict.Kind)
	}
	d.closeCall(rec, outcome, verdict.Execution)
	d.settle(claim, answer, verdict.Execution)
	if answer == nil {
		return nil, failure(req.ID, verdict, cause)
	}
	return answer, nil
}

// tryInstances goes through the service's instances, nearest first, until the
// machine ends the request. Those that ask for rest are passed over.
func (d *Dispatcher) tryInstances(ctx context.Context, req *ServiceRequest, m *attempt.Request, rec *explain.Record, idempotent bool) (*target.Response, attempt.Verdict, error) {
	var cause error
	retries, asking := 0, false
	for _, inst := range d.order(req) {
		if !d.callees.InBackoff(inst.Name) {
			backoff(ctx, retries)
		}
		att := explain.Attempt{Target: inst.Name, StartMS: d.sinceMS(req.Arrived)}
		if d.callees.InBackoff(inst.Name) { // perhaps since the wait only
			asking = true
			continue
		}
		retries++
		answer, err := d.Targets.Do(ctx, target.Call{Target: inst.Name, Address: inst.Address, Method: req.Method, Path: req.Path,
			Header: req.Header, Body: req.Body, ID: req.ID, EchoesID: req.Service.EchoesRequestID, Idempotent: idempotent, MaxResponseBytes: d.Answer})
		ev := attempt.Done
		if err != nil {
			ev, cause = eventOf(ctx, err), err
			d.giveRest(d.callees, inst.Name, req.ID, err)
		}
		verdict := m.Step(ev, d.spend)
		att.Result = ev.String()
		if verdict.Action == attempt.Retry {
			att.Next = verdict.Action.String()
			metric.Retries.Inc()
		}
		if ev == attempt.Mismatched {
			metric.MismatchedResponses.Inc()
		}
		metric.Attempts(inst.Name, att.Result).Inc()
		rec.Attempts = append(rec.Attempts, att)
		if verdict.Action != attempt.Retry {
			return answer, verdict, cause
		}
	}
	return nil, noTarget(m, asking), cause
}

// order lists the service's instances: own zone first, else at random, what
// is drained left out.
func (d *Dispatcher) order(req *ServiceRequest) []config.ServiceInstance {
	var near, far []config.ServiceInstance
	for _, inst := range req.Service.Instances {
		switch {
		case req.View.Drained[inst.Name]:
		case inst.Zone == d.Zone:
			near = append(near, inst)
		default:
			far = append(far, inst)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

func (d *Dispatcher) sinceMS(t time.Time) float64 {
	return float64(d.Now().Sub(t)) / float64(time.Millisecond)
}

func (d *Dispatcher) closeCall(rec *explain.Record, outcome string, ex problem.Execution) {
	rec.Outcome, rec.Execution, rec.TotalMS = outcome, ex, d.sinceMS(rec.Arrived)
	metric.Requests("service", outcome).Inc()
	d.Why.Add(rec)
	d.Log.WithField("request", rec.ID).WithField("customer", rec.Customer).WithField("service", rec.Name).
		WithField("target", rec.LastTarget()).WithField("attempts", len(rec.Attempts)).WithField("outcome", outcome).
		WithField("execution", string(ex)).WithField("total_ms", rec.TotalMS).Info("request")
}
