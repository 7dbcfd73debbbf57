package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Answer is a whole completion as a caller reads it.
type Answer struct {
	ID     string
	Text   string
	Usage  target.Usage
	Status int
	Body   string
}

// AnswerError says that a caller did not get a whole answer.
type AnswerError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *AnswerError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Complete asks for a whole completion of a prompt at one instance.
func Complete(ctx context.Context, base, key, prompt string, maxTokens int) (*Answer, error) {
	body, err := json.Marshal(map[string]any{"model": Model, "prompt": prompt, "max_tokens": maxTokens})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &AnswerError{Status: resp.StatusCode, Body: string(data)}
	}
	var doc struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Usage target.Usage `json:"usage"`
	}
	if err := json.Unmarshal(data, &doc); err != nil || len(doc.Choices) != 1 {
		return nil, &AnswerError{Status: resp.StatusCode, Body: string(data)}
	}
	return &Answer{ID: resp.Header.Get(target.HeaderRequestID), Text: doc.Choices[0].Text, Usage: doc.Usage, Status: resp.StatusCode}, nil
}

// Rulebook writes a long text of numbered rules, the same for the same topic.
func Rulebook(topic string, bytes int) string {
	var b strings.Builder
	for n := 1; b.Len() < bytes; n++ {
		fmt.Fprintf(&b, "Rule %d of %s: a crew of %d rests %d hours before a shift of %d hours; exceptions need approval by supervisor %d.\n",
			n, topic, 2+n%9, 8+n%5, 6+n%6, n*7919%997)
	}
	return b.String()[:bytes]
}

// DemoError says which step of the demonstration failed.
type DemoError struct {
	Step  string
	Cause error
}

// Error implements error.
func (e *DemoError) Error() string { return "demo: " + e.Step + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DemoError) Unwrap() error { return e.Cause }

// CheckError says that a result is not what it must be.
type CheckError struct{ Got, Want string }

// Error implements error.
func (e *CheckError) Error() string { return "got " + e.Got + ", want " + e.Want }

// Sizes of the demonstration.
const (
	demoPromptBytes = 64 << 10
	demoTokens      = 24
	demoFiller      = 40 // prompts that push the first one out of every engine
	demoTimeout     = time.Minute
)

// Demo does the main job on a running fleet: a long prompt is answered, its
// cache leaves accelerator memory, the prompt returns through another instance
// and is answered from kept cache.
func (f *Fleet) Demo(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	prompt := Rulebook("the port's labour code", demoPromptBytes) + "\nMay Asha swap her Tuesday shift with Juma?"
	first, err := Complete(ctx, f.URL(0), f.Keys[0], prompt, demoTokens)
	if err != nil {
		return &DemoError{Step: "first answer", Cause: err}
	}
	fmt.Fprintf(w, "first answer: %d prompt tokens, %d from cache, %d tokens generated\n", first.Usage.PromptTokens, first.Usage.PromptDetails.CachedTokens, first.Usage.CompletionTokens)
	if err := f.waitKept(ctx); err != nil {
		return &DemoError{Step: "keeping the cache", Cause: err}
	}
	for i := range demoFiller {
		other := Rulebook(fmt.Sprintf("harbour %d", i), demoPromptBytes)
		if _, err := Complete(ctx, f.URL(i), f.Keys[1], other, 1); err != nil {
			return &DemoError{Step: "other customers' prompts", Cause: err}
		}
	}
	before := f.computed()
	again, err := Complete(ctx, f.URL(1), f.Keys[0], prompt, demoTokens)
	if err != nil {
		return &DemoError{Step: "the return", Cause: err}
	}
	computed := f.computed() - before
	u := again.Usage
	fmt.Fprintf(w, "return:       %d prompt tokens, %d from cache (%d restored from a store), %d computed again\n", u.PromptTokens, u.PromptDetails.CachedTokens, u.PromptDetails.RestoredTokens, computed)
	saved := 100 * float64(u.PromptDetails.CachedTokens) / float64(max(u.PromptTokens, 1))
	fmt.Fprintf(w, "prompt work saved on the return: %.1f%%\n", saved)
	fmt.Fprintf(w, "why: shedhoist explain %s\n", again.ID)
	switch {
	case again.Text != first.Text:
		return &DemoError{Step: "compare answers", Cause: &CheckError{Got: again.Text, Want: first.Text}}
	case u.PromptDetails.RestoredTokens == 0:
		return &DemoError{Step: "restore", Cause: &CheckError{Got: "nothing restored", Want: "cache restored from a store"}}
	case computed+int64(u.PromptDetails.CachedTokens) != int64(u.PromptTokens):
		return &DemoError{Step: "account", Cause: &CheckError{Got: fmt.Sprint(computed), Want: fmt.Sprint(u.PromptTokens - u.PromptDetails.CachedTokens)}}
	}
	return nil
}

// computed is the prompt tokens that all engines computed so far.
func (f *Fleet) computed() int64 {
	var n int64
	for _, e := range f.Engines {
		n += e.Counters().ComputedTokens
	}
	return n
}

// waitKept waits until some engine has exported.
func (f *Fleet) waitKept(ctx context.Context) error {
	for {
		for _, e := range f.Engines {
			if e.Counters().ExportedBytes > 0 {
				return nil
			}
		}
		if !wait.For(ctx, 5*time.Millisecond) {
			return ctx.Err()
		}
	}
}
