package caller

import (
	"context"
	"net/http"
	"sort"

	"github.com/shedhoist/shedhoist/internal/config"
)

func hasAdapter(list []config.Adapter, name string) bool {
	for _, a := range list {
		if a.Name == name {
			return true
		}
	}
	return false
}

// decodeNothing is the decoder of endpoints without a body.
func (s *Server) decodeNothing(context.Context, *http.Request) (any, error) { return nil, nil }

// modelList is the response of GET /v1/models (OpenAI API reference).
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

// listModels lists the models that the customer may use, and their adapters.
func (s *Server) listModels(ctx context.Context, _ any) (any, error) {
	c := callFrom(ctx)
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
