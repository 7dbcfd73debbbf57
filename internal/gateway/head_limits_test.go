package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/catalog"
	"github.com/shedhoist/shedhoist/internal/resources"
)

// limitsCodec is linkCodec whose configurations limit heads by their version: version n allows n kB, and n seconds.
type limitsCodec struct{ linkCodec }

// DecodeConfig implements Codec.
func (c limitsCodec) DecodeConfig(value []byte) (*catalog.Config, error) {
	cfg, err := c.linkCodec.DecodeConfig(value)
	if err == nil {
		cfg.Limits = catalog.Limits{HeaderBytes: int(cfg.Version) << 10, HeaderTimeout: time.Duration(cfg.Version) * time.Second}
	}
	return cfg, err
}

// TestLimitsOfConfiguration guards against limits on heads that the configuration names and that are not in force, at
// first or after a change.
func TestLimitsOfConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSlowFleet(t, 0, limitsCodec{})
		defer f.stop()
		status := func(text string) int {
			c := f.connect()
			defer c.Close()
			_, err := io.WriteString(c, text)
			is.NoErr(err)
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				return 0
			}
			resp.Body.Close()
			return resp.StatusCode
		}
		begun := "GET " + pathSafe + answersMedium + " HTTP/1.1\r\nHost: " + anyHost + "\r\n" + trafficID + ": a\r\n" + trafficKey + ": key\r\n"
		head := func(bytes int) string { return begun + "A: " + strings.Repeat("x", bytes) + "\r\n\r\n" }
		for version := 1; version <= 5; version += 2 {
			f.store.set(memoryConfigs, memoryConfig, storedConfig{Version: uint64(version), Keys: []string{"key"}})
			time.Sleep(10 * time.Second)
			is.Equal(f.gateways[0].configVersion(), uint64(version))
			is.Equal(status(head(version<<10-200)), http.StatusOK)
			is.Equal(status(head(version<<10)), http.StatusRequestHeaderFieldsTooLarge)
			began, timeout := time.Now(), time.Duration(version)*time.Second
			is.Equal(status(begun), http.StatusRequestTimeout)
			is.True(time.Since(began) >= timeout && time.Since(began) <= 2*timeout) // the clock is the test's own
		}
	})
}

// TestFewDescriptors guards against a process that says that it is ready and refuses all requests, since callers get too few
// descriptors, and against a refusal for them that speaks of memory.
func TestFewDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetWith(t, 1, 1, 1, fleetOptions{editSettings: func(set *Settings) { set.Descriptors = resources.MinDescriptors }})
		defer f.stop()
		got := make(chan trafficResponse, resources.ShareDescriptors(resources.MinDescriptors).Callers)
		for range cap(got) {
			go func() { got <- f.request(0, pathOnce, slowBody) }()
		}
		served := 0
		for range cap(got) {
			r := <-got
			if r.status == http.StatusOK {
				served++
				continue
			}
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.True(strings.Contains(r.body, "descriptors"))
		}
		is.True(served >= 10 && served < cap(got))
	})
}
