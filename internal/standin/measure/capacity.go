package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/cache"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/once"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/view"
	"github.com/shedhoist/shedhoist/internal/wait"
	"github.com/shedhoist/shedhoist/internal/why"
)

// Shape is how a figure grows with its size.
type Shape string

// Shapes.
const (
	Constant Shape = "constant"
	Linear   Shape = "linear"
)

// Slope is one figure over several sizes, with its least-squares line.
type Slope struct {
	Role   string    `json:"role"`
	Figure string    `json:"figure"`
	Unit   string    `json:"unit"`
	Over   string    `json:"over"` // what the size counts
	X      []float64 `json:"x"`
	Y      []float64 `json:"y"`
	Base   float64   `json:"base"`     // value at size 0
	Per    float64   `json:"per_unit"` // growth for one more
	Resid  float64   `json:"residual"` // root mean square, as a share of the mean
	Shape  Shape     `json:"shape"`
	Want   Shape     `json:"expected_shape"`
	Target float64   `json:"target_size"`
	At     float64   `json:"value_at_target"`
}

// constantGrowth is the growth over the measured range, as a factor of the
// first value, below which a figure counts as constant.
const constantGrowth = 1.5

// fit completes a slope from its points. Shape tells a figure that grows with
// its size from one that does not: growth less than a quarter of the size's own
// is not growth by size.
func (s *Slope) fit() {
	n := float64(len(s.X))
	var sx, sy, sxx, sxy float64
	for i := range s.X {
		sx, sy, sxx, sxy = sx+s.X[i], sy+s.Y[i], sxx+s.X[i]*s.X[i], sxy+s.X[i]*s.Y[i]
	}
	s.Per = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Base = (sy - s.Per*sx) / n
	var ss float64
	for i := range s.X {
		d := s.Y[i] - s.Base - s.Per*s.X[i]
		ss += d * d
	}
	if sy != 0 {
		s.Resid = math.Sqrt(ss/n) / math.Abs(sy/n)
	}
	last := len(s.X) - 1
	s.Shape = Linear
	if s.Y[last] < constantGrowth*math.Max(s.Y[0], 1e-12) || s.Y[last]/s.Y[0] < (s.X[last]/s.X[0])/4 && s.Want == Constant {
		s.Shape = Constant
	}
	s.At = s.Base + s.Per*s.Target
	if s.Want == Constant {
		s.At = s.Y[last]
	}
}

// Extrapolated says whether the target size lies beyond the measured range.
func (s *Slope) Extrapolated() bool { return s.Target > s.X[len(s.X)-1] }

// The users' target sizes (their first letter).
const (
	targetNodes     = 330
	targetTargets   = 600
	targetCustomers = 450
	targetPrompts   = 2.4e6
	targetStreams   = 1.2e6 / 29.4 / 330 // tokens a second / tokens a second a stream (34 ms each) / nodes
)

// CapacityOptions bound the measurement.
type CapacityOptions struct {
	Nodes  []int
	Settle time.Duration // quiet time measured for each number of nodes
	Log    io.Writer
}

// Capacity measures every slope again.
func Capacity(ctx context.Context, o CapacityOptions) ([]*Slope, error) {
	var out []*Slope
	say := func(what string) { fmt.Fprintln(o.Log, "measuring "+what) }
	say("control of quiet fleets, nodes " + strings.Trim(fmt.Sprint(o.Nodes), "[]"))
	control, err := controlSlopes(ctx, o)
	if err != nil {
		return nil, err
	}
	out = append(out, control...)
	say("routing")
	out = append(out, routeSlope(), snapshotSlope())
	say("configuration")
	cfg, err := configSlopes()
	if err != nil {
		return nil, err
	}
	out = append(out, cfg...)
	say("hints, why-records, ledger, digests")
	out = append(out, hintSlope(), whySlope(), ledgerSlope(), digestSlope())
	for _, s := range out {
		s.fit()
	}
	return out, nil
}

