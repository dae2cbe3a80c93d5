// Package link emulates the network between the parties of a deployment. Rules can hold,
// reset, refuse or delay connections, in one direction or both. Data that was held is
// delivered late and in order, as PROTOCOL describes.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Mode is what a rule does to the connections it matches.
type Mode string

// Modes of a rule.
const (
	Hold   Mode = "hold"   // packets wait and are delivered once the rule is lifted
	Reset  Mode = "reset"  // connections break; new ones are refused
	Refuse Mode = "refuse" // same effect as Reset; named after the action of a packet filter
	Delay  Mode = "delay"  // packets arrive later by the rule's delay
)

// Rule applies to the traffic between the parties that From and To match: in both directions,
// or only from From to To if OneWay is set.
type Rule struct {
	From, To func(party string) bool
	Mode     Mode
	Delay    time.Duration
	OneWay   bool
}

func (r *Rule) covers(from, to string) bool {
	return r.From(from) && r.To(to) || !r.OneWay && r.From(to) && r.To(from)
}

// breaks reports whether the rule breaks connections instead of holding or delaying their packets.
func (r *Rule) breaks() bool { return r.Mode == Reset || r.Mode == Refuse }

// Net holds the active rules and the open connections that they apply to.
type Net struct {
	mu           sync.Mutex
	rules        map[uint64]Rule
	next         uint64
	rulesChanged chan struct{} // closed and replaced when the rules change
	conns        map[*Conn]bool
}

// New returns a network without rules.
func New() *Net {
	return &Net{rules: map[uint64]Rule{}, rulesChanged: make(chan struct{}), conns: map[*Conn]bool{}}
}

// Add activates a rule until it is removed, breaks the open connections that it resets or refuses,
// and returns the rule's ID.
func (n *Net) Add(r Rule) uint64 {
	n.mu.Lock()
	n.next++
	n.rules[n.next] = r
	var broken []*Conn
	for c := range n.conns {
		if r.breaks() && (r.covers(c.local, c.remote) || r.covers(c.remote, c.local)) {
			broken = append(broken, c)
		}
	}
	id := n.next
	n.wake()
	n.mu.Unlock()
	for _, c := range broken {
		c.abort()
	}
	return id
}

// Remove removes the rule with an ID.
func (n *Net) Remove(id uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.rules, id)
	n.wake()
}

func (n *Net) wake() {
	close(n.rulesChanged)
	n.rulesChanged = make(chan struct{})
}

// state returns what applies to packets from one party to another now, and a channel that is closed
// when the rules change.
func (n *Net) state(from, to string) (held, broken bool, delay time.Duration, rulesChanged <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.rules {
		if !r.covers(from, to) {
			continue
		}
		switch r.Mode {
		case Hold:
			held = true
		case Delay:
			delay = max(delay, r.Delay)
		default:
			broken = true
		}
	}
	return held, broken, delay, n.rulesChanged
}

// Reach reports whether packets from one party to another are neither held nor broken now.
func (n *Net) Reach(from, to string) bool {
	held, broken, _, _ := n.state(from, to)
	return !held && !broken
}

// pass waits until a packet may go from one party to another. It returns an error if a rule breaks the
// connection, or if done is closed while it waits.
func (n *Net) pass(from, to string, done <-chan struct{}) error {
	delayed := false
	for {
		held, broken, delay, rulesChanged := n.state(from, to)
		switch {
		case broken:
			return syscall.ECONNRESET
		case held:
			select {
			case <-rulesChanged:
			case <-done:
				return net.ErrClosed
			}
		case delay > 0 && !delayed:
			delayed = true
			t := time.NewTimer(delay)
			select {
			case <-t.C:
			case <-done:
				t.Stop()
				return net.ErrClosed
			}
		default:
			return nil
		}
	}
}

// Dial connects party from to party to at addr. It blocks while a rule holds the packets; an attempt
// whose context is cancelled does not complete later.
func (n *Net) Dial(ctx context.Context, from, to, addr string) (net.Conn, error) {
	if err := n.pass(from, to, ctx.Done()); err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return n.wrap(c, from, to), nil
}

func (n *Net) wrap(c net.Conn, local, remote string) *Conn {
	w := &Conn{Conn: c, net: n, local: local, remote: remote, done: make(chan struct{})}
	n.mu.Lock()
	n.conns[w] = true
	n.mu.Unlock()
	return w
}

