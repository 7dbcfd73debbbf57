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

// baseFile keeps, beside the TOML files, the generation that they were made
// from, so that an apply can't undo another operator's change unseen.
const baseFile = ".shedhoist-generation"

func (o *options) validateCmd() *cobra.Command {
	return &cobra.Command{Use: "validate DIR", Short: "Check a directory of configuration", Example: "  shedhoist validate conf/", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, err := config.Load(os.DirFS(args[0]))
			if err != nil {
				return err
			}
			return o.show(counts(b), func(w io.Writer) {
				fmt.Fprintf(w, "valid: %d customers, %d models, %d targets, %d services, %d stores, %d operators\n",
					len(b.Customers), len(b.Models), len(b.Targets), len(b.Services), len(b.Stores), len(b.Operators))
			})
		}}
}

func counts(b *config.Bundle) map[string]int {
	return map[string]int{"customers": len(b.Customers), "models": len(b.Models), "targets": len(b.Targets),
		"services": len(b.Services), "stores": len(b.Stores), "operators": len(b.Operators)}
}

// inForce returns the head and its bundle; an empty bundle before the first apply.
func inForce(ctx context.Context, r *config.Repo) (config.Head, *config.Bundle, error) {
	h, _, err := r.Head(ctx)
	if err != nil {
		return h, nil, err
	}
	b, err := r.Bundle(ctx, h)
	return h, b, err
}

func (o *options) diffCmd() *cobra.Command {
	var exit bool
	cmd := &cobra.Command{Use: "diff DIR", Short: "Show what applying a directory would change", Example: "  shedhoist diff conf/", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			b, err := config.Load(os.DirFS(args[0]))
			if err != nil {
				return err
			}
			r, err := o.repo()
			if err != nil {
				return err
			}
			_, old, err := inForce(ctx, r)
			if err != nil {
				return err
			}
			edits, err := config.Diff(old, b)
			if err != nil {
				return err
			}
			if err := o.showEdits(edits); err != nil {
				return err
			}
			if exit && len(edits) > 0 {
				return &DifferError{Edits: len(edits)}
			}
			return nil
		}}
	cmd.Flags().BoolVar(&exit, "exit-code", false, "exit with 7 if there are differences")
	return cmd
}

func (o *options) showEdits(edits []config.Edit) error {
	if edits == nil {
		edits = []config.Edit{}
	}
	return o.show(edits, func(w io.Writer) {
		if len(edits) == 0 {
			fmt.Fprintln(w, "no differences")
		}
		for _, e := range edits {
			fmt.Fprintln(w, e)
		}
	})
}

type applyFlags struct {
	message string
	base    uint64
	baseSet bool
	wait    bool
	forTime time.Duration
}

func (o *options) applyCmd() *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{Use: "apply DIR", Short: "Put a directory in force, whole or not at all",
		Long: `Put a directory in force, whole or not at all.

The change is accepted only if the generation in force is the one that the
directory was made from: --base, else what init, get or the last apply noted in
DIR/` + baseFile + `. Otherwise it is a conflict, which names both changes.`,
		Example: "  shedhoist apply conf/ -m 'add clinic-7' --wait", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f.baseSet = cmd.Flags().Changed("base")
			return o.apply(cmd.Context(), args[0], f)
		}}
	cmd.Flags().StringVarP(&f.message, "message", "m", "", "what the change is for")
	cmd.Flags().Uint64Var(&f.base, "base", 0, "generation that the directory was made from")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until it is in force everywhere (needs --daemon and --key)")
	cmd.Flags().DurationVar(&f.forTime, "wait-for", 30*time.Second, "how long --wait waits")
	return cmd
}

func (o *options) apply(ctx context.Context, dir string, f applyFlags) error {
	b, err := config.Load(os.DirFS(dir))
	if err != nil {
		return err
	}
	r, err := o.repo()
	if err != nil {
		return err
	}
	base := f.base
	if !f.baseSet {
		if base, err = readBase(dir); err != nil {
			return err
		}
	}
	parts, err := config.Split(b)
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	old, _, err := r.Head(actx)
	if err != nil {
		return err
	}
	if base, err = pastDrains(actx, r, base, old); err != nil {
		return err
	}
	if base, err = pastDrains(actx, r, base, old); err != nil {
		return err
	}
	h, err := r.Accept(actx, config.Change{Base: base, NewBuckets: parts, Drained: old.Drained, Author: author(), Message: f.message})
	if err != nil {
		return o.explainRace(ctx, r, err, b)
	}
	if err := writeBase(dir, h.Generation); err != nil {
		return err
	}
	return o.accepted(ctx, h, f.wait, f.forTime)
}

