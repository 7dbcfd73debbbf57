package breaker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/breaker"
)

// TestTransferBackoff guards against a backoff that is lost or cut short when it is transferred
// from one name to another, and against one transferred that the other name didn't request.
func TestTransferBackoff(t *testing.T) {
	at := func(s int64) time.Time { return time.Unix(s, 0) }
	cases := []struct {
		name string
		act  func(s *breaker.Set)
		want map[string]time.Time
	}{
		{"requested by the previous name", func(s *breaker.Set) { s.RequestBackoffInResponse("a", 10*time.Second, at(40)) }, map[string]time.Time{"a": at(110)}},
		{"time of the call not known", func(s *breaker.Set) { s.RequestBackoff("a", 10*time.Second) }, map[string]time.Time{"a": at(110)}},
		{"requested by the other name", func(s *breaker.Set) { s.RequestBackoffInResponse("a", 10*time.Second, at(60)) }, map[string]time.Time{"a": at(110), "b": at(110)}},
		{"requested by both, a shorter one by the other", func(s *breaker.Set) {
			s.RequestBackoffInResponse("a", 10*time.Second, at(40))
			s.RequestBackoffInResponse("a", 5*time.Second, at(60))
		}, map[string]time.Time{"a": at(110), "b": at(110)}},
		{"the response to an earlier call comes last", func(s *breaker.Set) {
			s.RequestBackoffInResponse("a", 5*time.Second, at(60))
			s.RequestBackoffInResponse("a", 10*time.Second, at(40))
		}, map[string]time.Time{"a": at(110), "b": at(110)}},
		{"the other is in backoff for longer", func(s *breaker.Set) {
			s.RequestBackoffInResponse("a", 5*time.Second, at(60))
			s.RequestBackoff("b", 20*time.Second)
		}, map[string]time.Time{"a": at(105), "b": at(120)}},
		{"longer than the limit of the transfer", func(s *breaker.Set) { s.RequestBackoffInResponse("a", time.Hour, at(60)) }, map[string]time.Time{"a": at(3700), "b": at(115)}},
		{"no backoff requested", func(*breaker.Set) {}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := breaker.New(func() time.Time { return at(100) })
			c.act(s)
			s.TransferBackoff("a", "b", 15*time.Second, func(sent time.Time) bool { return sent.After(at(50)) })
			is.Equal(s.Backoffs(), c.want)
		})
	}
}
