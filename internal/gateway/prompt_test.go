package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestServiceRemoved: a target whose service the newest configuration no longer
// declares has no known links, and breaks nothing.
func TestServiceRemoved(t *testing.T) {
	x := &exchange{view: &View{Config: catalog.NewConfig(catalog.ConfigSpec{})}}
	src := partSource{store: &catalog.CacheStore{LinkMbps: 1000}, tokens: 100}
	is.New(t).Equal(x.transferMS(src, &catalog.Target{Service: "gone"}), 0.0)
}

// TestUrgencyRank guards against hurried or higher requests behind others, and ranks unknown to targets.
func TestUrgencyRank(t *testing.T) {
	start := time.Unix(0, 0)
	cases := []struct {
		name      string
		predicted float64 // ms
		waited    time.Duration
		rank      int
		customer  *catalog.Customer
		fleet     int
		want      int
	}{
		{"in time", 299, 0, 1, nil, 17, 1},
		{"late", 301, 0, 1, nil, 17, 5},
		{"late since it has waited", 299, 200 * time.Millisecond, 1, nil, 17, 5},
		{"its time is over", 1, 600 * time.Millisecond, 0, nil, 17, 4},
		{"the lowest rank there is", 460, 0, 8, nil, 17, lowestPriority},
		{"a customer's own rank", 299, 0, 1, &catalog.Customer{Priority: 3, HasPriority: true}, 17, 3},
		{"a customer's own rank, late", 460, 0, 1, &catalog.Customer{Priority: 0, HasPriority: true}, 17, 4},
		{"late, in a small fleet", 460, 0, 1, nil, 16, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{now: func() time.Time { return start.Add(c.waited) }}
			g.currentSettings.Store((&Settings{}).WithDefaults())
			x := &exchange{g: g, arrived: start, view: &View{Alive: make([]string, c.fleet)}, predictedMS: c.predicted, customer: c.customer,
				route: &catalog.Route{LatencyObjective: 500 * time.Millisecond, Priority: c.rank}}
			is.New(t).Equal(x.effectiveRank(), c.want)
		})
	}
}

// TestFetchBounds: a fetch is begun only if it is predicted to leave half of the objective,
// and once begun may take three times as long as the objective before it is given up.
func TestFetchBounds(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	waited := time.Duration(0)
	g := &Gateway{now: func() time.Time { return start.Add(waited) }}
	x := &exchange{g: g, arrived: start, route: &catalog.Route{LatencyObjective: 400 * time.Millisecond}}
	is.True(x.worthFetching(200))
	is.True(!x.worthFetching(201))
	is.Equal(x.fetchTimeout(), 1200*time.Millisecond)
	waited = 150 * time.Millisecond // after an attempt elsewhere
	is.True(x.worthFetching(50))
	is.True(!x.worthFetching(51))
	is.Equal(x.fetchTimeout(), 1050*time.Millisecond)
	waited = 0
	x.route = &catalog.Route{LatencyObjective: 10 * time.Second}
	is.Equal(x.fetchTimeout(), maxFetchTime)
	x.route = &catalog.Route{LatencyObjective: 400 * time.Millisecond}
	waited = 2 * time.Second
	is.True(!x.worthFetching(0))
	is.Equal(x.fetchTimeout(), time.Duration(0))
}
