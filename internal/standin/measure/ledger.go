package measure

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shedhoist/shedhoist/internal/core/atmostonce"
	"github.com/shedhoist/shedhoist/internal/ledger"
	"github.com/shedhoist/shedhoist/internal/platform"
	standin "github.com/shedhoist/shedhoist/internal/standin/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// LedgerOptions size the experiment.
type LedgerOptions struct {
	Rates      []int // claims a second
	Time       time.Duration
	PlatformMS int   // time of one platform call
	Recover    []int // claims in a partition that is taken over
}

// LedgerRate is what one rate of claims costs.
type LedgerRate struct {
	Rate   int     `json:"claims_per_second"`
	Claims int     `json:"claims"`
	Writes float64 `json:"platform_writes_per_claim"`
	P50    float64 `json:"added_p50_ms"`
	P99    float64 `json:"added_p99_ms"`
}

// LedgerRecovery is how long a partition's taking over takes.
type LedgerRecovery struct {
	Claims  int     `json:"claims"`
	Reads   int     `json:"platform_reads"`
	Seconds float64 `json:"seconds"`
}

// LedgerResult is both.
type LedgerResult struct {
	Rates    []LedgerRate     `json:"rates"`
	Recovery []LedgerRecovery `json:"recovery"`
}

// MeasureLedger runs claims, each with its outcome, through one ledger.
func MeasureLedger(ctx context.Context, o LedgerOptions) (*LedgerResult, error) {
	out := &LedgerResult{}
	for _, rate := range o.Rates {
		r, err := ledgerRate(ctx, o, rate)
		if err != nil {
			return nil, err
		}
		out.Rates = append(out.Rates, *r)
	}
	for _, n := range o.Recover {
		r, err := ledgerRecovery(ctx, o, n)
		if err != nil {
			return nil, err
		}
		out.Recovery = append(out.Recovery, *r)
	}
	return out, nil
}

func startPlatform(o LedgerOptions) (*standin.Server, *platform.Client, func()) {
	p := standin.New("")
	srv := httptest.NewServer(p.Handler())
	p.SetFaults(standin.Faults{SlowMS: o.PlatformMS})
	return p, platform.NewClient(srv.URL, "", nil), srv.Close
}

func ledgerRate(ctx context.Context, o LedgerOptions, rate int) (*LedgerRate, error) {
	p, store, stop := startPlatform(o)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := ledger.New(ctx, store, atmostonce.DefaultParams, time.Now)
	h := hdrhistogram.New(1, maxNS, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := max(int(o.Time.Seconds()*float64(rate)), 5)
	start := time.Now()
	for i := range n {
		wait.For(ctx, time.Until(start.Add(time.Duration(float64(i)/float64(rate)*float64(time.Second)))))
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := atmostonce.Entry{ID: ledger.NewID("customer", fmt.Sprint(rate, "/", i)), Nonce: ledger.NewNonce()}
			began := time.Now()
			if a, err := l.Claim(ctx, e); err != nil || a.Verdict != atmostonce.Granted {
				return
			}
			took := time.Since(began)
			l.Settle(e.ID, e.Nonce, atmostonce.Outcome{Status: 200, Body: []byte(`{"ok":true}`)})
			mu.Lock()
			_ = h.RecordValue(int64(took))
			mu.Unlock()
		}()
	}
	wg.Wait()
	wait.For(ctx, 3*atmostonce.DefaultParams.MinWriteInterval) // the last outcomes
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
	return &LedgerRate{Rate: rate, Claims: int(h.TotalCount()), Writes: float64(p.Calls()["put"]) / float64(h.TotalCount()), P50: ms(50), P99: ms(99)}, nil
}

// ledgerRecovery fills a partition and times how long a new keeper needs until
// its first claim is granted.
func ledgerRecovery(ctx context.Context, o LedgerOptions, claims int) (*LedgerRecovery, error) {
	p, store, stop := startPlatform(o)
	defer stop()
	if err := fill(ctx, store, claims); err != nil {
		return nil, err
	}
	before := p.Calls()["get"]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := ledger.New(ctx, store, atmostonce.DefaultParams, time.Now)
	start := time.Now()
	if _, err := l.Claim(ctx, atmostonce.Entry{Nonce: ledger.NewNonce()}); err != nil {
		return nil, err
	}
	return &LedgerRecovery{Claims: claims, Reads: p.Calls()["get"] - before, Seconds: time.Since(start).Seconds()}, nil
}

// fill writes a partition's chain as a keeper would, in large batches.
func fill(ctx context.Context, store platform.Store, claims int) error {
	part := atmostonce.New(atmostonce.DefaultParams)
	part.Load(atmostonce.Tip{}, 0, nil)
	now := time.Now()
	for i := range claims {
		id := ledger.NewID("customer", fmt.Sprint("fill ", i))
		id[0] = 0 // all in partition 0
		part.Submit(atmostonce.Entry{ID: id, Nonce: ledger.NewNonce(), ClaimedAt: now.Unix()}, func(atmostonce.Result) {})
		if i%1000 != 999 && i != claims-1 {
			continue
		}
		now = now.Add(atmostonce.DefaultParams.MinWriteInterval)
		w, err := part.BeginWrite(now, ledger.NewNonce())
		if err != nil || w == nil {
			return err
		}
		if w.Segment != nil {
			if _, err := store.Put(ctx, "once/00/segments/"+w.SegmentKey, w.Segment, 0); err != nil {
				return err
			}
		}
		v, err := store.Put(ctx, "once/00/tip", w.Tip, platform.Version(w.ExpectedVersion))
		if err != nil {
			return err
		}
		part.WriteSucceeded(uint64(v), now)
	}
	return nil
}
