package tool

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/shedhoist/shedhoist/internal/config"
)

func (o *options) rollbackCmd() *cobra.Command {
	var flags applyFlags
	cmd := &cobra.Command{Use: "rollback GENERATION", Short: "Create a new generation with the content of an old one",
		Long:    "Create a new generation with the content of an old one. Generation numbers only increase; drains are unchanged.",
		Example: "  shedhoist rollback 11 -m 'v8 answers badly' --wait", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			generation, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return &UsageError{Reason: "GENERATION must be a number, not " + strconv.Quote(args[0])}
			}
			return o.rollback(cmd.Context(), generation, flags)
		}}
	cmd.Flags().StringVarP(&flags.message, "message", "m", "", "why")
	cmd.Flags().BoolVar(&flags.wait, "wait", false, "wait until it is in force everywhere")
	cmd.Flags().DurationVar(&flags.waitTimeout, "wait-for", 30*time.Second, "timeout of --wait")
	return cmd
}

func (o *options) rollback(ctx context.Context, generation uint64, flags applyFlags) error {
	r, err := o.openRepo()
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	old, err := headAt(callCtx, r, generation)
	if err != nil {
		return err
	}
	current, _, err := r.Head(callCtx)
	if err != nil {
		return err
	}
	msg := fmt.Sprintf("rollback to %d", generation)
	if flags.message != "" {
		msg += ": " + flags.message
	}
	h, err := r.Accept(callCtx, config.Change{Base: current.Generation, BucketHashes: old.Buckets, Drained: current.Drained, Author: changeAuthor(), Message: msg})
	if err != nil {
		return err
	}
	return o.reportAccepted(ctx, h, flags.wait, flags.waitTimeout)
}
