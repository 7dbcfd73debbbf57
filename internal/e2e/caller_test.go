package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// TestOpenAIClient: a standard client library works unchanged.
func TestOpenAIClient(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 2})
	client := openai.NewClient(option.WithBaseURL(f.URL(0)+"/v1"), option.WithAPIKey(f.Keys[0]))
	question := "May Asha swap her Tuesday shift?"
	a := ask{chat: true, prompt: question, tokens: tokens}

	params := openai.ChatCompletionNewParams{Model: fleet.Model, MaxCompletionTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)}}
	whole, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, a.want(fleet.Version))
	is.Equal(whole.Usage.CompletionTokens, int64(tokens))

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		is.True(acc.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(acc.Choices[0].Message.Content, a.want(fleet.Version))
	is.Equal(acc.Usage.CompletionTokens, int64(tokens))

	text, err := client.Completions.New(t.Context(), openai.CompletionNewParams{Model: fleet.Model, MaxTokens: openai.Int(tokens),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(question)}})
	is.NoErr(err)
	is.Equal(text.Choices[0].Text, ask{prompt: question, tokens: tokens}.want(fleet.Version))

	models, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(len(models.Data), 2) // the model and its adapter

	bad := openai.NewClient(option.WithBaseURL(f.URL(0)+"/v1"), option.WithAPIKey("sk-wrong"), option.WithMaxRetries(0))
	_, err = bad.Chat.Completions.New(t.Context(), params)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "401"))
}

// TestModelsAreOwn: a customer sees and reaches only its own models and services.
func TestModelsAreOwn(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Edit: func(b *config.Bundle) {
		b.Customers[1].Models, b.Customers[1].Services = nil, nil
	}})
	get := func(key string) string {
		return call{method: "GET", path: "/../../v1/models"}.send(t, f.URL(0), key).raw
	}
	is.True(strings.Contains(get(f.Keys[0]), fleet.Model))
	is.Equal(get(f.Keys[1]), `{"object":"list","data":[]}`)
	got := ask{prompt: "x", tokens: 1}.send(t, f.URL(0), f.Keys[1])
	is.Equal(got.status, http.StatusNotFound)
	is.Equal(got.problem.Execution, problem.NotRun)
	is.Equal(call{method: "GET", path: "/shifts"}.send(t, f.URL(0), f.Keys[1]).status, http.StatusNotFound)
}

