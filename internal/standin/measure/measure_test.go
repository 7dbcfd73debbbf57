package measure

import (
	"testing"

	"github.com/matryer/is"
)

// TestNoPolicyBeatsTheBound runs every policy on both workloads, small: all
// answers are whole and right, and nobody computes less than what must be. Control keeps
// periods of real machines: with heartbeats of 10 ms a word of an engine counted for 0.2 s, and
// on a busy machine requests were refused for want of a target.
func TestNoPolicyBeatsTheBound(t *testing.T) {
	for _, w := range []Workload{Rota, Lock} {
		t.Run(string(w), func(t *testing.T) {
			is := is.New(t)
			results, err := Bench(t.Context(), BenchOptions{Workload: w, Load: 0.5, Requests: 60, Instances: 2, Engines: 4, Stores: 2, Scale: 0.02, Seed: 1,
				Weight: 0.02, ControlMS: 250, Policies: []string{"shedhoist", "no-stores", "round-robin", "least-load", "affinity", "oracle"}})
			is.NoErr(err)
			for _, r := range results {
				t.Logf("%s: computed %.1f%%, bound %.1f%%, served %d, refused %d, failed %d", r.Policy, 100*r.Computed, 100*r.Bound, r.Served, r.Refused, r.Failed)
				is.True(r.Computed >= r.Bound-1e-9)
				is.Equal(r.Served, 60)
				is.Equal(r.Wrong+r.WrongBlock, 0)
			}
		})
	}
}

// TestArrivals: the same seed gives the same arrivals; another does not.
func TestArrivals(t *testing.T) {
	is := is.New(t)
	a, b, c := Arrivals(Rota, 50, 10, 1), Arrivals(Rota, 50, 10, 1), Arrivals(Rota, 50, 10, 2)
	is.Equal(a, b)
	is.True(a[49].At != c[49].At)
	for i := range a {
		is.True(a[i].Pieces == len(a[i].Prompt)/piece)
	}
}

// TestShapes: the fit tells growth by size from none.
func TestShapes(t *testing.T) {
	is := is.New(t)
	x := []float64{8, 16, 32, 64}
	flat := &Slope{X: x, Y: []float64{5, 5.5, 4.8, 5.1}, Want: Constant}
	flat.fit()
	is.Equal(flat.Shape, Constant)
	grows := &Slope{X: x, Y: []float64{8, 16, 32, 64}, Want: Constant, Figure: "f"}
	grows.fit()
	is.Equal(grows.Shape, Linear)
	is.True(grows.Per > 0.99 && grows.Per < 1.01)
	is.True(CheckShapes([]*Slope{flat}) == nil)
	is.True(CheckShapes([]*Slope{grows}) != nil)
	is.True(CheckPage([]*Slope{flat}, "no such line") != nil)
}
