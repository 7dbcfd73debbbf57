// Package measure holds the experiments of the stand-ins: figures on one
// machine, always as pairs or slopes within one run.
package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// OverheadOptions size the experiment.
type OverheadOptions struct {
	Requests    int // of each kind
	Concurrency int
	PromptBytes int
	Tokens      int
	DecodeMS    float64
	Streams     int // open at once, for the memory of one
}

// Path is what was measured on one way to the engine. Times are in
// microseconds.
type Path struct {
	FirstP50    float64 `json:"first_p50_us"`
	FirstP95    float64 `json:"first_p95_us"`
	FirstP99    float64 `json:"first_p99_us"`
	PerToken    float64 `json:"mean_between_tokens_us"`
	CPUPerReq   float64 `json:"cpu_per_request_us"` // of the whole process: caller, engine and daemon
	StreamBytes float64 `json:"memory_per_open_stream_bytes"`
}

// Overhead is the daemon's own cost: the way through it against the direct way.
type Overhead struct {
	Options        OverheadOptions `json:"options"`
	Direct         Path            `json:"direct"`
	Relay          Path            `json:"bare_relay"` // a hop that only copies bytes
	Through        Path            `json:"through"`
	AddedFirstP50  float64         `json:"added_first_p50_us"`
	AddedFirstP99  float64         `json:"added_first_p99_us"`
	TokenRatio     float64         `json:"between_tokens_ratio"`
	AddedCPU       float64         `json:"added_cpu_per_request_us"`
	RequestsPerSec float64         `json:"requests_per_second_and_core"`
	StreamBytes    float64         `json:"added_memory_per_open_stream_bytes"`
}

// way is one way to the engine.
type way struct {
	url, key string
	client   *http.Client
	first    *hdrhistogram.Histogram // ns
	gapNS    int64
	gaps     int64
	cpu      time.Duration
}

const maxNS = int64(time.Minute)

func newWay(url, key string) *way {
	dialer := &net.Dialer{}
	return &way{url: url, key: key, first: hdrhistogram.New(1, maxNS, 3),
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4096}}}
}

// MeasureOverhead sends the same requests directly to an engine and through a
// daemon, in turn, and compares.
func MeasureOverhead(ctx context.Context, o OverheadOptions) (*Overhead, error) {
	f, err := fleet.Start(ctx, fleet.Options{Instances: 1, Engines: 1, Stores: 1, Services: 1,
		Engine: engine.Options{DecodeMS: o.DecodeMS, Slots: 1 << 20, CachePieces: 1 << 16, TimeScale: 1, EventLagMS: 50, LagMS: 50}})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	hop := httptest.NewServer(relay("http://" + f.EngineAddrs[0]))
	defer hop.Close()
	direct, bare, through := newWay("http://"+f.EngineAddrs[0], ""), newWay(hop.URL, ""), newWay(f.URL(0), f.Keys[0])
	const rounds = 10
	for round := range rounds + 1 {
		if round == 1 { // the first round warms up
			direct.reset()
			bare.reset()
			through.reset()
		}
		for _, w := range [...]*way{direct, bare, through} {
			if err := w.load(ctx, o, o.Requests/rounds); err != nil {
				return nil, err
			}
		}
	}
	out := &Overhead{Options: o, Direct: direct.path(o), Relay: bare.path(o), Through: through.path(o)}
	if out.Direct.StreamBytes, err = direct.openStreams(ctx, o); err != nil {
		return nil, err
	}
	if out.Relay.StreamBytes, err = bare.openStreams(ctx, o); err != nil {
		return nil, err
	}
	if out.Through.StreamBytes, err = through.openStreams(ctx, o); err != nil {
		return nil, err
	}
	out.AddedFirstP50 = out.Through.FirstP50 - out.Direct.FirstP50
	out.AddedFirstP99 = out.Through.FirstP99 - out.Direct.FirstP99
	out.TokenRatio = out.Through.PerToken / out.Direct.PerToken
	out.AddedCPU = out.Through.CPUPerReq - out.Direct.CPUPerReq
	out.RequestsPerSec = 1e6 / out.AddedCPU
	out.StreamBytes = out.Through.StreamBytes - out.Direct.StreamBytes
	return out, nil
}

// relay is the least that any hop does: copy the request, copy the answer as
// it comes. What the daemon adds beyond it is the daemon's own.
func relay(to string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, to+r.URL.Path, r.Body)
		if err != nil {
			return
		}
		req.ContentLength, req.Header = r.ContentLength, r.Header.Clone()
		resp, err := client.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		flush, buf := http.NewResponseController(w), make([]byte, 4096)
		for {
			n, err := resp.Body.Read(buf)
			_, _ = w.Write(buf[:n])
			_ = flush.Flush()
			if err != nil {
				return
			}
		}
	})
}

func (w *way) reset() {
	w.first.Reset()
	w.gapNS, w.gaps, w.cpu = 0, 0, 0
}

func (w *way) path(o OverheadOptions) Path {
	us := func(q float64) float64 { return float64(w.first.ValueAtQuantile(q)) / 1000 }
	return Path{FirstP50: us(50), FirstP95: us(95), FirstP99: us(99), PerToken: float64(w.gapNS) / float64(max(w.gaps, 1)) / 1000,
		CPUPerReq: float64(w.cpu.Microseconds()) / float64(w.first.TotalCount())}
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// load sends n requests, some at once, and takes their times.
func (w *way) load(ctx context.Context, o OverheadOptions, n int) error {
	start := cpuTime()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	work := make(chan int)
	for range o.Concurrency {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range work {
				first, gaps, err := w.one(ctx, o, i)
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					_ = w.first.RecordValue(int64(first))
					w.gapNS += int64(gaps)
					w.gaps += int64(o.Tokens - 1)
				}
				mu.Unlock()
			}
		}()
	}
	for i := range n {
		work <- i
	}
	close(work)
	wg.Wait()
	w.cpu += cpuTime() - start
	return failed
}

func (w *way) request(ctx context.Context, o OverheadOptions, i, tokens int) (*http.Request, error) {
	prompt := fleet.Rulebook(fmt.Sprintf("topic %d", i%8), o.PromptBytes)
	body, err := json.Marshal(map[string]any{"model": fleet.Model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", fmt.Sprintf("measure-%d", i))
	if w.key != "" {
		req.Header.Set("Authorization", "Bearer "+w.key)
	}
	return req, nil
}

// one sends a request and returns the time to its first token and the time
// from there to its last.
func (w *way) one(ctx context.Context, o OverheadOptions, i int) (first, rest time.Duration, err error) {
	req, err := w.request(ctx, o, i, o.Tokens)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	var firstAt, lastAt time.Time
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if !strings.Contains(sc.Text(), `"text":`) {
			continue
		}
		lastAt = time.Now()
		if firstAt.IsZero() {
			firstAt = lastAt
		}
	}
	if firstAt.IsZero() {
		return 0, 0, &fleet.AnswerError{Status: resp.StatusCode, Body: "no token came"}
	}
	return firstAt.Sub(start), lastAt.Sub(firstAt), sc.Err()
}

// openStreams opens many streams at once and returns the memory of one.
func (w *way) openStreams(ctx context.Context, o OverheadOptions) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := memory()
	for i := range o.Streams {
		req, err := w.request(ctx, o, i, 1<<20)
		if err != nil {
			return 0, err
		}
		resp, err := w.client.Do(req)
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		if _, err := io.ReadFull(resp.Body, make([]byte, 16)); err != nil {
			return 0, err
		}
	}
	return float64(memory()-before) / float64(o.Streams), nil
}

// memory is the live heap and the stacks, in bytes.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
