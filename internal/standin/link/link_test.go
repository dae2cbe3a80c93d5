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

// pair connects "a" to "b"; got receives what b reads, and "end".
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
						// Only a greeting is answered: an answer to who has closed resets the
						// connection, and the end is not read any more.
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

// What is held comes late and in order, though its sender has given up meanwhile;
// a connection attempt that was given up does not complete later.
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
		t.Errorf("a connection over a cut that holds: %v", err)
	}
	if s := receive(t, got, 50*time.Millisecond); s != "" {
		t.Fatalf("%q arrived through the cut", s)
	}
	n.Remove(id)
	all := ""
	for all != "onetwoend" {
		s := receive(t, got, 5*time.Second)
		if s == "" {
			t.Fatalf("received %q, want one, two and the end", all)
		}
		all += s
	}
}

// A cut one way lets the other way pass: b hears a, a does not hear b.
func TestOneWay(t *testing.T) {
	n := New()
	conn, got, _ := pair(t, n)
	id := n.Add(Rule{From: is("b"), To: is("a"), Mode: Hold, OneWay: true})
	if _, err := conn.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if s := receive(t, got, 5*time.Second); s != "hello" {
		t.Fatalf("b heard %q", s)
	}
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if k, err := conn.Read(make([]byte, 8)); err == nil {
		t.Fatalf("a heard %d bytes through the cut", k)
	}
	n.Remove(id)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(conn, make([]byte, 2)); err != nil {
		t.Errorf("a hears nothing after the cut: %v", err)
	}
}

// A reset breaks what is open and refuses what is new, until it is lifted.
func TestReset(t *testing.T) {
	n := New()
	conn, _, dial := pair(t, n)
	id := n.Add(Rule{From: is("a"), To: is("b"), Mode: Reset})
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection goes on")
	}
	if err := dial(time.Second); err == nil {
		t.Error("a new connection is taken")
	}
	n.Remove(id)
	if err := dial(time.Second); err != nil {
		t.Errorf("after the reset: %v", err)
	}
}

// A delay is at least what it says, for connections that were open before it too.
func TestDelay(t *testing.T) {
	n := New()
	conn, got, _ := pair(t, n)
	n.Add(Rule{From: is("a"), To: is("b"), Mode: Delay, Delay: 80 * time.Millisecond, OneWay: true})
	began := time.Now()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if s := receive(t, got, 5*time.Second); s != "x" || time.Since(began) < 80*time.Millisecond {
		t.Errorf("%q after %v", s, time.Since(began))
	}
}
