package load

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/wire"
)

// SiteUsers tells a site's checker what its users saw.
type SiteUsers struct{ Site *site.Site }

// Now is the site's time.
func (u SiteUsers) Now() time.Duration { return u.Site.Now() }

// Submitting tells that a user is about to submit.
func (u SiteUsers) Submitting(spec wire.JobSpec) {
	u.Site.Check(func(_ time.Duration, c *checker.Checker) { c.Submitting(spec) })
}

// Submitted tells of an answer to a submission.
func (u SiteUsers) Submitted(asked time.Duration, id string, status int, st wire.JobStatus) {
	u.Site.Check(func(now time.Duration, c *checker.Checker) { c.Submitted(now, asked, id, status, st) })
}

// Polled tells of an answer to a poll.
func (u SiteUsers) Polled(asked time.Duration, id string, status int, st wire.JobStatus) {
	u.Site.Check(func(now time.Duration, c *checker.Checker) { c.Polled(now, asked, id, status, st) })
}

// Aborting tells that a user is about to cancel.
func (u SiteUsers) Aborting(id string) {
	u.Site.Check(func(_ time.Duration, c *checker.Checker) { c.Aborting(id) })
}

// Aborted tells of an answer to a cancellation.
func (u SiteUsers) Aborted(asked time.Duration, id string, status int, st wire.JobStatus) {
	u.Site.Check(func(now time.Duration, c *checker.Checker) { c.Aborted(now, asked, id, status, st) })
}
