package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/core/policy"
	"github.com/shedhoist/shedhoist/internal/logline"
	"github.com/shedhoist/shedhoist/internal/resources"
	"github.com/shedhoist/shedhoist/internal/version"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // could not start, for example an address in use
	ExitSettings = 2 // the settings are wrong; nothing was started
	ExitCut      = 3 // the stop aborted requests in flight
)

// StartOptions says how to start a process.
type StartOptions struct {
	LoadSettings func() (*Settings, error) // reads the settings; called again on SIGHUP
	NewPorts     func(*Settings) Ports     // makes the adapters
	// Without names the mechanisms that an experiment disables, see policy.Names.
	Without []string
}

// loadSettings reads the settings and disables the mechanisms named by Without.
func (s StartOptions) loadSettings() (*Settings, error) {
	set, err := s.LoadSettings()
	if err != nil {
		return nil, err
	}
	set.Policy, err = set.Policy.Without(s.Without...)
	return set, err
}

// settingsPollInterval is how often the settings are read again: they may change without a
// signal.
const settingsPollInterval = 2 * time.Second

// reloadChanged polls the settings and applies those that changed without a signal.
func reloadChanged(g *Gateway, s StartOptions, logger log.Interface, last Settings) {
	for wait.For(g.ctx, settingsPollInterval) {
		next, err := s.loadSettings()
		if err != nil {
			logger.WithError(err).Warn("failed to read the settings, the previous ones stay in force")
			continue
		}
		if reflect.DeepEqual(*next, last) {
			continue
		}
		last = *next
		g.Reload(next)
	}
}

// Main runs the command with the given arguments and returns the exit code, see Run.
func Main(s StartOptions, args []string, stdout, stderr io.Writer) int {
	code := ExitOK
	cmd := &cobra.Command{
		Use:           "shedhoistd hosted",
		Short:         "Serve callers on a platform that declares routes, services and targets in its object store",
		Version:       version.String,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			code = Run(s, stdout)
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&s.Without, "without", nil, "for experiments: mechanisms to disable, of "+strings.Join(policy.Names(), ", "))
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	return code
}

// abortOnInterrupt calls abort, which ends a stop under way at once, on SIGINT. A supervisor may repeat SIGTERM, and has
// SIGKILL to end the process.
func abortOnInterrupt(signals <-chan os.Signal, abort func(), logger log.Interface) {
	for sig := range signals {
		if sig == syscall.SIGINT {
			abort()
			return
		}
		logger.WithField("signal", sig.String()).Info("signal ignored: the process stops already")
	}
}

// Run serves until a signal stops it and returns the exit code. SIGTERM and SIGINT stop it
// gracefully, SIGINT during a stop immediately; SIGHUP reloads the settings.
func Run(s StartOptions, stdout io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	logWriter := NewLogWriter(stdout)
	defer logWriter.Close()
	logger := NewLogger(logWriter)
	logline.Capture(logger)
	set, err := s.loadSettings()
	if err != nil {
		logger.WithError(err).Error("invalid settings")
		return ExitSettings
	}
	resources.LimitHeap(set.MemoryBytes)
	g, err := New(set, s.NewPorts(set), logger)
	if err != nil {
		logger.WithError(err).Error("failed to start")
		return ExitFailed
	}
	g.Start()
	g.spawn(func() { reloadChanged(g, s, logger, *set) })
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		next, err := s.loadSettings()
		if err != nil {
			logger.WithError(err).Error("invalid settings, the previous ones stay in force")
			continue
		}
		g.Reload(next)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go abortOnInterrupt(signals, cancel, logger)
	var aborted *CutError
	if err := g.Shutdown(ctx); errors.As(err, &aborted) {
		return ExitCut
	}
	return ExitOK
}
