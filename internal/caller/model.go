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
	"github.com/shedhoist/shedhoist/internal/connlimit"
	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/dispatch"
	"github.com/shedhoist/shedhoist/internal/metric"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/target"
)

// modelRequest is a decoded completion or chat completion request.
type modelRequest struct {
	chat         bool
	path         string
	model        string // base model, without the adapter
	adapter      string
	stream       bool
	includeUsage bool
	canonical    string   // canonical prompt text, from which cache keys are computed
	members      []member // the caller's other members, in order of first occurrence, without duplicates
}

// member is one top-level member of the caller's body; raw is its unparsed value.
type member struct{ name, raw string }

// reservedMembers are set by engineBody and never copied from the caller's body.
var reservedMembers = map[string]bool{"stream": true, "stream_options": true, "shedhoist": true, "model": true}

// maxMembers limits the top-level members of a body: the APIs that engines offer have some dozens. A short member costs
// many times its bytes once it is decoded.
const maxMembers = 1024

// promptMembers are the members from which cache keys are computed.
var promptMembers = map[string]bool{"prompt": true, "messages": true}

// readBody reads the whole body, within the limits on its size and duration.
func (s *Server) readBody(ctx context.Context, r *http.Request) ([]byte, error) {
	w, _ := ctx.Value(responseWriterKey{}).(http.ResponseWriter)
	limit := int64(s.Limits.BodyBytes)
	if r.ContentLength > limit {
		return nil, problem.New(problem.TooLarge, "the body is larger than this instance takes")
	}
	if w != nil {
		_ = http.NewResponseController(w).SetReadDeadline(s.Now().Add(time.Duration(s.Limits.BodySeconds) * time.Second))
	}
	conn := connlimit.FromRequest(r)
	read, err := body.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, conn)
	if err != nil {
		return nil, bodyProblem(err)
	}
	data, err := read.Bytes()
	if err != nil {
		return nil, bodyProblem(err)
	}
	if !conn.Reserve(copies*int64(len(data))) || !conn.RequestWhole() {
		return nil, noRoom(conn)
	}
	callFrom(ctx).bodyRead = true
	if w != nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return data, nil
}

// copies is how many times the bytes of a body are held besides: decoded, and as the text from which cache keys are
// computed.
const copies = 2

// bodyProblem maps an error from reading the body to a problem.
func bodyProblem(err error) *problem.Problem {
	p := body.Problem(err)
	if p.Kind == problem.Overloaded {
		metric.BodiesRefused.Inc()
		p.RetryAfter = fullRetryAfter
	}
	return p
}

// fullRetryAfter is the Retry-After of a request for which there is no room: others end meanwhile.
const fullRetryAfter = time.Second

// responseWriterKey is the context key of the request's http.ResponseWriter.
type responseWriterKey struct{}

// decodeModel authenticates first: the body of an unknown caller is not read.
func (s *Server) decodeModel(chat bool) func(context.Context, *http.Request) (any, error) {
	return func(ctx context.Context, r *http.Request) (any, error) {
		if err := callFrom(ctx).authenticate(); err != nil {
			return nil, err
		}
		data, err := s.readBody(ctx, r)
		if err != nil {
			return nil, err
		}
		return parseModel(data, chat)
	}
}

func badRequest(detail string) error { return problem.New(problem.BadRequest, detail) }

