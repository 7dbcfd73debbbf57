// Package catalog is what an entry instance knows of the fleet where operators
// declare it in the platform's object store: routes, services, customers, cache
// stores, targets and named weight versions. Its values are immutable once
// published. How they are spelled outside is the business of an adapter.
package catalog

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RequestKind says what may be repeated on a route.
type RequestKind uint8

// Request kinds.
const (
	AtMostOnce RequestKind = iota // runs at most once
	Idempotent                    // may run more than once
	Streaming                     // a stream of events; runs at most once unless its route is resumable
)

// String names the kind for logs and metrics.
func (k RequestKind) String() string { return [...]string{"once", "idempotent", "streaming"}[k] }

// Backend is one service that a route sends to, with its share.
type Backend struct {
	Service string
	Weight  int // share of the route's requests, against the sum of all weights
}

// Route says where requests go and what they may expect.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             RequestKind
	Timeout          time.Duration // longest time that a request may be kept
	LatencyObjective time.Duration // latency objective: to the whole answer, or to a stream's first event
	MaxEventGap      time.Duration // longest pause between events for which a stream is on time; 0: none
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // targets that one request may be sent to
	Backends         []Backend
	Public           bool // needs no key
	UsesModel        bool // requests name a model and the parts of their prompt
	Resumable        bool // a stream may go on at another target
}

// Repeatable says whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots       int
	CacheTokens int // accelerator memory for running requests and cached parts
	TokenBytes  int // cache bytes of one token
	LinkMbps    float64
	MaxPolls    int // event polls that one server holds at a time
	Managed     bool
}

// Service is a set of targets that are alike.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // that one target accepts from all instances together
	Engine         *Engine // nil: a plain service
	// Warmup is how long a target is cold after its start, or after the evacuation of its
	// zone; 0: not at all. WarmupRate is how many requests a second one bears then, from all
	// instances together.
	Warmup     time.Duration
	WarmupRate float64
}

// CacheStore keeps prompt cache outside accelerator memory.
type CacheStore struct {
	Name            string
	Address         string // host:port
	Zone            string
	Capacity        int // tokens
	LinkMbps        float64
	TransferLatency time.Duration // fixed delay of each transfer
	MaxPolls        int           // event polls that it holds at a time
	Managed         bool          // drops nothing by itself
}

// Customer is one customer.
type Customer struct {
	Name     string
	Priority int // valid if HasPriority: goes before the route's
	// HasPriority tells a declared priority 0 from none.
	HasPriority bool
	Isolated    bool // shares no cache with any other customer
}

// Limits bound what a caller's connection may ask. 0 is no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one whole version of the operators' configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	Stores   []CacheStore // sorted by address

	routes    map[string][]*Route // by host, longest prefix first
	customers map[string]*Customer
	keyed     bool
	wall      string
}

// ConfigSpec is what an adapter has decoded of a configuration.
type ConfigSpec struct {
	Version   uint64
	Limits    Limits
	Routes    []Route
	Services  []Service
	Stores    []CacheStore
	Customers []CustomerKeys
}

// CustomerKeys is a customer with the keys that belong to it.
type CustomerKeys struct {
	Customer
	Keys []string
}

// NewConfig indexes a configuration.
func NewConfig(d ConfigSpec) *Config {
	c := &Config{Version: d.Version, Limits: d.Limits, Services: map[string]*Service{}, Stores: slices.Clone(d.Stores),
		routes: map[string][]*Route{}, customers: map[string]*Customer{}, keyed: len(d.Customers) > 0}
	for _, s := range d.Services {
		c.Services[s.Name] = &s
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], &r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	var isolated []string
	for _, ck := range d.Customers {
		cust := ck.Customer
		for _, key := range ck.Keys {
			c.customers[key] = &cust
		}
		if cust.Isolated {
			isolated = append(isolated, cust.Name)
		}
	}
	slices.Sort(isolated)
	c.wall = strings.Join(isolated, ",")
	slices.SortFunc(c.Stores, func(a, b CacheStore) int { return cmp.Compare(a.Address, b.Address) })
	return c
}

// HasService says whether the configuration declares a service: an entry of a target may name
// any. Without a configuration none is declared.
func (c *Config) HasService(service string) bool { return c != nil && c.Services[service] != nil }

// TargetMemory is the memory of one target of a service, in tokens; 0 if it is not declared.
func (c *Config) TargetMemory(service string) int {
	if s := c.Services[service]; s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// Route finds the route of a request, or nil. The longest prefix that begins
// the path wins; path is as the caller wrote it, without the query.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.routes[hostOnly(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// hostOnly drops a port, and the case, of a Host header.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Customer returns the customer that a key belongs to, or nil.
func (c *Config) Customer(key string) *Customer { return c.customers[key] }

// RequiresKey says whether requests on a route need a key.
func (c *Config) RequiresKey(r *Route) bool { return c.keyed && !r.Public }

// CacheScope is the text under which a customer's prompt cache may be found: its own
// name if it is isolated, else one that all others share. The shared one changes
// with the set of isolated customers, so that cache which a customer made before
// it was isolated is not found by the others afterwards.
func (c *Config) CacheScope(cust *Customer) string {
	if cust != nil && cust.Isolated {
		return "c/" + cust.Name
	}
	return "s/" + c.wall
}

// ModelVersion is a model's weight version as a target serves it.
type ModelVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Target is one life of a server: it may start again under the same name.
type Target struct {
	// ID names this life, see Identify. What is known by it ends with the life.
	ID       string         `cbor:"-"`
	Name     string         `cbor:"1,keyasint"`           // of its entry, and as it knows itself
	Start    int64          `cbor:"2,keyasint,omitempty"` // of this life, Unix ms by the server's clock; 0: not told
	Revision uint64         `cbor:"3,keyasint"`           // of its entry in the object store
	Service  string         `cbor:"4,keyasint,omitempty"`
	Address  string         `cbor:"5,keyasint,omitempty"` // host:port
	Zone     string         `cbor:"6,keyasint,omitempty"`
	Leaving  bool           `cbor:"7,keyasint,omitempty"` // its entry says that it takes no new requests
	Models   []ModelVersion `cbor:"8,keyasint,omitempty"`
	// WarmupMS is for how much longer the target was cold when it wrote its entry.
	WarmupMS int64 `cbor:"10,keyasint,omitempty"`
	// WarmupUntil is until when it is cold, by this instance's clock.
	WarmupUntil time.Time `cbor:"-"`
	// LeavingNotice says that it has said itself, in an answer, that it takes no new requests.
	LeavingNotice bool `cbor:"-"`
	// NoticeInherited says that clocks alone ascribe that word to this life.
	NoticeInherited bool `cbor:"-"`
	// NoticeRequestSent is when the last request was sent whose answer told this instance so; zero: none.
	NoticeRequestSent time.Time `cbor:"-"`
	// Unusable says that the entry can't be read as one of a server: nothing is sent there.
	Unusable bool `cbor:"9,keyasint,omitempty"`
}

// WithID sets ID from the name and the start, and returns the target.
func (t Target) WithID() Target {
	t.ID = t.Name
	if t.Start != 0 {
		t.ID += "@" + strconv.FormatInt(t.Start, 10)
	}
	return t
}

// IsLeaving says whether the target takes no new requests, by its entry or by its own word.
func (t *Target) IsLeaving() bool { return t.Leaving || t.LeavingNotice }

// WeightVersion returns the weight version that the target serves of a model; 0 is
// none that is known.
func (t *Target) WeightVersion(model string) uint64 {
	for _, m := range t.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}
