package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/barrowbridge/barrowbridge/internal/config"
)

const (
	restartAfter = time.Second           // delay before a process that ended by itself is restarted
	startTries   = 5                     // a port that is taken between choosing it and listening on it costs one try
	quickEnd     = 2 * time.Second       // a process that ends within this time counts as not started
	slowCycle    = 40 * time.Millisecond // a slowed controller is paused for a part of each cycle
)

// Controller is one controller: its process, and the addresses that stay the same
// while the process is killed and restarted.
type Controller struct {
	Name   string
	Public string // address at which users reach it

	site      *Site
	stateAddr string
	cloudAddr string
	peers     map[string]string // peer -> address at which this controller reaches it

	earlier atomic.Bool // whether the next process runs the earlier version

	mu         sync.Mutex
	proc       *os.Process
	ended      chan struct{}
	client     string // address that the process itself listens on
	peer       string
	wanted     bool // whether the process should be running
	startCount int
	slowStop   chan struct{}
}

// ownHost returns a loopback address that is most likely unused on this machine. A
// process is given a port that was free a moment before. On an address shared by all
// deployments, another one took the port in between and was mistaken for the process.
func ownHost() string {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	ln, err := listenOn(host)
	if err != nil {
		return "127.0.0.1" // the system has a single loopback address
	}
	_ = ln.Close()
	return host
}

// starter starts processes on one thread that exists as long as this process. The
// kernel's parent-death signal depends on that thread, so the processes end with this
// process even if it is killed.
type starter struct{ jobs chan func() }

func newStarter() *starter {
	s := &starter{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.jobs {
			f()
		}
	}()
	return s
}

func (s *starter) start(cmd *exec.Cmd) (err error) {
	done := make(chan struct{})
	s.jobs <- func() {
		defer close(done)
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
		err = cmd.Start()
	}
	<-done
	return err
}

// Start starts the deployment. It runs until the context ends.
func (s *Site) Start(ctx context.Context) error {
	s.ctx, s.starter = ctx, newStarter()
	var open []io.Closer
	context.AfterFunc(ctx, func() {
		for _, c := range open {
			_ = c.Close()
		}
	})
	free := func() (net.Listener, error) {
		ln, err := listen()
		if err == nil {
			open = append(open, ln)
		}
		return ln, err
	}
	st, err1 := free()
	cl, err2 := free()
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	s.stateAddr, s.cloudAddr = st.Addr().String(), cl.Addr().String()
	s.serve(s.Net.Listen(st, PartyState, PartyUsers), s.stateServer(PartyUsers))
	s.serve(s.Net.Listen(cl, PartyCloud, PartyUsers), s.cloudServer(PartyUsers))
	for _, n := range s.names {
		s.controllers[n] = &Controller{Name: n, site: s, peers: map[string]string{}}
		s.controllers[n].earlier.Store(s.Spec.Earlier != "")
	}
	for _, n := range s.names {
		c := s.controllers[n]
		pub, err1 := free()
		st, err2 := free()
		cl, err3 := free()
		if err := errors.Join(err1, err2, err3); err != nil {
			return err
		}
		c.Public, c.stateAddr, c.cloudAddr = pub.Addr().String(), st.Addr().String(), cl.Addr().String()
		go s.Net.Proxy(pub, n, PartyUsers, func() string { return s.addrOf(n) })
		s.serve(s.Net.Listen(st, PartyState, n), s.stateServer(n))
		s.serve(s.Net.Listen(cl, PartyCloud, n), s.cloudServer(n))
		for _, o := range s.names {
			if o == n {
				continue
			}
			ln, err := free()
			if err != nil {
				return err
			}
			c.peers[o] = ln.Addr().String()
			go s.Net.Proxy(ln, o, n, func() string { return s.controllers[o].peerAddr() })
		}
	}
	s.mu.Lock()
	for i := range s.Spec.Machines {
		s.addOwnMachine(s.Spec.Zones[i%len(s.Spec.Zones)])
	}
	s.mu.Unlock()
	go s.clock(ctx)
	for _, n := range s.names {
		if err := s.controllers[n].Run(); err != nil {
			return err
		}
	}
	return nil
}

