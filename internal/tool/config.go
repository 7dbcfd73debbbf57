package tool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/operator"
)

// baseGenerationFile stores, next to the TOML files, the generation on which they
// are based, so that apply can't silently undo another operator's change.
const baseGenerationFile = ".shedhoist-generation"

func (o *options) validateCmd() *cobra.Command {
	return &cobra.Command{Use: "validate DIR", Short: "Check a directory of configuration", Example: "  shedhoist validate conf/", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := config.Load(os.DirFS(args[0]))
			if err != nil {
				return err
			}
			return o.print(objectCounts(b), func(w io.Writer) {
				fmt.Fprintf(w, "valid: %d customers, %d models, %d targets, %d services, %d stores, %d operators\n",
					len(b.Customers), len(b.Models), len(b.Targets), len(b.Services), len(b.Stores), len(b.Operators))
			})
		}}
}

func objectCounts(b *config.Bundle) map[string]int {
	return map[string]int{"customers": len(b.Customers), "models": len(b.Models), "targets": len(b.Targets),
		"services": len(b.Services), "stores": len(b.Stores), "operators": len(b.Operators)}
}

// currentBundle returns the head and its bundle, which is empty before the first apply.
func currentBundle(ctx context.Context, r *config.Repo) (config.Head, *config.Bundle, error) {
	h, _, err := r.Head(ctx)
	if err != nil {
		return h, nil, err
	}
	b, err := r.Bundle(ctx, h)
	return h, b, err
}

func (o *options) diffCmd() *cobra.Command {
	var useExitCode bool
	cmd := &cobra.Command{Use: "diff DIR", Short: "Show what applying a directory would change", Example: "  shedhoist diff conf/", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			b, err := config.Load(os.DirFS(args[0]))
			if err != nil {
				return err
			}
			r, err := o.openRepo()
			if err != nil {
				return err
			}
			_, current, err := currentBundle(ctx, r)
			if err != nil {
				return err
			}
			edits, err := config.Diff(current, b)
			if err != nil {
				return err
			}
			if err := o.printEdits(edits); err != nil {
				return err
			}
			if useExitCode && len(edits) > 0 {
				return &DifferencesError{Edits: len(edits)}
			}
			return nil
		}}
	cmd.Flags().BoolVar(&useExitCode, "exit-code", false, "exit with 7 if there are differences")
	return cmd
}

func (o *options) printEdits(edits []config.Edit) error {
	if edits == nil {
		edits = []config.Edit{}
	}
	return o.print(edits, func(w io.Writer) {
		if len(edits) == 0 {
			fmt.Fprintln(w, "no differences")
		}
		for _, e := range edits {
			fmt.Fprintln(w, e)
		}
	})
}

// applyFlags holds the flags of apply.
type applyFlags struct {
	message     string
	base        uint64
	baseSet     bool // whether --base was given
	wait        bool
	waitTimeout time.Duration
}

func (o *options) applyCmd() *cobra.Command {
	var flags applyFlags
	cmd := &cobra.Command{Use: "apply DIR", Short: "Apply a directory of configuration atomically",
		Long: `Apply a directory of configuration atomically.

The change is accepted only if the directory is based on the generation in
force. Its base is --base, or else the generation that get or the last apply
stored in DIR/` + baseGenerationFile + ` (0 without that file). Otherwise apply
reports a conflict and both changes.`,
		Example: "  shedhoist apply conf/ -m 'add clinic-7' --wait", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			flags.baseSet = cmd.Flags().Changed("base")
			return o.apply(cmd.Context(), args[0], flags)
		}}
	cmd.Flags().StringVarP(&flags.message, "message", "m", "", "description of the change")
	cmd.Flags().Uint64Var(&flags.base, "base", 0, "generation on which the directory is based")
	cmd.Flags().BoolVar(&flags.wait, "wait", false, "wait until it is in force everywhere (needs --daemon and --key)")
	cmd.Flags().DurationVar(&flags.waitTimeout, "wait-for", 30*time.Second, "timeout of --wait")
	return cmd
}

