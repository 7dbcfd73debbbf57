// Package cli is the command line of the stand-ins: each alone, or a whole
// fleet of them with entry instances.
package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/daemon"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/engine"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
	"github.com/shedhoist/shedhoist/internal/standin/platform"
	"github.com/shedhoist/shedhoist/internal/standin/service"
	"github.com/shedhoist/shedhoist/internal/standin/store"
)

// Main runs a stand-in and returns its exit code: 0, or 1 with what failed.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "standin", Short: "Small stand-ins for the systems that shedhoist serves (docs/STANDINS.md)", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(platformCmd(), engineCmd(), storeCmd(), serviceCmd(), fleetCmd(), askCmd(), httpCmd(), overheadCmd(), capacityCmd(), benchCmd(), ledgerCmd())
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(stderr, "standin: "+err.Error())
		return 1
	}
	return 0
}

// serve runs a handler on an address until the command's context ends.
func serve(cmd *cobra.Command, address string, h http.Handler, wrap func(net.Listener) net.Listener) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "http://"+ln.Addr().String())
	if wrap != nil {
		ln = wrap(ln)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-cmd.Context().Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func listenFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("listen", "127.0.0.1:0", "address to listen on")
}

func platformCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "platform", Short: "The platform's object API", Args: cobra.NoArgs}
	listen := listenFlag(cmd)
	token := cmd.Flags().String("token", "", "bearer token that callers must show")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return serve(cmd, *listen, platform.New(*token).Handler(), nil)
	}
	return cmd
}

func engineFlags(cmd *cobra.Command, o *engine.Options) {
	f := cmd.Flags()
	f.IntVar(&o.Slots, "slots", 16, "runs at once")
	f.IntVar(&o.CachePieces, "cache-pieces", 64, "pieces of prefix cache, of about a thousand tokens each")
	f.Float64Var(&o.PrefillUS, "prefill-us", 50, "modelled microseconds to compute a prompt token")
	f.Float64Var(&o.DecodeMS, "decode-ms", 10, "modelled milliseconds to generate a token")
	f.Float64Var(&o.LoadMS, "load-ms", 800, "modelled milliseconds to load weights")
	f.IntVar(&o.KVBytes, "kv-bytes", 2048, "bytes of cache a token")
	f.BoolVar(&o.Fenced, "fenced", true, "refuse orders with an old fencing token")
	f.Float64Var(&o.LagMS, "lag-ms", 100, "age of load reports")
	f.Float64Var(&o.EventLagMS, "event-lag-ms", 100, "delay of cache events")
	f.Float64Var(&o.TimeScale, "time-scale", 1, "real time for one unit of modelled time")
}

func engineCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "engine", Short: "A model engine", Args: cobra.NoArgs}
	listen := listenFlag(cmd)
	var o engine.Options
	engineFlags(cmd, &o)
	cmd.Flags().StringVar(&o.Name, "name", "engine-1", "name")
	cmd.Flags().StringVar(&o.Model, "model", fleet.Model, "model")
	cmd.Flags().StringVar(&o.Version, "weight-version", fleet.Version, "weight version loaded at the start")
	cmd.Flags().StringSliceVar(&o.Adapters, "adapter", nil, "adapters loaded at the start")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		e := engine.New(o)
		return serve(cmd, *listen, e.Handler(), e.Listener)
	}
	return cmd
}

func storeFlags(cmd *cobra.Command, o *store.Options) {
	f := cmd.Flags()
	f.Int64Var(&o.MemoryBytes, "memory", 1<<30, "bytes of the memory tier")
	f.Int64Var(&o.DiskBytes, "disk", 8<<30, "bytes of the disk tier")
	f.Float64Var(&o.MemoryRate, "memory-rate", 4e9, "bytes a second of the memory link")
	f.Float64Var(&o.DiskRate, "disk-rate", 8e8, "bytes a second of the disk link")
}

func storeCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "store", Short: "A store instance", Args: cobra.NoArgs}
	listen := listenFlag(cmd)
	var o store.Options
	storeFlags(cmd, &o)
	cmd.Flags().StringVar(&o.Name, "name", "store-1", "name")
	cmd.Flags().Float64Var(&o.TimeScale, "time-scale", 1, "real time for one unit of modelled time")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return serve(cmd, *listen, store.New(o).Handler(), nil) }
	return cmd
}

func serviceCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "service", Short: "A plain service that counts its runs", Args: cobra.NoArgs}
	listen := listenFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return serve(cmd, *listen, service.New().Handler(), nil) }
	return cmd
}

// startTimeout bounds the start of a fleet.
const startTimeout = 30 * time.Second

func fleetCmd() *cobra.Command {
	var o fleet.Options
	var demo bool
	var level string
	cmd := &cobra.Command{Use: "fleet", Short: "A small fleet: all stand-ins and some entry instances in one process", Args: cobra.NoArgs,
		Example: "  standin fleet --demo\n  standin fleet --instances 8 --engines 20 --log info"}
	f := cmd.Flags()
	f.IntVar(&o.Instances, "instances", 3, "entry instances")
	f.IntVar(&o.Engines, "engines", 4, "model engines")
	f.IntVar(&o.Stores, "stores", 2, "store instances")
	f.IntVar(&o.Services, "services", 2, "instances of the plain service")
	f.IntVar(&o.Customers, "customers", 2, "customers")
	f.BoolVar(&demo, "demo", false, "do the main job and exit 0, or say what failed")
	f.StringVar(&level, "log", "", "log level; empty logs nothing")
	engineFlags(cmd, &o.Engine)
	storeFlags(cmd, &o.Store)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if level != "" {
			o.Log = daemon.NewLogger(cmd.ErrOrStderr(), settings.Log{Level: level, Format: "text"})
		}
		if demo && !cmd.Flags().Changed("time-scale") {
			o.Engine.TimeScale = demoTimeScale
		}
		o.Store.TimeScale = o.Engine.TimeScale
		return runFleet(cmd, o, demo)
	}
	return cmd
}

// demoTimeScale makes the demonstration's modelled minutes seconds.
const demoTimeScale = 0.05

func runFleet(cmd *cobra.Command, o fleet.Options, demo bool) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), startTimeout)
	defer cancel()
	fl, err := fleet.Start(ctx, o)
	if err != nil {
		return err
	}
	defer fl.Close()
	fl.Print(cmd.OutOrStdout())
	if demo {
		fmt.Fprintln(cmd.OutOrStdout())
		return fl.Demo(cmd.Context(), cmd.OutOrStdout())
	}
	<-cmd.Context().Done()
	return nil
}
