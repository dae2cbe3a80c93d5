// Package load plays users: it submits, polls and cancels jobs as PROTOCOL says
// users do, tells a checker what they saw, and offers load at a set rate.
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

// Times that PROTOCOL gives users.
const (
	submitWait = 5 * time.Second
	pollWait   = 2 * time.Second
	retryAfter = time.Second
	retryMost  = 30 * time.Second
	giveUp     = time.Minute
)

// Observer is told what users ask and hear. asked is when a request was sent.
type Observer interface {
	Submitting(spec wire.JobSpec)
	Submitted(asked time.Duration, id string, status int, st wire.JobStatus)
	Polled(asked time.Duration, id string, status int, st wire.JobStatus)
	Aborting(id string)
	Aborted(asked time.Duration, id string, status int, st wire.JobStatus)
	Now() time.Duration
}

// Client talks to the controllers in turn, as through a load balancer.
type Client struct {
	addrs []string
	http  *http.Client
	obs   Observer
	turn  atomic.Uint64
}

// NewClient returns a client of the controllers at addrs. obs may be nil.
func NewClient(addrs []string, obs Observer) *Client {
	if obs == nil {
		obs = nobody(time.Now())
	}
	return &Client{addrs: addrs, http: cborhttp.NewClient(500*time.Millisecond, 64), obs: obs}
}

// nobody is an Observer that remembers only when it began.
type nobody time.Time

func (nobody) Submitting(wire.JobSpec)                              {}
func (nobody) Submitted(time.Duration, string, int, wire.JobStatus) {}
func (nobody) Polled(time.Duration, string, int, wire.JobStatus)    {}
func (nobody) Aborting(string)                                      {}
func (nobody) Aborted(time.Duration, string, int, wire.JobStatus)   {}
func (n nobody) Now() time.Duration                                 { return time.Since(time.Time(n)) }

// reply is the outcome of one request; status 0: no answer.
type reply struct {
	status int
	body   wire.JobStatus
	why    string
	after  time.Duration // Retry-After
}

// once sends a request to the next controller that takes the connection.
func (c *Client) once(ctx context.Context, method, path string, body any, wait time.Duration) reply {
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

// retry repeats a request until it gets a definite answer or a minute is over.
func (c *Client) retry(ctx context.Context, method, path string, body any, heard func(asked time.Duration, r reply)) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, giveUp)
	defer cancel()
	for {
		asked := c.obs.Now()
		r := c.once(ctx, method, path, body, submitWait)
		heard(asked, r)
		switch r.status {
		case 200, 201:
			return r, nil
		case 400, 404, 422:
			return r, fmt.Errorf("refused with %d: %s", r.status, r.why)
		}
		t := time.NewTimer(min(retryMost, max(retryAfter, r.after)))
		select {
		case <-ctx.Done():
			t.Stop()
			return r, fmt.Errorf("no controller took it within %v: status %d %s", giveUp, r.status, r.why)
		case <-t.C:
		}
	}
}

// Submit submits a job until it is accepted or refused for good.
func (c *Client) Submit(ctx context.Context, spec wire.JobSpec) (wire.JobStatus, error) {
	c.obs.Submitting(spec)
	r, err := c.retry(ctx, http.MethodPost, "/v1/jobs", spec, func(asked time.Duration, r reply) {
		c.obs.Submitted(asked, *spec.ID, r.status, r.body)
	})
	return r.body, err
}

// Abort cancels a job.
func (c *Client) Abort(ctx context.Context, id string) (wire.JobStatus, error) {
	c.obs.Aborting(id)
	r, err := c.retry(ctx, http.MethodPost, "/v1/jobs/"+id+"/abort", nil, func(asked time.Duration, r reply) {
		c.obs.Aborted(asked, id, r.status, r.body)
	})
	return r.body, err
}

// Poll asks for a job's state once; status 0: no answer.
func (c *Client) Poll(ctx context.Context, id string) (int, wire.JobStatus) {
	asked := c.obs.Now()
	r := c.once(ctx, http.MethodGet, "/v1/jobs/"+id, nil, pollWait)
	if ctx.Err() == nil { // a poll that we gave up ourselves says nothing
		c.obs.Polled(asked, id, r.status, r.body)
	}
	return r.status, r.body
}

// Wait polls until a job is over.
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
