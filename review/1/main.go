// Command case1 runs a small deployment on loopback and cuts the zone of a shard's holder off from
// everything for some seconds, several times. It exits with 1 if a task starts on one machine while it
// is on another (rule ran_twice), with 0 if that does not happen, and with 2 if the case cannot run.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/config"
	"github.com/barrowbridge/barrowbridge/internal/load"
	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/link"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/review/stand"
	"github.com/barrowbridge/barrowbridge/wire"
)

const (
	team      = "fleet-ops"
	cutFor    = 8 * time.Second
	betweenBy = 6 * time.Second
	until     = 110 * time.Second
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "--config" {
		stand.Fail(launch(os.Getenv("REVIEW_CONTROL"), os.Getenv("REVIEW_PROGRAM"), os.Args[2]))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	out := os.Args[1]
	seed := uint64(1)
	_, _ = fmt.Sscan(os.Getenv("SEED"), &seed)
	program, err := os.Executable()
	if err != nil {
		stand.Fail(err)
	}
	g := &gate{open: map[int]conn{}}
	addr, err := control(g, seed)
	if err != nil {
		stand.Fail(err)
	}
	os.Setenv("REVIEW_CONTROL", addr)
	os.Setenv("REVIEW_PROGRAM", os.Args[2])
	f, err := os.Create(out)
	if err != nil {
		stand.Fail(err)
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-1-")
	if err != nil {
		stand.Fail(err)
	}
	defer os.RemoveAll(dir)
	rec := stand.NewRecord(f)
	spec := site.Spec{
		Controllers: 3,
		Zones:       []string{"plateau", "almadies", "medina"},
		Machines:    24,
		Rentable:    0,
		Type: wire.MachineType{Name: "baobab-quad", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBps: 0.15, Price: 0.16,
			SpotPrice: 0.07, BootS: 25},
		Teams:    map[string]site.Team{team: {CPUs: 40, CPUsMax: 128}, "rider-app": {CPUs: 64, CPUsMax: 184}},
		Report:   2 * time.Second,
		Lease:    10 * time.Second,
		Cancel:   40 * time.Second,
		State:    state.Limits{RPS: 80, WriteRPS: 20, ValueBytes: 16 << 10, TxnOps: 16},
		Cloud:    cloud.Params{RPS: 4, ListLag: 6 * time.Second, Notice: 8 * time.Second},
		Seed:     seed,
		Program:  program,
		Dir:      dir,
		LogLevel: os.Getenv("LOG_LEVEL"),
	}
	s := site.New(spec, slog.New(slog.NewTextHandler(io.Discard, nil)), rec.Machine)
	ctx, cancel := context.WithTimeout(context.Background(), until+6*time.Second)
	defer cancel()
	if err := s.Start(ctx); err != nil {
		stand.Fail(err)
	}
	defer s.Stop()
	wait, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := s.WaitReady(wait); err != nil {
		s.Stop()
		stand.Fail(err)
	}
	rec.Line("three controllers are ready")
	go work(ctx, s, rec, rand.New(rand.NewPCG(seed, 8)))
	stand.Sleep(ctx, 18*time.Second)
	for rec.Since() < until-cutFor-4*time.Second {
		if trouble {
			cut(ctx, s, g, rec)
		} else {
			stand.Sleep(ctx, cutFor)
		}
		stand.Sleep(ctx, betweenBy)
		if len(broken(s)) > 0 {
			break
		}
	}
	found := broken(s)
	for _, v := range found {
		rec.Line("broken: %v", v)
		fmt.Println(v)
	}
	if len(found) > 0 {
		s.Stop()
		if d := os.Getenv("KEEP"); d != "" {
			_ = os.CopyFS(d, os.DirFS(dir))
		}
		os.RemoveAll(dir)
		os.Exit(1)
	}
	fmt.Println("held")
}

// broken returns the violations of the rule.
func broken(s *site.Site) (list []checker.Violation) {
	s.Check(func(_ time.Duration, c *checker.Checker) {
		for _, v := range c.Broken() {
			if v.Rule == checker.RanTwice {
				list = append(list, v)
			}
		}
	})
	return list
}

// gate cuts a controller off from the state service and from the other controllers. Connections that are open when
// the cut begins are reset. A connection attempt during the cut hangs; its first packet is lost and sent again after a
// second, as a kernel does, and gets through if the cut has ended by then. Nothing of an attempt that was given up
// arrives.
type gate struct {
	mu   sync.Mutex
	off  string // the controller that is cut off, "" if none is
	next int
	open map[int]conn // connections and calls that cross a cut of either end
}

type conn struct {
	ends  [2]string
	reset func()
}

// Times of connection attempts: when the first packet is sent again, and when the controllers give up.
const (
	sentAgain   = time.Second
	stateGiveUp = 1500 * time.Millisecond
	peerGiveUp  = 2 * time.Second
)

// begin cuts a controller off; end ends that.
func (g *gate) begin(controller string) {
	g.mu.Lock()
	g.off = controller
	var reset []func()
	for _, c := range g.open {
		if c.ends[0] == controller || c.ends[1] == controller {
			reset = append(reset, c.reset)
		}
	}
	g.mu.Unlock()
	for _, f := range reset {
		f()
	}
}

func (g *gate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.off = ""
}

func (g *gate) cut(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.off != "" && (g.off == from || g.off == to)
}

// connect waits until a connection attempt succeeds. It returns false if it fails.
func (g *gate) connect(ctx context.Context, from, to string, giveUp time.Duration) bool {
	if !g.cut(from, to) {
		return true
	}
	stand.Sleep(ctx, sentAgain)
	if ctx.Err() == nil && !g.cut(from, to) {
		return true
	}
	stand.Sleep(ctx, giveUp-sentAgain)
	return false
}

// add registers an open connection or call; the function that it returns removes it.
func (g *gate) add(from, to string, reset func()) (remove func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	n := g.next
	g.open[n] = conn{[2]string{from, to}, reset}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.open, n)
	}
}