func (o *options) apply(ctx context.Context, dir string, flags applyFlags) error {
	b, err := config.Load(os.DirFS(dir))
	if err != nil {
		return err
	}
	r, err := o.openRepo()
	if err != nil {
		return err
	}
	base := flags.base
	if !flags.baseSet {
		if base, err = readBaseGeneration(dir); err != nil {
			return err
		}
	}
	parts, err := config.Split(b)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	head, _, err := r.Head(callCtx)
	if err != nil {
		return err
	}
	if base, err = rebaseOverDrains(callCtx, r, base, head); err != nil {
		return err
	}
	if base, err = rebaseOverDrains(callCtx, r, base, head); err != nil {
		return err
	}
	h, err := r.Accept(callCtx, config.Change{Base: base, NewBuckets: parts, Drained: head.Drained, Author: changeAuthor(), Message: flags.message})
	if err != nil {
		return o.explainConflict(ctx, r, err, b)
	}
	if err := writeBaseGeneration(dir, h.Generation); err != nil {
		return err
	}
	return o.reportAccepted(ctx, h, flags.wait, flags.waitTimeout)
}

// rebaseOverDrains returns the head's generation if only drains were accepted since
// the base. Drains are not part of the files, so they don't conflict with edits of them.
func rebaseOverDrains(ctx context.Context, r *config.Repo, base uint64, head config.Head) (uint64, error) {
	if base == 0 || base >= head.Generation {
		return base, nil
	}
	baseHead, err := headAt(ctx, r, base)
	if err != nil {
		return 0, err
	}
	if maps.Equal(baseHead.Buckets, head.Buckets) {
		return head.Generation, nil
	}
	return base, nil
}

// reportAccepted prints an accepted generation, after waiting until it is in force if wait is set.
func (o *options) reportAccepted(ctx context.Context, h config.Head, wait bool, timeout time.Duration) error {
	if wait {
		if err := o.waitInForce(ctx, h.Generation, timeout); err != nil {
			return err
		}
	}
	return o.print(h, func(w io.Writer) { fmt.Fprintf(w, "generation %d accepted\n", h.Generation) })
}

// explainConflict prints the changes of both sides if err is a conflict. It returns err.
func (o *options) explainConflict(ctx context.Context, r *config.Repo, err error, mine *config.Bundle) error {
	var conflict *config.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	base, baseErr := bundleAt(ctx, r, conflict.Base)
	theirs, theirErr := r.Bundle(ctx, conflict.Winner)
	if baseErr != nil || theirErr != nil {
		return err
	}
	list := func(title string, b *config.Bundle) {
		edits, diffErr := config.Diff(base, b)
		if diffErr != nil {
			return
		}
		fmt.Fprintf(o.err, "%s, since generation %d:\n", title, conflict.Base)
		for _, e := range edits {
			fmt.Fprintln(o.err, "  "+e.String())
		}
	}
	list(fmt.Sprintf("accepted by generation %d", conflict.Winner.Generation), theirs)
	list("yours, not in force", mine)
	return err
}

// bundleAt returns the bundle of a generation, which is empty for generation 0.
func bundleAt(ctx context.Context, r *config.Repo, generation uint64) (*config.Bundle, error) {
	if generation == 0 {
		return &config.Bundle{}, nil
	}
	h, err := headAt(ctx, r, generation)
	if err != nil {
		return nil, err
	}
	return r.Bundle(ctx, h)
}

// headAt returns the head of a generation, past or current.
func headAt(ctx context.Context, r *config.Repo, generation uint64) (config.Head, error) {
	current, _, err := r.Head(ctx)
	if err != nil {
		return config.Head{}, err
	}
	if generation == 0 || generation > current.Generation {
		return config.Head{}, &UsageError{Reason: fmt.Sprintf("there is no generation %d; the newest is %d", generation, current.Generation)}
	}
	heads, err := r.History(ctx, int(current.Generation-generation)+1)
	if err != nil {
		return config.Head{}, err
	}
	return heads[len(heads)-1], nil
}

