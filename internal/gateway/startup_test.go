package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
)

// TestPromptsAwaitVersionAges guards against prompts that an instance sends right after its start, before it can
// know that weights were replaced, and against prompts that wait for what nobody tells.
func TestPromptsAwaitVersionAges(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		name     string
		prompt   bool
		uptime   time.Duration // at the request's arrival
		listedIn time.Duration // the named versions
		agesIn   time.Duration // their ages
		timeout  time.Duration // of the caller; 0: none
		wantWait time.Duration
	}{
		{"all known", true, 0, 0, 0, 0, 0},
		{"no prompt", false, 0, never, never, 0, 0},
		{"ages are told", true, 0, 0, 20 * time.Millisecond, 0, 20 * time.Millisecond},
		{"nobody tells ages", true, 0, 0, never, 0, versionAgesWait},
		{"nobody tells ages, some time after the start", true, versionAgesWait - 50*time.Millisecond, 0, never, 0, 50 * time.Millisecond},
		{"nobody tells ages, long after the start", true, time.Minute, 0, never, 0, 0},
		{"versions are listed late", true, 0, 400 * time.Millisecond, 400 * time.Millisecond, 0, 400 * time.Millisecond},
		{"versions are not listed", true, 0, never, never, 0, startupWait},
		{"short timeout of the caller", true, 0, never, never, 300 * time.Millisecond, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := &Gateway{startup: newStartupLatches(), now: time.Now, startedAt: time.Now().Add(-c.uptime)}
				start := time.Now()
				publish := func() {
					since := time.Since(start)
					v := &View{Config: &catalog.Config{}, TargetsListed: true, VersionsListed: since >= c.listedIn, VersionAgesMissing: since < c.agesIn}
					g.view.Store(v)
					g.startup.open(v)
				}
				publish()
				listed, ages := time.AfterFunc(c.listedIn, publish), time.AfterFunc(c.agesIn, publish)
				defer listed.Stop()
				defer ages.Stop()
				x := &exchange{g: g, r: (&http.Request{}).WithContext(t.Context()), arrived: start, view: g.view.Load(), call: CallerRequest{Timeout: c.timeout}}
				if c.prompt {
					x.call.Prompt = &Prompt{}
				}
				x.awaitStartup()
				is.Equal(time.Since(start), c.wantWait)
			})
		})
	}
}
