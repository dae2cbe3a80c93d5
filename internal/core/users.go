package core

import (
	"fmt"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// users holds what is needed to answer users.
type users struct {
	finals   map[string]wire.Final
	finalAge []string // oldest first
	polls    map[string][]uint64
	asked    []Poll // wait for the next look at the changes
	asking   int    // looks under way
}

func newUsers() users {
	return users{finals: map[string]wire.Final{}, polls: map[string][]uint64{}}
}

// keepFinal remembers a state that can never change again, and the revision at which it was
// written. No user is told that a job is over before: what peers are told rests on it.
func (c *Core) keepFinal(id string, f wire.Final, rev uint64) {
	if _, ok := c.finals[id]; ok {
		return
	}
	c.vouch.JobOver(jobKey(id), rev)
	c.finals[id] = f
	c.chain.End(id, f.Status == wire.JobDone, f.By)
	c.finalAge = append(c.finalAge, id)
	if len(c.finalAge) > tuning.FinalCache {
		delete(c.finals, c.finalAge[0])
		c.finalAge = c.finalAge[1:]
	}
}

func unavailable(why string) wire.Problem { return wire.Problem{Error: why} }

// found is what a look at the state has shown of a job: its live record, or its final state, or
// neither; ok false: the state service could not tell.
type found struct {
	job *wire.Job
	key string // where the live record stands, and its version
	ver uint64
	fin *wire.Final
	ok  bool
}

// look finds a job freshly. Jobs move from the key of those that wait for others to the live one
// and on to the final one, and never back, so the keys are read in this order. One that is
// cancelled with a job before it is over, whatever stands of it.
func (c *Core) look(id string, f func(found)) {
	if fin, ok := c.finals[id]; ok {
		f(found{fin: &fin, ok: true})
		return
	}
	keys := []string{jobKey(id), finalKey(id)}
	if c.jobs[id] == nil && (!c.loaded || c.understood(rollout.Chains) || len(c.waitingAt) > 0) {
		keys = append([]string{waitingKey(id)}, keys...)
	}
	c.lookAt(id, keys, f)
}

func (c *Core) lookAt(id string, keys []string, f func(found)) {
	c.state(StateCall{Op: OpGet, Key: keys[0]}, func(r StateReply) {
		c.learn(keys[0], r)
		switch {
		case r.Status == 404 && len(keys) > 1:
			c.lookAt(id, keys[1:], f)
		case r.Status == 404:
			f(found{ok: true})
		case r.Status != 200:
			f(found{})
		case len(keys) == 1:
			var fin wire.Final
			if err := wire.Unmarshal(r.Item.Value, &fin); err != nil {
				f(found{})
				return
			}
			c.keepFinal(id, fin, r.Item.Version)
			f(found{fin: &fin, ok: true})
		default:
			j := &wire.Job{}
			if err := wire.Unmarshal(r.Item.Value, j); err != nil {
				f(found{})
				return
			}
			at := found{job: j, key: keys[0], ver: r.Item.Version, ok: true}
			if keys[0] != waitingKey(id) {
				f(at)
				return
			}
			c.refreshed(func(ok bool) { c.judgeWaiting(id, at, ok, f) })
		}
	})
}

func (c *Core) statusOf(j *wire.Job) wire.JobStatus {
	done, running := ranges.Count(j.Done), 0
	if e := c.jobs[j.ID]; e != nil && e.run != nil {
		running, done = e.run.count()
	} else if n, ok := c.counts[j.ID]; ok {
		running, done = n.Running, max(done, n.Done) // as its holder last told
	}
	done = max(0, min(done, j.Tasks-1)) // done as a whole is said only once it is written
	s := wire.JobStatus{ID: j.ID, Status: wire.JobQueued, Done: &done, Running: &running}
	if running > 0 {
		s.Status = wire.JobRunning
	}
	return s
}

func finalStatus(id string, f wire.Final) wire.JobStatus {
	zero := 0
	return wire.JobStatus{ID: id, Status: f.Status, Done: &f.Done, Running: &zero}
}

func (c *Core) onPoll(v Poll) {
	if !wire.ValidJobID(v.ID) {
		c.answer(v.Req, 404, wire.Problem{Error: "no such job"})
		return
	}
	if f, ok := c.finals[v.ID]; ok {
		c.answer(v.Req, 200, finalStatus(v.ID, f))
		return
	}
	if c.cutOff() {
		c.answer(v.Req, 503, unavailable("state service not reached"))
		return
	}
	if !c.loaded || c.loading {
		c.readFor(v)
		return
	}
	c.asked = append(c.asked, v)
	c.askAll()
}

// readFor answers a poll by a read of its own. One read serves all polls for the job
// that came before it was sent.
func (c *Core) readFor(v Poll) {
	if reqs, busy := c.polls[v.ID]; busy {
		c.polls[v.ID] = append(reqs, v.Req)
		return
	}
	c.polls[v.ID] = nil
	c.pollRead(v.ID, []uint64{v.Req})
}

// askAll answers all polls that wait with one call: it asks for the changes that the
// mirror lacks at this moment, however many jobs are asked for. Once they are applied the
// mirror holds all that was written before the call was sent, so nothing older is
// answered than anybody has been told. A read for each poll was most of what a large
// fleet asked of the state service, and took its limit from the renewals of grants.
func (c *Core) askAll() {
	if len(c.asked) == 0 || c.asking > 0 && c.now < c.retryAt["ask again"] || !c.every("ask", tuning.AskEvery) {
		return
	}
	batch := c.asked
	c.asked, c.asking, c.retryAt["ask again"] = nil, c.asking+1, c.now+tuning.AskAgain
	c.state(StateCall{Op: OpWatch, Key: wire.LivePrefix, Revision: c.rev}, func(r StateReply) {
		c.asking--
		if r.Status == 200 {
			c.follow(&r.Events)
		}
		for _, v := range batch {
			f, known := c.finals[v.ID]
			e := c.jobs[v.ID]
			switch {
			case known:
				c.answer(v.Req, 200, finalStatus(v.ID, f))
			case r.Status == 200 && e == nil && !c.loading && c.waitsForOthers(v.ID):
				c.judgeWaiting(v.ID, found{job: &wire.Job{ID: v.ID, Tasks: 1}, ok: true}, true, func(at found) { c.answerFound(v.Req, v.ID, at) })
			case r.Status == 410 || r.Status == 200 && (e == nil || c.loading):
				c.readFor(v) // ended, never accepted, or the mirror is being read anew
			case r.Status == 200:
				c.answer(v.Req, 200, c.statusOf(&e.rec))
			default:
				c.answer(v.Req, 503, unavailable("state not readable"))
			}
		}
		if r.Status == 200 {
			c.changed()
		}
		c.askAll()
	})
}

func (c *Core) pollRead(id string, reqs []uint64) {
	c.look(id, func(at found) {
		for _, q := range reqs {
			c.answerFound(q, id, at)
		}
		// Those that came while the read was under way need a fresh one.
		if next := c.polls[id]; len(next) > 0 {
			c.polls[id] = nil
			c.pollRead(id, next)
		} else {
			delete(c.polls, id)
		}
	})
}

// answerFound answers a question about a job by what a look has shown.
func (c *Core) answerFound(req uint64, id string, at found) {
	switch {
	case !at.ok:
		c.answer(req, 503, unavailable("state not readable"))
	case at.fin != nil:
		c.answer(req, 200, finalStatus(id, *at.fin))
	case at.job != nil:
		c.answer(req, 200, c.statusOf(at.job))
	default:
		c.answer(req, 404, wire.Problem{Error: "no such job"})
	}
}

func (c *Core) onReady(v Ready) {
	if c.loaded && len(c.types) > 0 && c.confirmed() && !c.cutOff() {
		c.answer(v.Req, 200, map[string]string{"status": "ready"})
		return
	}
	c.answer(v.Req, 503, unavailable("not ready"))
}

func (c *Core) onSubmit(v Submit) {
	if v.Spec.ID == nil || !wire.ValidJobID(*v.Spec.ID) {
		c.answer(v.Req, 400, wire.Problem{Error: "name_id: must look like job-000412"})
		return
	}
	id := *v.Spec.ID
	if f, ok := c.finals[id]; ok {
		c.answer(v.Req, 200, finalStatus(id, f))
		return
	}
	if c.cutOff() {
		c.answer(v.Req, 503, unavailable("state service not reached"))
		return
	}
	known := func(otherwise func()) {
		c.look(id, func(at found) {
			if at.ok && at.job == nil && at.fin == nil {
				otherwise()
				return
			}
			c.answerFound(v.Req, id, at)
		})
	}
	job, err := v.Spec.Validate()
	if err != nil {
		// A known id is answered before its repeated body is judged.
		known(func() { c.answer(v.Req, 400, wire.Problem{Error: err.Error()}) })
		return
	}
	if !c.loaded || len(c.types) == 0 { // of some types alone, too, nothing follows
		known(func() { c.answer(v.Req, 503, unavailable("machine types not known yet")) })
		return
	}
	if why := c.never(&job); why != "" {
		known(func() { c.answer(v.Req, 422, wire.Problem{Error: why}) })
		return
	}
	if c.now-c.member.LastRenewed() > 2*tuning.GrantTTL {
		c.answer(v.Req, 503, unavailable("state service not reached"))
		return
	}
	job.AcceptedMS, job.Number = c.wall.UnixMilli(), c.topRev
	if raw, err := wire.Marshal(job); err != nil || !wire.FitsIn(raw, c.p.ValueBytes-min(1024, c.p.ValueBytes/2)) { // room for its progress
		known(func() { c.answer(v.Req, 422, wire.Problem{Error: "job description too large to keep"}) })
		return
	}
	if len(job.Predecessors) > 0 {
		c.acceptDependent(v.Req, job, known)
		return
	}
	c.accept(v.Req, &job, wire.Change{Put: jobKey(id), Value: job}, wire.JobStatus{ID: id, Status: wire.JobQueued}, known)
}

// accept writes a job that nobody knows yet, and answers its user.
func (c *Core) accept(req uint64, job *wire.Job, change wire.Change, status wire.JobStatus, known func(otherwise func())) {
	when := []wire.Condition{{Key: jobKey(job.ID)}, {Key: finalKey(job.ID)}, {Key: waitingKey(job.ID)}}
	c.commit(LaneUser, when, []wire.Change{change}, func(r StateReply) {
		switch r.Status {
		case 200:
			c.log(1, "job accepted", "job", job.ID, "team", job.Team, "class", job.Class, "tasks", job.Tasks)
			c.answer(req, 201, status)
			c.changed()
		case 409, 0:
			// Known already, or no answer: what is stored decides.
			known(func() { c.answer(req, 503, unavailable("not accepted, try again")) })
		case 400:
			known(func() { c.answer(req, 422, wire.NotTaken(r.Err)) })
		default:
			c.answer(req, 503, unavailable("state service not reached"))
		}
	})
}

// never tells why a job can never run, or "".
func (c *Core) never(j *wire.Job) string {
	t, ok := c.p.Teams[j.Team]
	if !ok {
		return fmt.Sprintf("owner: team %q is not known", j.Team)
	}
	n := 1.0
	if j.Shape != wire.ShapeBatch {
		n = float64(j.Tasks)
	}
	if t.exceededBy(placement.Size{CPUs: j.CPUs * n, GPUs: j.GPUs * n}) {
		return fmt.Sprintf("the job needs more than team %q may use", j.Team)
	}
	for _, name := range sortedKeys(c.types) {
		mt := c.types[name]
		full, _ := c.sizeOf(name)
		if supply.AllowsType(j.Types, name) && placement.Fits(full, jobSize(j)) && (j.Zone == "" || slices.Contains(mt.Zones, j.Zone)) {
			return ""
		}
	}
	return "no allowed machine type can hold a task"
}

func (c *Core) onAbort(v Abort) {
	if !wire.ValidJobID(v.ID) {
		c.answer(v.Req, 404, wire.Problem{Error: "no such job"})
		return
	}
	if c.cutOff() {
		c.answer(v.Req, 503, unavailable("state service not reached"))
		return
	}
	c.abort(v, 5)
}

// abort moves a live job to its final state; a conflict with the holder's
// progress is tried again on what then stands.
func (c *Core) abort(v Abort, tries int) {
	c.look(v.ID, func(at found) {
		if !at.ok || at.job == nil || tries == 0 {
			if at.ok && at.job != nil {
				at.ok = false
			}
			c.answerFound(v.Req, v.ID, at)
			return
		}
		f := wire.Final{Status: wire.JobAborted, Done: ranges.Count(at.job.Done)}
		c.end(LaneUser, v.ID, at.key, at.ver, f, func(status int) {
			switch status {
			case 200:
				c.log(1, "job aborted", "job", v.ID)
				c.answer(v.Req, 200, finalStatus(v.ID, f))
				c.changed()
			case 409, 0:
				c.abort(v, tries-1)
			default:
				c.answer(v.Req, 503, unavailable("state service not reached"))
			}
		})
	})
}

// end moves a job's record, of the version that stands at a key, to its final state.
func (c *Core) end(lane int, id, key string, ver uint64, f wire.Final, done func(status int)) {
	c.commit(lane, []wire.Condition{{Key: key, Version: ver}, {Key: finalKey(id)}},
		[]wire.Change{{Delete: key}, {Put: finalKey(id), Value: f}}, func(r StateReply) {
			if r.Status == 200 {
				c.keepFinal(id, f, r.Txn.Revision)
			}
			done(r.Status)
		})
}
