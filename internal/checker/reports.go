package checker

import "github.com/barrowbridge/barrowbridge/wire"

// Reported records that a worker sends a report.
func (c *Checker) Reported(now Time, machine string, report *wire.Report) {
	raw, err := wire.Marshal(report)
	if err != nil || !wire.FitsIn(raw, wire.MaxBody) {
		c.fail(now, TooLarge, "the report of %s lists %d attempts in more than %d bytes", machine, len(report.Attempts), wire.MaxBody)
	}
}
