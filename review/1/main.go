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
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
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
	g := &gate{shut: map[string]chan struct{}{}, name: map[string]string{}}
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
	stand.Sleep(ctx, 20*time.Second)
	for rec.Since() < until-cutFor-4*time.Second {
		if trouble {
			cut(ctx, s, g, rec)
		} else {
			stand.Sleep(ctx, cutFor+4*time.Second)
		}
		if len(broken(s)) > 0 {
			stand.Sleep(ctx, 3*time.Second)
			break
		}
		stand.Sleep(ctx, betweenBy)
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

// gate holds the calls of controllers to the state service back while their zone is cut off.
type gate struct {
	mu   sync.Mutex
	shut map[string]chan struct{} // by address of the state service for that controller; closed when the cut ends
	name map[string]string        // controller -> that address
}

// hold shuts the gate of a controller, and returns a function that opens it.
func (g *gate) hold(controller string) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	up, open := g.name[controller], make(chan struct{})
	g.shut[up] = open
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.shut, up)
		close(open)
	}
}

// pass waits until packets get through. It returns false if the caller gives up before.
func (g *gate) pass(ctx context.Context, up string) bool {
	g.mu.Lock()
	open := g.shut[up]
	g.mu.Unlock()
	if open == nil {
		return true
	}
	select {
	case <-open:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// slowly forwards the calls of one controller to the state service and delays each answer on its own: by 1 to
// 9 ms, and one in twenty by 200 to 400 ms. A call that gets no answer gets none here either.
func slowly(g *gate, upstream string, rng *rand.Rand) (string, error) {
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
			time.Sleep(d)
			if !g.pass(r.Request.Context(), upstream) {
				return context.Canceled
			}
			return nil
		},
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
		ErrorLog:     log.New(io.Discard, "", 0),
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.pass(r.Context(), upstream) {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	})
	go func() { _ = (&http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// control answers a starting controller with the address at which it reaches the state service.
func control(g *gate, seed uint64) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var mu sync.Mutex
	known := map[string]string{}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			up := r.URL.Query().Get("up")
			if known[up] == "" {
				addr, err := slowly(g, up, rand.New(rand.NewPCG(seed, uint64(len(known)))))
				if err != nil {
					w.WriteHeader(http.StatusInternalServerError)
					return
				}
				known[up] = addr
				g.mu.Lock()
				g.name[r.URL.Query().Get("node")] = up
				g.mu.Unlock()
			}
			fmt.Fprint(w, known[up])
		}))
	}()
	return ln.Addr().String(), nil
}

// launch puts the address from control into a settings file and becomes the controller, by the command of the
// deploy file.
func launch(controlAddr, program, settings string) error {
	b, err := os.ReadFile(settings)
	if err != nil {
		return err
	}
	m := regexp.MustCompile(`(?m)^(\s*state = ['"])([0-9.:]+)(['"])`).FindStringSubmatch(string(b))
	if m == nil {
		return fmt.Errorf("%s names no state service", settings)
	}
	resp, err := http.Get("http://" + controlAddr + "/?up=" + m[2] + "&node=" + strings.TrimSuffix(filepath.Base(settings), ".toml"))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	addr, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("no address: %v", err)
	}
	own := settings + ".own"
	if err := os.WriteFile(own, []byte(strings.Replace(string(b), m[0], m[1]+string(addr)+m[3], 1)), 0o644); err != nil {
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

// cut cuts the zone of the holder of the team's shard off from everything: its controller and its machines
// reach each other and nothing else. Packets to and from the controller and from the machines are held; calls
// to the machines are refused. From two seconds before to two seconds after, the controllers refuse each
// other's connections.
func cut(ctx context.Context, s *site.Site, g *gate, rec *stand.Record) {
	controllers := stand.In(s.Names()...)
	rec.Line("controllers refuse each other's connections")
	refused := s.Net.Add(link.Rule{From: controllers, To: controllers, Mode: link.Refuse})
	stand.Sleep(ctx, 2*time.Second)
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
	var outside []string
	for _, n := range append(append([]string{site.PartyCloud, site.PartyUsers}, s.Names()...), all...) {
		if !isInside(n) {
			outside = append(outside, n)
		}
	}
	rec.Line("zone %s is cut off: %s and %s", zone, holder, strings.Join(names, " "))
	open := g.hold(holder)
	held := s.Net.Add(link.Rule{From: isInside, To: stand.In(outside...), Mode: link.Hold})
	calls := s.Net.Add(link.Rule{From: stand.In("controllers"), To: stand.In(names...), Mode: link.Refuse})
	stand.Sleep(ctx, cutFor)
	s.Net.Remove(calls)
	s.Net.Remove(held)
	open()
	rec.Line("zone %s is back", zone)
	stand.Sleep(ctx, 2*time.Second)
	s.Net.Remove(refused)
	rec.Line("controllers accept each other's connections")
}
