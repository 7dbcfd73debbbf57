package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
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

// TestHasOnceStreams guards against rollouts that take streams which can be resumed, or requests of other
// kinds, for streams that run at most once.
func TestHasOnceStreams(t *testing.T) {
	is := is.New(t)
	route := func(service string, weight int, kind catalog.RequestKind, resumable bool) catalog.Route {
		return catalog.Route{Host: "h", PathPrefix: "/" + service + "/", Kind: kind, Resumable: resumable,
			Backends: []catalog.Backend{{Service: service, Weight: weight}, {Service: "other", Weight: 1}}}
	}
	c := catalog.NewConfig(catalog.ConfigSpec{Routes: []catalog.Route{route("once", 1, catalog.Streaming, false), route("resumable", 1, catalog.Streaming, true),
		route("idempotent", 1, catalog.Idempotent, false), route("unused", 0, catalog.Streaming, false)}})
	is.True(c.HasOnceStreams("once"))
	for _, service := range []string{"resumable", "idempotent", "unused", "absent"} {
		is.True(!c.HasOnceStreams(service))
	}
	is.True(!(*catalog.Config)(nil).HasOnceStreams("once"))
}
