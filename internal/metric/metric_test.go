package metric_test

import (
	"os"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/shedhoist/shedhoist/internal/metric"
)

// TestDocumented guards against metrics that docs/METRICS.md doesn't list, by full
// name or as an additional suffix in a row.
func TestDocumented(t *testing.T) {
	docs, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	metric.Requests("x", "x").Inc()
	metric.LimitRefusals("x", "x").Inc()
	metric.StoreErrors("x").Inc()
	metric.Attempts("x", "x").Inc()
	metric.LevelRefusals(1).Inc()
	for _, name := range metrics.ListMetricNames() {
		family, _, _ := strings.Cut(name, "{")
		suffix := strings.TrimPrefix(family, "shedhoist_ledger")
		if !strings.Contains(string(docs), "`"+family) && (suffix == family || !strings.Contains(string(docs), "`"+suffix+"`")) {
			t.Errorf("%s is not listed in docs/METRICS.md", family)
		}
	}
}
