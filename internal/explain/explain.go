// Package why keeps the reasons behind each recent request: which targets were
// considered at what cost, what was chosen, each attempt and its end. Records
// hold no prompt, no answer, no key and no secret.
package explain

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// Record is the why-record of one request.
type Record struct {
	ID              string            `json:"id"`
	Instance        string            `json:"instance"` // the entry instance that served it
	Customer        string            `json:"customer"`
	Kind            string            `json:"kind"` // "model" or "service"
	Name            string            `json:"name"` // model or service
	Version         string            `json:"weight_version,omitempty"`
	Adapter         string            `json:"adapter,omitempty"`
	Generation      uint64            `json:"generation"`
	Arrived         time.Time         `json:"arrived"`
	PromptTokens    int               `json:"prompt_tokens"`
	CachedTokens    int               `json:"cached_tokens"`
	RestoredTokens  int               `json:"restored_tokens"`
	GeneratedTokens int               `json:"generated_tokens"`
	FirstTokenMS    float64           `json:"first_token_ms"`
	TotalMS         float64           `json:"total_ms"`
	Attempts        []Attempt         `json:"attempts"`
	Outcome         string            `json:"outcome"` // "done" or a problem kind
	Execution       problem.Execution `json:"execution"`
	SavedIn         string            `json:"kept_in,omitempty"` // store that was asked to keep the prefix
}

// Attempt is one attempt and why it went where it went.
type Attempt struct {
	Target      string            `json:"target"`
	Action      string            `json:"action"` // recompute, reuse, restore
	Store       string            `json:"store,omitempty"`
	PredictedMS float64           `json:"predicted_first_ms"`
	Candidates  []route.Candidate `json:"candidates"`
	Filtered    route.Filtered    `json:"filtered"`
	StartMS     float64           `json:"start_ms"` // after arrival
	Result      string            `json:"ended"`
	Next        string            `json:"next,omitempty"` // retry, resume
}

// LastTarget is the target of the last attempt, or "".
func (r *Record) LastTarget() string {
	if len(r.Attempts) == 0 {
		return ""
	}
	return r.Attempts[len(r.Attempts)-1].Target
}

// LastAction is how the last attempt meant to get its cache, or "".
func (r *Record) LastAction() string {
	if len(r.Attempts) == 0 {
		return ""
	}
	return r.Attempts[len(r.Attempts)-1].Action
}

// Log keeps the last n records. It is safe for many goroutines.
type Log struct {
	mu   sync.Mutex
	ring []*Record
	next int
	byID map[string]*Record
}

// NewLog returns a log of n records.
func NewLog(n int) *Log { return &Log{ring: make([]*Record, n), byID: make(map[string]*Record, n)} }

// Add keeps a finished record; it must not change afterwards.
func (l *Log) Add(r *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old := l.ring[l.next]; old != nil && l.byID[old.ID] == old {
		delete(l.byID, old.ID)
	}
	l.ring[l.next] = r
	l.byID[r.ID] = r
	l.next = (l.next + 1) % len(l.ring)
}

// Get returns the record of a request, or nil.
func (l *Log) Get(id string) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// Len is the number of records held.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byID)
}
