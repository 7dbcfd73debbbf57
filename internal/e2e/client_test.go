package e2e_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/target"
)

// start runs a fleet whose engines take almost no time.
func start(t *testing.T, o fleet.Options) *fleet.Fleet {
	t.Helper()
	if o.Engine.TimeScale == 0 {
		o.Engine.TimeScale = 0.001
	}
	if o.Policy == (config.Policy{}) {
		o.Policy = config.Policy{MaxAttempts: 10, RetryShare: 1}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f, err := fleet.Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// ask is one request of a caller.
type ask struct {
	chat, stream bool
	prompt       string
	tokens       int
	model        string
	usage        bool
}

// reply is what the caller got.
type reply struct {
	status    int
	header    http.Header
	raw       string
	text      string
	done      bool // the stream's terminator came
	usage     *target.Usage
	problem   *problemDoc
	streamErr bool // an error event came within the stream
}

type problemDoc struct {
	Type      string            `json:"type"`
	Status    int               `json:"status"`
	Detail    string            `json:"detail"`
	Execution problem.Execution `json:"execution"`
}

func (a ask) request(t *testing.T, ctx context.Context, base, key string) *http.Request {
	t.Helper()
	model := a.model
	if model == "" {
		model = fleet.Model
	}
	doc := map[string]any{"model": model, "max_tokens": a.tokens, "stream": a.stream}
	path := "/v1/completions"
	if a.chat {
		path = "/v1/chat/completions"
		doc["messages"] = []map[string]string{{"role": "user", "content": a.prompt}}
	} else {
		doc["prompt"] = a.prompt
	}
	if a.usage {
		doc["stream_options"] = map[string]bool{"include_usage": true}
	}
	body, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return req
}

// want is the whole text that the engines generate for the request.
func (a ask) want(version string) string {
	canonical := a.prompt
	if a.chat {
		canonical = prefix.Canonical([]prefix.Message{{Role: "user", Content: a.prompt}})
	}
	var b strings.Builder
	for n := range a.tokens {
		b.WriteString(engine.Token(canonical, version, "", n))
	}
	return b.String()
}

// send carries out the request and reads the answer to its end.
func (a ask) send(t *testing.T, base, key string) reply {
	t.Helper()
	out, err := a.try(t, base, key)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// try is send for a test in which the connection may break.
func (a ask) try(t *testing.T, base, key string) (reply, error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(a.request(t, t.Context(), base, key))
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	out := reply{status: resp.StatusCode, header: resp.Header}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		out.readStream(t, resp.Body)
		return out, nil
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, err
	}
	out.raw = string(data)
	if resp.StatusCode != http.StatusOK {
		out.problem = decodeProblem(t, resp.Header, data)
		return out, nil
	}
	var doc struct {
		Choices []struct {
			Text    string
			Message struct{ Content string }
		}
		Usage *target.Usage
	}
	if err := json.Unmarshal(data, &doc); err != nil || len(doc.Choices) != 1 {
		t.Fatalf("answer %s: %v", data, err)
	}
	out.text = doc.Choices[0].Text + doc.Choices[0].Message.Content
	out.done, out.usage = true, doc.Usage
	return out, nil
}

func decodeProblem(t *testing.T, h http.Header, data []byte) *problemDoc {
	t.Helper()
	is := is.New(t)
	is.Equal(h.Get("Content-Type"), problem.ContentType)
	var p problemDoc
	is.NoErr(json.Unmarshal(data, &p))
	is.True(p.Execution == problem.NotRun || p.Execution == problem.MayHaveRun || p.Execution == problem.Ran)
	return &p
}

func (r *reply) readStream(t *testing.T, body io.Reader) {
	t.Helper()
	sc := bufio.NewScanner(body)
	isError := false
	for sc.Scan() {
		line := sc.Text()
		if line == "event: error" {
			isError = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			r.done = true
		case isError:
			r.streamErr = true
			r.problem = &problemDoc{}
			if err := json.Unmarshal([]byte(data), r.problem); err != nil {
				t.Fatal(err)
			}
		default:
			r.chunk(t, data)
		}
	}
}

func (r *reply) chunk(t *testing.T, data string) {
	t.Helper()
	var c struct {
		Choices []struct {
			Text  string
			Delta struct{ Content string }
		}
		Usage *target.Usage
	}
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		t.Fatalf("chunk %q: %v", data, err)
	}
	for _, ch := range c.Choices {
		r.text += ch.Text + ch.Delta.Content
	}
	if c.Usage != nil {
		r.usage = c.Usage
	}
}

// eventually polls a condition that other goroutines bring about; it fails the
// test only when the test's own deadline is near, so its verdict does not
// depend on the machine's speed.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			t.Fatalf("never happened: %s", what)
		}
	}
}