// state forwards the calls of one controller to the state service and delays each answer on its own: by 1 to 9 ms, and
// one in twenty by 200 to 400 ms. A call that gets no answer gets none here either.
func (g *gate) state(node, upstream string, rng *rand.Rand) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	proxy := &httputil.ReverseProxy{
		Rewrite:   func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: upstream}) },
		Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true},
		ModifyResponse: func(r *http.Response) error {
			mu.Lock()
			d := time.Duration(1000+rng.IntN(8000)) * time.Microsecond
			if rng.IntN(20) == 0 {
				d = time.Duration(200+rng.IntN(200)) * time.Millisecond
			}
			mu.Unlock()
			stand.Sleep(r.Request.Context(), d)
			return r.Request.Context().Err()
		},
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
		ErrorLog:     log.New(io.Discard, "", 0),
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.connect(r.Context(), node, site.PartyState, stateGiveUp) {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer g.add(node, site.PartyState, cancel)()
		proxy.ServeHTTP(w, r.WithContext(ctx))
	})
	go func() { _ = (&http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// peer forwards the connections of one controller to another.
func (g *gate) peer(from, to, upstream string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer in.Close()
				if !g.connect(context.Background(), from, to, peerGiveUp) {
					return
				}
				out, err := net.DialTimeout("tcp", upstream, time.Second)
				if err != nil {
					return
				}
				defer out.Close()
				defer g.add(from, to, func() { _ = in.Close(); _ = out.Close() })()
				_, _ = io.Copy(out, in) // controllers send on connections of their own
			}()
		}
	}()
	return ln.Addr().String(), nil
}

// control answers a starting controller with the address at which it reaches the state service or another controller:
// ?node=NAME&up=ADDRESS, with to=NAME for a controller.
func control(g *gate, seed uint64) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var calls uint64
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			node, to, up := r.FormValue("node"), r.FormValue("to"), r.FormValue("up")
			var addr string
			var err error
			if to == "" {
				addr, err = g.state(node, up, rand.New(rand.NewPCG(seed, atomic.AddUint64(&calls, 1))))
			} else {
				addr, err = g.peer(node, to, up)
			}
			if err != nil {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			fmt.Fprint(w, addr)
		}))
	}()
	return ln.Addr().String(), nil
}

