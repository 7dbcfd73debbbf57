package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/logline"
	"github.com/shedhoist/shedhoist/internal/resources"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/version"
)

// Exit codes of shedhoistd.
const (
	ExitOK       = 0
	ExitFailed   = 1 // could not start, for example an address in use
	ExitSettings = 2 // invalid settings or command line; nothing was started
	ExitCut      = 3 // the shutdown aborted requests in flight
)

// Main runs the daemon until a signal stops it and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	code := ExitOK
	var file string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:           "shedhoistd --settings FILE",
		Short:         "Serve callers in front of model engines and plain services",
		Example:       "  shedhoistd --settings /etc/shedhoist/shedhoistd.toml\n  shedhoistd --settings shedhoistd.toml --check",
		Version:       version.String,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			set, err := settings.Load(file)
			if err != nil || checkOnly {
				return err
			}
			code = serve(set, stdout, stderr)
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "TOML file with this process's settings (docs/SETTINGS.md)")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "only check the settings")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag is declared above
	}
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	return code
}

// serve runs one daemon. The first SIGTERM or SIGINT drains it; the second cancels
// the drain and aborts the requests in flight.
func serve(set *settings.Settings, stdout, stderr io.Writer) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	logger := NewLogger(stderr, set.Log)
	logline.Capture(logger)
	resources.LimitHeap(set.Limits.MemoryBytes())
	d, err := New(set, logger)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	d.Start()
	fmt.Fprintf(stdout, "callers=%s operators=%s peers=%s\n", d.CallerAddr(), d.OperatorAddr(), d.PeerAddr())
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	var aborted *CutError
	if err := d.Shutdown(ctx); errors.As(err, &aborted) {
		fmt.Fprintf(stderr, "cut %d requests in hand\n", aborted.Requests)
		return ExitCut
	}
	return ExitOK
}
