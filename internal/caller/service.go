package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
)

// serviceRequest is a decoded request to a plain service.
type serviceRequest struct {
	name   string
	path   string
	method string
	header http.Header
	body   []byte
}

// hopByHopHeaders are not forwarded: they apply to one connection (RFC 9110,
// section 7.6.1) or are set by this process itself.
var hopByHopHeaders = [...]string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", target.HeaderExecution}

// stripHopByHop returns a copy without hopByHopHeaders and those that Connection names.
func stripHopByHop(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range h.Values("Connection") {
		out.Del(name)
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

func (s *Server) decodeService(ctx context.Context, r *http.Request) (any, error) {
	if err := callFrom(ctx).authenticate(); err != nil {
		return nil, err
	}
	body, err := s.readBody(ctx, r)
	if err != nil {
		return nil, err
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &serviceRequest{name: r.PathValue("name"), path: path, method: r.Method, header: stripHopByHop(r.Header), body: body}, nil
}

// serveService is the endpoint for calls to plain services.
func (s *Server) serveService(ctx context.Context, request any) (any, error) {
	req, c := request.(*serviceRequest), callFrom(ctx)
	if !c.customer.MayCallService(req.name) {
		return nil, problem.New(problem.UnknownService, "no service "+strconv.Quote(req.name))
	}
	svc := c.view.Services[req.name]
	if err := s.refuseIfStopping(ctx, "service", s.Now().Add(dispatch.Timeout(svc))); err != nil {
		return nil, err
	}
	release, err := s.Admission.Admit(c.customer, prefix.EstimateTokens(len(req.body)), c.view.Instances)
	if err != nil {
		return nil, err
	}
	defer release(0)
	return s.Dispatch.Call(ctx, &dispatch.ServiceRequest{ID: c.id, Customer: c.customer, View: c.view, Service: svc,
		Method: req.method, Path: req.path, Header: req.header, Body: req.body, Arrived: c.arrived})
}

// encode writes an endpoint's response: a stream, a service's response, or JSON.
func encode(_ context.Context, w http.ResponseWriter, response any) error {
	switch r := response.(type) {
	case *streamedResponse:
		r.relay(w)
	case *target.Response:
		writeServiceResponse(w, r)
	default:
		data, err := json.Marshal(response)
		if err != nil {
			return err
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		_, _ = w.Write(data)
	}
	return nil
}

// writeServiceResponse forwards the response of a service. The request ID stays the one
// assigned by this process.
func writeServiceResponse(w http.ResponseWriter, resp *target.Response) {
	id := w.Header().Get(target.HeaderRequestID)
	for name, values := range stripHopByHop(resp.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(target.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
