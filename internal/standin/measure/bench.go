package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/standin/store"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// BenchOptions describe one experiment. Loads are shares of the rate at which
// the engines would be busy all the time if each prompt were computed whole.
type BenchOptions struct {
	Workload  Workload
	Policies  []string // "shedhoist", "no-stores", or a baseline of core/route
	Load      float64
	Requests  int
	Instances int
	Engines   int
	Stores    int
	Scale     float64 // real seconds for a modelled one
	Fault     string  // a name of Faults, or ""
	Seed      uint64
	FirstMS   float64 // bound on the first token; 0 is none
	Weight    float64 // price of a recomputed token, ms
	// ControlMS is the least period of looks at engines and of heartbeats, in real ms; 0 is
	// shortestControlMS. A word of an engine counts for 20 heartbeats: a machine that stands
	// still for longer takes all engines for gone, and requests are refused.
	ControlMS int
}

// shortestControlMS is the shortest period that the daemon's settings allow.
const shortestControlMS = 10

// Modelled engine and links: a prompt of eight pieces takes 0.8 s to compute.
const (
	benchPrefillUS = 100
	benchDecodeMS  = 10
	benchTokens    = 8
	benchPieces    = 40 // of an engine's prefix cache
	benchSlots     = 16
	benchKVBytes   = 100_000 // a token: 0.1 GB a piece
	benchMemRate   = 10e9
	benchDiskRate  = 2e9
)

// Result is what one policy did. Times are in modelled milliseconds.
type Result struct {
	Policy     string           `json:"policy"`
	FirstP50   float64          `json:"first_token_p50_ms"`
	FirstP95   float64          `json:"first_token_p95_ms"`
	FirstP99   float64          `json:"first_token_p99_ms"`
	Computed   float64          `json:"computed_share"` // of prompt tokens that were asked for
	Bound      float64          `json:"compulsory_share"`
	Restored   float64          `json:"restored_share"`
	LinkBytes  map[string]int64 `json:"link_bytes"`
	Served     int              `json:"served"`
	Refused    int              `json:"refused"`
	Failed     int              `json:"failed"`
	Retried    int              `json:"retried"`
	Goodput    float64          `json:"goodput"`   // answers a modelled second
	Imbalance  float64          `json:"imbalance"` // busiest engine's computed tokens over the mean
	Wrong      int              `json:"wrong_answers"`
	WrongBlock int              `json:"wrong_blocks"`
	firsts     []float64
}

// truth is perfect knowledge of residency and load, for the oracle.
type truth struct{ f *fleet.Fleet }

func (t truth) engine(name string) *engine.Server {
	var i int
	if _, err := fmt.Sscanf(name, "engine-%d", &i); err != nil || i < 1 || i > len(t.f.Engines) {
		return nil
	}
	return t.f.Engines[i-1]
}

// Resident implements route.Hints.
func (t truth) Resident(name string, keys []prefix.Key) int {
	if e := t.engine(name); e != nil {
		return e.Resident(keys)
	}
	return 0
}

// Inflight implements route.Hints.
func (t truth) Inflight(name string) (int, int) {
	if e := t.engine(name); e != nil {
		return e.Load()
	}
	return 0, 0
}

func (o *BenchOptions) policy(name string) config.Policy {
	p := config.Policy{MaxAttempts: 3, RecomputeWeight: o.Weight}
	switch name {
	case "shedhoist":
	case "no-stores":
		p.NoStores = true
	case string(route.Oracle):
		p.Router = name
	default: // the baselines know no stores
		p.Router, p.NoStores = name, true
	}
	return p
}

func (o *BenchOptions) start(ctx context.Context, name string) (*fleet.Fleet, error) {
	timing := settings.Default().Timing
	timing.DrainNoticeMS = 0
	// Control lives in real time; its periods are scaled as the engines are.
	timing.ProbeMS = max(int(float64(timing.ProbeMS)*o.Scale), o.ControlMS, shortestControlMS)
	timing.HeartbeatMS = max(int(float64(timing.HeartbeatMS)*o.Scale), o.ControlMS, shortestControlMS)
	f, err := fleet.Start(ctx, fleet.Options{Instances: o.Instances, Engines: o.Engines, Stores: o.Stores, Customers: customers, Timing: timing, Policy: o.policy(name),
		Engine: engine.Options{PrefillUS: benchPrefillUS, DecodeMS: benchDecodeMS, CachePieces: benchPieces, Slots: benchSlots, KVBytes: benchKVBytes,
			LagMS: 100, EventLagMS: 200, TimeScale: o.Scale},
		Store: store.Options{MemoryBytes: 20e9, DiskBytes: 400e9, MemoryRate: benchMemRate, DiskRate: benchDiskRate, TimeScale: o.Scale},
		Edit: func(b *config.Bundle) {
			b.Models[0].MaxFirstTokenMS = o.FirstMS * o.Scale
			b.Models[0].PrefillUSPerToken = benchPrefillUS * o.Scale // the daemon lives in real time
			for i := range b.Stores {
				b.Stores[i].MemoryMBps = int(benchMemRate / o.Scale / 1e6)
				b.Stores[i].DiskMBps = int(benchDiskRate / o.Scale / 1e6)
			}
		}})
	if err != nil {
		return nil, err
	}
	if name == string(route.Oracle) {
		for _, d := range f.Daemons {
			d.SetOracleHints(truth{f})
		}
	}
	return f, nil
}

