// Package node runs one controller: it passes inputs to the core one at a time and executes the
// effects that the core returns.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/net/netutil"

	"github.com/barrowbridge/barrowbridge/internal/cloud"
	"github.com/barrowbridge/barrowbridge/internal/config"
	"github.com/barrowbridge/barrowbridge/internal/conversion"
	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/httpapi"
	"github.com/barrowbridge/barrowbridge/internal/metrics"
	"github.com/barrowbridge/barrowbridge/internal/peer"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/statestore"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/internal/workers"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Params returns the core's parameters for the settings.
func Params(cfg *config.Config) core.Params {
	state := cfg.Params.State.Strictest()
	p := core.Params{
		Node:           cfg.Node,
		Zone:           cfg.Zone,
		NodeZones:      map[string]string{cfg.Node: cfg.Zone},
		Teams:          map[string]core.Team{},
		WorkerLease:    conversion.Seconds(cfg.Params.Workers.LeaseS),
		CancelTimeout:  conversion.Seconds(cfg.Params.Workers.CancelS),
		ReportInterval: conversion.Seconds(cfg.Params.Workers.ReportS),
		CloudListLag:   conversion.Seconds(cfg.Params.Cloud.ListLagS),
		MaxTxnOps:      state.TxnOps,
		MaxValueBytes:  int(state.ValueKB * 1024),
		Version:        Version(),
		Features:       rollout.Features(),
		Weights: weights.Switches{
			PeerTransfer: cfg.Switches.Weights.HandOn,
			PaceFetches:  cfg.Switches.Weights.Pace,
		},
	}
	for _, n := range cfg.Peers {
		p.NodeZones[n.Node] = n.Zone
	}
	for _, t := range cfg.Params.Teams {
		cpus, gpus := t.MaxUsage()
		p.Teams[t.Name] = core.Team{CPUs: t.CPUs, CPUsMax: cpus, GPUs: t.GPUs, GPUsMax: gpus}
	}
	p.Objectives.CompleteWithinS, p.Objectives.StartWithinS = map[string]float64{}, map[string]float64{}
	for _, o := range cfg.Params.Objectives {
		switch o.Kind {
		case "finished":
			p.Objectives.CompleteWithinS[o.Class] = o.WithinS
		case "wait":
			p.Objectives.StartWithinS[o.Class] = o.WithinS
		}
	}
	return p
}

type request struct {
	ctx   context.Context // done when the caller no longer waits for the answer
	input func(id uint64) any
	reply chan httpapi.Reply
}

type node struct {
	authority   chan any // results on which the authority to act depends; served before anything else
	inbox       chan any
	workers     chan request // served before users' requests
	users       chan request
	log         *slog.Logger
	state       *statestore.Client
	cloud       *cloud.Client
	peers       *peer.Links
	workerCalls *workers.Client
	metrics     *metrics.Metrics
	waiting     map[uint64]chan httpapi.Reply
	nextReq     uint64
}

// Run serves until the context ends or a listener fails.
func Run(ctx context.Context, cfg *config.Config, log *slog.Logger) error {
	if mb := cfg.Params.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.6 * 1024 * 1024)) // leaves a margin below the limit at which the process is killed
	}
	limits := cfg.Params.State.Strictest()
	n := &node{
		authority: make(chan any, tuning.InboxSize),
		inbox:     make(chan any, tuning.InboxSize),
		log:       log,
		workers:   make(chan request, tuning.InboxSize),
		users:     make(chan request, tuning.UserQueueSize),
		state:     statestore.New(cfg.Services.State, limits.RPS, limits.WriteRPS),
		cloud:     cloud.New(cfg.Services.Cloud, cfg.Params.Cloud.RPS),
		waiting:   map[uint64]chan httpapi.Reply{},
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	pln, err := net.Listen("tcp", cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_bind: %w", err)
	}
	addrs := map[string]string{}
	for _, p := range cfg.Peers {
		addrs[p.Node] = p.Addr
	}
	n.peers = peer.Dial(ctx, addrs, log)
	n.metrics = metrics.New(func() float64 { return float64(len(n.inbox) + len(n.workers) + len(n.users)) })
	n.workerCalls = workers.New(ctx, log, func(status int, took time.Duration) { n.metrics.Call("worker", status, took) })
	srv := httpapi.New(n.ask, n.metrics, log)
	fail := make(chan error, 2)
	go func() { fail <- peer.Serve(netutil.LimitListener(pln, 4*len(addrs)+4), n.receivePeerMessage, log) }()
	go func() { fail <- srv.Serve(ln, cfg.Params.Limits.MaxSockets) }()
	log.Info("serving", "node", cfg.Node, "zone", cfg.Zone, "listen", cfg.Listen)
	go n.run(ctx, core.New(Params(cfg)))
	select {
	case <-ctx.Done():
		return nil
	case err := <-fail:
		return err
	}
}

