package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// homeFetchExchange returns a request for a prompt with two shared parts that no store holds, in a
// service of three targets of which the last serves older weights.
func homeFetchExchange(t *testing.T, managed bool) *exchange {
	t.Helper()
	start := time.Unix(0, 0)
	g := &Gateway{now: func() time.Time { return start }}
	g.currentSettings.Store((&Settings{}).WithDefaults())
	g.cache = newCacheDirectory(g)
	cfg := catalog.NewConfig(catalog.ConfigSpec{Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Managed: managed, LinkMbps: 1000}}}})
	view := &View{Config: cfg, Serving: map[string][]*catalog.Target{}}
	for i, name := range []string{"a", "b", "c"} {
		version := uint64(2)
		if i == 2 {
			version = 1
		}
		view.Serving["s"] = append(view.Serving["s"], &catalog.Target{ID: name, Name: name, Service: "s", Address: name + ":1", Zone: "z", Models: []catalog.ModelVersion{{Model: "m", Version: version}}})
	}
	return &exchange{g: g, arrived: start, view: view, service: "s", route: &catalog.Route{LatencyObjective: time.Second},
		call: CallerRequest{Prompt: &Prompt{Model: "m", Parts: []Part{{ID: "head", Tokens: 512}, {ID: "small", Tokens: 16}, {ID: "subject", Tokens: 9000}, {ID: "own", Tokens: 100}}}}}
}

// TestFetchFromHome checks that a target fetches the shared parts that no store delivers from the
// prompt's home, and neither small ones, nor the request's own, nor anything from itself.
func TestFetchFromHome(t *testing.T) {
	is := is.New(t)
	x := homeFetchExchange(t, true)
	home := x.promptHome(&catalog.Target{}, 2)
	other := x.view.Serving["s"][0]
	if other == home {
		other = x.view.Serving["s"][1]
	}
	x.plan.parts = []PartPlan{{FetchFrom: "store:1", FetchTokens: 512}, {}, {SaveTo: "store:1"}, {}}
	x.fetchFromHome(other, 2)
	is.Equal(x.plan.parts, []PartPlan{{FetchFrom: "store:1", FetchTokens: 512}, {}, {SaveTo: "store:1", FetchFrom: home.Address, FetchTokens: 9000}, {}})
	is.Equal(x.plan.homeParts, 1)

	x.plan = cachePlan{}
	x.triedTargets = []string{home.ID} // an attempt's own target counts as tried
	x.fetchFromHome(home, 2)
	is.Equal(x.plan.parts, nil) // the home has the parts itself

	x = homeFetchExchange(t, false)
	x.fetchFromHome(other, 2)
	is.Equal(x.plan.parts, nil) // its engine doesn't take a source for each part
}

// TestHomeThatMayNotRespond checks that a target that is ejected, was tried, or is in an unreachable zone
// is no source, since a fetch from a dead target delays the response by some hundred ms, and that a
// target with other weights is none.
func TestHomeThatMayNotRespond(t *testing.T) {
	is := is.New(t)
	x := homeFetchExchange(t, true)
	none := &catalog.Target{}
	first := x.promptHome(none, 2)
	is.True(first.WeightVersion("m") == 2)
	x.ejected = []string{first.ID}
	second := x.promptHome(none, 2)
	is.True(second != nil && second.ID != first.ID)
	x.triedTargets = []string{second.ID}
	is.Equal(x.promptHome(none, 2), nil)
	x.ejected, x.triedTargets = nil, nil
	x.unreachableZones = map[string]bool{"z": true}
	is.Equal(x.promptHome(none, 2), nil)
}
