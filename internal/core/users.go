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
type userState struct {
	finalStates       map[string]wire.Final
	finalOrder        []string // oldest first
	pendingReads      map[string][]uint64
	pendingPolls      []Poll // wait for the next look at the changes
	pollReadsInFlight int    // looks under way
}

func newUserState() userState {
	return userState{finalStates: map[string]wire.Final{}, pendingReads: map[string][]uint64{}}
}

// keepFinal remembers a state that can never change again, and the revision at which it was
// written. No user is told that a job is over before: what peers are told rests on it.
func (c *Core) cacheFinal(id string, f wire.Final, rev uint64) {
	if _, ok := c.finalStates[id]; ok {
		return
	}
	c.confirmation.JobOver(jobKey(id), rev)
	c.finalStates[id] = f
	c.dependencies.End(id, f.Status == wire.JobDone, f.By)
	c.finalOrder = append(c.finalOrder, id)
	if len(c.finalOrder) > tuning.FinalCache {
		delete(c.finalStates, c.finalOrder[0])
		c.finalOrder = c.finalOrder[1:]
	}
}

func unavailable(why string) wire.Problem { return wire.Problem{Error: why} }

// found is what a look at the state has shown of a job: its live record, or its final state, or
// neither; ok false: the state service could not tell.
type jobLookup struct {
	job     *wire.Job
	key     string // where the live record stands, and its version
	version uint64
	final   *wire.Final
	ok      bool
}

// look finds a job freshly. Jobs move from the key of those that wait for others to the live one
// and on to the final one, and never back, so the keys are read in this order. One that is
// cancelled with a job before it is over, whatever stands of it.
func (c *Core) lookUpJob(id string, f func(jobLookup)) {
	if fin, ok := c.finalStates[id]; ok {
		f(jobLookup{final: &fin, ok: true})
		return
	}
	keys := []string{jobKey(id), finalKey(id)}
	if c.jobs[id] == nil && (!c.loaded || c.featureEnabled(rollout.Chains) || len(c.waitingJobs) > 0) {
		keys = append([]string{waitingKey(id)}, keys...)
	}
	c.lookUpKeys(id, keys, f)
}

func (c *Core) lookUpKeys(id string, keys []string, f func(jobLookup)) {
	c.callState(StateCall{Op: OpGet, Key: keys[0]}, func(r StateReply) {
		c.applyRead(keys[0], r)
		switch {
		case r.Status == 404 && len(keys) > 1:
			c.lookUpKeys(id, keys[1:], f)
		case r.Status == 404:
			f(jobLookup{ok: true})
		case r.Status != 200:
			f(jobLookup{})
		case len(keys) == 1:
			var fin wire.Final
			if err := wire.Unmarshal(r.Item.Value, &fin); err != nil {
				f(jobLookup{})
				return
			}
			c.cacheFinal(id, fin, r.Item.Version)
			f(jobLookup{final: &fin, ok: true})
		default:
			j := &wire.Job{}
			if err := wire.Unmarshal(r.Item.Value, j); err != nil {
				f(jobLookup{})
				return
			}
			at := jobLookup{job: j, key: keys[0], version: r.Item.Version, ok: true}
			if keys[0] != waitingKey(id) {
				f(at)
				return
			}
			c.refreshMirror(func(ok bool) { c.evaluateWaiting(id, at, ok, f) })
		}
	})
}

