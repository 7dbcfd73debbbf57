// Package streamversion keeps which version of the targets' software began each stream, and which
// versions have served of late. What two versions write doesn't fit together, so a stream may go on only
// at the version that began it. The package does no I/O and reads no clock.
//
// Invariant: a stream is bound once, by its first event, and never bound anew to another version.
package streamversion

import (
	"crypto/sha256"
	"sync"
	"time"
)

// ID identifies a stream. It is a cryptographic hash, so that no customer can name another's stream.
type ID [8]byte

// IDOf returns the ID of the stream whose first event a customer's request brought.
func IDOf(customer, request string) ID {
	sum := sha256.Sum256([]byte(customer + "\x00" + request))
	return ID(sum[:len(ID{})])
}

// Binding says where a stream may go on.
type Binding struct {
	Service  string `cbor:"1,keyasint"`
	Software string `cbor:"2,keyasint"` // version of the software of its targets
}

// Record is a stream with its binding.
type Record struct {
	ID      ID
	Request ID // identifies requests that are alike, for callers that don't name the stream they take up
	Binding Binding
	Until   time.Time // until then its caller may take it up
}

// maxRecords bounds the streams that an instance keeps.
const maxRecords = 1 << 15

// Records holds the bindings of streams. The zero value is ready for use, and takes it that no stream has
// begun before. It is safe for concurrent use.
type Records struct {
	mu       sync.Mutex
	streams  map[ID]*stream
	requests map[ID]*request
	since    time.Time // streams that began before may be missing
	all      bool      // none is missing, whenever it began
}

// request is what is known of the streams of requests that are alike.
type request struct {
	binding   Binding
	until     time.Time
	ambiguous bool // they were bound to different versions
}

// stream is the state of one stream.
type stream struct {
	binding Binding
	request ID
	until   time.Time
	own     bool // it goes through this instance, or went so
}

// Start records that the instance starts now: it misses the streams of earlier processes.
func (r *Records) Start(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since, r.all = now, false
}

// NoneBefore records that no stream had begun anywhere before this instance started.
func (r *Records) NoneBefore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = true
}

// Remember reports whether no stream is missing that began in a time before now.
func (r *Records) Remember(window time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all || now.Sub(r.since) >= window
}

// Bind records a stream. A later time is taken over, another binding is not: the first holds. own says
// that the stream goes through this instance. It returns false if there is no room.
func (r *Records) Bind(record Record, own bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.streams[record.ID]; s != nil && now.Before(s.until) {
		s.own = s.own || own
		if record.Until.After(s.until) {
			s.until = record.Until
		}
		return true
	}
	if r.streams == nil {
		r.streams, r.requests = map[ID]*stream{}, map[ID]*request{}
	}
	if len(r.streams) >= maxRecords {
		r.expire(now)
	}
	if len(r.streams) >= maxRecords {
		r.since, r.all = now, false
		return false
	}
	r.streams[record.ID] = &stream{binding: record.Binding, request: record.Request, until: record.Until, own: own}
	r.bindRequest(record, now)
	return true
}

// bindRequest records the binding of a stream for requests that are alike. r.mu is held.
func (r *Records) bindRequest(record Record, now time.Time) {
	q := r.requests[record.Request]
	if q == nil || !now.Before(q.until) {
		r.requests[record.Request] = &request{binding: record.Binding, until: record.Until}
		return
	}
	q.ambiguous = q.ambiguous || q.binding != record.Binding
	if record.Until.After(q.until) {
		q.until = record.Until
	}
}

// FindRequest returns the binding of the streams of requests that are alike; ambiguous says that they have
// several.
func (r *Records) FindRequest(id ID, now time.Time) (b Binding, found, ambiguous bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil || !now.Before(q.until) {
		return Binding{}, false, false
	}
	return q.binding, !q.ambiguous, q.ambiguous
}

// Find returns the binding of a stream.
func (r *Records) Find(id ID, now time.Time) (b Binding, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.streams[id]
	if s == nil || !now.Before(s.until) {
		return Binding{}, false
	}
	return s.binding, true
}

// Own returns the streams of a service that went through this instance and that may be taken up. That an
// instance has sent a stream to its end doesn't mean that the caller has it.
func (r *Records) Own(service string, now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Record
	for id, s := range r.streams {
		if s.own && s.binding.Service == service && now.Before(s.until) {
			out = append(out, Record{ID: id, Request: s.request, Binding: s.binding, Until: s.until})
		}
	}
	return out
}

// Expire forgets the streams that can't be taken up any more.
func (r *Records) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
}

func (r *Records) expire(now time.Time) {
	for id, s := range r.streams {
		if !now.Before(s.until) {
			delete(r.streams, id)
		}
	}
	for id, q := range r.requests {
		if !now.Before(q.until) {
			delete(r.requests, id)
		}
	}
}

// Len returns the number of streams.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}