// controlSlopes runs fleets of entry instances without traffic and counts what
// one instance spends: processor time, messages and bytes to peers, calls to
// the platform.
func controlSlopes(ctx context.Context, o CapacityOptions) ([]*Slope, error) {
	cpu := &Slope{Role: "membership, observing, configuration", Figure: "processor time of control an instance", Unit: "us/s", Over: "nodes", Want: Constant, Target: targetNodes}
	bytes := &Slope{Role: "membership, observing", Figure: "bytes written to peers an instance", Unit: "B/s", Over: "nodes", Want: Constant, Target: targetNodes}
	msgs := &Slope{Role: "membership, observing", Figure: "messages written to peers an instance", Unit: "1/s", Over: "nodes", Want: Constant, Target: targetNodes}
	calls := &Slope{Role: "configuration", Figure: "calls to the platform an instance", Unit: "1/s", Over: "nodes", Want: Constant, Target: targetNodes}
	mem := &Slope{Role: "all control", Figure: "live heap and stacks an instance", Unit: "kB", Over: "nodes", Want: Linear, Target: targetNodes}
	force := &Slope{Role: "configuration", Figure: "time from apply to in force everywhere, the tool's own included", Unit: "ms", Over: "nodes", Want: Constant, Target: targetNodes}
	burst := &Slope{Role: "configuration", Figure: "calls to the platform for one change an instance", Unit: "1", Over: "nodes", Want: Constant, Target: targetNodes}
	for _, n := range o.Nodes {
		if err := controlPoint(ctx, o, n, cpu, bytes, msgs, calls, mem, force, burst); err != nil {
			return nil, err
		}
	}
	return []*Slope{cpu, bytes, msgs, calls, mem, force, burst}, nil
}

func controlPoint(ctx context.Context, o CapacityOptions, n int, cpu, bytes, msgs, calls, mem, force, burst *Slope) error {
	timing := settings.Default().Timing
	timing.DrainNoticeMS = 0
	f, err := fleet.Start(ctx, fleet.Options{Instances: n, Engines: 20, Timing: timing, Engine: engine.Options{TimeScale: 1}})
	if err != nil {
		return err
	}
	defer f.Close()
	wait.For(ctx, 2*time.Second) // the joining has come to its end
	startCPU, startBytes, startMsgs, startCalls := cpuTime(), metric.PeerBytes.Get(), metric.PeerMessages.Get(), total(f.Platform.Calls())
	wait.For(ctx, o.Settle)
	per := float64(n) * o.Settle.Seconds()
	add := func(s *Slope, y float64) { s.X, s.Y = append(s.X, float64(n)), append(s.Y, y) }
	add(cpu, float64((cpuTime()-startCPU).Microseconds())/per)
	add(bytes, float64(metric.PeerBytes.Get()-startBytes)/per)
	add(msgs, float64(metric.PeerMessages.Get()-startMsgs)/per)
	add(calls, float64(total(f.Platform.Calls())-startCalls)/per)
	add(mem, float64(memory())/1000/float64(n))
	b := f.Bundle()
	b.Customers[0].Priority = 2
	startCalls = total(f.Platform.Calls())
	start := time.Now()
	if err := f.Apply(b, "one change"); err != nil {
		return err
	}
	add(force, float64(time.Since(start).Milliseconds()))
	add(burst, float64(total(f.Platform.Calls())-startCalls)/float64(n))
	return nil
}

func total(calls map[string]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}

// timePer runs f often enough to time it, in microseconds each.
func timePer(f func()) float64 {
	const budget = 100 * time.Millisecond
	n, start := 0, time.Now()
	for time.Since(start) < budget {
		for range 16 {
			f()
		}
		n += 16
	}
	return float64(time.Since(start).Microseconds()) / float64(n)
}

type noHints struct{}

// Resident implements route.Hints.
func (noHints) Resident(string, []prefix.Key) int { return 0 }

// Inflight implements route.Hints.
func (noHints) Inflight(string) (int, int) { return 0, 0 }

func someTargets(n int) []route.Target {
	out := make([]route.Target, n)
	for i := range out {
		out[i] = route.Target{Name: fmt.Sprintf("engine-%d", i), Model: "m", Version: "v", Slots: 16}
	}
	return out
}

var targetSizes = []int{20, 60, 200, 600, 2000}

