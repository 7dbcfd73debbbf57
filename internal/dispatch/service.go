package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/core/attempt"
	"github.com/shedhoist/shedhoist/internal/explain"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/view"
)

// ServiceRequest is an admitted request to a plain service.
type ServiceRequest struct {
	ID       string
	Customer *view.Customer
	View     *view.View
	Service  *config.Service
	Method   string
	Path     string // path below the service, with query
	Header   http.Header
	Body     []byte
	Arrived  time.Time
}

// DefaultServiceTimeout limits calls of a service that sets no timeout.
const DefaultServiceTimeout = 30 * time.Second

// Idempotent reports whether a request to a service may be sent again. The route with the
// longest path that matches the request's path and method decides. A request that matches
// no route may not be sent again.
func Idempotent(s *config.Service, method, path string) bool {
	longest, idempotent := -1, false
	for _, r := range s.Routes {
		if !strings.HasPrefix(path, r.Path) || len(r.Path) <= longest || !allowsMethod(r.Methods, method) {
			continue
		}
		longest, idempotent = len(r.Path), r.Idempotent
	}
	return idempotent
}

// allowsMethod reports whether a route's methods include method. No methods means all.
func allowsMethod(methods []string, method string) bool {
	for _, m := range methods {
		if m == method {
			return true
		}
	}
	return len(methods) == 0
}

// Timeout returns the time limit of a call of a service.
func Timeout(s *config.Service) time.Duration {
	if s.TimeoutMS > 0 {
		return time.Duration(s.TimeoutMS) * time.Millisecond
	}
	return DefaultServiceTimeout
}

// Call sends a request to a service and returns its complete response, or the final
// *problem.Problem.
func (d *Dispatcher) Call(ctx context.Context, req *ServiceRequest) (*target.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, Timeout(req.Service))
	defer cancel()
	idempotent := Idempotent(req.Service, req.Method, req.Path)
	rec := &explain.Record{ID: req.ID, Instance: d.Instance, Customer: req.Customer.Name, Kind: "service", Name: req.Service.Name,
		Generation: req.View.Head.Generation, Arrived: req.Arrived}
	claim, replay, err := d.claim(ctx, req, idempotent)
	if replay != nil || err != nil {
		d.closeWithoutDispatch(rec, err)
		return replay, err
	}
	machine := attempt.New(idempotent, false, req.View.Policy.MaxAttempts)
	d.creditRetryBudget(req.View.Policy.RetryShare)
	resp, verdict, cause := d.tryInstances(ctx, req, machine, rec, idempotent)
	outcome := "done"
	if resp == nil {
		outcome = string(verdict.Kind)
	}
	d.closeServiceRecord(rec, outcome, verdict.Execution)
	d.settle(claim, resp, verdict.Execution)
	if resp == nil {
		return nil, newProblem(req.ID, verdict, cause)
	}
	return resp, nil
}

// tryInstances tries the service's instances, nearest first, until the state machine ends
// the request. It skips instances in backoff.
func (d *Dispatcher) tryInstances(ctx context.Context, req *ServiceRequest, machine *attempt.Request, rec *explain.Record, idempotent bool) (*target.Response, attempt.Verdict, error) {
	var cause error
	retries, inBackoff := 0, false
	for _, inst := range d.orderedInstances(req) {
		if !d.serviceBreakers.InBackoff(inst.Name) {
			waitBackoff(ctx, retries)
		}
		att := explain.Attempt{Target: inst.Name, StartMS: d.elapsedMS(req.Arrived)}
		if d.serviceBreakers.InBackoff(inst.Name) { // it may have requested the backoff during the wait
			inBackoff = true
			continue
		}
		retries++
		resp, err := d.Targets.Do(ctx, target.Call{Target: inst.Name, Address: inst.Address, Method: req.Method, Path: req.Path,
			Header: req.Header, Body: req.Body, ID: req.ID, EchoesID: req.Service.EchoesRequestID, Idempotent: idempotent, MaxResponseBytes: d.MaxResponseBytes,
			Room: connlimit.FromContext(ctx)})
		ev := attempt.Done
		if err != nil {
			ev, cause = attemptEvent(ctx, err), err
			d.recordBackoff(d.serviceBreakers, inst.Name, req.ID, err)
		}
		verdict := machine.Step(ev, d.takeRetry)
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
			return resp, verdict, cause
		}
	}
	return nil, noTargetVerdict(machine, inBackoff), cause
}

// orderedInstances returns the service's instances without the drained ones: those of this
// zone first, in random order within and outside the zone.
func (d *Dispatcher) orderedInstances(req *ServiceRequest) []config.ServiceInstance {
	var sameZone, otherZones []config.ServiceInstance
	for _, inst := range req.Service.Instances {
		switch {
		case req.View.Drained[inst.Name]:
		case inst.Zone == d.Zone:
			sameZone = append(sameZone, inst)
		default:
			otherZones = append(otherZones, inst)
		}
	}
	rand.Shuffle(len(sameZone), func(i, j int) { sameZone[i], sameZone[j] = sameZone[j], sameZone[i] })
	rand.Shuffle(len(otherZones), func(i, j int) { otherZones[i], otherZones[j] = otherZones[j], otherZones[i] })
	return append(sameZone, otherZones...)
}

func (d *Dispatcher) elapsedMS(t time.Time) float64 {
	return float64(d.Now().Sub(t)) / float64(time.Millisecond)
}

// closeServiceRecord completes the record of a service request and logs it.
func (d *Dispatcher) closeServiceRecord(rec *explain.Record, outcome string, execution problem.Execution) {
	rec.Outcome, rec.Execution, rec.TotalMS = outcome, execution, d.elapsedMS(rec.Arrived)
	metric.Requests("service", outcome).Inc()
	d.Explain.Add(rec)
	d.Log.WithField("request", rec.ID).WithField("customer", rec.Customer).WithField("service", rec.Name).
		WithField("target", rec.LastTarget()).WithField("attempts", len(rec.Attempts)).WithField("outcome", outcome).
		WithField("execution", string(execution)).WithField("total_ms", rec.TotalMS).Info("request")
}
