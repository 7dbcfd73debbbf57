package requestlog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shedhoist/shedhoist/internal/requestlog"
)

// TestRetryWindows guards against retries of a fleet that can't be told apart by cause: those of instances that
// have just started, those that nobody was charged for, and those of instances that know too few others.
func TestRetryWindows(t *testing.T) {
	is := is.New(t)
	retry := func(ms int, instance, service, ended, budget string, instances, upMS int) string {
		return logLine(ms, instance, "attempt failed", fmt.Sprintf(`"request":"r","service":%q,"ended":%q,"next":"retry","budget":%q,"budget_instances":%d,"up_ms":%d`,
			service, ended, budget, instances, upMS))
	}
	lines := []string{
		retry(1000, "a", "s", "refused", "charged", 12, 60_000), // before the worst window
		retry(20_000, "a", "s", "refused", "charged", 12, 60_000),
		logLine(21_000, "b", "started", `"callers":"x"`),
		retry(21_500, "b", "s", "refused", "charged", 10, 500),
		retry(21_600, "b", "s", "not sent", "free", 0, 0),
		retry(22_000, "b", "s", "broke within the answer", "exhausted", 10, 1000),
		retry(22_500, "b", "other", "refused", "charged", 10, 1500),
		logLine(23_000, "b", "request", `"request":"r","service":"s","outcome":"done","lines_left_out":4`),
		retry(29_900, "c", "s", "broke within the answer", "charged", 12, 60_000),
	}
	read, err := requestlog.Read(strings.NewReader(strings.Join(lines, "\n")))
	is.NoErr(err)
	got := requestlog.RetryWindows(read, 10*time.Second)
	is.Equal(len(got), 2)
	is.Equal(got[1].Service, "other")
	w := got[0]
	is.Equal(w.Start, read[1].Time)
	w.Start = time.Time{}
	is.Equal(w, requestlog.RetryWindow{Service: "s", Requests: 5, Charged: 3, Free: 1, Exhausted: 1, ByCause: map[string]int{"refused": 2, "broke within the answer": 1},
		ByInstance: map[string]int{"a": 1, "b": 1, "c": 1}, AfterStart: 1, Starts: 1, MinInstances: 10, MaxInstances: 12})
}

// TestExhaustedBudget guards against a request that ends for want of a retry without a word of it.
func TestExhaustedBudget(t *testing.T) {
	attempt := func(budget string) string {
		return logLine(4900, "a", "attempt failed", fmt.Sprintf(`"request":"r","target":"t1","ended":"refused","service":"s","budget":%q,"budget_balance":0.25,"budget_instances":9,"up_ms":2500`, budget))
	}
	end := logLine(5000, "a", "request", `"request":"r","outcome":"overloaded","status":503`)
	for budget, want := range map[string][]string{
		"exhausted": {"no further attempt: a had 0.25 retries left for service s, of a budget for 9 instances, 2.5s after its start"},
		"charged":   nil,
		"not-asked": nil,
	} {
		t.Run(budget, func(t *testing.T) {
			is.New(t).Equal(findingsOn(t, []string{attempt(budget), end}, "no further attempt"), want)
		})
	}
}