// pastDrains moves a base up to the head if only drains were accepted since: they
// stand beside the files, so an edit of these conflicts with none of them.
func pastDrains(ctx context.Context, r *config.Repo, base uint64, head config.Head) (uint64, error) {
	if base == 0 || base >= head.Generation {
		return base, nil
	}
	was, err := headAt(ctx, r, base)
	if err != nil {
		return 0, err
	}
	if maps.Equal(was.Buckets, head.Buckets) {
		return head.Generation, nil
	}
	return base, nil
}

// accepted reports an accepted generation and waits for it if asked to.
func (o *options) accepted(ctx context.Context, h config.Head, wait bool, forTime time.Duration) error {
	if wait {
		if err := o.waitInForce(ctx, h.Generation, forTime); err != nil {
			return err
		}
	}
	return o.show(h, func(w io.Writer) { fmt.Fprintf(w, "generation %d accepted\n", h.Generation) })
}

// explainRace adds what each side of a conflict changed.
func (o *options) explainRace(ctx context.Context, r *config.Repo, err error, mine *config.Bundle) error {
	var race *config.ConflictError
	if !errors.As(err, &race) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	base, berr := bundleAt(ctx, r, race.Base)
	theirs, terr := r.Bundle(ctx, race.Winner)
	if berr != nil || terr != nil {
		return err
	}
	list := func(title string, b *config.Bundle) {
		edits, derr := config.Diff(base, b)
		if derr != nil {
			return
		}
		fmt.Fprintf(o.err, "%s, since generation %d:\n", title, race.Base)
		for _, e := range edits {
			fmt.Fprintln(o.err, "  "+e.String())
		}
	}
	list(fmt.Sprintf("accepted by generation %d", race.Winner.Generation), theirs)
	list("yours, not in force", mine)
	return err
}

// bundleAt returns the bundle of a generation; an empty one for 0.
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

func headAt(ctx context.Context, r *config.Repo, generation uint64) (config.Head, error) {
	now, _, err := r.Head(ctx)
	if err != nil {
		return config.Head{}, err
	}
	if generation == 0 || generation > now.Generation {
		return config.Head{}, &UsageError{Reason: fmt.Sprintf("there is no generation %d; the newest is %d", generation, now.Generation)}
	}
	heads, err := r.History(ctx, int(now.Generation-generation)+1)
	if err != nil {
		return config.Head{}, err
	}
	return heads[len(heads)-1], nil
}

// readBase returns the generation noted in dir; 0 if none is.
func readBase(dir string) (uint64, error) {
	data, err := os.ReadFile(filepath.Join(dir, baseFile))
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, &UsageError{Reason: filepath.Join(dir, baseFile) + " does not hold a generation"}
	}
	return n, nil
}

func writeBase(dir string, generation uint64) error {
	return os.WriteFile(filepath.Join(dir, baseFile), []byte(strconv.FormatUint(generation, 10)+"\n"), 0o644)
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
			r, err := o.repo()
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
	cmd.Flags().Uint64Var(&generation, "generation", 0, "a generation other than the one in force")
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

// bundleFile is the one file that get --dir writes.
const bundleFile = "shedhoist.toml"

func writeBundle(dir string, h config.Head, b *config.Bundle) error {
	others, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return err
	}
	others = slices.DeleteFunc(others, func(f string) bool { return filepath.Base(f) == bundleFile })
	if len(others) > 0 {
		return &UsageError{Reason: dir + " holds other TOML files (" + filepath.Base(others[0]) + "); name an empty directory"}
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
	return writeBase(dir, h.Generation)
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
	var hide []string
	if !secrets {
		hide = []string{"isolation_secret"}
	}
	v, err := operator.Redact(b, hide...)
	if err != nil {
		return err
	}
	return o.show(v, func(w io.Writer) { fmt.Fprint(w, string(data)) })
}

func (o *options) historyCmd() *cobra.Command {
	var n int
	cmd := &cobra.Command{Use: "history", Short: "List accepted generations, newest first", Example: "  shedhoist history -n 5", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
			defer cancel()
			r, err := o.repo()
			if err != nil {
				return err
			}
			heads, err := r.History(ctx, n)
			if err != nil {
				return err
			}
			return o.show(heads, func(w io.Writer) {
				fmt.Fprintln(w, "GENERATION\tTIME\tAUTHOR\tMESSAGE\tDRAINED")
				for _, h := range heads {
					fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", h.Generation, h.Time.Format(time.RFC3339), h.Author, h.Message, strings.Join(h.Drained, ","))
				}
			})
		}}
	cmd.Flags().IntVarP(&n, "number", "n", 20, "how many")
	return cmd
}
