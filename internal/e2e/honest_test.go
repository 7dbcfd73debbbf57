package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/standin/service"
)

const tokens = 12

// home sends a request without faults and returns the engine that served it:
// its return will go there.
func (a ask) home(t *testing.T, f *fleet.Fleet) *engine.Server {
	t.Helper()
	for _, e := range f.Engines {
		e.SetFaults(engine.Faults{})
	}
	got := a.send(t, f.URL(0), f.Keys[0])
	last := f.Daemons[0].Explain(got.header.Get("X-Request-Id")).LastTarget()
	for i, e := range f.Engines {
		if last == fmt.Sprintf("engine-%d", i+1) {
			return e
		}
	}
	t.Fatalf("no engine %q", last)
	return nil
}

// TestTargetDies: whichever way a target dies, the caller's answer is whole:
// no token lost, none doubled.
func TestTargetDies(t *testing.T) {
	f := start(t, fleet.Options{Instances: 1, Engines: 3})
	deaths := map[string]engine.Faults{
		"half":       {Die: "half", DieCount: 1},
		"headers":    {Die: "headers", DieCount: 1},
		"mid":        {Die: "mid", DieCount: 1, DieAfter: 5},
		"terminator": {Die: "terminator", DieCount: 1},
		"refused":    {Refuse: 1},
		"crossed":    {Crossed: 1},
	}
	for name, fault := range deaths {
		for _, a := range []ask{{}, {stream: true}, {chat: true}, {chat: true, stream: true}} {
			a.tokens, a.prompt = tokens, strings.Repeat(name+" ", 2000)
			t.Run(fmt.Sprintf("%s chat=%v stream=%v", name, a.chat, a.stream), func(t *testing.T) {
				is := is.New(t)
				a.home(t, f).SetFaults(fault)
				// A lagging load report may send the return elsewhere: ask
				// until the fault is met.
				eventually(t, "the fault is met", func() bool {
					got := a.send(t, f.URL(0), f.Keys[0])
					is.Equal(got.status, http.StatusOK)
					is.True(got.done)
					is.Equal(got.text, a.want(fleet.Version))
					return len(f.Daemons[0].Explain(got.header.Get("X-Request-Id")).Attempts) == 2
				})
			})
		}
	}
}

// TestTargetDiesBeforeRequest: a target that closes each connection unread
// gets the request's bytes nowhere; the request goes elsewhere.
func TestTargetDiesBeforeRequest(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 2})
	f.Engines[0].SetFaults(engine.Faults{Reset: true})
	for i := range 8 {
		a := ask{prompt: strings.Repeat(fmt.Sprint(i), 5000), tokens: tokens}
		got := a.send(t, f.URL(0), f.Keys[0])
		is.Equal(got.text, a.want(fleet.Version))
	}
}

// TestAllTargetsDie: what can't be completed ends in a visible failure, never
// in a clean-looking end, and says truly what may have run.
func TestAllTargetsDie(t *testing.T) {
	f := start(t, fleet.Options{Instances: 1, Engines: 2, Policy: config.Policy{MaxAttempts: 3, RetryShare: 1}})
	cases := []struct {
		name  string
		fault engine.Faults
		want  problem.Execution
	}{
		{"refused", engine.Faults{Refuse: 99}, problem.NotRun},
		{"half", engine.Faults{Die: "half", DieCount: 99}, problem.MayHaveRun},
		{"headers", engine.Faults{Die: "headers", DieCount: 99}, problem.Ran},
		{"mid", engine.Faults{Die: "mid", DieCount: 99, DieAfter: 1}, problem.Ran},
		{"crossed", engine.Faults{Crossed: 99}, problem.MayHaveRun},
	}
	for _, c := range cases {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stream=%v", c.name, stream), func(t *testing.T) {
				is := is.New(t)
				for _, e := range f.Engines {
					e.SetFaults(c.fault)
				}
				a := ask{prompt: strings.Repeat(c.name+" ", 2000), tokens: tokens, stream: stream}
				got := a.send(t, f.URL(0), f.Keys[0])
				is.True(!got.done)
				is.True(got.problem != nil)
				is.Equal(got.problem.Execution, c.want)
				if got.streamErr { // what was shown before the failure is a true beginning
					is.True(strings.HasPrefix(a.want(fleet.Version), got.text))
				}
			})
		}
	}
}

// TestCallerGone: a caller that leaves has its run cancelled at the engine.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Engine: engine.Options{DecodeMS: 1000, TimeScale: 0.01}})
	ctx, cancel := context.WithCancel(t.Context())
	a := ask{prompt: "a long wait", tokens: 100_000, stream: true}
	resp, err := http.DefaultClient.Do(a.request(t, ctx, f.URL(0), f.Keys[0]))
	is.NoErr(err)
	_, err = resp.Body.Read(make([]byte, 16)) // the run is under way
	is.NoErr(err)
	cancel()
	resp.Body.Close()
	eventually(t, "the engine cancels the run", func() bool { return f.Engines[0].Counters().Cancelled == 1 })
	eventually(t, "the instance lets go", func() bool { return f.Daemons[0].Status().InFlight == 0 })
	is.Equal(f.Daemons[0].Explain(resp.Header.Get("X-Request-Id")).Outcome, string(problem.CallerGone))
}

// call is a caller's request to the plain service.
type call struct {
	method, path, key, body, op string
}