// Listener accepts connections of one party to another.
type Listener struct {
	net.Listener
	net           *Net
	local, remote string
}

// Listen wraps a listener of party local that only party remote connects to.
func (n *Net) Listen(ln net.Listener, local, remote string) *Listener {
	return &Listener{ln, n, local, remote}
}

// Accept waits for a connection that no rule resets or refuses.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if _, broken, _, _ := l.net.state(l.remote, l.local); broken {
			(&Conn{Conn: c}).reset()
			continue
		}
		return l.net.wrap(c, l.local, l.remote), nil
	}
}

// Conn is a connection that the rules of its Net apply to.
type Conn struct {
	net.Conn
	net           *Net
	local, remote string
	done          chan struct{}
	once          sync.Once

	mu      sync.Mutex
	pending [][]byte // written but not sent yet, because packets are held or delayed
	pumping bool
	closed  bool
}

// Read returns data that has arrived, once the rules let it pass.
func (c *Conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	if k == 0 {
		return k, err
	}
	if perr := c.net.pass(c.remote, c.local, c.done); perr != nil {
		return 0, perr
	}
	return k, err
}

// Write sends data, or queues it while packets are held or delayed, as the buffers of a network would.
func (c *Conn) Write(b []byte) (int, error) {
	held, broken, delay, _ := c.net.state(c.local, c.remote)
	c.mu.Lock()
	switch {
	case c.closed:
		c.mu.Unlock()
		return 0, net.ErrClosed
	case broken:
		c.mu.Unlock()
		c.abort()
		return 0, syscall.ECONNRESET
	case !held && delay == 0 && !c.pumping:
		c.mu.Unlock()
		return c.Conn.Write(b)
	}
	c.pending = append(c.pending, append([]byte(nil), b...))
	if !c.pumping {
		c.pumping = true
		go c.pump()
	}
	c.mu.Unlock()
	return len(b), nil
}

// pump sends the queued data in order, even after the writer has closed the connection.
func (c *Conn) pump() {
	for {
		if err := c.net.pass(c.local, c.remote, nil); err != nil {
			c.abort()
			return
		}
		c.mu.Lock()
		if len(c.pending) == 0 {
			c.pumping = false
			closed := c.closed
			c.mu.Unlock()
			if closed {
				c.drop()
			}
			return
		}
		b := c.pending[0]
		c.pending = c.pending[1:]
		c.mu.Unlock()
		if _, err := c.Conn.Write(b); err != nil {
			c.abort()
			return
		}
	}
}

// Close closes the connection. Queued data is still delivered.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	pumping := c.pumping
	c.mu.Unlock()
	c.once.Do(func() { close(c.done) })
	if pumping {
		return nil
	}
	return c.drop()
}

// CloseWrite closes the writing side, unless data is still queued.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	pumping := c.pumping
	c.mu.Unlock()
	if t, ok := c.Conn.(*net.TCPConn); ok && !pumping {
		return t.CloseWrite()
	}
	return nil
}

func (c *Conn) drop() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection so that the other side sees a connection reset.
func (c *Conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (c *Conn) abort() {
	c.mu.Lock()
	c.closed, c.pending = true, nil
	c.mu.Unlock()
	c.once.Do(func() { close(c.done) })
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	c.reset()
}

// Proxy forwards the connections that party remote opens to ln to party local, at the address that
// target returns when a connection is accepted. It returns when the listener is closed.
func (n *Net) Proxy(ln net.Listener, local, remote string, target func() string) {
	l := n.Listen(ln, local, remote)
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			out, err := net.DialTimeout("tcp", target(), time.Second)
			if err != nil {
				in.(*Conn).abort() // the client sees a reset, as if the connection had been refused
				return
			}
			back := make(chan struct{})
			go func() { defer close(back); relay(out, in) }()
			relay(in, out)
			<-back
			_, _ = in.Close(), out.Close()
		}()
	}
}

// relay copies one direction of a connection and forwards the end of the stream.
func relay(dst, src net.Conn) {
	_, err := io.Copy(dst, src)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		_ = dst.Close()
		_ = src.Close()
		return
	}
	if h, ok := dst.(interface{ CloseWrite() error }); ok {
		_ = h.CloseWrite()
	}
}
