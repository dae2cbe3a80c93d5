package site

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

const (
	headerTime = 10 * time.Second // timeout for reading a request's header
	muteFor    = time.Minute      // how long a request that is never answered is held open
)

// listen opens a free loopback port.
func listen() (net.Listener, error) { return listenOn("127.0.0.1") }

func listenOn(host string) (net.Listener, error) { return net.Listen("tcp", host+":0") }

// serve runs handlers on a listener until the listener or the returned server is closed.
func (s *Site) serve(ln net.Listener, e *echo.Echo) *http.Server {
	srv := &http.Server{Handler: e, ReadHeaderTimeout: headerTime, MaxHeaderBytes: 16 << 10}
	go func() { _ = srv.Serve(ln) }()
	return srv
}

// body decodes a request's CBOR body, within the protocol's size limit.
func body(c echo.Context, into any) error {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, wire.MaxBody+1))
	if err != nil {
		return err
	}
	if len(b) > wire.MaxBody {
		return echo.NewHTTPError(http.StatusBadRequest, "body over 64 KiB")
	}
	return wire.Unmarshal(b, into)
}

func send(c echo.Context, status int, v any) error {
	b, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	return c.Blob(status, "application/cbor", b)
}

func bad(c echo.Context, why string) error {
	return send(c, http.StatusBadRequest, wire.Problem{Error: why})
}

// number parses a numeric query parameter; a missing one is 0. It reports whether the
// parameter is valid.
func number(c echo.Context, name string) (uint64, bool) {
	v := c.QueryParam(name)
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(v, 10, 63)
	return n, err == nil
}

// stateServer returns the state service's handlers for one client, so that faults can
// affect that client alone.
func (s *Site) stateServer(client string) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.GET("/store/*", func(c echo.Context) error {
		return s.state(c, state.Call{Client: client, Op: state.Get, Key: c.Param("*")})
	})
	e.GET("/store", func(c echo.Context) error {
		page, ok := number(c, "page")
		if !ok || c.QueryParam("page") == "0" {
			return bad(c, "page: must be a number from 1")
		}
		return s.state(c, state.Call{Client: client, Op: state.List, Key: c.QueryParam("starts"), After: c.QueryParam("after"), Page: int(page)})
	})
	e.POST("/commit", func(c echo.Context) error {
		call := state.Call{Client: client, Op: state.Commit}
		if err := body(c, &call.Txn); err != nil {
			return bad(c, err.Error())
		}
		return s.state(c, call)
	})
	e.POST("/grants", func(c echo.Context) error {
		var r wire.LeaseRequest
		if err := body(c, &r); err != nil {
			return bad(c, err.Error())
		}
		if r.TTLMS < 0 || r.TTLMS > 1e9 {
			return bad(c, "life_ms: must be from 100 to 600000")
		}
		return s.state(c, state.Call{Client: client, Op: state.Grant, Life: time.Duration(r.TTLMS) * time.Millisecond})
	})
	grant := func(op state.Op) echo.HandlerFunc {
		return func(c echo.Context) error {
			id, err := strconv.ParseUint(c.Param("id"), 10, 64)
			if err != nil {
				return bad(c, "no such lease")
			}
			return s.state(c, state.Call{Client: client, Op: op, Lease: id})
		}
	}
	e.POST("/grants/:id/extend", grant(state.Extend))
	e.DELETE("/grants/:id", grant(state.End))
	e.GET("/changes", func(c echo.Context) error {
		after, ok := number(c, "after")
		hold, ok2 := number(c, "hold_ms")
		if !ok || !ok2 || hold > 1e9 {
			return bad(c, "after and hold_ms must be numbers")
		}
		return s.state(c, state.Call{Client: client, Op: state.Watch, Key: c.QueryParam("starts"), Revision: after, Hold: time.Duration(hold) * time.Millisecond})
	})
	return e
}

