package metric_test

import (
	"os"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shedhoist/shedhoist/internal/metric"
)

// TestDocumented: each metric stands on the operators' page, by its whole name or
// as a row's further suffix.
func TestDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	metric.Requests("x", "x").Inc()
	metric.LimitRefusals("x", "x").Inc()
	metric.StoreErrors("x").Inc()
	metric.Attempts("x", "x").Inc()
	for _, name := range metrics.ListMetricNames() {
		base, _, _ := strings.Cut(name, "{")
		suffix := strings.TrimPrefix(base, "shedhoist_ledger")
		if !strings.Contains(string(page), "`"+base) && (suffix == base || !strings.Contains(string(page), "`"+suffix+"`")) {
			t.Errorf("%s is not on the page", base)
		}
	}
}
