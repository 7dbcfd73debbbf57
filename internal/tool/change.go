package tool

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/config"
)

func (o *options) rollbackCmd() *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{Use: "rollback GENERATION", Short: "Accept a new generation with an old one's content",
		Long:    "Accept a new generation with an old one's content. Generations only rise; drains stay as they are.",
		Example: "  shedhoist rollback 11 -m 'v8 answers badly' --wait", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			generation, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return &UsageError{Reason: "GENERATION is a number, not " + strconv.Quote(args[0])}
			}
			return o.rollback(cmd.Context(), generation, f)
		}}
	cmd.Flags().StringVarP(&f.message, "message", "m", "", "why")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until it is in force everywhere")
	cmd.Flags().DurationVar(&f.forTime, "wait-for", 30*time.Second, "how long --wait waits")
	return cmd
}

func (o *options) rollback(ctx context.Context, generation uint64, f applyFlags) error {
	r, err := o.repo()
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	old, err := headAt(actx, r, generation)
	if err != nil {
		return err
	}
	now, _, err := r.Head(actx)
	if err != nil {
		return err
	}
	msg := fmt.Sprintf("rollback to %d", generation)
	if f.message != "" {
		msg += ": " + f.message
	}
	h, err := r.Accept(actx, config.Change{Base: now.Generation, BucketHashes: old.Buckets, Drained: now.Drained, Author: author(), Message: msg})
	if err != nil {
		return err
	}
	return o.accepted(ctx, h, f.wait, f.forTime)
}

func (o *options) drainCmd() *cobra.Command {
	var undo, instance bool
	var f applyFlags
	cmd := &cobra.Command{Use: "drain NAME", Short: "Keep new work from a target, store, service instance or entry instance",
		Long: `Keep new work from a target, store, service instance or entry instance.

What runs there goes on to its end. A drain is part of the generation in force,
beside the files: apply and rollback leave it as it is; drain --undo ends it.`,
		Example: "  shedhoist drain engine-4 --wait\n  shedhoist drain engine-4 --undo\n  shedhoist drain --instance entry-2", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.drain(cmd.Context(), args[0], undo, instance, f)
		}}
	cmd.Flags().BoolVar(&undo, "undo", false, "let new work in again")
	cmd.Flags().BoolVar(&instance, "instance", false, "NAME is an entry instance, which the configuration does not list")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until it is in force everywhere")
	cmd.Flags().DurationVar(&f.forTime, "wait-for", 30*time.Second, "how long --wait waits")
	return cmd
}

func (o *options) drain(ctx context.Context, name string, undo, instance bool, f applyFlags) error {
	r, err := o.repo()
	if err != nil {
		return err
	}
	actx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	now, b, err := inForce(actx, r)
	if err != nil {
		return err
	}
	was := slices.Contains(now.Drained, name)
	switch {
	case !undo && was, undo && !was:
		return &UsageError{Reason: fmt.Sprintf("%s: drained is already %v", name, was)}
	case !undo && !instance && !b.HasMachine(name):
		return &UsageError{Reason: "no target, store or service instance " + strconv.Quote(name) + " (use --instance for an entry instance)"}
	}
	drained, what := slices.Clone(now.Drained), "drain "
	if undo {
		drained, what = slices.DeleteFunc(drained, func(s string) bool { return s == name }), "undrain "
	} else {
		drained = append(drained, name)
		slices.Sort(drained)
	}
	h, err := r.Accept(actx, config.Change{Base: now.Generation, BucketHashes: now.Buckets, Drained: drained, Author: author(), Message: what + name})
	if err != nil {
		return err
	}
	return o.accepted(ctx, h, f.wait, f.forTime)
}
