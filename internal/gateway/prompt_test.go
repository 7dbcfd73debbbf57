package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestServiceRemoved checks that the transfer time to a target is 0 when the newest
// configuration no longer declares its service, and so its link speed.
func TestServiceRemoved(t *testing.T) {
	x := &exchange{view: &View{Config: catalog.NewConfig(catalog.ConfigSpec{})}}
	src := partSource{store: &catalog.CacheStore{LinkMbps: 1000}, tokens: 100}
	is.New(t).Equal(x.transferMS(src, &catalog.Target{Service: "gone"}), 0.0)
}

// TestUrgencyRank checks that late requests rank behind the others, except in a small fleet,
// that a customer's priority overrides the route's, and that no rank exceeds lowestPriority.
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
		{"late after a wait", 299, 200 * time.Millisecond, 1, nil, 17, 5},
		{"objective already missed", 1, 600 * time.Millisecond, 0, nil, 17, 4},
		{"capped at the lowest priority", 460, 0, 8, nil, 17, lowestPriority},
		{"customer priority", 299, 0, 1, &catalog.Customer{Priority: 3, HasPriority: true}, 17, 3},
		{"customer priority, late", 460, 0, 1, &catalog.Customer{Priority: 0, HasPriority: true}, 17, 4},
		{"late in a small fleet", 460, 0, 1, nil, 16, 1},
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

// TestFetchBounds checks that a fetch starts only if it is predicted to leave half of the
// latency objective, that it then may last until three objectives after the request's
// arrival, and never longer than maxFetchTime.
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