// parseModel decodes a completion or chat completion request. Unknown members
// are passed to the engine unchanged; of a repeated member the last value counts.
func parseModel(data []byte, chat bool) (*modelRequest, error) {
	if !gjson.ValidBytes(data) {
		return nil, badRequest("the body is not JSON")
	}
	root := gjson.ParseBytes(data) // the only copy of data: all members below are substrings of it
	if !root.IsObject() {
		return nil, badRequest("the body is not a JSON object")
	}
	req := &modelRequest{chat: chat, path: "/v1/completions"}
	if chat {
		req.path = "/v1/chat/completions"
	}
	values := map[string]gjson.Result{}
	var err error
	root.ForEach(func(k, value gjson.Result) bool {
		if lower := strings.ToLower(k.Str); lower != k.Str && (reservedMembers[lower] || promptMembers[lower]) {
			// Some JSON decoders match names case-insensitively and read "Prompt"
			// as "prompt": the engine could then run a different prompt than the
			// one from which the cache keys were computed.
			err = badRequest(k.Str + ": is spelled " + lower)
			return false
		}
		if _, repeated := values[k.Str]; !repeated && !reservedMembers[k.Str] {
			req.members = append(req.members, member{name: k.Str})
		}
		if values[k.Str] = value; len(values) > maxMembers {
			err = badRequest("the body has more than " + strconv.Itoa(maxMembers) + " members")
		}
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	for i := range req.members {
		req.members[i].raw = values[req.members[i].name].Raw
	}
	return req, req.parseMembers(values)
}

// parseMembers validates the members that this process interprets and stores them.
func (m *modelRequest) parseMembers(values map[string]gjson.Result) error {
	if values["model"].Type != gjson.String || values["model"].Str == "" {
		return badRequest("model: a string is needed")
	}
	m.model, m.adapter, _ = strings.Cut(values["model"].Str, ":")
	if s := values["stream"]; s.Exists() && !s.IsBool() {
		return badRequest("stream: a boolean is needed")
	}
	m.stream = values["stream"].Bool()
	m.includeUsage = values["stream_options"].Get("include_usage").Bool()
	if n := values["n"]; n.Exists() && n.Int() != 1 {
		return badRequest("n: only 1 is served")
	}
	if m.chat {
		return m.parseMessages(values["messages"])
	}
	if values["prompt"].Type != gjson.String {
		return badRequest("prompt: one string is needed")
	}
	m.canonical = values["prompt"].Str
	return nil
}

func (m *modelRequest) parseMessages(list gjson.Result) error {
	if !list.IsArray() {
		return badRequest("messages: an array is needed")
	}
	var messages []prefix.Message
	valid := true
	list.ForEach(func(_, item gjson.Result) bool { // which makes no list of all items, however many there are
		content, ok := messageText(item.Get("content"))
		valid = ok && item.Get("role").Type == gjson.String
		messages = append(messages, prefix.Message{Role: item.Get("role").Str, Content: content})
		return valid
	})
	if !valid {
		return badRequest("messages: each needs a role and text content")
	}
	if len(messages) == 0 {
		return badRequest("messages: at least one is needed")
	}
	m.canonical = prefix.Canonical(messages)
	return nil
}

// messageText returns a message's content, which is a string or, as some OpenAI
// clients send it, an array of text parts.
func messageText(v gjson.Result) (string, bool) {
	if v.Type == gjson.String {
		return v.Str, true
	}
	if !v.IsArray() {
		return "", false
	}
	var b strings.Builder
	valid := true
	v.ForEach(func(_, part gjson.Result) bool {
		valid = part.Get("type").Str == "text" && part.Get("text").Type == gjson.String
		b.WriteString(part.Get("text").Str)
		return valid
	})
	return b.String(), valid
}

// engineBody builds the engine's request from the caller's members and the
// reserved ones. The engine always streams, so that an interrupted response can
// be resumed on another target.
func (m *modelRequest) engineBody(ext target.Extension) target.Body {
	extension, err := json.Marshal(ext)
	if err != nil {
		panic(err) // only unsupported types fail, and Extension has none
	}
	parts := make(target.Body, 0, 2*len(m.members)+2)
	parts = append(parts, `{"model":`+string(quoteJSON(m.model)))
	for _, f := range m.members {
		parts = append(parts, ","+string(quoteJSON(f.name))+":", f.raw)
	}
	return append(parts, `,"stream":true,"stream_options":{"include_usage":true},"shedhoist":`+string(extension)+"}")
}

func quoteJSON(s string) []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings always marshal
	}
	return data
}

