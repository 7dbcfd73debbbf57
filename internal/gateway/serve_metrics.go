package gateway

import (
	"net/http"

	"github.com/shedhoist/shedhoist/internal/core/staleness"
	"github.com/shedhoist/shedhoist/internal/metric"
)

// serveMetrics writes all metrics, including gauges of this instance's current state.
func (g *Gateway) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	v := g.view.Load()
	metric.SetGauge("shedhoist_config_version", float64(g.configVersion()))
	metric.SetGauge("shedhoist_config_version_heard", float64(v.NewestReportedConfig))
	metric.SetGauge("shedhoist_config_bytes", float64(v.ConfigBytes))
	if age, known := g.staleness.Age(staleness.Config, g.now()); known {
		metric.SetGauge("shedhoist_config_age_seconds", age.Seconds())
	}
	metric.SetGauge("shedhoist_targets", float64(len(v.Targets)))
	metric.SetGauge("shedhoist_zones_evacuated", float64(len(v.EvacuatedZones)))
	metric.SetGauge("shedhoist_instances_alive", float64(len(v.Alive)))
	metric.SetGauge("shedhoist_store_reached", boolGauge(v.StoreReachable))
	metric.SetGauge("shedhoist_targets_reached", boolGauge(!g.targetLinks.lost()))
	metric.SetGauge("shedhoist_ready", boolGauge(g.Ready()))
	metric.SetGauge("shedhoist_requests_in_hand", float64(g.inFlight.Load()))
	metric.SetGauge("shedhoist_buffer_limit_bytes", float64(g.buffers.Limit()))
	metric.SetGauge("shedhoist_buffer_bytes", float64(g.buffers.Held()))
	metric.SetGauge("shedhoist_read_ahead_bytes", float64(g.buffers.HeldByStreams()))
	metric.SetGauge("shedhoist_limited_targets", float64(g.limits.known.Count()))
	metric.SetGauge("shedhoist_customers_over_fair_share", float64(g.customerShares.countAbove()))
	g.retryBudgets.setGauges()
	metric.Write(w)
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
