// Package catalog holds an instance's view of the fleet as operators declare it in the platform's
// object store: routes, services, customers, cache stores, targets and named weight versions. Its
// values are immutable once published. Adapters decode them from their external form.
package catalog

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shedhoist/shedhoist/internal/core/admission"
)

// RequestKind tells how often requests on a route may run.
type RequestKind uint8

// Kinds of requests.
const (
	AtMostOnce RequestKind = iota // runs at most once
	Idempotent                    // may run more than once
	Streaming                     // a stream of events; runs at most once unless its route is resumable
)

// String names the kind for logs and metrics.
func (k RequestKind) String() string { return [...]string{"once", "idempotent", "streaming"}[k] }

// Backend is a service that a route sends requests to, with its weight.
type Backend struct {
	Service string
	Weight  int // share of the route's requests, relative to the sum of all weights
}

// Route tells where requests go, and sets their limits.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             RequestKind
	Timeout          time.Duration // maximum time for a request
	LatencyObjective time.Duration // to the whole response, or to a stream's first event
	MaxEventGap      time.Duration // maximum pause between events for a stream to be on time; 0: none
	Priority         int           // 0 is the most urgent
	MaxAttempts      int           // maximum number of targets that one request is sent to
	Backends         []Backend
	Public           bool // needs no key
	UsesModel        bool // requests name a model and the parts of their prompt
	Resumable        bool // a stream may continue at another target
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// SendsTo reports whether requests on the route go to a service.
func (r *Route) SendsTo(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && (b.Weight > 0 || len(r.Backends) == 1) })
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots       int
	CacheTokens int // accelerator memory for running requests and cached parts, in tokens
	TokenBytes  int // cache size of one token, in bytes
	LinkMbps    float64
	MaxPolls    int // event polls that one server holds open at a time
	Managed     bool
}

// Service is a set of targets of the same kind.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // that one target accepts from all instances together
	Engine         *Engine // nil: a service without a model
	// Warmup is how long a target warms up after its start, or after the evacuation of its zone; 0:
	// not at all. WarmupRate is how many requests per second a target accepts during that time,
	// from all instances together.
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
	MaxPolls        int           // event polls that it holds open at a time
	Managed         bool          // evicts nothing by itself
}

// Customer is an organisation that sends requests.
type Customer struct {
	Name     string
	Priority int // valid if HasPriority; overrides the route's priority
	// HasPriority tells a declared priority 0 from none.
	HasPriority bool
	Isolated    bool // shares no cache with any other customer
}

// Limits restrict a caller's connection. 0 is no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one complete version of the operators' configuration.
type Config struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	Stores   []CacheStore // sorted by address

	routes            map[string][]*Route  // by host, longest prefix first
	modelServices     map[string]bool      // services with an engine or a route that uses a model
	customers         map[string]*Customer // by API key
	hasKeys           bool
	atMostOnceStreams map[string]bool             // services to which routes send streams that run at most once
	isolated          []string                    // names of the isolated customers, sorted
	sharedScope       string                      // of all others, see CacheScope
	promptLevels      map[string]admission.Levels // by service, see PromptLevels
	promptRanks       map[string]admission.Levels // by service, see PromptRanks
}

// ConfigSpec is a configuration as an adapter has decoded it.
type ConfigSpec struct {
	Version   uint64
	Limits    Limits
	Routes    []Route
	Services  []Service
	Stores    []CacheStore
	Customers []CustomerKeys
}

// CustomerKeys is a customer with its API keys.
type CustomerKeys struct {
	Customer
	Keys []string
}