func (c *Core) jobStatus(j *wire.Job) wire.JobStatus {
	done, running := ranges.Count(j.Done), 0
	if e := c.jobs[j.ID]; e != nil && e.run != nil {
		running, done = e.run.taskCounts()
	} else if n, ok := c.peerJobCounts[j.ID]; ok {
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
	if f, ok := c.finalStates[v.ID]; ok {
		c.answer(v.Req, 200, finalStatus(v.ID, f))
		return
	}
	if c.stateUnreachable() {
		c.answer(v.Req, 503, unavailable("state service not reached"))
		return
	}
	if !c.loaded || c.loading {
		c.readJobForPoll(v)
		return
	}
	c.pendingPolls = append(c.pendingPolls, v)
	c.answerPolls()
}

// readFor answers a poll by a read of its own. One read serves all polls for the job
// that came before it was sent.
func (c *Core) readJobForPoll(v Poll) {
	if reqs, busy := c.pendingReads[v.ID]; busy {
		c.pendingReads[v.ID] = append(reqs, v.Req)
		return
	}
	c.pendingReads[v.ID] = nil
	c.readJobForPolls(v.ID, []uint64{v.Req})
}

// askAll answers all polls that wait with one call: it asks for the changes that the
// mirror lacks at this moment, however many jobs are asked for. Once they are applied the
// mirror holds all that was written before the call was sent, so nothing older is
// answered than anybody has been told. A read for each poll was most of what a large
// fleet asked of the state service, and took its limit from the renewals of grants.
func (c *Core) answerPolls() {
	if len(c.pendingPolls) == 0 || c.pollReadsInFlight > 0 && c.now < c.notBefore["ask again"] || !c.dueEvery("ask", tuning.AskEvery) {
		return
	}
	batch := c.pendingPolls
	c.pendingPolls, c.pollReadsInFlight, c.notBefore["ask again"] = nil, c.pollReadsInFlight+1, c.now+tuning.AskAgain
	c.callState(StateCall{Op: OpWatch, Key: wire.LivePrefix, Revision: c.mirrorRevision}, func(r StateReply) {
		c.pollReadsInFlight--
		if r.Status == 200 {
			c.applyEvents(&r.Events)
		}
		for _, v := range batch {
			f, known := c.finalStates[v.ID]
			e := c.jobs[v.ID]
			switch {
			case known:
				c.answer(v.Req, 200, finalStatus(v.ID, f))
			case r.Status == 200 && e == nil && !c.loading && c.isWaiting(v.ID):
				c.evaluateWaiting(v.ID, jobLookup{job: &wire.Job{ID: v.ID, Tasks: 1}, ok: true}, true, func(at jobLookup) { c.answerLookup(v.Req, v.ID, at) })
			case r.Status == 410 || r.Status == 200 && (e == nil || c.loading):
				c.readJobForPoll(v) // ended, never accepted, or the mirror is being read anew
			case r.Status == 200:
				c.answer(v.Req, 200, c.jobStatus(&e.record))
			default:
				c.answer(v.Req, 503, unavailable("state not readable"))
			}
		}
		if r.Status == 200 {
			c.mirrorChanged()
		}
		c.answerPolls()
	})
}

func (c *Core) readJobForPolls(id string, reqs []uint64) {
	c.lookUpJob(id, func(at jobLookup) {
		for _, q := range reqs {
			c.answerLookup(q, id, at)
		}
		// Those that came while the read was under way need a fresh one.
		if next := c.pendingReads[id]; len(next) > 0 {
			c.pendingReads[id] = nil
			c.readJobForPolls(id, next)
		} else {
			delete(c.pendingReads, id)
		}
	})
}

// answerFound answers a question about a job by what a look has shown.
func (c *Core) answerLookup(req uint64, id string, at jobLookup) {
	switch {
	case !at.ok:
		c.answer(req, 503, unavailable("state not readable"))
	case at.final != nil:
		c.answer(req, 200, finalStatus(id, *at.final))
	case at.job != nil:
		c.answer(req, 200, c.jobStatus(at.job))
	default:
		c.answer(req, 404, wire.Problem{Error: "no such job"})
	}
}

func (c *Core) onReady(v Ready) {
	if c.loaded && len(c.machineTypes) > 0 && c.authorized() && !c.stateUnreachable() {
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
	if f, ok := c.finalStates[id]; ok {
		c.answer(v.Req, 200, finalStatus(id, f))
		return
	}
	if c.stateUnreachable() {
		c.answer(v.Req, 503, unavailable("state service not reached"))
		return
	}
	known := func(otherwise func()) {
		c.lookUpJob(id, func(at jobLookup) {
			if at.ok && at.job == nil && at.final == nil {
				otherwise()
				return
			}
			c.answerLookup(v.Req, id, at)
		})
	}
	job, err := v.Spec.Validate()
	if err != nil {
		// A known id is answered before its repeated body is judged.
		known(func() { c.answer(v.Req, 400, wire.Problem{Error: err.Error()}) })
		return
	}
	if !c.loaded || len(c.machineTypes) == 0 { // of some types alone, too, nothing follows
		known(func() { c.answer(v.Req, 503, unavailable("machine types not known yet")) })
		return
	}
	if why := c.impossibleReason(&job); why != "" {
		known(func() { c.answer(v.Req, 422, wire.Problem{Error: why}) })
		return
	}
	if c.now-c.presence.LastRenewed() > 2*tuning.GrantTTL {
		c.answer(v.Req, 503, unavailable("state service not reached"))
		return
	}
	job.AcceptedMS, job.Number = c.wall.UnixMilli(), c.newestRevision
	if raw, err := wire.Marshal(job); err != nil || !wire.FitsIn(raw, c.params.ValueBytes-min(1024, c.params.ValueBytes/2)) { // room for its progress
		known(func() { c.answer(v.Req, 422, wire.Problem{Error: "job description too large to keep"}) })
		return
	}
	if len(job.Predecessors) > 0 {
		c.acceptDependent(v.Req, job, known)
		return
	}
	c.acceptJob(v.Req, &job, wire.Change{Put: jobKey(id), Value: job}, wire.JobStatus{ID: id, Status: wire.JobQueued}, known)
}

// accept writes a job that nobody knows yet, and answers its user.
func (c *Core) acceptJob(req uint64, job *wire.Job, change wire.Change, status wire.JobStatus, known func(otherwise func())) {
	when := []wire.Condition{{Key: jobKey(job.ID)}, {Key: finalKey(job.ID)}, {Key: waitingKey(job.ID)}}
	c.commit(LaneUser, when, []wire.Change{change}, func(r StateReply) {
		switch r.Status {
		case 200:
			c.log(1, "job accepted", "job", job.ID, "team", job.Team, "class", job.Class, "tasks", job.Tasks)
			c.answer(req, 201, status)
			c.mirrorChanged()
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
func (c *Core) impossibleReason(j *wire.Job) string {
	t, ok := c.params.Teams[j.Team]
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
	for _, name := range sortedKeys(c.machineTypes) {
		mt := c.machineTypes[name]
		full, _ := c.machineSize(name)
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
	if c.stateUnreachable() {
		c.answer(v.Req, 503, unavailable("state service not reached"))
		return
	}
	c.abortJob(v, 5)
}

// abort moves a live job to its final state; a conflict with the holder's
// progress is tried again on what then stands.
func (c *Core) abortJob(v Abort, tries int) {
	c.lookUpJob(v.ID, func(at jobLookup) {
		if !at.ok || at.job == nil || tries == 0 {
			if at.ok && at.job != nil {
				at.ok = false
			}
			c.answerLookup(v.Req, v.ID, at)
			return
		}
		f := wire.Final{Status: wire.JobAborted, Done: ranges.Count(at.job.Done)}
		c.finishJob(LaneUser, v.ID, at.key, at.version, f, func(status int) {
			switch status {
			case 200:
				c.log(1, "job aborted", "job", v.ID)
				c.answer(v.Req, 200, finalStatus(v.ID, f))
				c.mirrorChanged()
			case 409, 0:
				c.abortJob(v, tries-1)
			default:
				c.answer(v.Req, 503, unavailable("state service not reached"))
			}
		})
	})
}

// end moves a job's record, of the version that stands at a key, to its final state.
func (c *Core) finishJob(lane int, id, key string, ver uint64, f wire.Final, done func(status int)) {
	c.commit(lane, []wire.Condition{{Key: key, Version: ver}, {Key: finalKey(id)}},
		[]wire.Change{{Delete: key}, {Put: finalKey(id), Value: f}}, func(r StateReply) {
			if r.Status == 200 {
				c.cacheFinal(id, f, r.Txn.Revision)
			}
			done(r.Status)
		})
}
