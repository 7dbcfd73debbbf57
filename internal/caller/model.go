package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"github.com/shedhoist/shedhoist/internal/body"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
)

// modelRequest is a decoded model request.
type modelRequest struct {
	chat         bool
	path         string
	model        string // base model
	adapter      string
	stream       bool
	includeUsage bool
	canonical    string
	fields       []field // the caller's other members, in order, one each
}

// field is one top-level member of the caller's body, raw.
type field struct{ name, raw string }

// ours are the members that the engine's request gets from us, never from the caller.
var ours = map[string]bool{"stream": true, "stream_options": true, "shedhoist": true, "model": true}

// prompts are the members that cache keys are made from.
var prompts = map[string]bool{"prompt": true, "messages": true}

// readBody reads the whole body within its bounds of size and time.
func (e *Edge) readBody(ctx context.Context, r *http.Request) ([]byte, error) {
	w, _ := ctx.Value(writerKey{}).(http.ResponseWriter)
	limit := int64(e.Limits.BodyBytes)
	if r.ContentLength > limit {
		return nil, problem.New(problem.TooLarge, "the body is larger than this instance takes")
	}
	if w != nil {
		_ = http.NewResponseController(w).SetReadDeadline(e.Now().Add(time.Duration(e.Limits.BodySeconds) * time.Second))
	}
	data, err := body.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, body.Problem(err)
	}
	callOf(ctx).bodyRead = true
	if w != nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return data, nil
}

type writerKey struct{}

// decodeModel authenticates before it reads: a stranger's body is not read.
func (e *Edge) decodeModel(chat bool) func(context.Context, *http.Request) (any, error) {
	return func(ctx context.Context, r *http.Request) (any, error) {
		if err := callOf(ctx).authenticate(); err != nil {
			return nil, err
		}
		data, err := e.readBody(ctx, r)
		if err != nil {
			return nil, err
		}
		return parseModel(data, chat)
	}
}

func bad(detail string) error { return problem.New(problem.BadRequest, detail) }

// parseModel decodes a completion or chat request. Members that it does not
// know go to the engine as they are; of a repeated member the last one counts.
func parseModel(data []byte, chat bool) (*modelRequest, error) {
	if !gjson.ValidBytes(data) {
		return nil, bad("the body is not JSON")
	}
	root := gjson.ParseBytes(data) // the one copy: all members below are parts of it
	if !root.IsObject() {
		return nil, bad("the body is not a JSON object")
	}
	out := &modelRequest{chat: chat, path: "/v1/completions"}
	if chat {
		out.path = "/v1/chat/completions"
	}
	known := map[string]gjson.Result{}
	var err error
	root.ForEach(func(k, v gjson.Result) bool {
		if lower := strings.ToLower(k.Str); lower != k.Str && (ours[lower] || prompts[lower]) {
			// Some JSON decoders take "Prompt" for "prompt": the engine could
			// then run another prompt than the one whose cache keys it gets.
			err = bad(k.Str + ": is spelled " + lower)
			return false
		}
		if _, again := known[k.Str]; !again && !ours[k.Str] {
			out.fields = append(out.fields, field{name: k.Str})
		}
		known[k.Str] = v
		return true
	})
	if err != nil {
		return nil, err
	}
	for i := range out.fields {
		out.fields[i].raw = known[out.fields[i].name].Raw
	}
	return out, out.read(known)
}

func (m *modelRequest) read(known map[string]gjson.Result) error {
	if known["model"].Type != gjson.String || known["model"].Str == "" {
		return bad("model: a string is needed")
	}
	m.model, m.adapter, _ = strings.Cut(known["model"].Str, ":")
	if s := known["stream"]; s.Exists() && !s.IsBool() {
		return bad("stream: a boolean is needed")
	}
	m.stream = known["stream"].Bool()
	m.includeUsage = known["stream_options"].Get("include_usage").Bool()
	if n := known["n"]; n.Exists() && n.Int() != 1 {
		return bad("n: only 1 is served")
	}
	if m.chat {
		return m.readMessages(known["messages"])
	}
	if known["prompt"].Type != gjson.String {
		return bad("prompt: one string is needed")
	}
	m.canonical = known["prompt"].Str
	return nil
}

func (m *modelRequest) readMessages(list gjson.Result) error {
	if !list.IsArray() {
		return bad("messages: an array is needed")
	}
	var msgs []prefix.Message
	for _, v := range list.Array() {
		content, ok := contentOf(v.Get("content"))
		if !ok || v.Get("role").Type != gjson.String {
			return bad("messages: each needs a role and text content")
		}
		msgs = append(msgs, prefix.Message{Role: v.Get("role").Str, Content: content})
	}
	if len(msgs) == 0 {
		return bad("messages: at least one is needed")
	}
	m.canonical = prefix.Canonical(msgs)
	return nil
}

// contentOf takes a string, or an array of text parts as OpenAI clients send.
func contentOf(v gjson.Result) (string, bool) {
	if v.Type == gjson.String {
		return v.Str, true
	}
	if !v.IsArray() {
		return "", false
	}
	var b strings.Builder
	for _, part := range v.Array() {
		if part.Get("type").Str != "text" || part.Get("text").Type != gjson.String {
			return "", false
		}
		b.WriteString(part.Get("text").Str)
	}
	return b.String(), true
}

