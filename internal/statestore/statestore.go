// Package statestore speaks the state service's protocol: calls in, typed
// replies out, held to this controller's share of the service's limits.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Client is safe for concurrent use.
type Client struct {
	base   string
	http   *http.Client
	calls  *shared
	writes *shared
	later  *rate.Limiter // what LaneLater may take of writes
	began  time.Time
}

// shared is our part of a limit that the controllers share, as a limiter.
type shared struct {
	*rate.Limiter
	mu    sync.Mutex
	share *limits.Share
}

func newShared(limit, most float64) *shared {
	p := limits.ShareParams{Min: limit * tuning.ShareLeast, Max: limit * most, Gain: limit * tuning.ShareGain, CutFactor: tuning.ShareCut, CutInterval: tuning.SharePause}
	return &shared{Limiter: rate.NewLimiter(rate.Limit(p.Max), max(1, int(p.Max))), share: limits.NewShare(p)}
}

// learn takes note of how the service answered n units.
func (s *shared) learn(status, n int, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case n == 0:
		return
	case status == http.StatusTooManyRequests:
		s.share.Refused(now)
	case status == http.StatusOK || status == http.StatusConflict || status == http.StatusNotFound:
		s.share.Served(n)
	default:
		return
	}
	s.SetLimit(rate.Limit(s.share.Rate()))
	s.SetBurst(max(1, int(s.share.Rate())))
}

// New returns a client of the service at addr.
func New(addr string, rps, writeRPS float64) *Client {
	return &Client{
		base:   "http://" + addr,
		http:   cborhttp.NewClient(tuning.StateTimeout, 32),
		calls:  newShared(rps, tuning.StateShare),
		writes: newShared(writeRPS, tuning.WriteShare),
		began:  time.Now(),
		later:  rate.NewLimiter(rate.Limit(writeRPS*tuning.LaterShare), max(1, int(writeRPS*tuning.LaterShare))),
	}
}

var errOwnLimit = errors.New("own limit")

// admit waits until the call is within our share of the service's limits. What
// keeps entitlement alive never waits; what users wait for goes before progress,
// which has a smaller share of its own.
func (c *Client) admit(ctx context.Context, call *core.StateCall) error {
	n := len(call.Txn.Then)
	if call.Op == core.OpExtend || call.Op == core.OpWatch || call.Op == core.OpCommit && n > 0 && call.Lane == core.LaneFirst {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.LimitWait)
	defer cancel()
	if n > 0 && call.Lane == core.LaneLater {
		if err := c.later.WaitN(ctx, min(n, c.later.Burst())); err != nil {
			return errOwnLimit
		}
	}
	if n > 0 {
		if err := c.writes.WaitN(ctx, min(n, c.writes.Burst())); err != nil {
			return errOwnLimit
		}
	}
	if err := c.calls.Wait(ctx); err != nil {
		return errOwnLimit
	}
	return nil
}

// Do performs one call. Status 0 means that no usable answer came. A write that
// users wait for and that was refused for the limit, which controllers share
// without asking each other, is tried again a few times.
func (c *Client) Do(ctx context.Context, call core.StateCall) core.StateReply {
	awaited := call.Lane == core.LaneUser && len(call.Txn.Then) > 0
	for tries := 0; ; tries++ {
		if err := c.admit(ctx, &call); err != nil {
			return core.StateReply{Status: http.StatusTooManyRequests, Err: err.Error(), Own: true}
		}
		rep := c.do(ctx, call)
		if n := len(call.Txn.Then); n > 0 {
			c.writes.learn(rep.Status, n, time.Since(c.began))
			// Of what there is: of a limit that has fallen it would take all. The burst stays,
			// since a write counts for no more than that.
			c.later.SetLimit(rate.Limit(float64(c.writes.Limit()) * tuning.LaterShare / tuning.WriteShare))
		} else {
			c.calls.learn(rep.Status, 1, time.Since(c.began))
		}
		if rep.Status != http.StatusTooManyRequests || !awaited || tries == tuning.LimitRetries {
			return rep
		}
		select {
		case <-ctx.Done():
			return rep
		case <-time.After(tuning.LimitPause):
		}
	}
}

// do sends the call once; the wait for our own limits is not in its time.
func (c *Client) do(ctx context.Context, call core.StateCall) core.StateReply {
	timeout := tuning.StateTimeout
	if call.Op == core.OpWatch {
		timeout += call.Hold
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method, path := http.MethodGet, ""
	var body any
	var into any
	var rep core.StateReply
	var item wire.Item
	var list wire.ItemList
	var txn wire.TxnReply
	var lease wire.LeaseReply
	var events wire.Events
	switch call.Op {
	case core.OpGet:
		path, into = "/store/"+call.Key, &item
	case core.OpList:
		q := url.Values{"starts": {call.Key}, "page": {"500"}}
		if call.After != "" {
			q.Set("after", call.After)
		}
		path, into = "/store?"+q.Encode(), &list
	case core.OpCommit:
		method, path, body, into = http.MethodPost, "/commit", call.Txn, &txn
	case core.OpGrant:
		method, path, body, into = http.MethodPost, "/grants", wire.LeaseRequest{TTLMS: tuning.GrantTTL.Milliseconds()}, &lease
	case core.OpExtend:
		method, path, into = http.MethodPost, fmt.Sprintf("/grants/%d/extend", call.Lease), nil
	case core.OpWatch:
		path = fmt.Sprintf("/changes?starts=%s&after=%d&hold_ms=%d", url.QueryEscape(call.Key), call.Revision, call.Hold.Milliseconds())
		into = &events
	}
	status, raw, err := cborhttp.RoundTrip(ctx, c.http, method, c.base+path, body)
	if err != nil {
		return core.StateReply{Err: err.Error()}
	}
	rep.Status = status
	switch {
	case status == http.StatusOK && into != nil:
		if err := wire.Unmarshal(raw, into); err != nil {
			return core.StateReply{Err: "bad answer: " + err.Error()}
		}
	case call.Op == core.OpCommit && status == http.StatusConflict:
		if err := wire.Unmarshal(raw, &txn); err != nil {
			return core.StateReply{Err: "bad answer: " + err.Error()}
		}
	case call.Op == core.OpGet && status == http.StatusNotFound:
		if err := wire.Unmarshal(raw, &list); err != nil { // carries the revision
			return core.StateReply{Err: "bad answer: " + err.Error()}
		}
	case status >= 400:
		var p wire.Problem
		if wire.Unmarshal(raw, &p) == nil {
			rep.Err = p.Error
		}
	}
	rep.Item, rep.List, rep.Txn, rep.Lease, rep.Events = item, list, txn, lease.Lease, events
	return rep
}
