// Package httpapi serves the HTTP API for users, workers, administrators and probes, using echo.
package httpapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/net/netutil"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/metrics"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Reply is the core's answer to a request.
type Reply struct {
	Status     int
	Body       any
	RetryAfter int
}

// Class is the priority of a request when the core cannot keep up.
type Class int

const (
	Worker Class = iota // reports and probes, on which leases and the load balancer depend
	User                // all other requests
)

// Ask passes a request to the core and returns its answer; in returns the input for a request id.
type Ask func(ctx context.Context, class Class, in func(id uint64) any, timeout time.Duration) Reply

// Server serves the API on the client address.
type Server struct {
	echo *echo.Echo
	ask  Ask
	log  *slog.Logger
}

// New returns a server that passes requests to ask.
func New(ask Ask, m *metrics.Metrics, log *slog.Logger) *Server {
	s := &Server{echo: echo.New(), ask: ask, log: log}
	e := s.echo
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		status := http.StatusInternalServerError
		var he *echo.HTTPError
		if errors.As(err, &he) {
			status = he.Code
		}
		if !c.Response().Committed {
			_ = send(c, Reply{Status: status, Body: wire.Problem{Error: http.StatusText(status)}})
		}
	}
	e.POST("/v1/jobs", s.submit)
	e.GET("/v1/jobs/:id", s.poll)
	e.POST("/v1/jobs/:id/abort", s.abort)
	e.GET("/ready", s.ready)
	e.POST("/hello", s.report)
	a := e.Group("/admin/v1")
	a.GET("/chain/:id", s.chain)
	a.GET("/crews", s.crews)
	a.PUT("/crews/:name", s.putCrew)
	a.DELETE("/crews/:name", s.removeCrew)
	a.GET("/ladder", s.tierOrder)
	a.PUT("/ladder", s.changeTierOrder)
	a.GET("/ladder/order", s.serviceOrder)
	a.GET("/overview", s.overview)
	a.GET("/settings", s.settings)
	a.PUT("/settings", s.changeSettings)
	a.GET("/jobs/:id/why", s.why)
	a.GET("/trail", s.trail)
	a.GET("/reach", s.reach)
	a.GET("/weights", s.weights)
	a.GET("/version", s.version)
	a.GET("/machines/:name", s.machine)
	a.PUT("/machines/:name/cordon", s.cordon)
	a.DELETE("/machines/:name/cordon", s.uncordon)
	e.GET("/metrics", echo.WrapHandler(m.Handler()))
	e.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			began := time.Now()
			err := next(c)
			m.Request(c.Path(), c.Response().Status, time.Since(began))
			return err
		}
	})
	return s
}

// Serve accepts connections until the listener fails. If maxSockets is not 0, connections take at
// most 80% of it: the others are reserved for the calls that this process makes.
func (s *Server) Serve(ln net.Listener, maxSockets int) error {
	if maxSockets > 0 {
		ln = netutil.LimitListener(ln, max(16, maxSockets*8/10))
	}
	srv := &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      20 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	return srv.Serve(ln)
}

// send writes the answer as CBOR.
func send(c echo.Context, r Reply) error {
	h := c.Response().Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(r.RetryAfter))
	}
	b, err := wire.Marshal(r.Body)
	if err != nil {
		return err
	}
	return c.Blob(r.Status, "application/cbor", b)
}

// sendUser answers a user. If this controller is unavailable it closes the connection, so that the
// retry may reach another controller.
func sendUser(c echo.Context, r Reply) error {
	if r.Status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Connection", "close")
	}
	return send(c, r)
}

// readBody decodes a request's CBOR map into v. It returns a one-line description of the problem, or "".
func readBody(c echo.Context, v any) string { return readLimited(c, v, wire.MaxBody) }

// readLimited does the same for bodies of at most limit bytes.
func readLimited(c echo.Context, v any, limit int64) string {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	switch {
	case err != nil:
		return "body not readable"
	case int64(len(b)) > limit:
		return fmt.Sprintf("body larger than %d KiB", limit>>10)
	case !wire.IsMap(b):
		return "body is not a CBOR map"
	}
	if err := wire.Unmarshal(b, v); err != nil {
		return err.Error()
	}
	return ""
}

// badRequest returns the answer to a malformed request.
func badRequest(why string) Reply {
	return Reply{Status: http.StatusBadRequest, Body: wire.Problem{Error: why}}
}

func (s *Server) submit(c echo.Context) error {
	var spec wire.JobSpec
	if why := readBody(c, &spec); why != "" {
		return send(c, badRequest(why))
	}
	return sendUser(c, s.ask(c.Request().Context(), User, func(id uint64) any { return core.Submit{Req: id, Spec: spec} }, tuning.UserRequestTimeout))
}

func (s *Server) poll(c echo.Context) error {
	job := c.Param("id")
	return sendUser(c, s.ask(c.Request().Context(), User, func(id uint64) any { return core.Poll{Req: id, ID: job} }, tuning.PollRequestTimeout))
}

func (s *Server) abort(c echo.Context) error {
	job := c.Param("id")
	return sendUser(c, s.ask(c.Request().Context(), User, func(id uint64) any { return core.Abort{Req: id, ID: job} }, tuning.UserRequestTimeout))
}

func (s *Server) ready(c echo.Context) error {
	return send(c, s.ask(c.Request().Context(), Worker, func(id uint64) any { return core.Ready{Req: id} }, time.Second))
}

