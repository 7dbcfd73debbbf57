package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/shedhoist/shedhoist/internal/platform"
	"github.com/shedhoist/shedhoist/internal/wait"
)

// An instance that starts misses the streams that began before, unless there are none: without that knowledge
// the first instances of a fleet would refuse callers that name no stream for as long as streams may be taken
// up. So the first stream leaves a mark in the object store, and an instance that finds none there misses no
// stream. In a large fleet only the watchers read the store.

// Kind, name and value of the mark.
const (
	streamMarkKind  = "shedhoist-streams"
	streamMarkName  = "mark"
	streamMarkValue = `{"begun":true}`
)

// runMark reads the mark once the targets are listed, and writes it when a stream has begun. A large fleet
// has it from the start, since instances that don't read it don't know when to write it.
func (s *streamVersions) runMark(ctx context.Context) {
	for s.g.isJoining() || !s.g.view.Load().TargetsListed {
		if !wait.For(ctx, minWatchInterval) {
			return
		}
	}
	if s.readsMark() && s.retryMark(ctx, s.readMark) {
		return
	}
	for s.readsMark() && !s.isLargeFleet() {
		if s.begun.Wait(ctx, time.Minute) {
			break
		}
		if ctx.Err() != nil {
			return
		}
	}
	if s.readsMark() {
		s.retryMark(ctx, s.writeMark)
	}
}

// isLargeFleet reports whether only the watchers read the object store.
func (s *streamVersions) isLargeFleet() bool { return len(s.g.view.Load().Alive) > maxSmallFleet }

func (s *streamVersions) readsMark() bool { return !s.isLargeFleet() || s.g.view.Load().IsWatcher }

// retryMark calls step until it succeeds, and returns whether the mark was there.
func (s *streamVersions) retryMark(ctx context.Context, step func(context.Context) (marked bool, err error)) bool {
	for failures := 1; ; failures++ {
		marked, err := step(ctx)
		if err == nil {
			return marked
		}
		s.g.log.WithError(err).WithField("failures", failures).Info("mark of the first stream not read or written")
		if !wait.For(ctx, retryPause(failures)) {
			return false
		}
	}
}

// readMark looks for the mark. If there is none, no stream began before the targets were listed here.
func (s *streamVersions) readMark(ctx context.Context) (marked bool, err error) {
	_, err = s.g.store.Get(ctx, streamMarkKind, streamMarkName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		s.records.NoneBefore()
		s.history.NoneBefore()
		return false, nil
	}
	return err == nil, err
}

// writeMark writes the mark, unless another instance has.
func (s *streamVersions) writeMark(ctx context.Context) (marked bool, err error) {
	_, err = s.g.store.Put(ctx, streamMarkKind, streamMarkName, []byte(streamMarkValue), 0)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return true, nil
	}
	return err == nil, err
}
