package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCapsRetryAfter: a caller whose request was turned away by targets that want rest for long
// is told to come back soon: they told one instance, and the next one may be served.
func TestCapsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		long := overloadedUntil(time.Hour, 20*time.Second)
		f := newBackoffFleet(t, 1, long, long, long, long)
		defer f.end()
		a := f.send(0, pathOnce, "x") // it ends with a target's refusal
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(!a.isBackoffRefusal())
		is.True(a.retryAfter >= retryAfterShort)
		is.True(a.retryAfter <= maxRetryAfter)
	})
}