// state passes a call to the state service and waits for its answer.
func (s *Site) state(c echo.Context, call state.Call) error {
	s.mu.Lock()
	ctx, slow, mute, late := c.Request().Context(), s.slow[PartyState], s.muted(PartyState, call.Client), s.late[PartyState]
	if len(call.Txn.Then) > 0 && s.lateWrites > 0 && s.rng.Float64() < s.lateWrites {
		mute, late = true, lateWriteLeast+time.Duration(s.rng.Float64()*float64(lateWriteMost-lateWriteLeast))
	}
	s.mu.Unlock()
	if late > 0 { // executed late, even if the caller has given up by then
		pause(context.Background(), late)
	}
	s.mu.Lock()
	s.callID++
	id, reply := s.callID, make(chan state.Answer, 1)
	s.calls[id] = reply
	s.answer(s.store.Do(s.Now(), id, call))
	s.mu.Unlock()
	select {
	case a := <-reply:
		s.repeatState(call, a.Status)
		if mute {
			return s.leaveUnanswered(c)
		}
		pause(ctx, slow)
		return send(c, a.Status, a.Body)
	case <-ctx.Done():
		s.mu.Lock()
		s.store.Forget(id)
		delete(s.calls, id)
		s.mu.Unlock()
		return ctx.Err()
	}
}

// answer passes answers to the waiting requests; an answer whose caller has given up is dropped.
func (s *Site) answer(list []state.Answer) {
	for _, a := range list {
		if ch := s.calls[a.ID]; ch != nil {
			delete(s.calls, a.ID)
			ch <- a
		}
	}
}

// Minimum and maximum delay before changes that get no answer are executed.
const (
	lateWriteLeast = 2 * time.Second
	lateWriteMost  = 12 * time.Second
)

func (s *Site) muted(service, client string) bool {
	return s.mute[service] || s.mute[service+"/"+client]
}

// leaveUnanswered holds a request open and then closes its connection without an answer.
func (s *Site) leaveUnanswered(c echo.Context) error {
	pause(c.Request().Context(), muteFor)
	if h, ok := c.Response().Writer.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			return conn.Close()
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// cloudServer returns the cloud's handlers for one client.
func (s *Site) cloudServer(client string) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	call := func(f func(c echo.Context) (func(now time.Duration) cloud.Reply, string)) echo.HandlerFunc {
		return func(c echo.Context) error {
			do, why := f(c)
			if do == nil {
				return bad(c, why)
			}
			s.mu.Lock()
			slow, mute, late := s.slow[PartyCloud], s.muted(PartyCloud, client), s.late[PartyCloud]
			s.mu.Unlock()
			if c.Request().Method == http.MethodPost { // rentals and deletions may be executed late
				pause(context.Background(), late)
			}
			s.mu.Lock()
			r := do(s.Now())
			if c.Request().Method == http.MethodPost && r.Status == http.StatusOK {
				s.repeat(func() { do(s.Now()) })
			}
			s.mu.Unlock()
			if mute {
				return s.leaveUnanswered(c)
			}
			pause(c.Request().Context(), slow)
			return send(c, r.Status, r.Body)
		}
	}
	e.GET("/machine_types", call(func(echo.Context) (func(time.Duration) cloud.Reply, string) { return s.cloud.Types, "" }))
	e.GET("/hosts", call(func(c echo.Context) (func(time.Duration) cloud.Reply, string) {
		page, ok := number(c, "page")
		if !ok || page > 1<<20 || c.QueryParam("page") == "0" {
			return nil, "page: must be from 1 to 500"
		}
		return func(now time.Duration) cloud.Reply { return s.cloud.List(now, c.QueryParam("after"), int(page)) }, ""
	}))
	e.POST("/hosts", call(func(c echo.Context) (func(time.Duration) cloud.Reply, string) {
		var r wire.RentRequest
		if err := body(c, &r); err != nil {
			return nil, err.Error()
		}
		return func(now time.Duration) cloud.Reply { return s.cloud.Rent(now, r) }, ""
	}))
	e.POST("/hosts/delete", call(func(c echo.Context) (func(time.Duration) cloud.Reply, string) {
		var r wire.MachineNames
		if err := body(c, &r); err != nil {
			return nil, err.Error()
		}
		return func(now time.Duration) cloud.Reply {
			rep, events := s.cloud.Delete(now, r.Machines)
			s.cloudEvents(now, events)
			return rep
		}, ""
	}))
	return e
}

