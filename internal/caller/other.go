package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
)

func hasAdapter(list []config.Adapter, name string) bool {
	for _, a := range list {
		if a.Name == name {
			return true
		}
	}
	return false
}

// decodeBare is for endpoints without a body.
func (e *Edge) decodeBare(context.Context, *http.Request) (any, error) { return nil, nil }

// modelList is the answer of /v1/models (OpenAI API reference).
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the customer's own models and their adapters, no others.
func (e *Edge) models(ctx context.Context, _ any) (any, error) {
	c := callOf(ctx)
	out := &modelList{Object: "list", Data: []modelItem{}}
	add := func(id string) {
		out.Data = append(out.Data, modelItem{ID: id, Object: "model", OwnedBy: "shedhoist"})
	}
	for name, m := range c.view.Models {
		if !c.customer.MayUseModel(name) {
			continue
		}
		add(name)
		for _, a := range m.Adapters {
			add(name + ":" + a.Name)
		}
	}
	sort.Slice(out.Data, func(i, j int) bool { return out.Data[i].ID < out.Data[j].ID })
	return out, nil
}

// serviceRequest is a decoded request to a plain service.
type serviceRequest struct {
	name   string
	path   string
	method string
	header http.Header
	body   []byte
}

// hopHeaders end at this hop (RFC 9110, section 7.6.1), or are ours to set.
var hopHeaders = [...]string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", target.HeaderExecution}

func stripHop(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range h.Values("Connection") {
		out.Del(name)
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func (e *Edge) decodeService(ctx context.Context, r *http.Request) (any, error) {
	if err := callOf(ctx).authenticate(); err != nil {
		return nil, err
	}
	body, err := e.readBody(ctx, r)
	if err != nil {
		return nil, err
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &serviceRequest{name: r.PathValue("name"), path: path, method: r.Method, header: stripHop(r.Header), body: body}, nil
}

// service is the endpoint of plain services.
func (e *Edge) service(ctx context.Context, request any) (any, error) {
	req, c := request.(*serviceRequest), callOf(ctx)
	if !c.customer.MayCallService(req.name) {
		return nil, problem.New(problem.UnknownService, "no service "+strconv.Quote(req.name))
	}
	s := c.view.Services[req.name]
	if err := e.stopsFirst(ctx, "service", e.Now().Add(dispatch.Timeout(s))); err != nil {
		return nil, err
	}
	release, err := e.Admit.Admit(c.customer, prefix.EstimateTokens(len(req.body)), c.view.Instances)
	if err != nil {
		return nil, err
	}
	defer release(0)
	return e.Dispatch.Call(ctx, &dispatch.ServiceRequest{ID: c.id, Customer: c.customer, View: c.view, Service: s,
		Method: req.method, Path: req.path, Header: req.header, Body: req.body, Arrived: c.arrived})
}

// encode writes an endpoint's response.
func encode(_ context.Context, w http.ResponseWriter, response any) error {
	switch r := response.(type) {
	case *streamed:
		r.write(w)
	case *target.Response:
		writeAnswer(w, r)
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

// writeAnswer passes on a service's whole answer.
func writeAnswer(w http.ResponseWriter, a *target.Response) {
	id := w.Header().Get(target.HeaderRequestID)
	for name, values := range stripHop(a.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(target.HeaderRequestID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
