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

func (o *options) drainCmd() *cobra.Command {
	var undo, instance bool
	var flags applyFlags
	cmd := &cobra.Command{Use: "drain NAME", Short: "Send no new work to a target, store, service instance or entry instance",
		Long: `Send no new work to a target, store, service instance or entry instance.

Work in progress there is completed. A drain is part of the generation in force
but not of the files: apply and rollback leave it unchanged; drain --undo ends it.`,
		Example: "  shedhoist drain engine-4 --wait\n  shedhoist drain engine-4 --undo\n  shedhoist drain --instance entry-2", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.drain(cmd.Context(), args[0], undo, instance, flags)
		}}
	cmd.Flags().BoolVar(&undo, "undo", false, "end the drain")
	cmd.Flags().BoolVar(&instance, "instance", false, "NAME is an entry instance, which the configuration does not list")
	cmd.Flags().BoolVar(&flags.wait, "wait", false, "wait until it is in force everywhere")
	cmd.Flags().DurationVar(&flags.waitTimeout, "wait-for", 30*time.Second, "timeout of --wait")
	return cmd
}

func (o *options) drain(ctx context.Context, name string, undo, instance bool, flags applyFlags) error {
	r, err := o.openRepo()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	current, b, err := currentBundle(callCtx, r)
	if err != nil {
		return err
	}
	wasDrained := slices.Contains(current.Drained, name)
	switch {
	case !undo && wasDrained, undo && !wasDrained:
		return &UsageError{Reason: fmt.Sprintf("%s: drained is already %v", name, wasDrained)}
	case !undo && !instance && !b.HasMachine(name):
		return &UsageError{Reason: "no target, store or service instance " + strconv.Quote(name) + " (use --instance for an entry instance)"}
	}
	drained, action := slices.Clone(current.Drained), "drain "
	if undo {
		drained, action = slices.DeleteFunc(drained, func(s string) bool { return s == name }), "undrain "
	} else {
		drained = append(drained, name)
		slices.Sort(drained)
	}
	h, err := r.Accept(callCtx, config.Change{Base: current.Generation, BucketHashes: current.Buckets, Drained: drained, Author: changeAuthor(), Message: action + name})
	if err != nil {
		return err
	}
	return o.reportAccepted(ctx, h, flags.wait, flags.waitTimeout)
}