// listenWorker opens the address of a machine's worker.
func (s *Site) listenWorker(name string) (addr string, stop func(), err error) {
	ln, err := listen()
	if err != nil {
		return "", nil, err
	}
	e := echo.New()
	e.HideBanner = true
	e.POST("/orders", func(c echo.Context) error {
		var o struct {
			Token    *uint64        `cbor:"baton"`
			Session  *uint64        `cbor:"tenure"`
			Commands []wire.Command `cbor:"orders"`
		}
		if err := body(c, &o); err != nil || o.Token == nil || o.Session == nil {
			return bad(c, "baton and tenure are needed")
		}
		return s.direct(c, name, func(now time.Duration, m *machine) (int, any) {
			orders := wire.Orders{Token: *o.Token, Session: *o.Session, Commands: o.Commands}
			status, rep, out := m.Orders(now, orders)
			s.drive(now, name, m, out)
			if status == http.StatusOK {
				s.repeatOrders(name, orders)
			}
			return status, rep
		})
	})
	e.GET("/inspect", func(c echo.Context) error {
		return s.direct(c, name, func(now time.Duration, m *machine) (int, any) {
			rep, out := m.Inspect(now)
			s.drive(now, name, m, out)
			return http.StatusOK, rep
		})
	})
	srv := s.serve(s.Net.Listen(ln, name, "controllers"), e)
	return ln.Addr().String(), func() { _ = srv.Close() }, nil
}

// direct calls a machine's worker; one that hangs executes the call when it resumes.
func (s *Site) direct(c echo.Context, name string, f func(time.Duration, *machine) (int, any)) error {
	for {
		s.mu.Lock()
		m := s.machines[name]
		if m == nil || m.gone {
			s.mu.Unlock()
			return s.leaveUnanswered(c)
		}
		if m.resumed == nil {
			status, v := f(s.Now(), m)
			s.mu.Unlock()
			return send(c, status, v)
		}
		resumed := m.resumed
		s.mu.Unlock()
		<-resumed
	}
}

// poster sends a machine's reports on connections of its own.
type poster struct {
	site *Site
	name string
	http *http.Client
}

func newPoster(s *Site, name string) poster {
	t := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true}
	t.DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr) // the host is the controller's name, in place of its address
		if err != nil {
			return nil, err
		}
		return s.Net.Dial(ctx, name, host, s.addrOf(host))
	}
	return poster{s, name, &http.Client{Transport: t}}
}

// send posts a report in the background; the caller holds the site's lock.
func (p poster) send(v worker.Send) {
	if late := p.site.copies[p.name]; late > 0 {
		node := p.site.names[p.site.rng.IntN(len(p.site.names))]
		again := time.Duration(p.site.rng.Float64() * float64(late))
		go func() { // a late copy, whose answer is dropped
			pause(p.site.ctx, again)
			if v.Node = node; p.site.ctx.Err() == nil {
				p.post(v)
			}
		}()
	}
	go func() {
		if v.Close {
			p.http.CloseIdleConnections()
		}
		o := p.post(v)
		s := p.site
		s.mu.Lock()
		defer s.mu.Unlock()
		if m := s.machines[p.name]; m != nil && !m.gone {
			now := s.Now()
			s.drive(now, p.name, m, m.Answered(now, v.ID, o))
		}
	}()
}

// post sends a report; the outcome is empty if there is no answer within a worker's timeout.
func (p poster) post(v worker.Send) (o worker.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	b, err := wire.Marshal(v.Report)
	if err != nil {
		return o
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.Node+":1/hello", strings.NewReader(string(b)))
	if err != nil {
		return o
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := p.http.Do(req)
	if err != nil {
		return o
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody))
	if err != nil {
		return o
	}
	o.Status = resp.StatusCode
	switch o.Status {
	case http.StatusOK:
		if wire.Unmarshal(raw, &o.Reply) != nil {
			return worker.Outcome{}
		}
	case http.StatusMisdirectedRequest:
		var r wire.Redirect
		_ = wire.Unmarshal(raw, &r)
		o.Holder = r.Holder
	}
	return o
}