func routeSlope() *Slope {
	s := &Slope{Role: "routing", Figure: "one decision", Unit: "us", Over: "targets of one model", Want: Constant, Target: targetTargets}
	keys := prefix.NewSeed(nil, "m", "v", "").Chain(strings.Repeat("x", 16*prefix.ChunkBytes), nil)
	for _, n := range targetSizes {
		snap := route.NewSnapshot(someTargets(n), nil)
		q := route.Query{Model: "m", Version: "v", Keys: keys, Tokens: 16 << 10}
		var d route.Decision
		var h route.Hints = noHints{}
		s.X = append(s.X, float64(n))
		s.Y = append(s.Y, timePer(func() {
			q.Rand++
			route.Pick(snap, &q, route.Params{Candidates: 3, PrefillMS: 0.05}, h, &d)
		}))
	}
	return s
}

func snapshotSlope() *Slope {
	s := &Slope{Role: "observing targets", Figure: "publish one view, same members", Unit: "us", Over: "targets", Want: Linear, Target: targetTargets}
	for _, n := range targetSizes {
		all := someTargets(n)
		prev := route.NewSnapshot(all, nil)
		s.X = append(s.X, float64(n))
		s.Y = append(s.Y, timePer(func() { route.NewSnapshot(all, prev) }))
	}
	return s
}

// someBundle declares n customers and as many targets.
func someBundle(n int) *config.Bundle {
	b := &config.Bundle{Models: []config.Model{{Name: "m", Version: "v", Versions: []string{"v"}}}}
	for i := range n {
		b.Customers = append(b.Customers, config.Customer{Name: fmt.Sprintf("customer-%d", i), KeyHashes: []string{fmt.Sprintf("%064x", i)},
			Secret: fmt.Sprintf("%064x", i), Models: []string{"m"}})
		b.Targets = append(b.Targets, config.Target{Name: fmt.Sprintf("engine-%d", i), Address: "10.0.0.1:9000", Zone: "dar-a", Model: "m"})
	}
	return b
}

// configSlopes: what one change ships, what the whole would, and what a
// configuration in force holds in memory.
func configSlopes() ([]*Slope, error) {
	change := &Slope{Role: "configuration", Figure: "bytes of one change at an instance (bucket and head)", Unit: "B", Over: "customers and targets, each", Want: Linear, Target: targetCustomers}
	whole := &Slope{Role: "configuration", Figure: "bytes of the whole bundle", Unit: "B", Over: "customers and targets, each", Want: Linear, Target: targetCustomers}
	held := &Slope{Role: "configuration", Figure: "memory of the configuration in force", Unit: "kB", Over: "customers and targets, each", Want: Linear, Target: targetCustomers}
	for _, n := range []int{10, 100, 300, 1000} {
		b := someBundle(n)
		parts, err := config.Split(b)
		if err != nil {
			return nil, err
		}
		sum := 0
		buckets := map[string]string{}
		for id, p := range parts {
			sum += len(p)
			buckets[id] = config.Hash(p)
		}
		head, err := json.Marshal(config.Head{Generation: 1, Buckets: buckets})
		if err != nil {
			return nil, err
		}
		before := memory()
		cfg, err := view.NewConfig(config.Head{}, b)
		if err != nil {
			return nil, err
		}
		after := memory()
		runtime.KeepAlive(cfg)
		x := float64(n)
		change.X, change.Y = append(change.X, x), append(change.Y, float64(sum/len(parts)+len(head)))
		whole.X, whole.Y = append(whole.X, x), append(whole.Y, float64(sum))
		held.X, held.Y = append(held.X, x), append(held.Y, math.Max(float64(after-before+int64(sum))/1000, 1))
	}
	return []*Slope{change, whole, held}, nil
}

func hintSlope() *Slope {
	s := &Slope{Role: "restore and keep decisions", Figure: "memory of residency hints", Unit: "kB", Over: "keys remembered", Want: Linear, Target: targetTargets * cache.DefaultHintKeys / 8}
	for _, n := range []int{10_000, 50_000, 200_000, 600_000} {
		before := memory()
		h := cache.NewHints(cache.DefaultHintKeys)
		var key prefix.Key
		for i := range n {
			key[0], key[1], key[2] = byte(i), byte(i>>8), byte(i>>16)
			h.Learn(fmt.Sprintf("engine-%d", i/4096), []prefix.Key{key})
		}
		s.X, s.Y = append(s.X, float64(n)), append(s.Y, float64(memory()-before)/1000)
		runtime.KeepAlive(h)
	}
	return s
}

