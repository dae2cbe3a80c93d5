// Package workers sends direct commands to workers, as POST /orders of the protocol.
// They are advice: what cannot be sent soon is dropped.
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

// Client is safe for concurrent use.
type Client struct {
	http   *http.Client
	queue  chan call
	log    *slog.Logger
	onDone func(status int, took time.Duration)
}

type call struct {
	addr   string
	orders *wire.Orders // nil: only the report is asked for
	answer func(status int, r wire.Report)
}

// New returns a client that works until the context ends; done is called after each
// call, with status 0 for one that had no answer.
func New(ctx context.Context, log *slog.Logger, done func(status int, took time.Duration)) *Client {
	c := &Client{queue: make(chan call, tuning.WorkerCallQueueSize), log: log, onDone: done,
		// A connection to each of a thousand workers would cost more sockets than it saves.
		http: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: tuning.WorkerCallTimeout}).DialContext,
			DisableKeepAlives: true, DisableCompression: true}}}
	for range tuning.MaxWorkerCalls {
		go c.run(ctx)
	}
	return c
}

// Send queues a call; it says whether there was room. answer, if given, gets the worker's
// report as it stands after the call, or before one that was refused (409); status 0 means
// that no report came. It is not called for a call that found no room.
func (c *Client) Send(addr string, o wire.Orders, answer func(status int, r wire.Report)) bool {
	return c.enqueue(call{addr, &o, answer})
}

// Inspect queues a call that only asks for the worker's report, as Send does.
func (c *Client) Inspect(addr string, answer func(status int, r wire.Report)) bool {
	return c.enqueue(call{addr, nil, answer})
}

func (c *Client) enqueue(x call) bool {
	select {
	case c.queue <- x:
		return true
	default:
		return false
	}
}

func (c *Client) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-c.queue:
			began := time.Now()
			ctx, cancel := context.WithTimeout(ctx, tuning.WorkerCallTimeout)
			method, path, body := http.MethodGet, "/inspect", any(nil)
			if x.orders != nil {
				method, path, body = http.MethodPost, "/orders", *x.orders
			}
			status, raw, err := cborhttp.RoundTrip(ctx, c.http, method, "http://"+x.addr+path, body)
			cancel()
			if err != nil {
				c.log.Debug("no answer to direct commands", "to", x.addr, "err", err.Error())
			}
			c.onDone(status, time.Since(began))
			if x.answer != nil {
				var r wire.Report
				if wire.Unmarshal(raw, &r) != nil || r.Machine == "" {
					status = 0
				}
				x.answer(status, r)
			}
		}
	}
}
