// Package peer sends messages between controllers as msgpack frames over TCP. Each controller sends
// on its own connection to every other controller. Messages may be lost or late; correctness does
// not depend on them.
package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
)

// Write writes one frame: four bytes of length, then the message as msgpack. It returns an error if
// the message is larger than tuning.MaxPeerFrameBytes.
func Write(w io.Writer, m core.PeerMessage) error {
	b, err := msgpack.Marshal(&m)
	if err != nil {
		return err
	}
	if len(b) > tuning.MaxPeerFrameBytes {
		return fmt.Errorf("peer message of %d bytes is too large", len(b))
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...))
	return err
}

// Read reads one frame. It returns an error if the frame is too large or not a message.
func Read(r io.Reader) (core.PeerMessage, error) {
	var m core.PeerMessage
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return m, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > tuning.MaxPeerFrameBytes {
		return m, fmt.Errorf("peer message of %d bytes is too large", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return m, err
	}
	return m, msgpack.Unmarshal(b, &m)
}

// Links are the outgoing connections to the other controllers.
type Links struct {
	log    *slog.Logger
	queues map[string]chan core.PeerMessage
	dial   func(addr string) (net.Conn, error)
}

// Dial starts a link to each of the addresses, by controller name. Links connect and reconnect by
// themselves until the context ends.
func Dial(ctx context.Context, addrs map[string]string, log *slog.Logger) *Links {
	return start(ctx, addrs, log, func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, tuning.PeerTimeout) })
}

func start(ctx context.Context, addrs map[string]string, log *slog.Logger, dial func(string) (net.Conn, error)) *Links {
	l := &Links{log: log, queues: map[string]chan core.PeerMessage{}, dial: dial}
	for name, addr := range addrs {
		ch := make(chan core.PeerMessage, tuning.PeerQueueSize)
		l.queues[name] = ch
		go l.run(ctx, name, addr, ch)
	}
	return l
}

// Send queues a message for a controller; if the queue is full, the message is dropped.
func (l *Links) Send(to string, m core.PeerMessage) {
	select {
	case l.queues[to] <- m:
	default:
	}
}

// run sends the queued messages of one link, and connects again when a write fails.
func (l *Links) run(ctx context.Context, name, addr string, ch chan core.PeerMessage) {
	var conn net.Conn
	for {
		var m core.PeerMessage
		select {
		case <-ctx.Done():
			return
		case m = <-ch:
		}
		if conn == nil {
			c, err := l.dial(addr)
			if err != nil {
				l.log.Debug("cannot connect to peer", "peer", name, "err", err.Error())
				drain(ch) // messages queued meanwhile are outdated and would arrive all at once
				continue
			}
			conn = c
		}
		_ = conn.SetWriteDeadline(time.Now().Add(tuning.PeerTimeout))
		if err := Write(conn, m); err != nil {
			l.log.Debug("write to peer failed", "peer", name, "err", err.Error())
			conn.Close()
			conn = nil
		}
	}
}

// drain empties a queue.
func drain(ch chan core.PeerMessage) {
	for {
		select {
		case <-ch:
		default:
			return
		}
	}
}

// Serve accepts connections and delivers their messages until the listener is closed. After any
// other error, such as a lack of file descriptors, it retries after a delay: a short shortage must
// not end the process.
func Serve(ln net.Listener, deliver func(core.PeerMessage), log *slog.Logger) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			log.Error("cannot accept peer connection", "err", err.Error())
			time.Sleep(tuning.AcceptRetryDelay)
			continue
		}
		go func() {
			defer conn.Close()
			for {
				_ = conn.SetReadDeadline(time.Now().Add(tuning.PeerIdleTimeout))
				m, err := Read(conn)
				if err != nil {
					if !errors.Is(err, io.EOF) {
						log.Debug("peer connection ended", "from", conn.RemoteAddr().String(), "err", err.Error())
					}
					return
				}
				deliver(m)
			}
		}()
	}
}
