package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/config"
	"github.com/shedhoist/shedhoist/internal/problem"
	"github.com/shedhoist/shedhoist/internal/settings"
	"github.com/shedhoist/shedhoist/internal/standin/fleet"
)

// Times of the tests, so far apart that no machine is too slow for them.
const (
	drainHour   = time.Hour
	fitsInHour  = 10 * time.Minute
	outlastHour = 2 * time.Hour
)

// startDraining runs one instance whose models and services may last so long, and which has no
// notice and an hour to drain.
func startDraining(t *testing.T, lasts time.Duration) *fleet.Fleet {
	t.Helper()
	return start(t, fleet.Options{Instances: 1, Engines: 1, Services: 1,
		Settings: func(s *settings.Settings) {
			s.Timing.DrainNoticeMS, s.Timing.DrainMS = 0, int(drainHour.Milliseconds())
			s.Limits.HeaderSeconds = 600
		},
		Edit: func(b *config.Bundle) {
			b.Models[0].DeadlineMS, b.Services[0].TimeoutMS = int(lasts.Milliseconds()), int(lasts.Milliseconds())
		}})
}

// lateRequests are requests in two pieces, of which one comes before a stop and one after.
func lateRequests(key string) map[string][2]string {
	const body = `{"model":"` + fleet.Model + `","prompt":"late","max_tokens":2,"stream":true}`
	head := "Host: a.example\r\nAuthorization: Bearer " + key + "\r\n"
	return map[string][2]string{
		"model, from its header on": {"POST /v1/completions HTTP/1.1\r\n", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)},
		"model, from its body on":   {"POST /v1/completions HTTP/1.1\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body},
		"service":                   {"GET /services/" + fleet.Service + "/shifts HTTP/1.1\r\n", head + "\r\n"},
	}
}

// TestShutdownRefusesWhatItWouldCut guards against a request that comes after the notice, may
// last longer than the drain, and is taken and cut; one that ends in time is served.
func TestShutdownRefusesWhatItWouldCut(t *testing.T) {
	for lasts, want := range map[time.Duration]int{fitsInHour: http.StatusOK, outlastHour: http.StatusServiceUnavailable} {
		for name := range lateRequests("") {
			t.Run(fmt.Sprintf("%s/%v", name, lasts), func(t *testing.T) {
				is := is.New(t)
				f := startDraining(t, lasts)
				d, pieces := f.Daemons[0], lateRequests(f.Keys[0])[name]
				conn, err := net.Dial("tcp", d.CallerAddr())
				is.NoErr(err)
				defer conn.Close()
				_, err = io.WriteString(conn, pieces[0])
				is.NoErr(err)
				stopped := make(chan error, 1)
				go func() { stopped <- f.StopInstance(t.Context(), 0) }()
				eventually(t, "it stops", func() bool { return !d.Ready() })
				_, err = io.WriteString(conn, pieces[1])
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, want)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				if want != http.StatusOK {
					is.True(resp.Close)
					is.True(strings.Contains(string(body), `"`+string(problem.NotRun)+`"`))
					is.True(resp.Header.Get("Retry-After") != "")
					is.Equal(f.Engines[0].Counters().Runs, 0)
				}
				conn.Close()
				is.NoErr(<-stopped)
			})
		}
	}
}