// Bench runs every policy on the same arrivals.
func Bench(ctx context.Context, o BenchOptions) ([]*Result, error) {
	prompt := float64(bookPieces * piece / prefix.BytesPerToken)
	rate := o.Load * float64(o.Engines) / (prompt * benchPrefillUS / 1e6)
	arrivals := Arrivals(o.Workload, o.Requests, rate, o.Seed)
	least := bound(arrivals)
	var out []*Result
	for _, name := range o.Policies {
		r, err := o.run(ctx, name, arrivals)
		if err != nil {
			return nil, err
		}
		r.Bound = least
		out = append(out, r)
	}
	return out, nil
}

// run plays the arrivals against one fleet.
func (o *BenchOptions) run(ctx context.Context, name string, arrivals []Arrival) (*Result, error) {
	f, err := o.start(ctx, name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	res := &Result{Policy: name, LinkBytes: map[string]int64{}}
	retries := metric.Retries.Get() + metric.Resumes.Get()
	balancer := rand.New(rand.NewPCG(o.Seed, 13))
	fault := faults[o.Fault]
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if fault != nil && i == len(arrivals)/2 {
			fault(f)
		}
		wait.For(ctx, time.Until(start.Add(time.Duration(a.At*o.Scale*float64(time.Second)))))
		base := f.URL(balancer.IntN(len(f.Daemons)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			first, outcome := o.send(ctx, base, f.Keys[a.Customer], a)
			mu.Lock()
			defer mu.Unlock()
			res.count(first/o.Scale, outcome)
		}()
	}
	wg.Wait()
	o.account(f, res, arrivals, time.Since(start).Seconds()/o.Scale)
	res.Retried = int(metric.Retries.Get() + metric.Resumes.Get() - retries)
	return res, nil
}

// outcome of one request.
type outcome uint8

const (
	served outcome = iota
	refused
	failed
	wrong
)

func (r *Result) count(firstMS float64, out outcome) {
	switch out {
	case served:
		r.Served++
		r.firsts = append(r.firsts, firstMS)
	case refused:
		r.Refused++
	case failed:
		r.Failed++
	case wrong:
		r.Wrong++
	}
}

// send asks once, streamed, and returns the real time to the first token in ms.
func (o *BenchOptions) send(ctx context.Context, base, key string, a Arrival) (float64, outcome) {
	body, err := json.Marshal(map[string]any{"model": fleet.Model, "prompt": a.Prompt, "max_tokens": benchTokens, "stream": true})
	if err != nil {
		return 0, failed
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, failed
	}
	req.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, failed
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			return 0, refused
		}
		return 0, failed
	}
	return readAnswer(resp.Body, a.Prompt, start)
}

func readAnswer(body io.Reader, prompt string, start time.Time) (float64, outcome) {
	var firstMS float64
	var got strings.Builder
	done := false
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		line := sc.Text()
		if _, rest, ok := strings.Cut(line, `"text":"`); ok {
			if firstMS == 0 {
				firstMS = float64(time.Since(start)) / float64(time.Millisecond)
			}
			tok, _, _ := strings.Cut(rest, `"`)
			got.WriteString(tok)
		}
		done = done || line == "data: [DONE]"
	}
	if !done {
		return 0, failed
	}
	var want strings.Builder
	for n := range benchTokens {
		want.WriteString(engine.Token(prompt, fleet.Version, "", n))
	}
	if got.String() != want.String() {
		return 0, wrong
	}
	return firstMS, served
}

// account adds up what engines and stores saw.
func (o *BenchOptions) account(f *fleet.Fleet, r *Result, arrivals []Arrival, seconds float64) {
	var asked, computed, restored, most int64
	for _, a := range arrivals {
		asked += int64(prefix.EstimateTokens(len(a.Prompt)))
	}
	for _, e := range f.Engines {
		c := e.Counters()
		computed += c.ComputedTokens
		restored += c.RestoredTokens
		most = max(most, c.ComputedTokens)
		r.WrongBlock += c.WrongBlocks
	}
	for _, s := range f.Stores {
		for link, n := range s.Moved() {
			r.LinkBytes[link] += n
		}
	}
	sorted := sortedCopy(r.firsts)
	r.FirstP50, r.FirstP95, r.FirstP99 = quantile(sorted, 0.50), quantile(sorted, 0.95), quantile(sorted, 0.99)
	r.Computed, r.Restored = float64(computed)/float64(asked), float64(restored)/float64(asked)
	r.Imbalance = float64(most) * float64(len(f.Engines)) / float64(max(computed, 1))
	r.Goodput = float64(r.Served) / seconds
}

// faults are brought about in the middle of a run.
var faults = map[string]func(*fleet.Fleet){
	"store-dies":  func(f *fleet.Fleet) { f.Stores[0].SetFaults(store.Faults{Down: true}) },
	"stores-die":  func(f *fleet.Fleet) { eachStore(f, store.Faults{Down: true}) },
	"stores-full": func(f *fleet.Fleet) { eachStore(f, store.Faults{Full: true}) },
	"slow-links":  func(f *fleet.Fleet) { eachStore(f, store.Faults{LinkX: 0.05}) },
	"zone-dies": func(f *fleet.Fleet) {
		for i, e := range f.Engines {
			if i%3 == 0 { // the engines of the first of three zones
				e.SetFaults(engine.Faults{Reset: true, HideStatus: true, Die: "half", DieCount: 1 << 30})
			}
		}
	},
	"cache-lost": func(f *fleet.Fleet) {
		for _, e := range f.Engines {
			e.DropCache()
		}
	},
}

func eachStore(f *fleet.Fleet, x store.Faults) {
	for _, s := range f.Stores {
		s.SetFaults(x)
	}
}

// Faults lists the names of the faults.
func Faults() []string {
	var out []string
	for name := range faults {
		out = append(out, name)
	}
	return out
}
