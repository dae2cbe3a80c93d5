package load

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/wire"
)

// SiteUsers is an Observer that reports to the checker of a site.
type SiteUsers struct{ Site *site.Site }

// Now returns the site's time.
func (u SiteUsers) Now() time.Duration { return u.Site.Now() }

// Submitting reports that a user is about to submit a job.
func (u SiteUsers) Submitting(spec wire.JobSpec) {
	u.Site.Check(func(_ time.Duration, c *checker.Checker) { c.Submitting(spec) })
}

// Submitted reports the answer to a submission.
func (u SiteUsers) Submitted(sentAt time.Duration, id string, status int, st wire.JobStatus) {
	u.Site.Check(func(now time.Duration, c *checker.Checker) { c.Submitted(now, sentAt, id, status, st) })
}

// Polled reports the answer to a poll.
func (u SiteUsers) Polled(sentAt time.Duration, id string, status int, st wire.JobStatus) {
	u.Site.Check(func(now time.Duration, c *checker.Checker) { c.Polled(now, sentAt, id, status, st) })
}

// Aborting reports that a user is about to cancel a job.
func (u SiteUsers) Aborting(id string) {
	u.Site.Check(func(_ time.Duration, c *checker.Checker) { c.Aborting(id) })
}

// Aborted reports the answer to a cancellation.
func (u SiteUsers) Aborted(sentAt time.Duration, id string, status int, st wire.JobStatus) {
	u.Site.Check(func(now time.Duration, c *checker.Checker) { c.Aborted(now, sentAt, id, status, st) })
}
