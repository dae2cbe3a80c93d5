// Package metrics holds the Prometheus metrics of a controller.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics is the set of one controller's metrics.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.HistogramVec
	calls    *prometheus.HistogramVec
	steps    prometheus.Histogram
	links    *prometheus.GaugeVec
	refused  *prometheus.CounterVec

	waiting             prometheus.Gauge
	released, cancelled prometheus.Counter
	reported            [2]int // totals of the last call of Chains: released, cancelled
}

// New returns the metrics; queue returns the number of inputs that wait for the core.
func New(queue func() float64) *Metrics {
	seconds := prometheus.ExponentialBuckets(0.0005, 2, 14) // half a millisecond to four seconds
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "barrowbridge_request_seconds",
			Help: "Time to answer a request, by route and status.", Buckets: seconds}, []string{"route", "status"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "barrowbridge_call_seconds",
			Help: "Time of a call to an outside service, its own rate limit included; status 0 is no answer.", Buckets: seconds}, []string{"service", "status"}),
		steps: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "barrowbridge_step_seconds",
			Help: "Time the core takes for one input.", Buckets: prometheus.ExponentialBuckets(0.00001, 2, 14)}),
	}
	m.links = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "barrowbridge_link_level",
		Help: "What is believed of a link: 0 unknown, 1 up, 2 doubt, 3 down."}, []string{"to"})
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "barrowbridge_refused_writes_total",
		Help: "Writes that the state service called malformed, too large a value or transaction mostly, by kind of record."}, []string{"kind"})
	m.waiting = prometheus.NewGauge(prometheus.GaugeOpts{Name: "barrowbridge_jobs_waiting",
		Help: "Jobs that wait for others, of all controllers."})
	m.released = prometheus.NewCounter(prometheus.CounterOpts{Name: "barrowbridge_jobs_released_total",
		Help: "Jobs that this controller has let go on, since all that they await is done."})
	m.cancelled = prometheus.NewCounter(prometheus.CounterOpts{Name: "barrowbridge_jobs_cancelled_with_total",
		Help: "Jobs whose end this controller has written, since one that they await was cancelled."})
	m.registry.MustRegister(m.requests, m.calls, m.steps, m.links, m.refused, m.waiting, m.released, m.cancelled, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "barrowbridge_queue_inputs", Help: "Inputs waiting for the core."}, queue))
	return m
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Request records a request that was answered after d.
func (m *Metrics) Request(route string, status int, d time.Duration) {
	m.requests.WithLabelValues(route, strconv.Itoa(status)).Observe(d.Seconds())
}

// Call records a call to an outside service that took d; status 0 means that no answer came.
func (m *Metrics) Call(service string, status int, d time.Duration) {
	m.calls.WithLabelValues(service, strconv.Itoa(status)).Observe(d.Seconds())
}

// Link records the believed state of a link.
func (m *Metrics) Link(to string, level int) { m.links.WithLabelValues(to).Set(float64(level)) }

// Step records the time that the core took for one input.
func (m *Metrics) Step(d time.Duration) { m.steps.Observe(d.Seconds()) }

// Refused counts a write that the state service called malformed.
func (m *Metrics) Refused(kind string) { m.refused.WithLabelValues(kind).Inc() }

// Chains records how many jobs wait for others, and the totals since this controller started of jobs
// that were released and of jobs that were cancelled together with a predecessor. It is not safe for
// concurrent use.
func (m *Metrics) Chains(waiting, released, cancelled int) {
	m.waiting.Set(float64(waiting))
	m.released.Add(float64(released - m.reported[0]))
	m.cancelled.Add(float64(cancelled - m.reported[1]))
	m.reported = [2]int{released, cancelled}
}
