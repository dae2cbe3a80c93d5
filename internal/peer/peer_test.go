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
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// faulty is a listener whose first calls of Accept fail for lack of file descriptors.
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

// One connection of a peer that could not be accepted, for lack of a free socket, used to end the
// whole process.
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
	in := core.PeerMessage{
		From:      "a",
		Boot:      7,
		Nonce:     3,
		Revision:  1200,
		UpMS:      5,
		Jobs:      []core.JobCount{{ID: "job-000001", Running: 2, Done: 1}},
		RouteHops: 2,
		Reachability: &wire.ReachReport{
			Boot:             7,
			NoWorkers:        true,
			SilentShards:     []int{1},
			SampledShards:    []wire.ShardReach{{Shard: 1, Called: 4, Answered: 3}},
			UnreachableNodes: []string{"b"},
		},
		Call: &core.PeerCall{
			ID:          9,
			Incarnation: 4,
			Hops:        1,
			Op:          core.OpCommit,
			Key:         "live/x",
			If:          []wire.Condition{{Key: "live/x", Version: 3}},
			Then:        []core.PeerChange{{Put: "live/x", Value: []byte{0xa0}, Lease: 8}},
		},
		Result: &core.PeerResult{
			ID:          9,
			Incarnation: 4,
			Reply: core.StateReply{
				Status: 200,
				Item:   wire.Item{Key: "live/x", Value: wire.Raw{0xa0}, Version: 4},
				List: wire.ItemList{
					Items:    []wire.Item{{Key: "live/y", Value: wire.Raw{0x01}, Version: 2}},
					Revision: 9,
				},
				Events: wire.Events{Revision: 9, Events: []wire.Event{{Delete: "live/z", Version: 9}}},
			},
		},
		WorkerCall: &core.WorkerCall{
			Machine:       "m",
			Addr:          "1:1",
			Orders:        wire.Orders{Token: 5, Session: 2},
			ReturnOutcome: true,
		},
		WorkerCallDone: &core.WorkerCallDone{
			Machine: "m",
			Token:   5,
			Session: 2,
			Status:  409,
			Report:  wire.Report{Machine: "m", Session: 3, Seq: 8},
		},
	}
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

// Malformed input uses bounded memory and results in an error.
func TestBadFrames(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(nil, tuning.MaxPeerFrameBytes+1)
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

// Messages that were queued while a peer could not be connected to are outdated. Once it is
// reachable it gets only messages sent from then on, not a burst of old ones.
func TestNoOutdatedMessagesAfterReconnect(t *testing.T) {
	began, cut := make(chan bool, 1), make(chan bool)
	near, far := net.Pipe()
	first := true
	dial := func(string) (net.Conn, error) {
		if first {
			first = false
			began <- true
			<-cut
			return nil, syscall.ETIMEDOUT
		}
		return near, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := start(ctx, map[string]string{"b": "x"}, slog.New(slog.DiscardHandler), dial)
	l.Send("b", core.PeerMessage{From: "a", Nonce: 1})
	<-began
	for n := range uint64(50) {
		l.Send("b", core.PeerMessage{From: "a", Nonce: 2 + n})
	}
	close(cut)
	for len(l.queues["b"]) > 0 { // until the queue is dropped; if it is sent instead, the pipe blocks on the first message
		time.Sleep(time.Millisecond)
		if len(l.queues["b"]) == 49 {
			break
		}
	}
	l.Send("b", core.PeerMessage{From: "a", Nonce: 100})
	_ = far.SetReadDeadline(time.Now().Add(10 * time.Second))
	m, err := Read(far)
	if err != nil || m.Nonce != 100 {
		t.Errorf("message %d, %v", m.Nonce, err)
	}
}

// The largest report that is read from a worker must fit into a message, so that it can be passed on.
func TestTheLargestReportFitsIntoAMessage(t *testing.T) {
	report := wire.Report{Machine: "n-000231", Session: 1}
	for size := 0; size < reportsize.MaxRead; {
		entry := wire.TaskReport{Task: wire.TaskName("job-000000", len(report.Attempts)%10), Attempt: 1, Status: wire.TaskSaving} // the shortest there is
		raw, err := wire.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		size += len(raw)
		report.Attempts = append(report.Attempts, entry)
	}
	var frame bytes.Buffer
	if err := Write(&frame, core.PeerMessage{Relay: &core.RelayReport{ID: 1, Report: report}}); err != nil {
		t.Errorf("%d attempts: %v", len(report.Attempts), err)
	}
}