func (c call) send(t *testing.T, base, bearer string) reply {
	t.Helper()
	var body io.Reader
	if c.body != "" {
		body = bytes.NewReader([]byte(c.body))
	}
	req, err := http.NewRequestWithContext(t.Context(), c.method, base+"/services/"+fleet.Service+c.path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set(service.HeaderOperation, c.op)
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	out := reply{status: resp.StatusCode, header: resp.Header, raw: string(data)}
	if resp.Header.Get("Content-Type") == problem.ContentType {
		out.problem = decodeProblem(t, resp.Header, data)
	}
	return out
}

// calls are all shapes of a request that net/http may replay by itself.
func calls() []call {
	var out []call
	for _, method := range []string{"GET", "POST"} {
		for _, key := range []string{"", "k"} {
			for _, body := range []string{"", `{"swap":1}`} {
				c := call{method: method, path: "/swaps", body: body, op: method + key + body}
				if key != "" {
					c.key = "key-" + method + body
				}
				out = append(out, c)
			}
		}
	}
	return out
}

// TestRunsOnce: the service closes a kept connection after it has read a
// request that is not idempotent. It ran once, and the caller is told that it
// may have run.
func TestRunsOnce(t *testing.T) {
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Services: 1})
	for _, c := range calls() {
		t.Run(c.op, func(t *testing.T) {
			is := is.New(t)
			warm := c
			warm.op, warm.key = "warm", ""
			is.Equal(warm.send(t, f.URL(0), f.Keys[0]).status, http.StatusOK)
			f.Services[0].SetFaults(service.Faults{CloseAfterRead: 1})
			got := c.send(t, f.URL(0), f.Keys[0])
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.problem.Execution, problem.MayHaveRun)
			is.Equal(f.Services[0].Counts().Operations[c.op], 1)
		})
	}
}

// TestBareTransportReplays shows that TestRunsOnce can fail: a plain client
// runs some of the same requests twice.
func TestBareTransportReplays(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Services: 1})
	twice := 0
	for _, c := range calls() {
		client := &http.Client{Transport: &http.Transport{}}
		do := func() {
			req, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+f.ServiceAddrs[0]+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			req.Header.Set(service.HeaderOperation, "bare "+c.op)
			if c.key != "" {
				req.Header.Set("Idempotency-Key", c.key)
			}
			resp, err := client.Do(req)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}
		do() // opens the connection that is kept
		f.Services[0].SetFaults(service.Faults{CloseAfterRead: 1})
		do()
		if f.Services[0].Counts().Operations["bare "+c.op] == 3 {
			twice++
		}
		client.CloseIdleConnections()
	}
	is.Equal(twice, 6) // all but the POSTs without a key
}

// TestServiceAnswers: an answer that is not whole, or not the request's own,
// is never shown; an idempotent request is sent again.
func TestServiceAnswers(t *testing.T) {
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Services: 2})
	faults := []struct {
		name  string
		fault service.Faults
		once  problem.Execution // of a request that is not idempotent; "" is a whole answer
	}{
		{"truncated", service.Faults{CloseHalfway: 1}, problem.Ran},
		{"no length", service.Faults{Unsized: 1}, problem.Ran},
		{"crossed", service.Faults{Crossed: 1}, problem.MayHaveRun},
		{"refused", service.Faults{Refuse: 1}, ""},
		{"longer", service.Faults{Longer: 1}, ""},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			arm := func() {
				for _, s := range f.Services {
					s.SetFaults(c.fault)
				}
			}
			disarm := func() {
				for _, s := range f.Services {
					s.SetFaults(service.Faults{})
				}
			}
			for _, s := range f.Services {
				s.SetFaults(service.Faults{})
			}
			arm()
			f.Services[1].SetFaults(service.Faults{}) // one good instance
			got := call{method: "GET", path: "/shifts/7", op: "get " + c.name}.send(t, f.URL(0), f.Keys[0])
			is.Equal(got.status, http.StatusOK)
			checkAnswer(t, got, "/shifts/7")
			arm()
			got = call{method: "POST", path: "/swaps", op: "post " + c.name}.send(t, f.URL(0), f.Keys[0])
			runs := 0
			for _, s := range f.Services {
				runs += s.Counts().Operations["post "+c.name]
			}
			if c.once == "" && c.name != "refused" {
				checkAnswer(t, got, "/swaps")
				is.Equal(runs, 1)
			}
			if c.once != "" {
				is.Equal(got.problem.Execution, c.once)
				is.Equal(runs, 1)
			}
			if c.name == "refused" { // both refused: true to say that it did not run
				is.Equal(got.problem.Execution, problem.NotRun)
				is.Equal(runs, 0)
			}
			disarm()
			for range 4 { // nothing of a bad answer is left on any connection
				checkAnswer(t, call{method: "GET", path: "/shifts/8"}.send(t, f.URL(0), f.Keys[0]), "/shifts/8")
			}
		})
	}
}

func checkAnswer(t *testing.T, r reply, path string) {
	t.Helper()
	var doc struct{ Path string }
	if err := json.Unmarshal([]byte(r.raw), &doc); err != nil || doc.Path != path {
		t.Fatalf("answer %q (status %d) is not the one to %s", r.raw, r.status, path)
	}
}

// TestLateAnswer: an answer that comes after the timeout reaches nobody.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Services: 1, Edit: func(b *config.Bundle) { b.Services[0].TimeoutMS = 50 }})
	f.Services[0].SetFaults(service.Faults{SlowMS: 300})
	got := call{method: "POST", path: "/swaps", op: "late"}.send(t, f.URL(0), f.Keys[0])
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.Equal(got.problem.Execution, problem.MayHaveRun)
	f.Services[0].SetFaults(service.Faults{})
	for i := range 4 {
		path := fmt.Sprintf("/shifts/%d", i)
		checkAnswer(t, call{method: "GET", path: path}.send(t, f.URL(0), f.Keys[0]), path)
	}
	is.Equal(f.Services[0].Counts().Operations["late"], 1)
}