// serveModel is the endpoint for completions and chat completions.
func (s *Server) serveModel(ctx context.Context, request any) (any, error) {
	req, c := request.(*modelRequest), callFrom(ctx)
	if !c.customer.MayUseModel(req.model) {
		return nil, problem.New(problem.UnknownModel, "no model "+strconv.Quote(req.model))
	}
	m := c.view.Models[req.model]
	if req.adapter != "" && !hasAdapter(m.Adapters, req.adapter) {
		return nil, problem.New(problem.UnknownModel, "model "+m.Name+" has no adapter "+strconv.Quote(req.adapter))
	}
	promptTokens := prefix.EstimateTokens(len(req.canonical))
	if m.MaxPromptTokens > 0 && promptTokens > m.MaxPromptTokens {
		return nil, problem.New(problem.TooLarge, "the prompt is longer than the model takes")
	}
	if err := s.refuseIfStopping(ctx, "model", dispatch.Deadline(m, c.arrived)); err != nil {
		return nil, err
	}
	release, err := s.Admission.Admit(c.customer, promptTokens, c.view.Instances)
	if err != nil {
		return nil, err
	}
	run, err := s.Dispatch.Start(ctx, &dispatch.Request{ID: c.id, Customer: c.customer, View: c.view, Model: m, Adapter: req.adapter,
		Path: req.path, Canonical: req.canonical, Arrived: c.arrived, Body: req.engineBody})
	if err != nil {
		release(0)
		return nil, err
	}
	resp := &modelResponse{run: run, req: req, id: c.id, created: c.arrived, release: release, conn: connlimit.FromContext(ctx)}
	if req.stream {
		return (*streamedResponse)(resp), nil
	}
	defer resp.close()
	return resp.collect()
}

// modelResponse is a run whose output is sent to the caller.
type modelResponse struct {
	run     *dispatch.Run
	req     *modelRequest
	id      string
	created time.Time
	release func(int)
	conn    *connlimit.Conn // counts what the response holds; nil: the listener has no limits
}

func (resp *modelResponse) close() {
	resp.run.Close()
	resp.release(resp.run.Usage().CompletionTokens)
}

// completion is a response that is not streamed (OpenAI API reference).
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   target.Usage       `json:"usage"`
}

type completionChoice struct {
	Index   int                `json:"index"`
	Text    *string            `json:"text,omitempty"`
	Message *completionMessage `json:"message,omitempty"`
	Finish  string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// textCopies is how many times the bytes of a text are held until it is sent: in a buffer that grows, and encoded.
const textCopies = 3

// collect reads the whole output of the run. If the run fails midway, it returns
// the problem, and no part of the output is sent to the caller.
func (resp *modelResponse) collect() (any, error) {
	var text strings.Builder
	finish := ""
	for {
		chunk, err := resp.run.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		text.WriteString(chunk.Text)
		resp.conn.Add(textCopies * int64(len(chunk.Text)))
		if chunk.FinishReason != "" {
			finish = chunk.FinishReason
		}
	}
	out := &completion{ID: resp.id, Object: "text_completion", Created: resp.created.Unix(), Model: resp.req.model, Usage: resp.run.Usage()}
	choice, content := completionChoice{Finish: finish}, text.String()
	if resp.req.chat {
		out.Object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: content}
	} else {
		choice.Text = &content
	}
	out.Choices = []completionChoice{choice}
	return out, nil
}

// streamedResponse is a response that is relayed event by event.
type streamedResponse modelResponse

// relay sends the stream to the caller. The terminator is sent only after a
// complete response; after a failure midway it sends an error event and aborts
// the connection.
func (s *streamedResponse) relay(w http.ResponseWriter) {
	resp := (*modelResponse)(s)
	defer resp.close()
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	buf := make([]byte, 0, 512)
	for {
		chunk, err := resp.run.Next()
		if errors.Is(err, io.EOF) {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		if err != nil {
			writeStreamError(w, err)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if chunk.Usage != nil && !resp.req.includeUsage {
			continue
		}
		buf = append(append(append(buf[:0], "data: "...), chunk.Data...), "\n\n"...)
		if _, err := w.Write(buf); err != nil {
			return // the caller disconnected: close cancels the run
		}
		_ = controller.Flush()
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
