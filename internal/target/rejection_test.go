package target

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLargeRejection guards against the first part of a rejection that reaches the caller as all of it.
func TestLargeRejection(t *testing.T) {
	for name, c := range map[string]struct {
		size  int
		whole bool
	}{"at the limit": {maxErrorBodyBytes, true}, "above it": {maxErrorBodyBytes + 1, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("x", c.size)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
				w.WriteHeader(http.StatusUnprocessableEntity)
				_, _ = w.Write([]byte(body)) // the client sees what failed
			}))
			defer srv.Close()
			client := NewClient(time.Second)
			defer client.Close()
			_, err := client.Start(t.Context(), Run{Target: "e-1", Address: srv.Listener.Addr().String(), Path: "/", ID: "id"})
			var rejected *RejectedError
			is.Equal(errors.As(err, &rejected), c.whole)
			if c.whole {
				is.Equal(string(rejected.Body), body)
			}
		})
	}
}
