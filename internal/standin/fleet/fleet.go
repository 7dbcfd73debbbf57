// Package fleet runs the stand-ins and some entry instances together in one
// process, for trying the system out, for tests and for measurements.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/daemon"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	standin "github.com/shedhoist/shedhoist/internal/standin/platform"
	"github.com/shedhoist/shedhoist/internal/standin/service"
	"github.com/shedhoist/shedhoist/internal/standin/store"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Options size a fleet. Zero values take the defaults of Defaults.
type Options struct {
	Instances int
	Engines   int
	Stores    int
	Services  int
	Customers int
	Zones     []string
	Engine    engine.Options // name, model and version are set for each
	Store     store.Options  // name is set for each
	Timing    settings.Timing
	Policy    config.Policy
	Limits    config.Limits // of every customer
	Log       log.Interface
	Edit      func(*config.Bundle)     // last change to the bundle before it is applied
	Settings  func(*settings.Settings) // last change to each instance's settings
	Alone     bool                     // the start does not wait until instances know one another
}

// Model and version that every engine of a fleet starts with.
const (
	Model   = "rota-lm"
	Version = "v1"
	Service = "rota"
)

// Defaults fills in what is zero.
func (o Options) Defaults() Options {
	def := func(n *int, v int) {
		if *n == 0 {
			*n = v
		}
	}
	def(&o.Instances, 3)
	def(&o.Engines, 4)
	def(&o.Stores, 2)
	def(&o.Services, 2)
	def(&o.Customers, 2)
	def(&o.Engine.CachePieces, 64)
	if len(o.Zones) == 0 {
		o.Zones = []string{"dar-a", "dar-b", "dar-c"}
	}
	if o.Store.MemoryBytes == 0 {
		o.Store.MemoryBytes, o.Store.DiskBytes = 1<<30, 8<<30
	}
	if o.Timing == (settings.Timing{}) {
		o.Timing = settings.Timing{DrainNoticeMS: 200, DrainMS: 120_000, ProbeMS: 100, HeartbeatMS: 200, ConfigPollMS: 500, ConnectMS: 1000}
	}
	if o.Log == nil {
		o.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	return o
}

// Fleet is a running fleet. Exported slices hold its parts in order.
type Fleet struct {
	Options      Options
	Platform     *standin.Server
	PlatformURL  string
	Engines      []*engine.Server
	EngineAddrs  []string
	Stores       []*store.Server
	StoreAddrs   []string
	Services     []*service.Server
	ServiceAddrs []string
	Daemons      []*daemon.Daemon
	Keys         []string // a key for each customer
	OperatorKey  string

	servers []*http.Server
	mu      sync.Mutex
	started int // daemons ever started, for their names
}

// Name of a fleet's i-th machine of a kind.
func name(kind string, i int) string { return kind + "-" + strconv.Itoa(i+1) }

// secret makes a fixed secret from a label: a fleet of stand-ins needs the
// same keys each time, a real one gets its own from "shedhoist init".
func secret(label string) string {
	sum := sha256.Sum256([]byte("stand-in " + label))
	return hex.EncodeToString(sum[:])
}

// PeerSecret returns the secret that the instances of every fleet share.
func PeerSecret() string { return secret("peers") }

// Start runs a fleet and applies its configuration with the operators' tool.
// It returns when every instance has it in force and has heard every target.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	o = o.Defaults()
	f := &Fleet{Options: o, OperatorKey: "op-" + secret("operator")}
	for i := range o.Customers {
		f.Keys = append(f.Keys, "sk-"+secret(name("customer", i)))
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	f.Platform = standin.New("")
	addr, err := f.serve(f.Platform.Handler(), nil)
	if err != nil {
		return err
	}
	f.PlatformURL = "http://" + addr
	if err := f.startStandins(); err != nil {
		return err
	}
	for range f.Options.Instances {
		if _, err := f.AddInstance(); err != nil {
			return err
		}
	}
	if err := f.Apply(f.Bundle(), "first configuration"); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

func (f *Fleet) startStandins() error {
	for i := range f.Options.Engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range f.Options.Stores {
		o := f.Options.Store
		o.Name = name("store", i)
		s := store.New(o)
		addr, err := f.serve(s.Handler(), nil)
		if err != nil {
			return err
		}
		f.Stores, f.StoreAddrs = append(f.Stores, s), append(f.StoreAddrs, addr)
	}
	for range f.Options.Services {
		s := service.New()
		addr, err := f.serve(s.Handler(), nil)
		if err != nil {
			return err
		}
		f.Services, f.ServiceAddrs = append(f.Services, s), append(f.ServiceAddrs, addr)
	}
	return nil
}

func (f *Fleet) addEngine(i int) error {
	o := f.Options.Engine
	o.Name, o.Model = name("engine", i), Model
	if o.Version == "" {
		o.Version = Version
	}
	e := engine.New(o)
	addr, err := f.serve(e.Handler(), e.Listener)
	if err != nil {
		return err
	}
	f.Engines, f.EngineAddrs = append(f.Engines, e), append(f.EngineAddrs, addr)
	return nil
}

// serve runs a handler on a free loopback port.
func (f *Fleet) serve(h http.Handler, wrap func(net.Listener) net.Listener) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	addr := ln.Addr().String()
	if wrap != nil {
		ln = wrap(ln)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return addr, nil
}

func (f *Fleet) zone(i int) string { return f.Options.Zones[i%len(f.Options.Zones)] }

// fleetSeeds is how many instances a new one is told of.
const fleetSeeds = 3

// AddInstance starts one more entry instance, which joins by the first ones.
func (f *Fleet) AddInstance() (*daemon.Daemon, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := settings.Default()
	set.Name, set.Zone = name("entry", f.started), f.zone(f.started)
	set.Timing = f.Options.Timing
	set.Platform.URL = f.PlatformURL
	set.Peers.Secret = PeerSecret()
	for _, d := range f.Daemons[:min(len(f.Daemons), fleetSeeds)] {
		set.Peers.Seeds = append(set.Peers.Seeds, d.PeerAddr())
	}
	if f.Options.Settings != nil {
		f.Options.Settings(&set)
	}
	d, err := daemon.New(&set, f.Options.Log)
	if err != nil {
		return nil, err
	}
	f.started++
	d.Start()
	f.Platform.SetMachine(platform.Machine{Name: set.Name, Kind: "instance", Address: d.PeerAddr(), Zone: set.Zone, State: platform.StateLive})
	f.Daemons = append(f.Daemons, d)
	return d, nil
}

// StopInstance ends the i-th entry instance gracefully.
func (f *Fleet) StopInstance(ctx context.Context, i int) error {
	f.mu.Lock()
	d := f.Daemons[i]
	f.mu.Unlock()
	err := d.Shutdown(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Daemons = slices.DeleteFunc(slices.Clone(f.Daemons), func(x *daemon.Daemon) bool { return x == d })
	return err
}

// Kill ends the i-th entry instance at once: its connections break, it says no
// goodbye.
func (f *Fleet) Kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Daemons[i].Kill()
	f.Daemons = slices.Delete(slices.Clone(f.Daemons), i, i+1)
}

// NotReadyError says what a fleet still lacked.
type NotReadyError struct{ Reason string }

// Error implements error.
func (e *NotReadyError) Error() string { return "fleet: not ready: " + e.Reason }

// WaitReady waits until every instance is ready, has heard every target and
// knows every other instance.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		reason := f.lacks(ctx)
		if reason == "" {
			return nil
		}
		if !wait.For(ctx, 10*time.Millisecond) {
			return &NotReadyError{Reason: reason}
		}
	}
}