// readBaseGeneration returns the generation stored in dir, or 0 if there is none.
func readBaseGeneration(dir string) (uint64, error) {
	data, err := os.ReadFile(filepath.Join(dir, baseGenerationFile))
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, &UsageError{Reason: filepath.Join(dir, baseGenerationFile) + " does not contain a generation number"}
	}
	return n, nil
}

func writeBaseGeneration(dir string, generation uint64) error {
	return os.WriteFile(filepath.Join(dir, baseGenerationFile), []byte(strconv.FormatUint(generation, 10)+"\n"), 0o644)
}

func (o *options) getCmd() *cobra.Command {
	var dir string
	var generation uint64
	var secrets bool
	cmd := &cobra.Command{Use: "get", Short: "Print the configuration in force, or write it to a directory",
		Example: "  shedhoist get\n  shedhoist get --dir conf/\n  shedhoist get --generation 12 -o json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			r, err := o.openRepo()
			if err != nil {
				return err
			}
			h, _, err := r.Head(ctx)
			if err == nil && generation > 0 {
				h, err = headAt(ctx, r, generation)
			}
			if err != nil {
				return err
			}
			b, err := r.Bundle(ctx, h)
			if err != nil {
				return err
			}
			if dir != "" {
				return writeBundle(dir, h, b)
			}
			return o.printBundle(b, secrets)
		}}
	cmd.Flags().StringVar(&dir, "dir", "", "write shedhoist.toml, with secrets, into this directory")
	cmd.Flags().Uint64Var(&generation, "generation", 0, "generation to read instead of the one in force")
	cmd.Flags().BoolVar(&secrets, "secrets", false, "print isolation secrets too")
	return cmd
}

func encodeTOML(b *config.Bundle) ([]byte, error) {
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(b); err != nil {
		return nil, &config.EncodeError{Cause: err}
	}
	return buf.Bytes(), nil
}

// bundleFile is the file to which init and get --dir write the configuration.
const bundleFile = "shedhoist.toml"

func writeBundle(dir string, h config.Head, b *config.Bundle) error {
	others, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return err
	}
	others = slices.DeleteFunc(others, func(f string) bool { return filepath.Base(f) == bundleFile })
	if len(others) > 0 {
		return &UsageError{Reason: dir + " contains other TOML files (" + filepath.Base(others[0]) + "); name an empty directory"}
	}
	data, err := encodeTOML(b)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, bundleFile), data, 0o600); err != nil {
		return err
	}
	return writeBaseGeneration(dir, h.Generation)
}

func (o *options) printBundle(b *config.Bundle, secrets bool) error {
	if !secrets {
		for i := range b.Customers {
			b.Customers[i].Secret = "redacted"
		}
	}
	data, err := encodeTOML(b)
	if err != nil {
		return err
	}
	var redactedFields []string
	if !secrets {
		redactedFields = []string{"isolation_secret"}
	}
	v, err := operator.Redact(b, redactedFields...)
	if err != nil {
		return err
	}
	return o.print(v, func(w io.Writer) { fmt.Fprint(w, string(data)) })
}

func (o *options) historyCmd() *cobra.Command {
	var count int
	cmd := &cobra.Command{Use: "history", Short: "List accepted generations, newest first", Example: "  shedhoist history -n 5", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			r, err := o.openRepo()
			if err != nil {
				return err
			}
			heads, err := r.History(ctx, count)
			if err != nil {
				return err
			}
			return o.print(heads, func(w io.Writer) {
				fmt.Fprintln(w, "GENERATION\tTIME\tAUTHOR\tMESSAGE\tDRAINED")
				for _, h := range heads {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", h.Generation, h.Time.Format(time.RFC3339), h.Author, h.Message, strings.Join(h.Drained, ","))
				}
			})
		}}
	cmd.Flags().IntVarP(&count, "number", "n", 20, "number of generations to list")
	return cmd
}