func (s *Server) report(c echo.Context) error {
	var r wire.Report
	if why := readLimited(c, &r, reportsize.MaxRead); why != "" {
		s.log.Info("cannot decode worker report", "from", c.RealIP(), "err", why)
		return send(c, badRequest(why))
	}
	if r.Machine == "" || r.Session == 0 {
		return send(c, badRequest("host and tenure are needed"))
	}
	return send(c, s.ask(c.Request().Context(), Worker, func(id uint64) any { return core.WorkerReport{Req: id, Report: r} }, tuning.WorkerReportTimeout))
}

// sendToCore passes an administrator's request to the core.
func (s *Server) sendToCore(c echo.Context, in func(id uint64) any) error {
	return send(c, s.ask(c.Request().Context(), User, in, tuning.UserRequestTimeout))
}

func (s *Server) overview(c echo.Context) error {
	return s.sendToCore(c, func(id uint64) any { return core.AdminOverview{Req: id} })
}

func (s *Server) settings(c echo.Context) error {
	return s.sendToCore(c, func(id uint64) any { return core.AdminSettings{Req: id} })
}

func (s *Server) changeSettings(c echo.Context) error {
	var p wire.SettingsPatch
	if why := readBody(c, &p); why != "" {
		return send(c, badRequest(why))
	}
	return s.sendToCore(c, func(id uint64) any { return core.AdminSettings{Req: id, Patch: &p} })
}

func (s *Server) tierOrder(c echo.Context) error {
	return s.sendToCore(c, func(id uint64) any { return core.AdminTierOrder{Req: id} })
}

func (s *Server) changeTierOrder(c echo.Context) error {
	var p wire.TierOrderPatch
	if why := readBody(c, &p); why != "" {
		return send(c, badRequest(why))
	}
	return s.sendToCore(c, func(id uint64) any { return core.AdminTierOrder{Req: id, Patch: &p} })
}

func (s *Server) crews(c echo.Context) error {
	return s.sendToCore(c, func(id uint64) any { return core.AdminCrews{Req: id} })
}

func (s *Server) putCrew(c echo.Context) error {
	var p wire.CrewPatch
	if why := readBody(c, &p); why != "" {
		return send(c, badRequest(why))
	}
	name := c.Param("name")
	return s.sendToCore(c, func(id uint64) any { return core.AdminCrew{Req: id, Name: name, Patch: &p} })
}

// removeCrew removes a crew: ?version=N&dry_run=true.
func (s *Server) removeCrew(c echo.Context) error {
	ver, err := strconv.ParseUint(c.QueryParam("version"), 10, 64)
	if err != nil {
		return send(c, badRequest("version: must be a number"))
	}
	name, dry := c.Param("name"), c.QueryParam("dry_run") == "true"
	return s.sendToCore(c, func(id uint64) any { return core.AdminCrew{Req: id, Name: name, Ver: ver, DryRun: dry} })
}

func (s *Server) serviceOrder(c echo.Context) error {
	return s.sendToCore(c, func(id uint64) any { return core.AdminServiceOrder{Req: id} })
}

func (s *Server) why(c echo.Context) error {
	job := c.Param("id")
	return s.sendToCore(c, func(id uint64) any { return core.AdminWhy{Req: id, ID: job} })
}

func (s *Server) chain(c echo.Context) error {
	job := c.Param("id")
	if !wire.ValidJobID(job) {
		return send(c, badRequest("id: must look like job-000412"))
	}
	return s.sendToCore(c, func(id uint64) any { return core.AdminChain{Req: id, ID: job} })
}

// trail answers with the events after a sequence number: ?after=N&most=M&node=NAME&machine=NAME&job=ID.
func (s *Server) trail(c echo.Context) error {
	q := trail.Query{Machine: c.QueryParam("machine"), Job: c.QueryParam("job"), Most: tuning.MaxTrailAnswerEvents}
	if v := c.QueryParam("after"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			return send(c, badRequest("after: must be a number"))
		}
		q.After = n
	}
	if v := c.QueryParam("most"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > tuning.MaxTrailAnswerEvents {
			return send(c, badRequest("most: must be from 1 to "+strconv.Itoa(tuning.MaxTrailAnswerEvents)))
		}
		q.Most = n
	}
	node := c.QueryParam("node")
	return s.sendToCore(c, func(id uint64) any { return core.AdminTrail{Req: id, Node: node, Query: q} })
}

func (s *Server) reach(c echo.Context) error {
	return s.sendToCore(c, func(id uint64) any { return core.AdminReach{Req: id} })
}

func (s *Server) weights(c echo.Context) error {
	image := c.QueryParam("image")
	return s.sendToCore(c, func(id uint64) any { return core.AdminWeights{Req: id, Image: image} })
}

func (s *Server) version(c echo.Context) error {
	return s.sendToCore(c, func(id uint64) any { return core.AdminVersion{Req: id} })
}

func (s *Server) machine(c echo.Context) error {
	name := c.Param("name")
	return s.sendToCore(c, func(id uint64) any { return core.AdminMachine{Req: id, Machine: name} })
}

func (s *Server) cordon(c echo.Context) error {
	var v wire.Cordon
	if why := readBody(c, &v); why != "" {
		return send(c, badRequest(why))
	}
	name := c.Param("name")
	return s.sendToCore(c, func(id uint64) any { return core.AdminCordon{Req: id, Machine: name, Cordon: &v} })
}

func (s *Server) uncordon(c echo.Context) error {
	name := c.Param("name")
	return s.sendToCore(c, func(id uint64) any { return core.AdminCordon{Req: id, Machine: name} })
}
