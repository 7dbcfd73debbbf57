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
	"github.com/shedhoist/shedhoist/internal/version"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // could not start, for example an address in use
	ExitSettings = 2 // the settings are wrong; nothing was started
	ExitCut      = 3 // the stop cut requests in hand
)

// StartOptions is what a process is started with.
type StartOptions struct {
	LoadSettings func() (*Settings, error) // reads the settings, again on SIGHUP
	NewPorts     func(*Settings) Ports
	// Without names the mechanisms that an experiment leaves out, see policy.Names.
	Without []string
}

// loadSettings reads the settings, and leaves out what an experiment leaves out.
func (s StartOptions) loadSettings() (*Settings, error) {
	set, err := s.LoadSettings()
	if err != nil {
		return nil, err
	}
	set.Policy, err = set.Policy.Without(s.Without...)
	return set, err
}

// settingsPollInterval is how often the settings file is looked at: it may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// reloadChanged takes settings that changed without a signal.
func reloadChanged(g *Gateway, s StartOptions, logger log.Interface, last Settings) {
	for wait.For(g.ctx, settingsPollInterval) {
		next, err := s.loadSettings()
		if err != nil {
			logger.WithError(err).Warn("settings not readable, those before stay in force")
			continue
		}
		if reflect.DeepEqual(*next, last) {
			continue
		}
		last = *next
		g.Reload(next)
	}
}

// Main runs the command with its arguments and returns the exit code, see Run.
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
	cmd.Flags().StringSliceVar(&s.Without, "without", nil, "for experiments: mechanisms to leave out, of "+strings.Join(policy.Names(), ", "))
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	return code
}

// Run serves until a signal ends it and returns the exit code. SIGTERM and
// SIGINT stop it, a second one at once; SIGHUP reloads the settings.
func Run(s StartOptions, stdout io.Writer) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	lines := NewLogWriter(stdout)
	defer lines.Close()
	logger := NewLogger(lines)
	logline.Capture(logger)
	set, err := s.loadSettings()
	if err != nil {
		logger.WithError(err).Error("settings refused")
		return ExitSettings
	}
	g, err := New(set, s.NewPorts(set), logger)
	if err != nil {
		logger.WithError(err).Error("not started")
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
			logger.WithError(err).Error("settings refused, those before stay in force")
			continue
		}
		g.Reload(next)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				cancel()
				return
			}
		}
	}()
	var cut *CutError
	if err := g.Shutdown(ctx); errors.As(err, &cut) {
		return ExitCut
	}
	return ExitOK
}
