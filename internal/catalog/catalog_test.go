package catalog_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/core/admission"
)

func sampleConfig() *catalog.Config {
	return catalog.NewConfig(catalog.ConfigSpec{Version: 3,
		Routes: []catalog.Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/"},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
			{Name: "open", Host: "b.example", PathPrefix: "/", Public: true},
		},
		Customers: []catalog.CustomerKeys{
			{Customer: catalog.Customer{Name: "one"}, Keys: []string{"k1", "k2"}},
			{Customer: catalog.Customer{Name: "two", Isolated: true}, Keys: []string{"k3"}},
		}})
}

// TestRoute checks which route matches a host and path.
func TestRoute(t *testing.T) {
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/X/1", ""},
		{"a.example", "//x/1", ""},
		{"b.example", "/any", "open"},
		{"c.example", "/x/1", ""},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			r := sampleConfig().Route(c.host, c.path)
			if c.want == "" {
				is.True(r == nil)
				return
			}
			is.Equal(r.Name, c.want)
		})
	}
}

// TestCacheScope checks that an isolated customer has a scope of its own, and that a change of the
// set of isolated customers changes the scope of all others.
func TestCacheScope(t *testing.T) {
	is := is.New(t)
	c := sampleConfig()
	one, two := c.Customer("k2"), c.Customer("k3")
	is.True(one != nil && two != nil && c.Customer("k4") == nil)
	is.True(c.CacheScope(one) != c.CacheScope(two))
	is.Equal(c.CacheScope(one), c.CacheScope(nil)) // callers without a key share with those who are not isolated
	withoutIsolation := catalog.NewConfig(catalog.ConfigSpec{Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: []string{"k1"}}}})
	is.True(withoutIsolation.CacheScope(withoutIsolation.Customer("k1")) != c.CacheScope(one))
}

// TestCacheScopeOfEarlierCustomer guards against cache that a customer shares with others since its request was authenticated
// by a configuration in which it was not isolated, or in which it was and no longer is.
func TestCacheScopeOfEarlierCustomer(t *testing.T) {
	is := is.New(t)
	config := func(isolated bool) *catalog.Config {
		return catalog.NewConfig(catalog.ConfigSpec{Customers: []catalog.CustomerKeys{
			{Customer: catalog.Customer{Name: "one", Isolated: isolated}, Keys: []string{"k1"}},
			{Customer: catalog.Customer{Name: "two"}, Keys: []string{"k2"}},
		}})
	}
	open, isolated := config(false), config(true)
	one := open.Customer("k1")
	is.Equal(isolated.CacheScope(one), isolated.CacheScope(isolated.Customer("k1")))
	is.True(isolated.CacheScope(one) != isolated.CacheScope(isolated.Customer("k2")))
	is.True(open.CacheScope(isolated.Customer("k1")) != open.CacheScope(open.Customer("k2")))
}

// TestIsPlain guards against counting slots at services whose requests compete for a model's memory,
// which their slots say nothing about.
func TestIsPlain(t *testing.T) {
	is := is.New(t)
	to := func(services ...string) (out []catalog.Backend) {
		for _, s := range services {
			out = append(out, catalog.Backend{Service: s, Weight: 1})
		}
		return out
	}
	c := catalog.NewConfig(catalog.ConfigSpec{Services: []catalog.Service{{Name: "plain"}, {Name: "split"}, {Name: "unused"}, {Name: "llm", Engine: &catalog.Engine{}}},
		Routes: []catalog.Route{
			{Name: "a", Backends: to("plain", "split", "llm", "undeclared")},
			{Name: "b", UsesModel: true, Backends: append(to("llm", "split"), catalog.Backend{Service: "plain"})}, // weight 0: never sent there
		}})
	is.True(c.IsPlain("plain") && c.IsPlain("unused"))
	is.True(!c.IsPlain("split") && !c.IsPlain("llm") && !c.IsPlain("undeclared"))
	is.True(!(*catalog.Config)(nil).IsPlain("plain"))
}

// TestTargetSlotsBetweenVersions guards against peers of an earlier version that can't read a target
// with slots, or whose targets can't be read, while a fleet is updated.
func TestTargetSlotsBetweenVersions(t *testing.T) {
	is := is.New(t)
	type earlier struct {
		Name    string `cbor:"1,keyasint"`
		Service string `cbor:"4,keyasint,omitempty"`
	}
	data, err := cbor.Marshal(catalog.Target{Name: "t", Service: "s", Slots: 6})
	is.NoErr(err)
	var old earlier
	is.NoErr(cbor.Unmarshal(data, &old))
	is.Equal(old, earlier{Name: "t", Service: "s"})
	var back catalog.Target
	is.NoErr(cbor.Unmarshal(data, &back))
	is.Equal(back.Slots, 6)
	data, err = cbor.Marshal(old)
	is.NoErr(err)
	back = catalog.Target{}
	is.NoErr(cbor.Unmarshal(data, &back))
	is.Equal(back.Slots, 0)
}

