package core

import (
	"slices"
	"time"
)

// connections are those of the controllers to the state service.
type connections struct {
	// hang is set if attempts to connect hang while a controller's calls get lost: the first packet of an
	// attempt is sent again after a second, as kernels do, and gets through if the cut has ended by then.
	// Otherwise a call that is made meanwhile is lost.
	hang bool
	slow int                     // percentage of calls whose answer takes 200 to 400 ms
	open map[string][]*openReply // by controller: calls in flight, oldest first
}

// openReply is the reply of a call in flight. It is given once.
type openReply struct{ give func(StateReply) }

// Times of an attempt to connect: when its first packet is sent again, and when it is given up.
const (
	connectResend = time.Second
	connectGiveUp = 1500 * time.Millisecond
)

// opened registers a call in flight and returns the function that gives its reply, unless it was given
// before.
func (n *connections) opened(node string, reply func(StateReply)) func(StateReply) {
	call := &openReply{give: reply}
	if n.open == nil {
		n.open = map[string][]*openReply{}
	}
	n.open[node] = append(n.open[node], call)
	return func(r StateReply) {
		if give := call.give; give != nil {
			call.give = nil
			n.open[node] = slices.DeleteFunc(n.open[node], func(other *openReply) bool { return other == call })
			give(r)
		}
	}
}

// reset ends all calls of a controller that are in flight without an answer, whether or not they are
// executed.
func (n *connections) reset(node string) {
	calls := n.open[node]
	n.open[node] = nil
	for _, call := range calls {
		give := call.give
		call.give = nil
		give(StateReply{})
	}
}

// connect makes a call of a controller that is cut off.
func (w *world) connect(node string, v StateCall, reply func(StateReply)) {
	w.at(connectResend, func() {
		if !w.hung[node] {
			w.at(w.lag()+w.unevenLag(), func() { w.callStore(node, v, reply) })
			return
		}
		w.at(connectGiveUp-connectResend, func() { reply(StateReply{}) })
	})
}

// unevenLag returns the additional delay of a call to the state service.
func (w *world) unevenLag() time.Duration {
	if w.connections.slow > 0 && w.rng.IntN(100) < w.connections.slow {
		return time.Duration(200+w.rng.IntN(200)) * time.Millisecond
	}
	return 0
}

// cutZone cuts a zone off from everything for a while: its controllers and its machines reach each other and
// nothing else. Connections that cross the cut are reset, and attempts to connect hang.
func (w *world) cutZone(zone string, duration time.Duration) {
	w.connections.hang = true
	var inside []string
	for _, node := range sortedKeys(w.nodes) {
		if w.params(node).Zone == zone {
			inside = append(inside, node)
		}
	}
	w.apart[[2]string{"n", "s"}] = true
	for _, node := range inside {
		w.hung[node] = true
		w.connections.reset(node)
	}
	w.at(duration, func() {
		delete(w.apart, [2]string{"n", "s"})
		for _, node := range inside {
			delete(w.hung, node)
		}
	})
}
