package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/tool"
	"github.com/shedhoist/shedhoist/internal/view"
)

// Bundle is the configuration of the fleet's parts.
func (f *Fleet) Bundle() *config.Bundle {
	o := f.Options
	b := &config.Bundle{
		Models: []config.Model{{Name: Model, Version: Version, Versions: []string{Version}, Adapters: []config.Adapter{{Name: "evening"}},
			PrefillUSPerToken: o.Engine.PrefillUS, KVBytesPerToken: o.Engine.KVBytes}},
		Operators: []config.Operator{{Name: "stand-in", KeyHashes: []string{view.KeyHash(f.OperatorKey)}}},
	}
	policy := o.Policy
	b.Policy = &policy
	for i := range o.Customers {
		b.Customers = append(b.Customers, config.Customer{Name: name("customer", i), KeyHashes: []string{view.KeyHash(f.Keys[i])},
			Secret: secret("isolation " + strconv.Itoa(i)), Priority: 1, Models: []string{Model}, Services: []string{Service}, Limits: o.Limits})
	}
	for i, addr := range f.EngineAddrs {
		b.Targets = append(b.Targets, config.Target{Name: name("engine", i), Address: addr, Zone: f.zone(i), Model: Model,
			ChecksFencingToken: o.Engine.Fenced, Slots: o.Engine.Slots})
	}
	svc := config.Service{Name: Service, EchoesRequestID: true, Routes: []config.Route{{Path: "/shifts", Methods: []string{"GET"}, Idempotent: true}}}
	for i, addr := range f.ServiceAddrs {
		svc.Instances = append(svc.Instances, config.ServiceInstance{Name: name("service", i), Address: addr, Zone: f.zone(i)})
	}
	b.Services = []config.Service{svc}
	for i, addr := range f.StoreAddrs {
		b.Stores = append(b.Stores, config.Store{Name: name("store", i), Address: addr, Zone: f.zone(i),
			MemoryMBps: int(o.Store.MemoryRate / 1e6), DiskMBps: int(o.Store.DiskRate / 1e6)})
	}
	if o.Edit != nil {
		o.Edit(b)
	}
	return b
}

// ToolError says that the operators' tool failed.
type ToolError struct {
	Args   []string
	Code   int
	Output string
}

// Error implements error.
func (e *ToolError) Error() string {
	return fmt.Sprintf("fleet: shedhoist %v: exit %d: %s", e.Args, e.Code, e.Output)
}

// Tool runs the operators' tool against the fleet and returns what it printed.
func (f *Fleet) Tool(args ...string) (string, error) {
	all := append([]string{"--platform", f.PlatformURL, "--key", f.OperatorKey}, args...)
	if len(f.Daemons) > 0 {
		all = append([]string{"--daemon", "http://" + f.Daemons[0].OperatorAddr()}, all...)
	}
	var stdout, stderr bytes.Buffer
	if code := tool.Main(all, &stdout, &stderr); code != tool.ExitOK {
		return stdout.String(), &ToolError{Args: args, Code: code, Output: stderr.String()}
	}
	return stdout.String(), nil
}

// Apply writes a bundle to a directory and applies it with the tool.
func (f *Fleet) Apply(b *config.Bundle, message string) error {
	dir, err := os.MkdirTemp("", "shedhoist-fleet-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	data, err := toml.Marshal(b)
	if err != nil {
		return err
	}
	if err := os.WriteFile(dir+"/fleet.toml", data, 0o600); err != nil {
		return err
	}
	base := "0"
	if h, _, err := (&config.Repo{Store: platform.NewClient(f.PlatformURL, "", nil)}).Head(context.Background()); err == nil {
		base = strconv.FormatUint(h.Generation, 10)
	}
	_, err = f.Tool("apply", dir, "-m", message, "--base", base, "--wait")
	return err
}
