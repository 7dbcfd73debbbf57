package engine

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/prefix"
	"github.com/shedhoist/shedhoist/internal/target"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// runRequest is what the stand-in reads of a run.
type runRequest struct {
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	Messages  []message         `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	MaxNew    int               `json:"max_completion_tokens"`
	Stream    bool              `json:"stream"`
	Ext       *target.Extension `json:"shedhoist"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// job is one run under way.
type job struct {
	id        string
	chat      bool
	req       runRequest
	ext       target.Extension
	canonical string
	digests   [][sha256.Size]byte
	version   string // kept for the whole run, also across a swap
	usage     target.Usage
	skip      int // tokens already delivered before a resume
	max       int
	pinned    []*block
	die       string
	dieAfter  int
}

const (
	defaultMaxTokens = 16
	maxBody          = 64 << 20 // bytes
)

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
	j := &job{id: r.Header.Get(target.HeaderRequestID), chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	s.arm(j)
	if j.die == dieHalf {
		_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
		panic(http.ErrAbortHandler)
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&j.req); err != nil {
		fail(w, http.StatusBadRequest, "bad JSON: "+err.Error())
		return
	}
	if !s.admit(w, j) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s.mu.Lock()
	s.active[j.id] = cancel
	s.counters.Runs++
	s.mu.Unlock()
	finished := s.serve(ctx, w, j)
	s.mu.Lock()
	delete(s.active, j.id)
	for _, b := range j.pinned {
		b.pins--
	}
	if finished {
		s.counters.Finished++
	} else {
		s.counters.Cancelled++
	}
	s.mu.Unlock()
	if !finished {
		panic(http.ErrAbortHandler)
	}
}

// arm picks the faults that hit this run.
func (s *Server) arm(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Die != "" && s.faults.DieCount > 0 {
		s.faults.DieCount--
		j.die, j.dieAfter = s.faults.Die, s.faults.DieAfter
	}
}

// admit refuses, in the documented way, what the engine can't run.
func (s *Server) admit(w http.ResponseWriter, j *job) bool {
	if j.req.Ext != nil {
		j.ext = *j.req.Ext
	}
	j.max = max(j.req.MaxTokens, j.req.MaxNew)
	if j.max == 0 {
		j.max = defaultMaxTokens
	}
	j.canonical = j.req.Prompt
	if j.chat {
		msgs := make([]prefix.Message, len(j.req.Messages))
		for i, m := range j.req.Messages {
			msgs[i] = prefix.Message(m)
		}
		j.canonical = prefix.Canonical(msgs)
	}
	j.digests = digests(j.canonical)
	s.mu.Lock()
	defer s.mu.Unlock()
	refuse := func(reason string) bool {
		s.counters.Refused++
		w.Header().Set(target.HeaderExecution, target.ExecutionNotRun)
		fail(w, http.StatusServiceUnavailable, reason)
		return false
	}
	if s.faults.Refuse > 0 {
		s.faults.Refuse--
		return refuse("refused on request")
	}
	if s.loading {
		return refuse("weights are loading")
	}
	if j.ext.Version != "" && j.ext.Version != s.version {
		return refuse("serves version " + s.version)
	}
	if j.ext.Adapter != "" && !slices.Contains(s.adapters, j.ext.Adapter) {
		return refuse("has no adapter " + j.ext.Adapter)
	}
	j.version = s.version
	if n, ok := s.resumeAt(j); ok {
		j.skip = n
		return true
	}
	fail(w, http.StatusBadRequest, "resume_text is not this run's")
	return false
}

// resumeAt counts the tokens of the text that the caller already has.
func (s *Server) resumeAt(j *job) (int, bool) {
	rest := j.ext.Resume
	for n := 0; ; n++ {
		if rest == "" {
			return n, true
		}
		tok := token(j, n)
		if n >= j.max || !strings.HasPrefix(rest, tok) {
			return 0, false
		}
		rest = rest[len(tok):]
	}
}

// serve queues, computes the prompt and streams the answer. It returns false
// if the run was cut.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, j *job) bool {
	tokens := prefix.EstimateTokens(len(j.canonical))
	s.count(func() { s.waiting++; s.queued += tokens })
	turn := s.slots.acquire(ctx, j.ext.Priority)
	s.count(func() { s.waiting-- })
	if !turn {
		s.count(func() { s.queued -= tokens })
		return false
	}
	defer s.slots.release()
	s.count(func() { s.running++ })
	defer s.count(func() { s.running-- })
	ok := s.prefill(ctx, j, tokens)
	s.count(func() { s.queued -= tokens })
	if !ok {
		return false
	}
	return s.stream(ctx, w, j)
}