func (f *Fleet) lacks(ctx context.Context) string {
	for _, d := range f.Daemons {
		if !d.Ready() {
			return "an instance has no configuration"
		}
		for _, t := range d.Targets() {
			if t.State != "ready" {
				return "target " + t.Name + " is " + t.State
			}
		}
		if got := len(d.Members(ctx)); got < len(f.Daemons) && !f.Options.Alone {
			return "an instance knows " + strconv.Itoa(got) + " members"
		}
	}
	return ""
}

// URL is the callers' address of the i-th entry instance.
func (f *Fleet) URL(i int) string { return "http://" + f.Daemons[i%len(f.Daemons)].CallerAddr() }

// Balance plays the platform's balancer: the callers' address of one of the
// instances that say they are ready.
func (f *Fleet) Balance(n int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.Daemons {
		if d := f.Daemons[(n+i)%len(f.Daemons)]; d.Ready() {
			return "http://" + d.CallerAddr()
		}
	}
	return "http://" + f.Daemons[n%len(f.Daemons)].CallerAddr()
}

// Close ends everything at once.
func (f *Fleet) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.mu.Lock()
	daemons := f.Daemons
	f.mu.Unlock()
	for _, d := range daemons {
		_ = d.Shutdown(ctx)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// Print writes where everything is.
func (f *Fleet) Print(w io.Writer) {
	fmt.Fprintf(w, "platform      %s\n", f.PlatformURL)
	list := func(kind string, addrs []string) {
		for i, a := range addrs {
			fmt.Fprintf(w, "%-13s http://%s\n", name(kind, i), a)
		}
	}
	list("engine", f.EngineAddrs)
	list("store", f.StoreAddrs)
	list("service", f.ServiceAddrs)
	for i, d := range f.Daemons {
		fmt.Fprintf(w, "%-13s callers http://%s  operators http://%s\n", name("entry", i), d.CallerAddr(), d.OperatorAddr())
	}
	for i, k := range f.Keys {
		fmt.Fprintf(w, "caller's key of %s: %s\n", name("customer", i), k)
	}
	fmt.Fprintf(w, "operator's key: %s\n", f.OperatorKey)
	fmt.Fprintf(w, "\nexport SHEDHOIST_PLATFORM=%s SHEDHOIST_DAEMON=http://%s SHEDHOIST_KEY=%s\n", f.PlatformURL, f.Daemons[0].OperatorAddr(), f.OperatorKey)
}
