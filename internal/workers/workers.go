// Package workers sends direct commands to workers, as POST /orders of the protocol. The commands
// are hints: those that cannot be sent soon are dropped.
package workers

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Client sends commands to workers. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	queue  chan call
	log    *slog.Logger
	onDone func(status int, took time.Duration)
}

// call is a queued call to one worker.
type call struct {
	addr   string
	orders *wire.Orders // nil: only asks for the report
	answer func(status int, r wire.Report)
}

// New returns a client that works until the context ends. onDone is called after each call, with
// status 0 for a call without an answer.
func New(ctx context.Context, log *slog.Logger, onDone func(status int, took time.Duration)) *Client {
	c := &Client{
		queue:  make(chan call, tuning.WorkerCallQueueSize),
		log:    log,
		onDone: onDone,
		// Keeping a connection to each of a thousand workers would cost more sockets than it saves.
		http: &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: tuning.WorkerCallTimeout}).DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
	for range tuning.MaxWorkerCalls {
		go c.run(ctx)
	}
	return c
}

// Send queues a call with commands and reports whether the queue had space for it. answer, if not
// nil, receives the worker's report as of after the call, or as of before it if the worker
// refused the call (409); status 0 means that no report arrived. answer is not called if the
// queue was full.
func (c *Client) Send(addr string, o wire.Orders, answer func(status int, r wire.Report)) bool {
	return c.enqueue(call{addr, &o, answer})
}

// Inspect queues a call that only asks for the worker's report. It returns and calls answer as
// Send does.
func (c *Client) Inspect(addr string, answer func(status int, r wire.Report)) bool {
	return c.enqueue(call{addr, nil, answer})
}

// enqueue reports whether the queue had space for a call.
func (c *Client) enqueue(next call) bool {
	select {
	case c.queue <- next:
		return true
	default:
		return false
	}
}

// run makes the queued calls, one after the other, until the context ends.
func (c *Client) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-c.queue:
			start := time.Now()
			ctx, cancel := context.WithTimeout(ctx, tuning.WorkerCallTimeout)
			method, path, body := http.MethodGet, "/inspect", any(nil)
			if next.orders != nil {
				method, path, body = http.MethodPost, "/orders", *next.orders
			}
			status, raw, err := cborhttp.RoundTrip(ctx, c.http, method, "http://"+next.addr+path, body)
			cancel()
			if err != nil {
				c.log.Debug("no answer to direct commands", "to", next.addr, "err", err.Error())
			}
			c.onDone(status, time.Since(start))
			if next.answer != nil {
				var r wire.Report
				if wire.Unmarshal(raw, &r) != nil || r.Machine == "" {
					status = 0
				}
				next.answer(status, r)
			}
		}
	}
}
