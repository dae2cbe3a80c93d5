// Package statestore is the client of the state service. It keeps to this controller's share of the
// service's rate limits.
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

// Client makes calls of the state service. It is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	calls     *sharedLimit
	writes    *sharedLimit
	deferred  *rate.Limiter // what writes of LaneDeferred may use of the limit on changes
	startedAt time.Time
}

// sharedLimit limits the rate to this controller's part of a limit that all controllers share.
type sharedLimit struct {
	*rate.Limiter
	mu    sync.Mutex
	share *limits.Share
}

func newSharedLimit(limit, most float64) *sharedLimit {
	p := limits.ShareParams{
		Min:         limit * tuning.MinRateShare,
		Max:         limit * most,
		Gain:        limit * tuning.RateShareGain,
		CutFactor:   tuning.RateShareCut,
		CutInterval: tuning.RateShareCutInterval,
	}
	return &sharedLimit{Limiter: rate.NewLimiter(rate.Limit(p.Max), max(1, int(p.Max))), share: limits.NewShare(p)}
}

// record adapts the rate to how the service answered a call that uses n units of the limit.
func (s *sharedLimit) record(status, n int, now time.Duration) {
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

// New returns a client of the service at addr, with the service's limits on requests and on changes
// per second.
func New(addr string, rps, writeRPS float64) *Client {
	return &Client{
		base:      "http://" + addr,
		http:      cborhttp.NewClient(tuning.StateCallTimeout, 32),
		calls:     newSharedLimit(rps, tuning.StateCallShare),
		writes:    newSharedLimit(writeRPS, tuning.StateWriteShare),
		startedAt: time.Now(),
		deferred:  rate.NewLimiter(rate.Limit(writeRPS*tuning.DeferredWriteShare), max(1, int(writeRPS*tuning.DeferredWriteShare))),
	}
}

// errOwnLimit is returned for a call that would wait too long for this controller's own rate limits.
var errOwnLimit = errors.New("own limit")

// waitForLimits waits until the call is within this controller's share of the service's limits.
// Calls on which the authority to act depends never wait. Writes that users wait for go before
// deferred writes, which have a smaller share of their own.
func (c *Client) waitForLimits(ctx context.Context, call *core.StateCall) error {
	n := len(call.Txn.Then)
	if call.Op == core.OpExtend || call.Op == core.OpWatch || call.Op == core.OpCommit && n > 0 && call.Lane == core.LaneAuthority {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.RateLimitMaxWait)
	defer cancel()
	if n > 0 && call.Lane == core.LaneDeferred {
		if err := c.deferred.WaitN(ctx, min(n, c.deferred.Burst())); err != nil {
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

// Do performs one call. Status 0 means that no usable answer came. A write that users wait for is
// repeated a few times if the service refused it for its rate limit, since the controllers share
// that limit without coordination.
func (c *Client) Do(ctx context.Context, call core.StateCall) core.StateReply {
	awaited := call.Lane == core.LaneUser && len(call.Txn.Then) > 0
	for tries := 0; ; tries++ {
		if err := c.waitForLimits(ctx, &call); err != nil {
			return core.StateReply{Status: http.StatusTooManyRequests, Err: err.Error(), OwnLimit: true}
		}
		reply := c.send(ctx, call)
		if n := len(call.Txn.Then); n > 0 {
			c.writes.record(reply.Status, n, time.Since(c.startedAt))
			// Deferred writes get a share of the rate that the service currently allows: of a limit
			// that has fallen they would otherwise use everything. The burst stays, since no write
			// counts for more than the burst.
			c.deferred.SetLimit(rate.Limit(float64(c.writes.Limit()) * tuning.DeferredWriteShare / tuning.StateWriteShare))
		} else {
			c.calls.record(reply.Status, 1, time.Since(c.startedAt))
		}
		if reply.Status != http.StatusTooManyRequests || !awaited || tries == tuning.RateLimitRetries {
			return reply
		}
		select {
		case <-ctx.Done():
			return reply
		case <-time.After(tuning.RateLimitRetryDelay):
		}
	}
}

// send sends the call once. Its timeout does not include the wait for this controller's own limits.
func (c *Client) send(ctx context.Context, call core.StateCall) core.StateReply {
	timeout := tuning.StateCallTimeout
	if call.Op == core.OpWatch {
		timeout += call.Hold
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method, path := http.MethodGet, ""
	var body any
	var into any
	var reply core.StateReply
	var item wire.Item
	var list wire.ItemList
	var txn wire.TxnReply
	var lease wire.LeaseReply
	var events wire.Events
	switch call.Op {
	case core.OpGet:
		path, into = "/store/"+call.Key, &item
	case core.OpList:
		query := url.Values{"starts": {call.Key}, "page": {"500"}}
		if call.After != "" {
			query.Set("after", call.After)
		}
		path, into = "/store?"+query.Encode(), &list
	case core.OpCommit:
		method, path, body, into = http.MethodPost, "/commit", call.Txn, &txn
	case core.OpGrant:
		method, path, body, into = http.MethodPost, "/grants", wire.LeaseRequest{TTLMS: tuning.StateLeaseTTL.Milliseconds()}, &lease
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
	reply.Status = status
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
		if err := wire.Unmarshal(raw, &list); err != nil { // an absent key is answered with the revision
			return core.StateReply{Err: "bad answer: " + err.Error()}
		}
	case status >= 400:
		var p wire.Problem
		if wire.Unmarshal(raw, &p) == nil {
			reply.Err = p.Error
		}
	}
	reply.Item, reply.List, reply.Txn, reply.Lease, reply.Events = item, list, txn, lease.Lease, events
	return reply
}
