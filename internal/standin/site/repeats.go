package site

import (
	"net/http"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Least and longest time after which a request that has been carried out is carried out once more.
const (
	repeatAfterLeast = 100 * time.Millisecond
	repeatAfterMost  = 20 * time.Second
)

// repeat carries out a request once more if the fault requests_repeated is staged, for its share of the
// requests. The caller, and later the request, hold the site's lock.
func (s *Site) repeat(request func()) {
	if s.repeats == 0 || s.rng.Float64() >= s.repeats {
		return
	}
	after := repeatAfterLeast + time.Duration(s.rng.Float64()*float64(repeatAfterMost-repeatAfterLeast))
	go func() {
		pause(s.ctx, after)
		if s.ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		request()
	}()
}

// repeatState repeats a call of the state service that changes something and was answered 200.
func (s *Site) repeatState(call state.Call, status int) {
	changes := call.Op == state.Commit || call.Op == state.Grant || call.Op == state.Extend || call.Op == state.End
	if !changes || status != http.StatusOK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeat(func() {
		s.callID++ // nobody awaits this answer
		s.answer(s.store.Do(s.Now(), s.callID, call))
	})
}

// repeatOrders repeats a direct call that a worker has carried out.
func (s *Site) repeatOrders(name string, orders wire.Orders) {
	s.repeat(func() {
		m := s.machines[name]
		if m == nil || m.gone || m.resumed != nil {
			return
		}
		now := s.Now()
		_, _, out := m.Orders(now, orders)
		s.drive(now, name, m, out)
	})
}
