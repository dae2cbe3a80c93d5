// Package state emulates the state service of PROTOCOL as a state machine that maps calls
// and their times to answers. It has no clock, goroutine or source of randomness of its own,
// so the tests of the core and the server of the emulator run the same code.
package state

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/google/btree"
	"golang.org/x/time/rate"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Time is monotonic time since the start of the store.
type Time = time.Duration

// Op identifies a kind of call.
type Op int

// The calls of the protocol.
const (
	Get Op = iota
	List
	Commit
	Grant
	Extend
	End
	Watch
)

// Limits are the limits of the settings and of the protocol. A rate of 0 means no limit.
type Limits struct {
	RPS, WriteRPS float64
	ValueBytes    int
	TxnOps        int
	PageItems     int // maximum number of items in one page of a list; 0: 1,000
}

// Limits that PROTOCOL specifies.
const (
	keyBytes         = 200
	pageItems        = 1000
	pageBytes        = 512 << 10
	txnBytes         = 64 << 10
	historyLen       = 10000
	minLeaseDuration = 100 * time.Millisecond
	maxLeaseDuration = 10 * time.Minute
	maxWatchHold     = time.Minute
	maxLeaseEndDelay = 100 * time.Millisecond // the end of a state lease takes effect at most this late
)

// Call is one request. Op determines which fields are used.
type Call struct {
	Client   string // the caller; faults may affect a single client
	Op       Op
	Key      string // key of Get; prefix of List and Watch
	After    string
	Page     int // 0: the maximum
	Txn      Txn
	Lease    uint64
	Life     time.Duration
	Revision uint64
	Hold     time.Duration
}

// Txn is a transaction with its values still encoded.
type Txn struct {
	If   []wire.Condition `cbor:"when"`
	Then []Change         `cbor:"apply"`
}

// Change sets or deletes one key.
type Change struct {
	Put    string   `cbor:"set,omitempty"`
	Value  wire.Raw `cbor:"v,omitempty"`
	Lease  uint64   `cbor:"permit,omitempty"`
	Delete string   `cbor:"delete,omitempty"`
}

// Answer is the answer to the call ID. Body is nil or a message of package wire.
type Answer struct {
	ID     uint64
	Status int
	Body   any
}

// Trouble describes the current faults of the service.
type Trouble struct {
	Down     bool            // 503 to all clients; state leases do not expire
	Refused  map[string]bool // 503 to these clients only
	NoWrites bool            // 503 to every change
	TooOld   bool            // 410 to every new watch
}

type stateLease struct {
	life time.Duration
	ends Time // never before the lease duration is over, at most maxLeaseEndDelay after it
}

type watch struct {
	call  Call
	id    uint64
	until Time
}

// Store is the emulated state service.
type Store struct {
	Trouble Trouble

	lim     Limits
	rng     *rand.Rand
	keys    *btree.BTreeG[wire.Item]
	rev     uint64
	history []wire.Event
	dropped uint64 // newest revision that was dropped from the history
	leases  map[uint64]*stateLease
	lastID  uint64
	watches []*watch
	calls   *rate.Limiter
	writes  *rate.Limiter
	down    bool // value of Trouble.Down at the last step

	// Counters for tests and reports.
	Conflicts, Written, Refused int
}

// New returns an empty store. rng determines how late the end of each state lease takes effect.
func New(l Limits, rng *rand.Rand) *Store {
	if l.PageItems == 0 || l.PageItems > pageItems {
		l.PageItems = pageItems
	}
	s := &Store{lim: l, rng: rng, leases: map[uint64]*stateLease{},
		keys: btree.NewG(32, func(a, b wire.Item) bool { return a.Key < b.Key })}
	limiter := func(rps float64) *rate.Limiter {
		if rps <= 0 {
			return rate.NewLimiter(rate.Inf, 0)
		}
		return rate.NewLimiter(rate.Limit(rps), max(1, int(rps))) // allows a burst of one second's calls
	}
	s.calls, s.writes = limiter(l.RPS), limiter(l.WriteRPS)
	return s
}

