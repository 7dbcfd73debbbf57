package wait_test

import (
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shedhoist/shedhoist/internal/wait"

	"github.com/matryer/is"
)

// TestGroupStartsWhileAwaited guards against a process that panics at the end of its stop, because a goroutine that the
// group doesn't count, like that of a request, starts one of the group just as the last one has ended.
func TestGroupStartsWhileAwaited(t *testing.T) {
	is := is.New(t)
	var g wait.Group
	var ended atomic.Int64
	const starts = 20000
	started := make(chan struct{})
	go func() {
		defer close(started)
		for range starts {
			g.Go(func() { ended.Add(1) })
			runtime.Gosched() // the group is empty again and again
		}
	}()
	for waiting := true; waiting; {
		g.Wait()
		select {
		case <-started:
			waiting = false
		default:
		}
	}
	g.Wait()
	is.Equal(ended.Load(), int64(starts))
}

// TestGroupWaitsForAll guards against a stop that ends before what it waits for, or never.
func TestGroupWaitsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g wait.Group
		g.Wait() // nothing was started
		ended := 0
		start := time.Now()
		g.Go(func() {
			time.Sleep(time.Second)
			g.Go(func() { // started while awaited
				time.Sleep(time.Second)
				ended++
			})
		})
		g.Wait()
		is.Equal(time.Since(start), 2*time.Second)
		is.Equal(ended, 1)
	})
}
