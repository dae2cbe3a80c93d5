package link

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

func is(names ...string) func(string) bool {
	return func(p string) bool {
		for _, n := range names {
			if n == p {
				return true
			}
		}
		return false
	}
}

// pair connects party "a" to party "b". The channel got receives the data that b reads, and "end" at the
// end of the stream; dial opens another connection with a timeout and closes it.
func pair(t *testing.T, n *Net) (conn net.Conn, got chan string, dial func(time.Duration) error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	got = make(chan string, 100)
	l := n.Listen(ln, "b", "a")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 64)
				for {
					k, err := c.Read(buf)
					if k > 0 {
						got <- string(buf[:k])
						// Only "hello" is answered: an answer to a peer that has closed resets
						// the connection, so the end of the stream could not be read.
						if string(buf[:k]) == "hello" {
							_, _ = c.Write([]byte("ok"))
						}
					}
					if err != nil {
						got <- "end"
						return
					}
				}
			}()
		}
	}()
	open := func(d time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		return n.Dial(ctx, "a", "b", ln.Addr().String())
	}
	if conn, err = open(time.Second); err != nil {
		t.Fatal(err)
	}
	return conn, got, func(d time.Duration) error {
		c, err := open(d)
		if err == nil {
			c.Close()
		}
		return err
	}
}

func receive(t *testing.T, got chan string, within time.Duration) string {
	t.Helper()
	select {
	case s := <-got:
		return s
	case <-time.After(within):
		return ""
	}
}

// Held data is delivered late and in order, even if its sender has closed the connection meanwhile.
// A connection attempt that was cancelled does not complete later.
func TestHeldPacketsAreDeliveredLate(t *testing.T) {
	n := New()
	conn, got, dial := pair(t, n)
	id := n.Add(Rule{From: is("a"), To: is("b"), Mode: Hold})
	for _, s := range []string{"one", "two"} {
		if _, err := conn.Write([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	conn.Close()
	if err := dial(50 * time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("connection attempt while packets are held: %v, want a timeout", err)
	}
	if s := receive(t, got, 50*time.Millisecond); s != "" {
		t.Fatalf("%q arrived while packets were held", s)
	}
	n.Remove(id)
	all := ""
	for all != "onetwoend" {
		s := receive(t, got, 5*time.Second)
		if s == "" {
			t.Fatalf("received %q, want one, two and the end of the stream", all)
		}
		all += s
	}
}

// A rule for one direction lets the other pass: b receives from a, but a does not receive from b.
func TestOneWay(t *testing.T) {
	n := New()
	conn, got, _ := pair(t, n)
	id := n.Add(Rule{From: is("b"), To: is("a"), Mode: Hold, OneWay: true})
	if _, err := conn.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if s := receive(t, got, 5*time.Second); s != "hello" {
		t.Fatalf("b received %q, want hello", s)
	}
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if k, err := conn.Read(make([]byte, 8)); err == nil {
		t.Fatalf("a received %d bytes while packets were held", k)
	}
	n.Remove(id)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
		t.Errorf("a receives nothing after the rule was removed: %v", err)
	}
}

// A reset rule breaks open connections and refuses new ones until it is removed.
func TestReset(t *testing.T) {
	n := New()
	conn, _, dial := pair(t, n)
	id := n.Add(Rule{From: is("a"), To: is("b"), Mode: Reset})
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the open connection was not reset")
	}
	if err := dial(time.Second); err == nil {
		t.Error("a new connection was accepted")
	}
	n.Remove(id)
	if err := dial(time.Second); err != nil {
		t.Errorf("connection attempt after the rule was removed: %v", err)
	}
}

// Packets are delayed by at least the rule's delay, also on connections that were open before.
func TestDelay(t *testing.T) {
	n := New()
	conn, got, _ := pair(t, n)
	n.Add(Rule{From: is("a"), To: is("b"), Mode: Delay, Delay: 80 * time.Millisecond, OneWay: true})
	start := time.Now()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if s := receive(t, got, 5*time.Second); s != "x" || time.Since(start) < 80*time.Millisecond {
		t.Errorf("received %q after %v, want x after at least 80 ms", s, time.Since(start))
	}
}