// body builds the engine's request: the caller's members, then ours. The
// engine always streams, so that a cut answer can go on elsewhere.
func (m *modelRequest) body(ext target.Extension) target.Body {
	extension, err := json.Marshal(ext)
	if err != nil {
		panic(err) // only unsupported types fail, and Extension has none
	}
	out := make(target.Body, 0, 2*len(m.fields)+2)
	out = append(out, `{"model":`+string(quoteJSON(m.model)))
	for _, f := range m.fields {
		out = append(out, ","+string(quoteJSON(f.name))+":", f.raw)
	}
	return append(out, `,"stream":true,"stream_options":{"include_usage":true},"shedhoist":`+string(extension)+"}")
}

func quoteJSON(s string) []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings always marshal
	}
	return data
}

// model is the endpoint of both model paths.
func (e *Edge) model(ctx context.Context, request any) (any, error) {
	req, c := request.(*modelRequest), callOf(ctx)
	if !c.customer.MayUseModel(req.model) {
		return nil, problem.New(problem.UnknownModel, "no model "+strconv.Quote(req.model))
	}
	m := c.view.Models[req.model]
	if req.adapter != "" && !hasAdapter(m.Adapters, req.adapter) {
		return nil, problem.New(problem.UnknownModel, "model "+m.Name+" has no adapter "+strconv.Quote(req.adapter))
	}
	tokens := prefix.EstimateTokens(len(req.canonical))
	if m.MaxPromptTokens > 0 && tokens > m.MaxPromptTokens {
		return nil, problem.New(problem.TooLarge, "the prompt is longer than the model takes")
	}
	if err := e.stopsFirst(ctx, "model", dispatch.Deadline(m, c.arrived)); err != nil {
		return nil, err
	}
	release, err := e.Admit.Admit(c.customer, tokens, c.view.Instances)
	if err != nil {
		return nil, err
	}
	live, err := e.Dispatch.Start(ctx, &dispatch.Request{ID: c.id, Customer: c.customer, View: c.view, Model: m, Adapter: req.adapter,
		Path: req.path, Canonical: req.canonical, Arrived: c.arrived, Body: req.body})
	if err != nil {
		release(0)
		return nil, err
	}
	a := &answer{live: live, req: req, id: c.id, created: c.arrived, release: release}
	if req.stream {
		return (*streamed)(a), nil
	}
	defer a.close()
	return a.whole()
}

// answer is a run on its way to the caller.
type answer struct {
	live    *dispatch.Run
	req     *modelRequest
	id      string
	created time.Time
	release func(int)
}

func (a *answer) close() {
	a.live.Close()
	a.release(a.live.Usage().CompletionTokens)
}

// wholeBody is a completion that is not streamed (OpenAI API reference).
type wholeBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wholeItem  `json:"choices"`
	Usage   target.Usage `json:"usage"`
}

type wholeItem struct {
	Index   int           `json:"index"`
	Text    *string       `json:"text,omitempty"`
	Message *wholeMessage `json:"message,omitempty"`
	Finish  string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// whole gathers the answer; a run that fails on the way gives its problem, and
// not one byte of it reaches the caller.
func (a *answer) whole() (any, error) {
	var text strings.Builder
	finish := ""
	for {
		c, err := a.live.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		text.WriteString(c.Text)
		if c.FinishReason != "" {
			finish = c.FinishReason
		}
	}
	out := &wholeBody{ID: a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.req.model, Usage: a.live.Usage()}
	item, s := wholeItem{Finish: finish}, text.String()
	if a.req.chat {
		out.Object = "chat.completion"
		item.Message = &wholeMessage{Role: "assistant", Content: s}
	} else {
		item.Text = &s
	}
	out.Choices = []wholeItem{item}
	return out, nil
}

// streamed is an answer that is passed on event by event.
type streamed answer

// write relays the stream. The terminator is sent only behind a whole answer;
// a failure on the way becomes an error event and a cut connection.
func (s *streamed) write(w http.ResponseWriter) {
	a := (*answer)(s)
	defer a.close()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	buf := make([]byte, 0, 512)
	for {
		c, err := a.live.Next()
		if errors.Is(err, io.EOF) {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		if err != nil {
			writeStreamError(w, err)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if c.Usage != nil && !a.req.includeUsage {
			continue
		}
		buf = append(append(append(buf[:0], "data: "...), c.Data...), "\n\n"...)
		if _, err := w.Write(buf); err != nil {
			return // the caller is gone: close cancels the run
		}
		_ = flush.Flush()
	}
}

func writeStreamError(w http.ResponseWriter, err error) {
	var p *problem.Problem
	if !errors.As(err, &p) {
		p = problem.New(problem.Internal, "internal error")
	}
	data, err := json.Marshal(p)
	if err != nil {
		return
	}
	_, _ = w.Write(append(append([]byte("event: error\ndata: "), data...), "\n\n"...))
}
