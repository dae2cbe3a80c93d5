package checker

import "github.com/barrowbridge/barrowbridge/wire"

// smallestEntry is less than any entry of a report takes: {"piece":"job-000412/3","try":1,"status":"ended"}.
const smallestEntry = 40

// Reported records that a worker sends a report.
func (c *Checker) Reported(now Time, machine string, report *wire.Report) {
	if len(report.Attempts) < wire.MaxBody/smallestEntry/2 { // far from the limit, as most reports are
		return
	}
	raw, err := wire.Marshal(report)
	if err != nil || !wire.FitsIn(raw, wire.MaxBody) {
		c.fail(now, TooLarge, "the report of %s lists %d attempts in more than %d bytes", machine, len(report.Attempts), wire.MaxBody)
	}
}
