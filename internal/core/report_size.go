package core

import (
	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/wire"
)

// reportBytes returns what an attempt takes of its machine's report at most, whatever becomes of it.
func (a *attempt) reportBytes() float64 {
	if a.sizeKnown {
		return a.size.ReportBytes
	}
	return float64(reportsize.Entry(a.key.task))
}

// freeOnceCleared returns the free capacity of a machine once its ended attempts are cleared, which
// takes no longer than it takes to stop others.
func (c *Core) freeOnceCleared(m *machine) placement.Size {
	usage := c.usageOf(m)
	free := usage.free
	free.ReportBytes += usage.endedReportBytes
	return free
}

// measureHeader notes what a machine's reports take beside the entries of attempts.
func (c *Core) measureHeader(m *machine, r *wire.Report) {
	if header := reportsize.Header(r); header != m.reportHeader {
		m.reportHeader, m.usage.valid = header, false
		c.markDirty(m)
	}
}

// shrinkReport stops attempts on a machine whose report is larger than the protocol allows, until the
// others' entries fit. No attempt is placed beyond that limit, but a controller of an earlier version
// may have started more. Other controllers may refuse such a report, which would cost the worker its
// lease and all its tasks.
func (c *Core) shrinkReport(m *machine, r *wire.Report) {
	if !m.accounted || !reportsize.Exceeds(r) {
		return
	}
	var live []reportsize.Live[*attempt]
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if a.status == wire.TaskEnded || a.stopping || !c.jobIsLive(a) {
			continue // leaves the report soon
		}
		live = append(live, reportsize.Live[*attempt]{Handle: a, Rank: c.jobs[a.job].rank, Bytes: a.reportBytes(), Since: int64(a.runningSince)})
	}
	excess := reportsize.Excess(live, reportsize.Available(m.reportHeader))
	c.log(0, "report larger than the protocol allows", "machine", m.name, "attempts", len(r.Attempts), "stopped", len(excess))
	for _, a := range excess {
		if !a.startSent && a.status == "" {
			c.attemptLost(a, "its machine's report is too large")
			continue
		}
		c.stopAttempt(a)
		c.recordTaskEvent(trail.TaskStopped, a, "its machine's report is too large")
	}
}