// launch puts the addresses from control into a settings file and becomes the controller, by the command of the
// deploy file.
func launch(controlAddr, program, settings string) error {
	cfg, err := config.Load(settings)
	if err != nil {
		return err
	}
	ask := func(to, up string) (string, error) {
		resp, err := http.Get("http://" + controlAddr + "/?" + url.Values{"node": {cfg.Node}, "to": {to}, "up": {up}}.Encode())
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		addr, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			return "", fmt.Errorf("no address: %v", err)
		}
		return string(addr), nil
	}
	if cfg.Services.State, err = ask("", cfg.Services.State); err != nil {
		return err
	}
	for i := range cfg.Peers {
		if cfg.Peers[i].Addr, err = ask(cfg.Peers[i].Node, cfg.Peers[i].Addr); err != nil {
			return err
		}
	}
	raw, err := toml.Marshal(cfg)
	if err != nil {
		return err
	}
	own := settings + ".own"
	if err := os.WriteFile(own, raw, 0o644); err != nil {
		return err
	}
	return syscall.Exec(program, []string{program, "--config", own}, os.Environ())
}

// work keeps a backlog of arrays of six tasks of two CPUs.
func work(ctx context.Context, s *site.Site, rec *stand.Record, rng *rand.Rand) {
	client := load.NewClient(s.Public(), stand.Users{Site: s, Record: rec})
	var mu sync.Mutex
	open := map[string]bool{}
	for n := 1; ctx.Err() == nil; {
		mu.Lock()
		waiting := len(open)
		mu.Unlock()
		if waiting >= 14 {
			stand.Sleep(ctx, 200*time.Millisecond)
			continue
		}
		id := fmt.Sprintf("job-%06d", n)
		n++
		spec := wire.JobSpec{ID: &id, Class: stand.Ptr("battery-sweep"), Team: stand.Ptr(team), Shape: stand.Ptr(wire.ShapeBatch), Priority: stand.Ptr("normal"),
			Tasks: stand.Ptr(int64(6)), CPUs: stand.Ptr(2.0), GPUs: stand.Ptr(0.0), MemoryGB: stand.Ptr(4.8), OneZone: stand.Ptr(false), Spread: stand.Ptr(false), Spot: stand.Ptr(true),
			Image: stand.Ptr("img-01"), ImageGB: stand.Ptr(0.3), EstimateS: stand.Ptr(11.0), CheckpointEvery: stand.Ptr(0.0), SaveS: stand.Ptr(0.0), DueS: stand.Ptr(60.0)}
		job, err := spec.Validate()
		if err != nil {
			stand.Fail(err)
		}
		runs := make([]time.Duration, 6)
		for i := range runs {
			runs[i] = time.Duration(8000+rng.IntN(6000)) * time.Millisecond
		}
		s.Upload(spec, worker.FromRecord(job, func(i int) time.Duration { return runs[i] }))
		mu.Lock()
		open[id] = true
		mu.Unlock()
		go func() {
			if _, err := client.Submit(ctx, spec); err == nil {
				_, _ = client.Wait(ctx, id, 2*time.Second)
			}
			mu.Lock()
			delete(open, id)
			mu.Unlock()
		}()
		stand.Sleep(ctx, 100*time.Millisecond)
	}
}

// cut cuts the zone of the holder of the team's shard off from everything: its controller and its machines reach each
// other and nothing else. Packets between the zone and the users, the cloud and the other machines and controllers are
// held; calls to the machines are refused.
func cut(ctx context.Context, s *site.Site, g *gate, rec *stand.Record) {
	holder := s.HolderOf(team)
	zone := s.ZoneOf(holder)
	names, err := s.Resolve("link", "machines:"+zone)
	if err != nil {
		rec.Line("no machines in %s: %v", zone, err)
		return
	}
	all, err := s.Resolve("link", "machines:")
	if err != nil {
		stand.Fail(err)
	}
	isInside := stand.In(append([]string{holder}, names...)...)
	var outside, others []string
	for _, n := range append(append([]string{site.PartyCloud, site.PartyUsers}, s.Names()...), all...) {
		if !isInside(n) {
			outside = append(outside, n)
		}
	}
	for _, n := range outside {
		if s.Controller(n) == nil {
			others = append(others, n)
		}
	}
	rec.Line("zone %s is cut off: %s and %s", zone, holder, strings.Join(names, " "))
	g.begin(holder)
	rules := []uint64{
		s.Net.Add(link.Rule{From: stand.In(holder), To: stand.In(others...), Mode: link.Hold}),
		s.Net.Add(link.Rule{From: stand.In(names...), To: stand.In(outside...), Mode: link.Hold}),
		s.Net.Add(link.Rule{From: stand.In("controllers"), To: stand.In(names...), Mode: link.Refuse}),
	}
	stand.Sleep(ctx, cutFor)
	for _, id := range rules {
		s.Net.Remove(id)
	}
	g.end()
	rec.Line("zone %s is back", zone)
}