func (s *Server) count(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// prefill makes the prompt's cache resident: what is there is reused, what the
// import names is fetched, the rest is computed.
func (s *Server) prefill(ctx context.Context, j *job, tokens int) bool {
	if !s.prefil.acquire(ctx, j.ext.Priority) {
		return false
	}
	defer s.prefil.release()
	have := s.pinResident(j)
	restored := 0
	if j.ext.Import != nil && have < len(j.ext.Keys) {
		restored = s.restore(ctx, j, have)
	}
	cached := min((have+restored)*prefix.ChunkBytes/prefix.BytesPerToken, tokens)
	missing := tokens - cached
	if !wait.For(ctx, s.scaled(float64(missing)*s.o.PrefillUS/1000)) {
		return false
	}
	s.keep(j, have+restored)
	s.count(func() {
		s.counters.PromptTokens += int64(tokens)
		s.counters.ComputedTokens += int64(missing)
		s.counters.RestoredTokens += int64(restored * prefix.ChunkBytes / prefix.BytesPerToken)
	})
	j.usage = target.Usage{PromptTokens: tokens, PromptDetails: target.PromptDetails{CachedTokens: cached,
		RestoredTokens: restored * prefix.ChunkBytes / prefix.BytesPerToken}}
	return true
}

func (j *job) owner() string { return j.version + "\x00" + j.ext.Adapter }

// pinResident pins the leading blocks that are in memory and checks that they
// are the prompt's own.
func (s *Server) pinResident(j *job) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for i, key := range j.ext.Keys {
		if i >= len(j.digests) {
			break
		}
		b := s.cache.blocks[key]
		if b == nil {
			break
		}
		if b.salt != j.ext.Salt || b.owner != j.owner() || b.digest != j.digests[i] {
			s.counters.WrongBlocks++
			break
		}
		b.pins++
		j.pinned = append(j.pinned, b)
		n++
	}
	for i := n - 1; i >= 0; i-- { // the root ends up as the most recently used
		s.cache.order.MoveToFront(j.pinned[i].elem)
	}
	return n
}

// keep puts the blocks from index from on into the cache. A swap of weights
// since the run began leaves them out: they belong to the old version.
func (s *Server) keep(j *job, from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version != j.version || s.loading {
		return
	}
	for i := from; i < len(j.ext.Keys) && i < len(j.digests); i++ {
		s.insert(j, i)
	}
}

// insert adds and pins block i of a job; s.mu is held.
func (s *Server) insert(j *job, i int) {
	b := &block{key: j.ext.Keys[i], salt: j.ext.Salt, owner: j.owner(), digest: j.digests[i], pins: 1}
	if old := s.cache.blocks[b.key]; old != nil {
		return
	}
	s.cache.put(b, s.now())
	j.pinned = append(j.pinned, b)
}

// stream sends the answer, one token an event, then the usage, then the terminator.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, j *job) bool {
	if stall := s.stall(); stall > 0 && !wait.For(ctx, stall) {
		return false
	}
	s.cross(w, j)
	flush := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = flush.Flush()
	if j.die == dieHeaders {
		return false
	}
	sum := sha256.Sum256([]byte(j.canonical))
	step := s.scaled(s.o.DecodeMS)
	var buf []byte
	for n := j.skip; n < j.max; n++ {
		if j.die == dieMid && n-j.skip >= j.dieAfter {
			return false
		}
		if !wait.For(ctx, step) {
			return false
		}
		finish := ""
		if n == j.max-1 {
			finish = "length"
		}
		buf = appendEvent(buf[:0], j, tokenOf(sum, j.version, j.ext.Adapter, n), finish)
		if _, err := w.Write(buf); err != nil {
			return false
		}
		_ = flush.Flush()
		s.count(func() { s.counters.GeneratedTokens++ })
	}
	return s.finish(w, j)
}

func (s *Server) finish(w http.ResponseWriter, j *job) bool {
	if j.die == dieTerminator {
		return false
	}
	j.usage.CompletionTokens = j.max
	j.usage.TotalTokens = j.usage.PromptTokens + j.max
	last, err := json.Marshal(struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Choices []struct{}   `json:"choices"`
		Usage   target.Usage `json:"usage"`
	}{j.id, j.object(), []struct{}{}, j.usage})
	if err != nil {
		return false
	}
	_, err = w.Write([]byte("data: " + string(last) + "\n\ndata: [DONE]\n\n"))
	return err == nil
}

func (j *job) object() string {
	if j.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func appendEvent(buf []byte, j *job, text, finish string) []byte {
	buf = append(buf, `data: {"id":"`...)
	buf = append(buf, j.id...)
	buf = append(buf, `","object":"`+j.object()+`","created":0,"model":"`...)
	buf = append(buf, j.req.Model...)
	if j.chat {
		buf = append(buf, `","choices":[{"index":0,"delta":{"content":"`...)
		buf = append(buf, text...)
		buf = append(buf, `"},"finish_reason":`...)
	} else {
		buf = append(buf, `","choices":[{"index":0,"text":"`...)
		buf = append(buf, text...)
		buf = append(buf, `","finish_reason":`...)
	}
	if finish == "" {
		buf = append(buf, "null"...)
	} else {
		buf = append(buf, `"`+finish+`"`...)
	}
	return append(buf, "}]}\n\n"...)
}

func (s *Server) stall() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.StallMS) * time.Millisecond
}

// cross puts the id of the run before on this run's answer, if told to.
func (s *Server) cross(w http.ResponseWriter, j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Crossed > 0 {
		s.faults.Crossed--
		w.Header().Set(target.HeaderRequestID, "crossed-"+s.lastID)
	}
	s.lastID = j.id
}

func fail(w http.ResponseWriter, status int, msg string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"message": msg, "type": "invalid_request_error"}})
}