// TestHasAtMostOnceStreams guards against rollouts that take streams which can be resumed, or requests of other
// kinds, for streams that run at most once.
func TestHasAtMostOnceStreams(t *testing.T) {
	is := is.New(t)
	route := func(service string, weight int, kind catalog.RequestKind, resumable bool) catalog.Route {
		return catalog.Route{Host: "h", PathPrefix: "/" + service + "/", Kind: kind, Resumable: resumable,
			Backends: []catalog.Backend{{Service: service, Weight: weight}, {Service: "other", Weight: 1}}}
	}
	c := catalog.NewConfig(catalog.ConfigSpec{Routes: []catalog.Route{route("once", 1, catalog.Streaming, false), route("resumable", 1, catalog.Streaming, true),
		route("idempotent", 1, catalog.Idempotent, false), route("unused", 0, catalog.Streaming, false)}})
	is.True(c.HasAtMostOnceStreams("once"))
	for _, service := range []string{"resumable", "idempotent", "unused", "absent"} {
		is.True(!c.HasAtMostOnceStreams(service))
	}
	is.True(!(*catalog.Config)(nil).HasAtMostOnceStreams("once"))
}

// TestPromptLevels checks that the levels of a service come from the routes that send prompts there:
// other routes to the service, and prompts to other services, must not make its prompts differ in
// priority.
func TestPromptLevels(t *testing.T) {
	is := is.New(t)
	to := func(services ...string) (out []catalog.Backend) {
		for _, s := range services {
			out = append(out, catalog.Backend{Service: s, Weight: 1})
		}
		return out
	}
	c := catalog.NewConfig(catalog.ConfigSpec{Services: []catalog.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Routes: []catalog.Route{
		{UsesModel: true, Priority: 2, LatencyObjective: time.Second, Backends: to("a", "b")},
		{UsesModel: true, Priority: 0, LatencyObjective: 2 * time.Second, Backends: to("a")},
		{UsesModel: true, Priority: 0, LatencyObjective: 400 * time.Millisecond, Backends: to("a")},
		{UsesModel: true, Priority: 1, Backends: []catalog.Backend{{Service: "a"}, {Service: "c", Weight: 1}}}, // sends nothing to a
		{Priority: 0, Backends: to("b")},
	}})
	is.Equal(c.PromptLevels("a"), admission.Levels{{Rank: 0, Objective: 400 * time.Millisecond}, {Rank: 2, Objective: time.Second}})
	is.Equal(c.PromptLevels("b"), admission.Levels{{Rank: 2, Objective: time.Second}})
	is.Equal(len(c.PromptLevels("unknown")), 0)
	is.Equal(len((*catalog.Config)(nil).PromptLevels("a")), 0)
}

// TestPromptRanks guards against routes of different priority that count as equal because customers have
// a priority of their own, and against ranks that no request can have.
func TestPromptRanks(t *testing.T) {
	is := is.New(t)
	ranks := func(customers ...catalog.Customer) (out []int) {
		spec := catalog.ConfigSpec{Services: []catalog.Service{{Name: "a"}}}
		for _, priority := range []int{0, 2} {
			spec.Routes = append(spec.Routes, catalog.Route{UsesModel: true, Priority: priority, Backends: []catalog.Backend{{Service: "a", Weight: 1}}})
		}
		for _, c := range customers {
			spec.Customers = append(spec.Customers, catalog.CustomerKeys{Customer: c})
		}
		c := catalog.NewConfig(spec)
		is.Equal(len(c.PromptLevels("a")), 2)
		for _, l := range c.PromptRanks("a") {
			out = append(out, l.Rank)
		}
		return out
	}
	one, three := catalog.Customer{Priority: 1, HasPriority: true}, catalog.Customer{Priority: 3, HasPriority: true}
	is.Equal(ranks(one, one), []int{admission.CombinedRank(1, 0), admission.CombinedRank(1, 2)})
	is.Equal(ranks(three, one), []int{admission.CombinedRank(1, 0), admission.CombinedRank(1, 2), admission.CombinedRank(3, 0), admission.CombinedRank(3, 2)})
	is.Equal(ranks(one, catalog.Customer{}), []int{admission.CombinedRank(0, 0), admission.CombinedRank(1, 0), admission.CombinedRank(1, 2), admission.CombinedRank(2, 2)})
}