// Limit replaces the limits at once. Stored values that exceed the new limits stay readable.
func (s *Store) Limit(now Time, l Limits) {
	if l.PageItems == 0 || l.PageItems > pageItems {
		l.PageItems = pageItems
	}
	s.lim = l
	for lim, rps := range map[*rate.Limiter]float64{s.calls: l.RPS, s.writes: l.WriteRPS} {
		if rps <= 0 {
			lim.SetLimitAt(time.Unix(0, 0).Add(now), rate.Inf)
			continue
		}
		lim.SetLimitAt(time.Unix(0, 0).Add(now), rate.Limit(rps))
		lim.SetBurstAt(time.Unix(0, 0).Add(now), max(1, int(rps)))
	}
}

// allow takes n tokens from a limiter and reports whether they were available at now.
func allow(l *rate.Limiter, now Time, n int) bool {
	return l.Limit() == rate.Inf || l.AllowN(time.Unix(0, 0).Add(now), n)
}

// Do executes one call and returns all answers that are due now: the call's own, unless it is a
// watch that waits, and those of the watches that the call or the time completed.
func (s *Store) Do(now Time, id uint64, c Call) []Answer {
	out := s.Advance(now)
	if s.Trouble.Down || s.Trouble.Refused[c.Client] {
		s.Refused++
		return append(out, refuse(id, http.StatusServiceUnavailable, "trouble"))
	}
	if !allow(s.calls, now, 1) {
		s.Refused++
		return append(out, refuse(id, http.StatusTooManyRequests, "too many requests"))
	}
	switch c.Op {
	case Get:
		out = append(out, s.get(id, c))
	case List:
		out = append(out, s.list(id, c))
	case Commit:
		out = append(out, s.commit(now, id, c))
		out = append(out, s.wake(now)...)
	case Grant:
		if c.Life < minLeaseDuration || c.Life > maxLeaseDuration {
			return append(out, refuse(id, http.StatusBadRequest, "life_ms: must be from 100 to 600000"))
		}
		s.lastID++
		s.leases[s.lastID] = &stateLease{life: c.Life, ends: s.ends(now, c.Life)}
		out = append(out, Answer{id, http.StatusOK, wire.LeaseReply{Lease: s.lastID}})
	case Extend, End:
		g := s.leases[c.Lease]
		if g == nil {
			return append(out, refuse(id, http.StatusNotFound, "no such lease"))
		}
		if g.ends = s.ends(now, g.life); c.Op == End {
			s.endLease(c.Lease)
		}
		out = append(out, Answer{id, http.StatusOK, wire.LeaseReply{Lease: c.Lease}})
		out = append(out, s.wake(now)...)
	case Watch:
		if c.Hold < 0 || c.Hold > maxWatchHold {
			return append(out, refuse(id, http.StatusBadRequest, "hold_ms: must be from 0 to 60000"))
		}
		if s.Trouble.TooOld || c.Revision < s.dropped {
			return append(out, refuse(id, http.StatusGone, "after is too old"))
		}
		s.watches = append(s.watches, &watch{c, id, now + c.Hold})
		out = append(out, s.wake(now)...)
	default:
		out = append(out, refuse(id, http.StatusBadRequest, "no such call"))
	}
	return out
}

func refuse(id uint64, status int, why string) Answer {
	return Answer{id, status, wire.Problem{Error: why}}
}

func (s *Store) ends(now Time, life time.Duration) Time {
	return now + life + time.Duration(s.rng.Int64N(int64(maxLeaseEndDelay)))
}

// Advance ends the state leases and watches that have run out by now and returns the answers of
// the watches. Every state lease starts anew with its full duration when an outage begins or ends.
func (s *Store) Advance(now Time) []Answer {
	if s.down != s.Trouble.Down {
		s.down = s.Trouble.Down
		for _, id := range s.leaseIDs() {
			s.leases[id].ends = s.ends(now, s.leases[id].life)
		}
	}
	if s.down {
		return nil // during an outage state leases do not expire and watches stay open
	}
	for _, id := range s.leaseIDs() {
		if now >= s.leases[id].ends {
			s.endLease(id)
		}
	}
	return s.wake(now)
}