// Controller returns a controller by name, nil if there is none.
func (s *Site) Controller(name string) *Controller { return s.controllers[name] }

// Public returns the addresses at which users reach the controllers.
func (s *Site) Public() (out []string) {
	for _, n := range s.names {
		out = append(out, s.controllers[n].Public)
	}
	return out
}

// Services returns the addresses of the state service and the cloud for clients that
// are not controllers.
func (s *Site) Services() (state, cloud string) { return s.stateAddr, s.cloudAddr }

func (s *Site) addrOf(controller string) string {
	c := s.controllers[controller]
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client
}

func (c *Controller) peerAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// settings writes the controller's settings file, with ports that are free at the moment.
func (c *Controller) settings() (path string, err error) {
	a, err := listenOn(c.site.host)
	if err != nil {
		return "", err
	}
	b, err := listenOn(c.site.host)
	if err != nil {
		return "", errors.Join(err, a.Close())
	}
	c.client, c.peer = a.Addr().String(), b.Addr().String()
	if err := errors.Join(a.Close(), b.Close()); err != nil {
		return "", err
	}
	s := c.site.Spec
	cfg := config.Config{Node: c.Name, Zone: c.site.ZoneOf(c.Name), Listen: c.client, PeerListen: c.peer,
		Services: config.Services{Cloud: c.cloudAddr, State: c.stateAddr},
		Params: config.Params{Nodes: s.Controllers, Zones: s.Zones,
			Workers: config.Workers{ReportS: s.Report.Seconds(), LeaseS: s.Lease.Seconds(), CancelS: s.Cancel.Seconds()},
			State:   config.State{RPS: s.State.RPS, WriteRPS: s.State.WriteRPS, ValueKB: float64(s.State.ValueBytes) / 1024, TxnOps: s.State.TxnOps},
			Cloud:   config.Cloud{RPS: s.Cloud.RPS, ListLagS: s.Cloud.ListLag.Seconds()}}}
	for _, n := range c.site.names {
		if n != c.Name {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: n, Zone: c.site.ZoneOf(n), Addr: c.peers[n]})
		}
	}
	for _, n := range sortedTeams(s.Teams) {
		t := s.Teams[n]
		cfg.Params.Teams = append(cfg.Params.Teams, config.Team{Name: n, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
	}
	raw, err := toml.Marshal(cfg)
	if err != nil {
		return "", err
	}
	path = filepath.Join(s.Dir, c.Name+".toml")
	return path, os.WriteFile(path, raw, 0o644)
}

// Run starts the process if it is not running. If it ends at once, because another
// program took its port, Run retries with other ports.
func (c *Controller) Run() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wanted = true; c.alive() {
		return nil
	}
	var last error
	for range startTries {
		if err := c.spawn(); err != nil {
			return err
		}
		ended := c.ended
		if last = c.waitListening(ended); last == nil {
			return nil
		}
		c.end()
	}
	return fmt.Errorf("controller %s does not start: %w; see %s", c.Name, last, c.logPath())
}

func (c *Controller) logPath() string { return filepath.Join(c.site.Spec.Dir, c.Name+".log") }