// TestBadRequests: every bad request gets a typed problem, true about its execution.
func TestBadRequests(t *testing.T) {
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Settings: func(s *settings.Settings) {
		s.Limits.BodyBytes, s.Limits.HeaderBytes = 4096, 2048
	}, Edit: func(b *config.Bundle) { b.Models[0].MaxPromptTokens = 512 }})
	good := `{"model":"rota-lm","prompt":"x","max_tokens":1}`
	cases := []struct {
		name, method, path, key, body string
		status                        int
		kind                          problem.Kind
	}{
		{"no key", "POST", "/v1/completions", "", good, 401, problem.Unauthorized},
		{"wrong key", "POST", "/v1/completions", "sk-x", good, 401, problem.Unauthorized},
		{"not JSON", "POST", "/v1/completions", f.Keys[0], `{"model":`, 400, problem.BadRequest},
		{"not an object", "POST", "/v1/completions", f.Keys[0], `[1]`, 400, problem.BadRequest},
		{"empty", "POST", "/v1/completions", f.Keys[0], ``, 400, problem.BadRequest},
		{"no model", "POST", "/v1/completions", f.Keys[0], `{"prompt":"x"}`, 400, problem.BadRequest},
		{"model of another type", "POST", "/v1/completions", f.Keys[0], `{"model":7,"prompt":"x"}`, 400, problem.BadRequest},
		{"no prompt", "POST", "/v1/completions", f.Keys[0], `{"model":"rota-lm"}`, 400, problem.BadRequest},
		{"many prompts", "POST", "/v1/completions", f.Keys[0], `{"model":"rota-lm","prompt":["a","b"]}`, 400, problem.BadRequest},
		{"other spelling", "POST", "/v1/completions", f.Keys[0], `{"model":"rota-lm","prompt":"x","Prompt":"y"}`, 400, problem.BadRequest},
		{"no messages", "POST", "/v1/chat/completions", f.Keys[0], `{"model":"rota-lm","messages":[]}`, 400, problem.BadRequest},
		{"a picture", "POST", "/v1/chat/completions", f.Keys[0], `{"model":"rota-lm","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, 400, problem.BadRequest},
		{"unknown model", "POST", "/v1/completions", f.Keys[0], `{"model":"other","prompt":"x"}`, 404, problem.UnknownModel},
		{"unknown adapter", "POST", "/v1/completions", f.Keys[0], `{"model":"rota-lm:none","prompt":"x"}`, 404, problem.UnknownModel},
		{"unknown service", "GET", "/services/other/x", f.Keys[0], ``, 404, problem.UnknownService},
		{"unknown path", "GET", "/v2/x", f.Keys[0], ``, 404, problem.NotFound},
		{"wrong method", "DELETE", "/v1/completions", f.Keys[0], ``, 404, problem.NotFound},
		{"oversize body", "POST", "/v1/completions", f.Keys[0], `{"model":"rota-lm","prompt":"` + strings.Repeat("x", 5000) + `"}`, 413, problem.TooLarge},
		{"long prompt", "POST", "/v1/completions", f.Keys[0], `{"model":"rota-lm","prompt":"` + strings.Repeat("x", 3000) + `"}`, 413, problem.TooLarge},
		{"good", "POST", "/v1/completions", f.Keys[0], good, 200, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequestWithContext(t.Context(), c.method, f.URL(0)+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			if c.key != "" {
				req.Header.Set("Authorization", "Bearer "+c.key)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.True(resp.Header.Get("X-Request-Id") != "")
			if c.kind != "" {
				p := decodeProblem(t, resp.Header, data)
				is.Equal(p.Type, "urn:shedhoist:problem:"+string(c.kind))
				is.Equal(p.Execution, problem.NotRun)
			}
		})
	}
	t.Run("big header", func(t *testing.T) {
		is := is.New(t)
		req, err := http.NewRequestWithContext(t.Context(), "GET", f.URL(0)+"/v1/models", nil)
		is.NoErr(err)
		req.Header.Set("X-Big", strings.Repeat("x", 16<<10))
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	})
}

// TestSlowSenders: a caller that stops in its header or body is let go, and
// told so where HTTP allows.
func TestSlowSenders(t *testing.T) {
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Settings: func(s *settings.Settings) {
		s.Limits.HeaderSeconds, s.Limits.BodySeconds = 1, 1
	}})
	send := func(t *testing.T, text string) (*bufio.Reader, net.Conn) {
		is := is.New(t)
		conn, err := net.Dial("tcp", f.Daemons[0].CallerAddr())
		is.NoErr(err)
		_, err = io.WriteString(conn, text)
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Minute)))
		return bufio.NewReader(conn), conn
	}
	t.Run("header", func(t *testing.T) {
		is := is.New(t)
		r, conn := send(t, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n")
		defer conn.Close()
		_, err := io.ReadAll(r)
		is.NoErr(err) // the connection ends, with or without a 408
	})
	t.Run("body", func(t *testing.T) {
		is := is.New(t)
		r, conn := send(t, fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", f.Keys[0]))
		defer conn.Close()
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestTimeout)
		is.Equal(decodeProblem(t, resp.Header, data).Execution, problem.NotRun)
	})
	t.Run("body of a stranger", func(t *testing.T) {
		is := is.New(t)
		r, conn := send(t, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
		defer conn.Close()
		resp, err := http.ReadResponse(r, nil) // at once: the body is not waited for
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusUnauthorized)
	})
}

// TestLimits: a customer over its limit is refused at once, told when to come
// back, and another customer is not held up.
func TestLimits(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Options{Instances: 1, Engines: 1, Edit: func(b *config.Bundle) { b.Customers[0].Limits.Requests = 0.001 }})
	a := ask{prompt: "x", tokens: 1}
	is.Equal(a.send(t, f.URL(0), f.Keys[0]).status, http.StatusOK)
	got := a.send(t, f.URL(0), f.Keys[0])
	is.Equal(got.status, http.StatusTooManyRequests)
	is.Equal(got.problem.Execution, problem.NotRun)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(a.send(t, f.URL(0), f.Keys[1]).status, http.StatusOK)
}
