package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCapsRetryAfter checks that a long backoff requested by the targets that refused a
// request is shortened to maxRetryAfter for the caller: they told one instance only, and
// the retry may reach another one.
func TestCapsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		long := overloadedUntil(time.Hour, 20*time.Second)
		f := newBackoffFleet(t, 1, long, long, long, long)
		defer f.end()
		a := f.send(0, pathOnce, "x") // ends with a target's refusal
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(!a.isBackoffRefusal())
		is.True(a.retryAfter >= retryAfterShort)
		is.True(a.retryAfter <= maxRetryAfter)
	})
}