// NewConfig indexes a configuration.
func NewConfig(spec ConfigSpec) *Config {
	c := &Config{Version: spec.Version, Limits: spec.Limits, Services: map[string]*Service{}, Stores: slices.Clone(spec.Stores),
		routes: map[string][]*Route{}, modelServices: map[string]bool{}, customers: map[string]*Customer{}, hasKeys: len(spec.Customers) > 0, atMostOnceStreams: map[string]bool{}}
	for _, s := range spec.Services {
		c.Services[s.Name] = &s
		if s.Engine != nil {
			c.modelServices[s.Name] = true
		}
	}
	for _, r := range spec.Routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], &r)
		for _, b := range r.Backends {
			if r.UsesModel && r.SendsTo(b.Service) {
				c.modelServices[b.Service] = true
			}
			if r.Kind == Streaming && !r.Resumable && r.SendsTo(b.Service) {
				c.atMostOnceStreams[b.Service] = true
			}
		}
	}
	c.indexPrompts(spec)
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	var isolated []string
	for _, ck := range spec.Customers {
		cust := ck.Customer
		for _, key := range ck.Keys {
			c.customers[key] = &cust
		}
		if cust.Isolated {
			isolated = append(isolated, cust.Name)
		}
	}
	slices.Sort(isolated)
	c.isolated, c.sharedScope = isolated, "s/"+strings.Join(isolated, ",")
	slices.SortFunc(c.Stores, func(a, b CacheStore) int { return cmp.Compare(a.Address, b.Address) })
	return c
}

// indexPrompts sets the levels and ranks of the prompts that routes send to each service.
func (c *Config) indexPrompts(spec ConfigSpec) {
	c.promptLevels, c.promptRanks = map[string]admission.Levels{}, map[string]admission.Levels{}
	priorities, withoutPriority := customerPriorities(spec.Customers)
	for _, s := range spec.Services {
		var levels, ranks []admission.Level
		for i := range spec.Routes {
			r := &spec.Routes[i]
			if !r.UsesModel || !r.SendsTo(s.Name) {
				continue
			}
			levels = append(levels, admission.Level{Rank: r.Priority, Objective: r.LatencyObjective})
			if withoutPriority || r.Public {
				ranks = append(ranks, admission.Level{Rank: admission.CombinedRank(r.Priority, r.Priority)})
			}
			for _, p := range priorities {
				ranks = append(ranks, admission.Level{Rank: admission.CombinedRank(p, r.Priority)})
			}
		}
		if len(levels) > 0 {
			c.promptLevels[s.Name], c.promptRanks[s.Name] = admission.NewLevels(levels), admission.NewLevels(ranks)
		}
	}
}

// customerPriorities returns the priorities that customers have. withoutPriority reports whether
// requests may come from customers that have none, so that the route's priority counts.
func customerPriorities(customers []CustomerKeys) (priorities []int, withoutPriority bool) {
	for _, c := range customers {
		switch {
		case !c.HasPriority:
			withoutPriority = true
		case !slices.Contains(priorities, c.Priority):
			priorities = append(priorities, c.Priority)
		}
	}
	return priorities, withoutPriority || len(customers) == 0
}

// PromptLevels returns the levels of the routes that send prompts to a service, by their priority.
func (c *Config) PromptLevels(service string) admission.Levels {
	if c == nil {
		return nil
	}
	return c.promptLevels[service]
}

// PromptRanks returns the ranks that prompts to a service can have, see admission.CombinedRank.
func (c *Config) PromptRanks(service string) admission.Levels {
	if c == nil {
		return nil
	}
	return c.promptRanks[service]
}

// HasService reports whether the configuration declares a service. A target's entry may name one
// that it doesn't. Without a configuration none is declared.
func (c *Config) HasService(service string) bool { return c != nil && c.Services[service] != nil }

// FetchesFromTargets reports whether the targets of a service can fetch prompt parts from one another:
// their engine takes a source for each part, and the speed of their links is declared.
func (c *Config) FetchesFromTargets(service string) bool {
	s := c.Services[service]
	return s != nil && s.Engine != nil && s.Engine.Managed && s.Engine.LinkMbps > 0
}

// IsPlain reports whether a declared service has no model: it has no engine, and no route that sends
// to it uses a model.
func (c *Config) IsPlain(service string) bool {
	return c.HasService(service) && !c.modelServices[service]
}

// HasAtMostOnceStreams reports whether a route sends streams that run at most once to a service.
func (c *Config) HasAtMostOnceStreams(service string) bool {
	return c != nil && c.atMostOnceStreams[service]
}

