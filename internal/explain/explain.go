// Package explain records how each recent request was handled: the targets that were
// considered and their costs, the choice, and each attempt and its result. Records
// contain no prompt, response, key or secret.
package explain

import (
	"sync"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/route"
	"github.com/shedhoist/shedhoist/internal/problem"
)

// Record explains how one request was handled.
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
	SavedIn         string            `json:"kept_in,omitempty"` // store in which the prefix was requested to be saved
}

// Attempt is one attempt and the reasons for its choice of target.
type Attempt struct {
	Target      string             `json:"target"`
	Action      string             `json:"action"` // recompute, reuse, restore
	Store       string             `json:"store,omitempty"`
	PredictedMS float64            `json:"predicted_first_ms"`
	Candidates  []route.Candidate  `json:"candidates"`
	Filtered    route.FilterCounts `json:"filtered"`
	StartMS     float64            `json:"start_ms"` // since arrival
	Result      string             `json:"ended"`
	Next        string             `json:"next,omitempty"` // retry, resume
}

// LastTarget returns the target of the last attempt, or "" if there is none.
func (r *Record) LastTarget() string {
	if len(r.Attempts) == 0 {
		return ""
	}
	return r.Attempts[len(r.Attempts)-1].Target
}

// LastAction returns how the last attempt was to obtain its cache, or "" if there is none.
func (r *Record) LastAction() string {
	if len(r.Attempts) == 0 {
		return ""
	}
	return r.Attempts[len(r.Attempts)-1].Action
}

// Log retains the most recent records. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	ring []*Record
	next int
	byID map[string]*Record
}

// NewLog returns a log that retains n records; n must be positive.
func NewLog(n int) *Log { return &Log{ring: make([]*Record, n), byID: make(map[string]*Record, n)} }

// Add adds a finished record, which must not be modified afterwards.
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

// Get returns the record of a request, or nil if it is not retained.
func (l *Log) Get(id string) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

// Len returns the number of records retained.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byID)
}