func whySlope() *Slope {
	s := &Slope{Role: "why-records", Figure: "memory of why-records", Unit: "kB", Over: "records", Want: Linear, Target: 4096}
	for _, n := range []int{500, 1000, 2000, 4096} {
		before := memory()
		l := why.NewLog(n)
		for i := range n {
			l.Add(&why.Record{ID: fmt.Sprintf("%036d", i), Instance: "entry-1", Customer: "customer-1", Name: "m", Version: "v",
				Attempts: []why.Attempt{{Target: "engine-1", Candidates: make([]route.Candidate, 5)}}})
		}
		s.X, s.Y = append(s.X, float64(n)), append(s.Y, float64(memory()-before)/1000)
		runtime.KeepAlive(l)
	}
	return s
}

func ledgerSlope() *Slope {
	s := &Slope{Role: "ledger keeping", Figure: "memory of a partition's index", Unit: "kB", Over: "claims held", Want: Linear, Target: 250_000}
	for _, n := range []int{10_000, 30_000, 100_000, 300_000} {
		before := memory()
		p := once.New(once.DefaultParams)
		entries := make([]once.Entry, n)
		for i := range entries {
			entries[i].ID[0], entries[i].ID[1], entries[i].ID[2] = byte(i), byte(i>>8), byte(i>>16)
		}
		p.Load(once.Tip{}, 1, [][]once.Entry{entries})
		entries = nil
		s.X, s.Y = append(s.X, float64(n)), append(s.Y, float64(memory()-before)/1000)
		runtime.KeepAlive(p)
	}
	return s
}

// digestSlope: what a second of telling about targets costs.
func digestSlope() *Slope {
	s := &Slope{Role: "observing targets", Figure: "digests told on two messages a second", Unit: "1/s", Over: "targets", Want: Constant, Target: targetTargets}
	for _, n := range targetSizes {
		tr, now := observe.New(observe.DefaultParams), time.Unix(100, 0)
		var specs []observe.Spec
		for i := range n {
			specs = append(specs, observe.Spec{Name: fmt.Sprintf("engine-%d", i)})
		}
		tr.Declare(specs)
		told := 0
		const seconds = 60
		for range 2 * seconds {
			now = now.Add(500 * time.Millisecond)
			for _, sp := range specs {
				tr.Heard(sp.Name, observe.Report{Version: "v"}, now)
			}
			told += len(tr.News(now))
		}
		s.X, s.Y = append(s.X, float64(n)), append(s.Y, float64(told)/seconds)
	}
	return s
}

// ShapeError says that a figure does not grow as the page says.
type ShapeError struct{ Figures []string }

// Error implements error.
func (e *ShapeError) Error() string {
	return "capacity: not of the shape that docs/CAPACITY.md states: " + strings.Join(e.Figures, "; ")
}

// CheckPage compares the figures with the committed page: each must stand there
// on a line of its own that names its shape.
func CheckPage(slopes []*Slope, page string) error {
	var bad []string
	for _, s := range slopes {
		found := false
		for _, line := range strings.Split(page, "\n") {
			found = found || (strings.Contains(line, s.Figure) && strings.Contains(line, string(s.Shape)))
		}
		if !found {
			bad = append(bad, fmt.Sprintf("%s is %s, which the page does not say", s.Figure, s.Shape))
		}
	}
	if len(bad) > 0 {
		return &ShapeError{Figures: bad}
	}
	return nil
}

// CheckShapes compares each figure's shape with the one expected of it.
func CheckShapes(slopes []*Slope) error {
	var bad []string
	for _, s := range slopes {
		if s.Shape != s.Want {
			bad = append(bad, fmt.Sprintf("%s is %s, not %s", s.Figure, s.Shape, s.Want))
		}
	}
	if len(bad) > 0 {
		return &ShapeError{Figures: bad}
	}
	return nil
}