// ask passes a request to the core and waits for its answer. If the queue is full, the request is
// refused at once with status 503. The queue of users' requests is the shorter one, so that users
// are soon told to retry.
func (n *node) ask(ctx context.Context, class httpapi.Class, in func(id uint64) any, timeout time.Duration) httpapi.Reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := request{ctx: ctx, input: in, reply: make(chan httpapi.Reply, 1)}
	queue := n.users
	if class == httpapi.Worker {
		queue = n.workers
	}
	select {
	case queue <- r:
	default:
		return httpapi.Reply{Status: http.StatusServiceUnavailable, RetryAfter: tuning.UnavailableRetryAfter}
	}
	select {
	case rep := <-r.reply:
		return rep
	case <-ctx.Done():
		return httpapi.Reply{Status: http.StatusServiceUnavailable, RetryAfter: tuning.UnavailableRetryAfter}
	}
}

// next returns the next input for the core, and false once the context has ended. Answers of
// services, ticks and workers' reports come before users' requests. Requests whose caller no
// longer waits are skipped.
func (n *node) next(ctx context.Context, tick <-chan time.Time) (any, bool) {
	for {
		select { // when the loop is behind, renewals and ticks come first: a state lease expires in seconds
		case in := <-n.authority:
			return in, true
		case <-tick:
			return core.Tick{}, true
		default:
		}
		users := n.users
		if len(n.inbox)+len(n.workers)+len(tick) > 0 {
			users = nil // users' requests are served when nothing else waits
		}
		var r request
		select {
		case <-ctx.Done():
			return nil, false
		case in := <-n.authority:
			return in, true
		case in := <-n.inbox:
			return in, true
		case <-tick:
			return core.Tick{}, true
		case r = <-n.workers:
		case r = <-users:
		}
		if r.ctx.Err() != nil {
			continue
		}
		n.nextReq++
		n.waiting[n.nextReq] = r.reply
		return r.input(n.nextReq), true
	}
}

// receivePeerMessage queues a message from a peer; if the queue is full, the message is dropped.
func (n *node) receivePeerMessage(m core.PeerMessage) {
	select {
	case n.inbox <- core.Peer{Msg: m}:
	default:
	}
}

// run passes inputs to the core and executes the effects until the context ends.
func (n *node) run(ctx context.Context, c *core.Core) {
	start := time.Now()
	tick := time.NewTicker(tuning.TickInterval)
	defer tick.Stop()
	step := func(in any) {
		now := time.Now()
		effects := c.Step(now.Sub(start), now, in)
		n.metrics.Step(time.Since(now))
		for _, e := range effects {
			n.execute(ctx, e)
		}
	}
	step(core.Tick{})
	for {
		in, ok := n.next(ctx, tick.C)
		if !ok {
			return
		}
		step(in)
	}
}

// levels are the slog levels of core.Log's levels.
var levels = [4]slog.Level{slog.LevelError, slog.LevelInfo, slog.LevelDebug, slog.LevelWarn}

// execute carries out one effect of the core. Calls run in goroutines of their own and return their
// outcome as an input.
func (n *node) execute(ctx context.Context, e any) {
	switch v := e.(type) {
	case core.Answer:
		if ch := n.waiting[v.Req]; ch != nil {
			delete(n.waiting, v.Req)
			ch <- httpapi.Reply{Status: v.Status, Body: v.Body, RetryAfter: v.RetryAfter}
		}
	case core.StateCall:
		go func() {
			began := time.Now()
			rep := n.state.Do(ctx, v)
			if v.Op != core.OpWatch { // a watch takes long by design
				n.metrics.Call("state", rep.Status, time.Since(began))
			}
			if v.Lane == core.LaneAuthority && v.Op == core.OpCommit && len(v.Txn.Then) > 0 || v.Op == core.OpGrant || v.Op == core.OpExtend {
				n.authority <- core.StateDone{ID: v.ID, Reply: rep}
			} else {
				n.inbox <- core.StateDone{ID: v.ID, Reply: rep}
			}
		}()
	case core.CloudCall:
		go func() {
			began := time.Now()
			rep := n.cloud.Do(ctx, v)
			n.metrics.Call("cloud", rep.Status, time.Since(began))
			n.inbox <- core.CloudDone{ID: v.ID, Reply: rep}
		}()
	case core.WorkerCall:
		var answer func(int, wire.Report)
		if v.ReturnOutcome || v.ProbeOnly {
			answer = func(status int, r wire.Report) {
				n.inbox <- core.WorkerCallDone{
					Machine:     v.Machine,
					Token:       v.Orders.Token,
					Session:     v.Orders.Session,
					ProbeOnly:   v.ProbeOnly,
					RequestedBy: v.RequestedBy,
					Status:      status,
					Report:      r,
				}
			}
		}
		if v.ProbeOnly {
			n.workerCalls.Inspect(v.Addr, answer)
		} else {
			n.workerCalls.Send(v.Addr, v.Orders, answer)
		}
	case core.PeerSend:
		n.peers.Send(v.To, v.Msg)
	case core.WriteRefused:
		n.metrics.Refused(v.Kind)
	case core.ChainCounts:
		n.metrics.Chains(v.Waiting, v.Released, v.Cancelled)
	case core.LinkChanged:
		n.metrics.Link(v.To, int(v.Level))
	case core.Log:
		n.log.Log(ctx, levels[v.Level], v.Msg, v.KV...)
	}
}