func (c *Controller) spawn() error {
	path, err := c.settings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(c.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	program := c.site.Spec.Program
	if c.Earlier() {
		program = c.site.Spec.Earlier
	}
	args := []string{"--config", path}
	if s := c.site.Spec; s.Switches != (config.Switches{}) && !c.Earlier() {
		raw, err := toml.Marshal(s.Switches)
		if err != nil {
			return err
		}
		on := filepath.Join(s.Dir, "switches")
		if err := os.WriteFile(on, raw, 0o644); err != nil {
			return err
		}
		args = append(args, "--switches", on)
	}
	cmd := exec.Command(program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+c.site.Spec.LogLevel)
	if err := c.site.starter.start(cmd); err != nil {
		return errors.Join(err, log.Close())
	}
	ended := make(chan struct{})
	c.proc, c.ended = cmd.Process, ended
	if f := c.site.Spec.Spawned; f != nil {
		f(c.Name, cmd.Process.Pid, path)
	}
	c.startCount++
	go func() {
		_ = cmd.Wait()
		if f := c.site.Spec.Ended; f != nil {
			f(c.Name, cmd.Process.Pid, path)
		}
		_ = log.Close()
		close(ended)
		time.AfterFunc(restartAfter, func() { c.restart(ended) })
	}()
	return nil
}

// restart restarts a process that ended unexpectedly, as a service manager does.
func (c *Controller) restart(ended chan struct{}) {
	c.mu.Lock()
	gone := c.wanted && c.ended == ended && c.site.ctx.Err() == nil
	c.mu.Unlock()
	if !gone {
		return
	}
	c.site.log.Error("controller process ended unexpectedly; restarting it", "controller", c.Name, "log", c.logPath())
	if err := c.Run(); err != nil {
		c.site.log.Error("controller could not be started", "err", err.Error())
	}
}

// waitListening waits until the process accepts connections. A process that accepts none
// within quickEnd but still runs counts as slow, which is no error.
func (c *Controller) waitListening(ended chan struct{}) error {
	end := time.Now().Add(quickEnd)
	for {
		if conn, err := net.DialTimeout("tcp", c.client, 200*time.Millisecond); err == nil {
			return conn.Close()
		}
		select {
		case <-ended:
			return errors.New("its process ended at once")
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(end) {
			return nil // slow, not dead
		}
	}
}

// Alive reports whether the process is running.
func (c *Controller) Alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alive()
}

func (c *Controller) alive() bool {
	if c.proc == nil {
		return false
	}
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// Earlier reports whether the controller runs the earlier version, or will run it when it starts.
func (c *Controller) Earlier() bool { return c.earlier.Load() && c.site.Spec.Earlier != "" }

// Lives returns how often the process was started.
func (c *Controller) Lives() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount
}

// Kill ends the process abruptly, as a power failure does.
func (c *Controller) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted = false
	c.end()
}

func (c *Controller) end() {
	if c.alive() {
		_ = c.proc.Kill()
		<-c.ended
	}
}

// Pause suspends the process, or resumes it.
func (c *Controller) Pause(suspend bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.alive() {
		return
	}
	sig := syscall.SIGCONT
	if suspend {
		sig = syscall.SIGSTOP
	}
	_ = c.proc.Signal(sig)
}

// Slow lets the process run for only a share of the time; 1 is all of it.
func (c *Controller) Slow(share float64) {
	c.mu.Lock()
	if c.slowStop != nil {
		close(c.slowStop)
		c.slowStop = nil
	}
	if share >= 1 {
		c.mu.Unlock()
		c.Pause(false)
		return
	}
	stop := make(chan struct{})
	c.slowStop = stop
	c.mu.Unlock()
	go func() {
		defer c.Pause(false)
		for on := true; ; on = !on {
			d := time.Duration(share * float64(slowCycle))
			if !on {
				d = slowCycle - d
			}
			c.Pause(!on)
			select {
			case <-stop:
				return
			case <-c.site.ctx.Done():
				return
			case <-time.After(d):
			}
		}
	}()
}

// Ready reports whether the controller says that it can accept requests.
func (c *Controller) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Public+"/ready", nil)
	if err != nil {
		return false
	}
	req.Close = true // a reused connection would lead to an earlier incarnation of the process
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all controllers are ready.
func (s *Site) WaitReady(ctx context.Context) error {
	for _, n := range s.names {
		for !s.controllers[n].Ready(ctx) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("controller %s is not ready: %w; see %s", n, ctx.Err(), s.controllers[n].logPath())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// Stop ends all processes of the deployment.
func (s *Site) Stop() {
	s.LiftAll()
	for _, n := range s.names {
		if c := s.controllers[n]; c != nil {
			c.Kill()
		}
	}
}