// Next returns when Advance has to be called next, and false if there is no such time.
func (s *Store) Next() (Time, bool) {
	next, any := Time(0), false
	earliest := func(t Time) {
		if !any || t < next {
			next, any = t, true
		}
	}
	for _, g := range s.leases {
		earliest(g.ends)
	}
	for _, w := range s.watches {
		earliest(w.until)
	}
	return next, any && !s.Trouble.Down
}

func (s *Store) leaseIDs() []uint64 {
	ids := make([]uint64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	s.keys.Ascend(func(it wire.Item) bool {
		if it.Lease == id {
			keys = append(keys, it.Key)
		}
		return true
	})
	if len(keys) > 0 {
		s.rev++
	}
	for _, k := range keys {
		s.remove(k)
	}
}

func (s *Store) get(id uint64, c Call) Answer {
	if err := checkKey(c.Key); err != nil {
		return refuse(id, http.StatusBadRequest, err.Error())
	}
	if it, ok := s.keys.Get(wire.Item{Key: c.Key}); ok {
		return Answer{id, http.StatusOK, it}
	}
	return Answer{id, http.StatusNotFound, wire.Absent{Revision: s.rev}}
}

func (s *Store) list(id uint64, c Call) Answer {
	if c.Page < 0 || c.Page > pageItems {
		return refuse(id, http.StatusBadRequest, "page: must be from 1 to 1000")
	}
	most := s.lim.PageItems
	if c.Page > 0 {
		most = min(most, c.Page)
	}
	l, bytes := wire.ItemList{Revision: s.rev, Items: []wire.Item{}}, 0
	s.keys.AscendGreaterOrEqual(wire.Item{Key: max(c.Key, c.After)}, func(it wire.Item) bool {
		switch {
		case it.Key == c.After:
			return true
		case !strings.HasPrefix(it.Key, c.Key):
			return it.Key < c.Key
		}
		bytes += len(it.Value) + len(it.Key)
		if len(l.Items) == most || bytes > pageBytes && len(l.Items) > 0 {
			l.More = true
			return false
		}
		l.Items = append(l.Items, it)
		return true
	})
	return Answer{id, http.StatusOK, l}
}

func (s *Store) commit(now Time, id uint64, c Call) Answer {
	if s.Trouble.NoWrites && len(c.Txn.Then) > 0 {
		s.Refused++
		return refuse(id, http.StatusServiceUnavailable, "trouble")
	}
	if err := s.check(&c.Txn); err != nil {
		return refuse(id, http.StatusBadRequest, err.Error())
	}
	// Transactions whose conditions fail count towards the write rate as well.
	if !allow(s.writes, now, len(c.Txn.Then)) {
		s.Refused++
		return refuse(id, http.StatusTooManyRequests, "too many writes")
	}
	for _, ch := range c.Txn.Then {
		if ch.Lease != 0 && s.leases[ch.Lease] == nil {
			return refuse(id, http.StatusBadRequest, "no such lease")
		}
	}
	var failed []string
	for _, x := range c.Txn.If {
		if it, _ := s.keys.Get(wire.Item{Key: x.Key}); it.Version != x.Version {
			failed = append(failed, x.Key)
		}
	}
	if failed != nil {
		s.Conflicts++
		return Answer{id, http.StatusConflict, wire.TxnReply{Failed: failed, Revision: s.rev}}
	}
	if len(c.Txn.Then) > 0 {
		s.rev++
	}
	for _, ch := range c.Txn.Then {
		if ch.Delete != "" {
			s.remove(ch.Delete)
			continue
		}
		it := wire.Item{Key: ch.Put, Value: ch.Value, Version: s.rev, Lease: ch.Lease}
		s.keys.ReplaceOrInsert(it)
		s.record(wire.Event{Put: it.Key, Value: it.Value, Version: s.rev})
	}
	s.Written += len(c.Txn.Then)
	return Answer{id, http.StatusOK, wire.TxnReply{Revision: s.rev}}
}

func (s *Store) remove(key string) {
	if _, ok := s.keys.Delete(wire.Item{Key: key}); ok {
		s.record(wire.Event{Delete: key, Version: s.rev})
	}
}

func (s *Store) record(e wire.Event) {
	if s.history = append(s.history, e); len(s.history) > historyLen {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
}

// check returns an error for a transaction that is malformed according to the protocol.
func (s *Store) check(t *Txn) error {
	if len(t.Then) > s.lim.TxnOps || len(t.If) > 4*s.lim.TxnOps {
		return fmt.Errorf("at most %d changes and %d conditions", s.lim.TxnOps, 4*s.lim.TxnOps)
	}
	total := 0
	for _, x := range t.If {
		if err := checkKey(x.Key); err != nil {
			return err
		}
		total += len(x.Key)
	}
	seen := map[string]bool{}
	for _, ch := range t.Then {
		key := ch.Put + ch.Delete
		if (ch.Put == "") == (ch.Delete == "") || seen[key] {
			return errors.New("each change sets or deletes one key, once")
		}
		seen[key] = true
		if err := checkKey(key); err != nil {
			return err
		}
		total += len(key)
		if ch.Put == "" {
			continue
		}
		n, err := wire.JSONSize(ch.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		if n > s.lim.ValueBytes {
			return fmt.Errorf("%s: a value of %d bytes, at most %d", key, n, s.lim.ValueBytes)
		}
		total += n
	}
	if total > txnBytes {
		return fmt.Errorf("a transaction of %d bytes, at most %d", total, txnBytes)
	}
	return nil
}

func checkKey(k string) error {
	if k == "" || len(k) > keyBytes || strings.ContainsAny(k, " \t\r\n") {
		return errors.New("a key has 1 to 200 bytes and no spaces")
	}
	return nil
}

// wake answers the watches whose keys have changed or whose hold time is over, and refuses those whose
// revision is no longer in the history. Watches of clients that a fault affects stay open.
func (s *Store) wake(now Time) (out []Answer) {
	rest := s.watches[:0]
	for _, w := range s.watches {
		if s.Trouble.Down || s.Trouble.Refused[w.call.Client] {
			rest = append(rest, w)
			continue
		}
		if w.call.Revision < s.dropped {
			out = append(out, refuse(w.id, http.StatusGone, "after is too old"))
			continue
		}
		ev := wire.Events{Revision: s.rev, Events: []wire.Event{}}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > w.call.Revision })
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.Put+e.Delete, w.call.Key) {
				ev.Events = append(ev.Events, e)
			}
		}
		if len(ev.Events) > 0 || now >= w.until {
			out = append(out, Answer{w.id, http.StatusOK, ev})
		} else {
			rest = append(rest, w)
		}
	}
	for i := len(rest); i < len(s.watches); i++ {
		s.watches[i] = nil
	}
	s.watches = rest
	return out
}

// Forget drops the watch of a call whose caller has disconnected.
func (s *Store) Forget(id uint64) {
	for i, w := range s.watches {
		if w.id == id {
			s.watches = append(s.watches[:i], s.watches[i+1:]...)
			return
		}
	}
}

// Peek reads a key without counting as a call, for tests and other emulated services.
func (s *Store) Peek(key string) (wire.Item, bool) { return s.keys.Get(wire.Item{Key: key}) }

// Scan passes all keys with a prefix to f in order, without counting as a call.
func (s *Store) Scan(prefix string, f func(wire.Item)) {
	s.keys.AscendGreaterOrEqual(wire.Item{Key: prefix}, func(it wire.Item) bool {
		if !strings.HasPrefix(it.Key, prefix) {
			return false
		}
		f(it)
		return true
	})
}
