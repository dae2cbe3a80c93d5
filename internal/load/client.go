// Package load emulates users: it submits, polls and cancels jobs as PROTOCOL
// specifies for users, reports what they observe to a checker, and generates load at
// a given rate.
package load

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Timeouts and retry delays that PROTOCOL specifies for users.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	retryTimeout  = time.Minute
)

// Observer receives the requests of users and the answers to them. sentAt is the time at
// which a request was sent; status 0 means that there was no answer.
type Observer interface {
	Submitting(spec wire.JobSpec)
	Submitted(sentAt time.Duration, id string, status int, st wire.JobStatus)
	Polled(sentAt time.Duration, id string, status int, st wire.JobStatus)
	Aborting(id string)
	Aborted(sentAt time.Duration, id string, status int, st wire.JobStatus)
	Now() time.Duration
}

// Client sends requests to the controllers in turn, like a load balancer.
type Client struct {
	addrs []string
	http  *http.Client
	obs   Observer
	turn  atomic.Uint64
}

// NewClient returns a client of the controllers at addrs. obs may be nil.
func NewClient(addrs []string, obs Observer) *Client {
	if obs == nil {
		obs = discardObserver(time.Now())
	}
	return &Client{addrs: addrs, http: cborhttp.NewClient(500*time.Millisecond, 64), obs: obs}
}

// discardObserver is an Observer that ignores all events; its value is its start time.
type discardObserver time.Time

func (discardObserver) Submitting(wire.JobSpec)                              {}
func (discardObserver) Submitted(time.Duration, string, int, wire.JobStatus) {}
func (discardObserver) Polled(time.Duration, string, int, wire.JobStatus)    {}
func (discardObserver) Aborting(string)                                      {}
func (discardObserver) Aborted(time.Duration, string, int, wire.JobStatus)   {}
func (n discardObserver) Now() time.Duration                                 { return time.Since(time.Time(n)) }

// reply is the outcome of one request; status 0: no answer.
type reply struct {
	status int
	body   wire.JobStatus
	why    string
	after  time.Duration // Retry-After
}

// sendOnce sends a request to the next controller that answers, trying at most three.
func (c *Client) sendOnce(ctx context.Context, method, path string, body any, wait time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var r reply
	for range min(3, len(c.addrs)) {
		addr := c.addrs[int(c.turn.Add(1))%len(c.addrs)]
		status, header, raw, err := cborhttp.Exchange(ctx, c.http, method, "http://"+addr+path, body)
		if err != nil {
			if r.why = err.Error(); ctx.Err() != nil {
				return r
			}
			continue
		}
		r.status, r.why = status, ""
		if s, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
			r.after = time.Duration(s) * time.Second
		}
		_ = wire.Unmarshal(raw, &r.body)
		if status >= 400 {
			var p wire.Problem
			_ = wire.Unmarshal(raw, &p)
			r.why = p.Error
		}
		return r
	}
	return r
}

// retry repeats a request until it gets a definite answer or retryTimeout has passed. It
// calls onReply after each attempt.
func (c *Client) retry(ctx context.Context, method, path string, body any, onReply func(sentAt time.Duration, r reply)) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	for {
		sentAt := c.obs.Now()
		r := c.sendOnce(ctx, method, path, body, submitTimeout)
		onReply(sentAt, r)
		switch r.status {
		case 200, 201:
			return r, nil
		case 400, 404, 422:
			return r, fmt.Errorf("refused with %d: %s", r.status, r.why)
		}
		t := time.NewTimer(min(maxRetryDelay, max(minRetryDelay, r.after)))
		select {
		case <-ctx.Done():
			t.Stop()
			return r, fmt.Errorf("no controller took it within %v: status %d %s", retryTimeout, r.status, r.why)
		case <-t.C:
		}
	}
}

// Submit submits a job, with retries, until it is accepted or permanently refused.
func (c *Client) Submit(ctx context.Context, spec wire.JobSpec) (wire.JobStatus, error) {
	c.obs.Submitting(spec)
	r, err := c.retry(ctx, http.MethodPost, "/v1/jobs", spec, func(sentAt time.Duration, r reply) {
		c.obs.Submitted(sentAt, *spec.ID, r.status, r.body)
	})
	return r.body, err
}

// Abort cancels a job.
func (c *Client) Abort(ctx context.Context, id string) (wire.JobStatus, error) {
	c.obs.Aborting(id)
	r, err := c.retry(ctx, http.MethodPost, "/v1/jobs/"+id+"/abort", nil, func(sentAt time.Duration, r reply) {
		c.obs.Aborted(sentAt, id, r.status, r.body)
	})
	return r.body, err
}

// Poll requests a job's state once; status 0: no answer.
func (c *Client) Poll(ctx context.Context, id string) (int, wire.JobStatus) {
	sentAt := c.obs.Now()
	r := c.sendOnce(ctx, http.MethodGet, "/v1/jobs/"+id, nil, pollTimeout)
	if ctx.Err() == nil { // a poll that the caller cancelled says nothing about the controllers
		c.obs.Polled(sentAt, id, r.status, r.body)
	}
	return r.status, r.body
}

// Wait polls until a job is done or aborted.
func (c *Client) Wait(ctx context.Context, id string, every time.Duration) (wire.JobStatus, error) {
	for {
		status, st := c.Poll(ctx, id)
		if status == 200 && (st.Status == wire.JobDone || st.Status == wire.JobAborted) {
			return st, nil
		}
		select {
		case <-ctx.Done():
			return st, fmt.Errorf("%s is still %s (%s)", id, st.Status, strconv.Itoa(status))
		case <-time.After(every):
		}
	}
}
