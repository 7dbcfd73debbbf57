// Package view holds the immutable snapshot of the fleet that request goroutines read:
// the configuration in force, indexed, and the state of the targets. The control
// goroutine builds and publishes each snapshot; it is not modified afterwards.
package view

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/core/limit"
	"github.com/shedhoist/shedhoist/internal/core/observe"
	"github.com/shedhoist/shedhoist/internal/core/route"
)

// Customer holds a configured customer with indexes of its permissions.
type Customer struct {
	config.Customer
	Rates    limit.Rates
	Secret   []byte // decoded from hexadecimal
	models   map[string]bool
	services map[string]bool
}

// MayUseModel reports whether the customer may call a model.
func (c *Customer) MayUseModel(model string) bool { return c.models[model] }

// MayCallService reports whether the customer may call a service.
func (c *Customer) MayCallService(service string) bool { return c.services[service] }

// Config is one configuration generation with its indexes.
type Config struct {
	Head      config.Head
	Bundle    *config.Bundle
	Policy    config.Policy
	Models    map[string]*config.Model
	Services  map[string]*config.Service
	Drained   map[string]bool      // by machine name
	customers map[string]*Customer // by KeyHash of a key
	operators map[string]string    // name by KeyHash of a key
}

// NewConfig builds the indexes of a generation. It fails if a customer's secret is not
// hexadecimal.
func NewConfig(h config.Head, b *config.Bundle) (*Config, error) {
	c := &Config{Head: h, Bundle: b, Policy: b.PolicyOrDefault(), Models: map[string]*config.Model{},
		Services: map[string]*config.Service{}, Drained: map[string]bool{}, customers: map[string]*Customer{}, operators: map[string]string{}}
	for i := range b.Models {
		c.Models[b.Models[i].Name] = withDefaults(&b.Models[i])
	}
	for i := range b.Services {
		c.Services[b.Services[i].Name] = &b.Services[i]
	}
	for _, name := range h.Drained {
		c.Drained[name] = true
	}
	for _, cfg := range b.Customers {
		customer, err := newCustomer(cfg)
		if err != nil {
			return nil, err
		}
		for _, hash := range cfg.KeyHashes {
			c.customers[strings.ToLower(hash)] = customer
		}
	}
	for _, o := range b.Operators {
		for _, hash := range o.KeyHashes {
			c.operators[strings.ToLower(hash)] = o.Name
		}
	}
	return c, nil
}

// withDefaults returns a copy of a model with default values for unset fields.
func withDefaults(m *config.Model) *config.Model {
	out := *m
	if out.PrefillUSPerToken == 0 {
		out.PrefillUSPerToken = config.DefaultPrefillUSPerToken
	}
	if out.KVBytesPerToken == 0 {
		out.KVBytesPerToken = config.DefaultKVBytesPerToken
	}
	if out.DeadlineMS == 0 {
		out.DeadlineMS = config.DefaultDeadlineMS
	}
	return &out
}

func newCustomer(cfg config.Customer) (*Customer, error) {
	secret, err := hex.DecodeString(cfg.Secret)
	if err != nil {
		return nil, &config.EncodeError{Cause: err}
	}
	limits := cfg.Limits
	customer := &Customer{Customer: cfg, Secret: secret, models: map[string]bool{}, services: map[string]bool{},
		Rates: limit.Rates{Requests: limits.Requests, PromptTokens: limits.PromptTokens, GeneratedTokens: limits.GeneratedTokens, Concurrency: limits.Concurrency}}
	for _, m := range cfg.Models {
		customer.models[m] = true
	}
	for _, s := range cfg.Services {
		customer.services[s] = true
	}
	return customer, nil
}

// KeyHash returns the SHA-256 of a key in hexadecimal, the form in which keys are
// configured.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the customer that owns a bearer key, or nil. The lookup is by
// hash, so its timing reveals nothing about the configured keys.
func (c *Config) Authenticate(key string) *Customer { return c.customers[KeyHash(key)] }

// Operator returns the name of the operator that owns a bearer key.
func (c *Config) Operator(key string) (string, bool) {
	hash := KeyHash(key)
	for configured, name := range c.operators {
		if subtle.ConstantTimeCompare([]byte(configured), []byte(hash)) == 1 {
			return name, true
		}
	}
	return "", false
}

// View is the snapshot that request goroutines read. Config is nil until this instance
// has a generation in force.
type View struct {
	*Config
	Targets       *route.Snapshot
	Draining      bool // this instance accepts no new requests
	TargetsProbed bool // every target was probed once since the start
	Instances     int  // live instances, this one included, which share the limits

	Observers []observe.Observer // live instances, this one included
}

// Holder publishes the latest view to concurrent readers.
type Holder struct{ current atomic.Pointer[View] }

// Load returns the latest view; it never returns nil.
func (h *Holder) Load() *View {
	if v := h.current.Load(); v != nil {
		return v
	}
	return &View{Targets: route.NewSnapshot(nil, nil)}
}

// Store publishes a view.
func (h *Holder) Store(v *View) { h.current.Store(v) }
