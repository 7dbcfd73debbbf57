package gateway

import (
	"os"
	"syscall"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
)

// TestRepeatedSignals guards against requests that are cut because the platform sends SIGTERM again to a process that stops
// already. SIGINT still ends it at once.
func TestRepeatedSignals(t *testing.T) {
	is := is.New(t)
	signals, aborted, ended := make(chan os.Signal), 0, make(chan struct{})
	go func() {
		defer close(ended)
		abortOnInterrupt(signals, func() { aborted++ }, &log.Logger{Handler: discard.Default})
	}()
	for _, s := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		select {
		case signals <- s:
		case <-ended:
			t.Fatal("a repeated signal aborts the stop")
		}
	}
	signals <- syscall.SIGINT
	<-ended
	is.Equal(aborted, 1)
}
