package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
)

// faulty fails to accept at first, as a process does that has no free file or socket.
type faulty struct {
	net.Listener
	left int
}

func (f *faulty) Accept() (net.Conn, error) {
	if f.left--; f.left >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// Found while looking for what could end a controller once in many days: for want of a
// socket, one refused connection of a peer ended the whole process.
func TestNoFreeSocketDoesNotEndTheService(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got, ended := make(chan core.PeerMessage, 1), make(chan error, 1)
	go func() {
		ended <- Serve(&faulty{ln, 2}, func(m core.PeerMessage) { got <- m }, slog.New(slog.DiscardHandler))
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	Dial(ctx, map[string]string{"b": ln.Addr().String()}, slog.New(slog.DiscardHandler)).Send("b", core.PeerMessage{From: "a"})
	select {
	case <-got:
	case err := <-ended:
		t.Fatalf("the service ended: %v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("no message came through")
	}
	ln.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("a closed listener does not end the service")
	}
}

func TestFrames(t *testing.T) {
	in := core.PeerMessage{From: "a", Boot: 7, Nonce: 3, Revision: 1200, UpMS: 5, Jobs: []core.JobCount{{ID: "job-000001", Running: 2, Done: 1}}}
	var b bytes.Buffer
	if err := Write(&b, in); err != nil {
		t.Fatal(err)
	}
	out, err := Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(in, out); diff != "" {
		t.Fatal(diff)
	}
}

// What comes from the wire costs bounded memory and ends in an error.
func TestBadFrames(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(nil, tuning.PeerFrame+1)
	for name, raw := range map[string][]byte{
		"oversized":   huge,
		"cut short":   {0, 0, 0, 9, 1},
		"not msgpack": {0, 0, 0, 2, 0xc1, 0xc1},
		"not a map":   {0, 0, 0, 1, 0x07},
	} {
		if _, err := Read(bytes.NewReader(raw)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
