package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

func sample() *catalog.Config {
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

// TestRoute is a table of hosts and paths with the route that takes them.
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
			r := sample().Route(c.host, c.path)
			if c.want == "" {
				is.True(r == nil)
				return
			}
			is.Equal(r.Name, c.want)
		})
	}
}

// TestWall: an isolated customer has a wall of its own; a change of who is
// isolated changes the wall of all others.
func TestWall(t *testing.T) {
	is := is.New(t)
	c := sample()
	one, two := c.Customer("k2"), c.Customer("k3")
	is.True(one != nil && two != nil && c.Customer("k4") == nil)
	is.True(c.CacheScope(one) != c.CacheScope(two))
	is.Equal(c.CacheScope(one), c.CacheScope(nil)) // callers without a key share with those who are not isolated
	open := catalog.NewConfig(catalog.ConfigSpec{Customers: []catalog.CustomerKeys{{Customer: catalog.Customer{Name: "one"}, Keys: []string{"k1"}}}})
	is.True(open.CacheScope(open.Customer("k1")) != c.CacheScope(one))
}