// TargetMemory returns the memory of one target of a service, in tokens; 0 if it is not declared.
func (c *Config) TargetMemory(service string) int {
	if s := c.Services[service]; s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

// Route returns the route of a request, or nil. The longest prefix of the path wins; path is as the
// caller wrote it, without the query.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.routes[hostOnly(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// hostOnly strips the port from a Host header, and converts the rest to lower case.
func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Customer returns the customer that a key belongs to, or nil.
func (c *Config) Customer(key string) *Customer { return c.customers[key] }

// HasCustomers reports whether customers are declared.
func (c *Config) HasCustomers() bool { return c.hasKeys }

// RequiresKey reports whether requests on a route need an API key.
func (c *Config) RequiresKey(r *Route) bool { return c.hasKeys && !r.Public }

// CacheScope returns the scope in which a customer's prompt cache may be found: the customer's own
// if it is isolated, else one that all others share. The shared scope changes with the set of
// isolated customers, so that cache which a customer stored before it was isolated is not found by
// others afterwards.
func (c *Config) CacheScope(cust *Customer) string {
	if c.Isolates(cust) {
		return "c/" + cust.Name
	}
	return c.sharedScope
}

// Isolates reports whether a customer shares no cache with others: it is isolated by this configuration, or by that which
// authenticated its request. cust may be nil.
func (c *Config) Isolates(cust *Customer) bool {
	if cust == nil {
		return false
	}
	_, isolated := slices.BinarySearch(c.isolated, cust.Name)
	return isolated || cust.Isolated
}

// ModelVersion is a model with the weight version that a target serves.
type ModelVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Target is one incarnation of a server, which may restart under the same name.
type Target struct {
	// ID identifies this incarnation, see WithID. What is known under an ID ends with its
	// incarnation.
	ID       string         `cbor:"-"`
	Name     string         `cbor:"1,keyasint"`           // of its entry; the server knows itself by the same name
	Start    int64          `cbor:"2,keyasint,omitempty"` // of this incarnation, Unix ms by the server's clock; 0: not known
	Revision uint64         `cbor:"3,keyasint"`           // of its entry in the object store
	Service  string         `cbor:"4,keyasint,omitempty"`
	Address  string         `cbor:"5,keyasint,omitempty"` // host:port
	Zone     string         `cbor:"6,keyasint,omitempty"`
	Leaving  bool           `cbor:"7,keyasint,omitempty"` // its entry says that it accepts no new requests
	Models   []ModelVersion `cbor:"8,keyasint,omitempty"`
	Software string         `cbor:"11,keyasint,omitempty"` // version of its software; versions have no order
	// Slots is how many requests the target runs at once; 0: not known. Instances of earlier versions
	// neither send nor read it.
	Slots int `cbor:"12,keyasint,omitempty"`
	// WarmupMS is how much longer the target was warming up when it wrote its entry.
	WarmupMS int64 `cbor:"10,keyasint,omitempty"`
	// WarmupUntil is the end of its warmup, by this instance's clock.
	WarmupUntil time.Time `cbor:"-"`
	// LeavingNotice reports that the target has announced in a response that it accepts no new
	// requests.
	LeavingNotice bool `cbor:"-"`
	// NoticeInherited reports that the notice is ascribed to this incarnation only by comparing
	// clocks.
	NoticeInherited bool `cbor:"-"`
	// NoticeRequestSent is when the latest request was sent whose response gave this instance the
	// notice; zero: none.
	NoticeRequestSent time.Time `cbor:"-"`
	// Unusable reports that the entry can't be read as that of a server: nothing is sent there.
	Unusable bool `cbor:"9,keyasint,omitempty"`
}

// WithID returns the target with its ID, which is made of the name and the start.
func (t Target) WithID() Target {
	t.ID = t.Name
	if t.Start != 0 {
		t.ID += "@" + strconv.FormatInt(t.Start, 10)
	}
	return t
}

// IsLeaving reports whether the target accepts no new requests, according to its entry or to its
// leaving notice.
func (t *Target) IsLeaving() bool { return t.Leaving || t.LeavingNotice }

// WeightVersion returns the weight version that the target serves of a model; 0 if none is known.
func (t *Target) WeightVersion(model string) uint64 {
	for _, m := range t.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}
