package measure

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/wait"
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
	say("open streams, changes")
	streams, err := streamSlope(ctx)
	if err != nil {
		return nil, err
	}
	changes, err := changeSlope(ctx)
	if err != nil {
		return nil, err
	}
	out = append(out, streams, changes)
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
