package core

import (
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/dependency"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// chaining is what is known of jobs that wait for others (package dependency).
type chaining struct {
	chain     *dependency.Graph
	waitingAt map[string]*jobEntry // jobs that wait, as they stand under wire.PrefixWaiting
	relook    bool                 // something has changed that a decision may hang on
	moving    bool                 // a write that moves such jobs is under way
	reading   bool                 // so is a read of ends
	told      ChainsSeen           // as last shown
	single    bool                 // the last such write met a conflict: one job at a time
}

func newChaining() chaining {
	return chaining{chain: dependency.New(), waitingAt: map[string]*jobEntry{}}
}

// waitsForOthers tells whether a job waits, as far as the mirror tells.
func (c *Core) waitsForOthers(id string) bool { return c.waitingAt[id] != nil }

// accepted tells whether a job is known to be live.
func (c *Core) accepted(id string) bool { return c.jobs[id] != nil }

// putWaiting takes a new version of a job that waits.
func (c *Core) putWaiting(r wire.Job, ver uint64) {
	c.waitingAt[r.ID] = &jobEntry{record: r, version: ver}
	c.chain.Put(r.ID, r.Predecessors, c.demandOf(&r))
	for _, p := range r.Predecessors {
		if f, ok := c.finalStates[p]; ok {
			c.chain.End(p, f.Status == wire.JobDone, f.By)
		}
	}
	c.rankBefore(c.chain.Before(r.ID))
	c.relook, c.placementDue = true, true
}

// waitingGone is called when a job waits no longer.
func (c *Core) waitingGone(id string) {
	before := c.chain.Before(id)
	delete(c.waitingAt, id)
	c.chain.Remove(id)
	c.rankBefore(before)
	c.relook, c.placementDue = true, true
}

// stageOf is what a job's expected length hangs on, and how long the machines that it may use boot.
func (c *Core) stageOf(j *wire.Job) (s dependency.Stage, boot float64) {
	rate, boot := supply.FetchAndBootBounds(c.machineTypes, j.Types)
	s = dependency.Stage{Tasks: j.Tasks, Run: c.runTimes.Typical(j.Class, j.EstimateS).Seconds(), Spread: tuning.ChainSpread, Begin: tuning.ChainBegin.Seconds()}
	if rate > 0 {
		s.Fetch = j.ImageGB / rate
	}
	return s, boot
}

// endsIn is in how many seconds a live job is expected to end; +Inf: not all of its tasks run here.
func (c *Core) endsIn(id string) float64 {
	e := c.jobs[id]
	if e == nil || e.run == nil || e.run.pendingTasks(&e.record) > 0 || e.run.inheritedBelow > 0 {
		return inf
	}
	var last Time
	for _, a := range e.run.active {
		if a.status == "" || a.status == wire.TaskPulling {
			return inf
		}
		last = max(last, a.runningSince)
	}
	s, _ := c.stageOf(&e.record)
	return s.Left((c.now - last).Seconds())
}

// soon lists the waiting jobs of a shard that machines are asked for already: those that begin within
// a boot and would be late if it began then. They are asked for on a rung of normal work.
func (c *Core) soon(shard int) (list []*wire.Job) {
	for _, id := range c.chain.Waiting() {
		j := &c.waitingAt[id].record
		if c.shardOfTeam(j.Team) != shard {
			continue
		}
		if s, boot := c.stageOf(j); c.objectives.RequestAhead(j.Class, boot, s.Fetch+s.Begin, tuning.BootSlow) && c.chain.Begins(id, c.endsIn) <= boot {
			list = append(list, j)
		}
	}
	return list
}

// demandOf is what a job asks of those before it.
func (c *Core) demandOf(j *wire.Job) dependency.Demand {
	s, _ := c.stageOf(j)
	return dependency.Demand{Priority: wire.PriorityRank(j.Priority), Rank: c.tierOrder.Rank(j), Due: c.objectives.Due(objectiveWork(j)), Length: dependency.Length(s)}
}

// rankJob puts a job on its rung, or on that of a job that needs it: on that one's own once there
// is little slack, until then among normal work, which goes by due times and stops none of it.
func (c *Core) rankJob(e *jobEntry) {
	d := c.chain.Inherited(e.record.ID)
	e.priority, e.rank, e.due = wire.PriorityRank(e.record.Priority), c.tierOrder.Rank(&e.record), d.Due
	if d.Priority > e.priority {
		if own := c.demandOf(&e.record); d.Slack(float64(c.wall.UnixMilli())/1000, own.Length) > tuning.ChainSlack.Seconds() {
			as := e.record
			as.Priority = wire.PriorityName(normalRank)
			d.Priority, d.Rank = min(d.Priority, normalRank), min(d.Rank, c.tierOrder.Rank(&as))
		}
	}
	e.priority, e.rank = max(e.priority, d.Priority), max(e.rank, d.Rank)
	if e.run == nil {
		return
	}
	for _, k := range sortedIntKeys(e.run.active) {
		if a := e.run.active[k]; a.sizeKnown && (a.belowUrgent != (e.priority < urgentRank) || a.idlePriority != (e.priority <= idleRank)) {
			c.removeAttempt(a)
			a.belowUrgent, a.idlePriority = e.priority < urgentRank, e.priority <= idleRank
			c.addAttempt(a)
		}
	}
}

// rankBefore does so for jobs whose dependents have changed.
func (c *Core) rankBefore(ids []string) {
	for _, id := range ids {
		if e := c.jobs[id]; e != nil {
			c.rankJob(e)
			c.markJobDirty(e)
		}
	}
}

// rankWaiting weighs all that wait anew: the ladder, or what is known of run times, has changed.
func (c *Core) rankWaiting() {
	for _, id := range c.chain.Waiting() {
		r := &c.waitingAt[id].record
		c.chain.Put(id, r.Predecessors, c.demandOf(r))
	}
	for _, id := range c.chain.Waiting() {
		c.rankBefore(c.chain.Before(id))
	}
}

// lookOver has dependents of a job looked at that has left the live keys.
func (c *Core) lookOver(id string) {
	if len(c.chain.Dependents(id)) > 0 {
		c.relook, c.placementDue = true, true
	}
}

// keepChains moves the waiting jobs of held shards on: those that are ready to the live ones, those
// that are cancelled to their end, which follows from another's and is written at leisure.
func (c *Core) keepChains() {
	if c.dueEvery("rankWaiting", tuning.ChainRank) {
		c.rankWaiting()
	}
	if c.told.Waiting != len(c.waitingAt) {
		c.told.Waiting = len(c.waitingAt)
		c.effects = append(c.effects, c.told)
	}
	if !c.relook || c.moving || c.reading || c.now < c.notBefore["chains"] {
		return
	}
	c.relook = false
	var ready, cancelled []string
	var lookUp []string
	by := map[string]string{}
	for _, id := range c.chain.Waiting() {
		if !c.holdsShard(c.shardOfTeam(c.waitingAt[id].record.Team)) {
			continue
		}
		switch v := c.chain.Judge(id, c.accepted); v.Outcome {
		case dependency.Ready:
			ready = append(ready, id)
		case dependency.Cancelled:
			cancelled, by[id] = append(cancelled, id), v.By
		case dependency.Unknown:
			lookUp = append(lookUp, v.LookUp...)
		}
	}
	if len(ready) > 0 {
		c.moveOn(ready, nil)
	} else if len(cancelled) > 0 {
		c.moveOn(cancelled, by)
	}
	if len(lookUp) > 0 {
		c.reading = true
		slices.Sort(lookUp)
		c.readEnds(slices.Compact(lookUp), func(bool) {
			c.reading, c.relook = false, true
			c.mirrorChanged()
		})
	}
}

// moveOn writes several waiting jobs to the live keys or, cancelled by others, to their end. Who
// does so is of no matter: what it rests on never changes, and the record that waits is compared.
func (c *Core) moveOn(ids []string, by map[string]string) {
	b, finals, lane := c.newBatch(), map[string]wire.Final{}, LaneUser
	if by != nil {
		lane = LaneLater
	}
	var keys []string
	for _, id := range ids {
		if b.full() || c.single && len(keys) > 0 {
			break
		}
		e := c.waitingAt[id]
		keys = append(keys, waitingKey(id))
		b.when = append(b.when, wire.Condition{Key: waitingKey(id), Version: e.version}, wire.Condition{Key: jobKey(id)}, wire.Condition{Key: finalKey(id)})
		change := wire.Change{Put: finalKey(id)}
		if by != nil {
			finals[id] = wire.Final{Status: wire.JobAborted, By: by[id]}
			change.Value = finals[id]
		} else {
			rec := e.record
			rec.ReadyMS, rec.Number = c.wall.UnixMilli(), c.newestRevision
			change = wire.Change{Put: jobKey(id), Value: rec}
		}
		b.then = append(b.then, wire.Change{Delete: waitingKey(id)}, change)
	}
	c.moving = true
	c.commit(lane, b.when, b.then, func(r StateReply) {
		c.moving, c.relook, c.single = false, true, r.Status == 409
		for _, id := range sortedKeys(finals) {
			if r.Status == 200 {
				c.cacheFinal(id, finals[id], r.Txn.Revision)
			}
		}
		if r.Status == 200 {
			c.recordDependentsMoved(ids[:len(keys)], by)
		}
		if r.Status != 200 {
			c.notBefore["chains"] = c.now + tuning.RetryAfter/2
			for _, k := range keys {
				c.rereadKey(k)
			}
		}
		c.log(2, "waiting jobs moved on", "jobs", len(keys), "cancelled", by != nil, "status", r.Status)
		c.mirrorChanged()
	})
}

// readEnds reads how jobs are over, one after the other; false: not all could be told.
func (c *Core) readEnds(ids []string, f func(ok bool)) {
	if len(ids) == 0 {
		f(true)
		return
	}
	id := ids[0]
	if fin, known := c.finalStates[id]; known || c.accepted(id) {
		if known {
			c.chain.End(id, fin.Status == wire.JobDone, fin.By)
		}
		c.readEnds(ids[1:], f)
		return
	}
	c.lookUpKeys(id, []string{finalKey(id)}, func(at jobLookup) {
		if at.final == nil {
			c.notBefore["chains"] = c.now + tuning.RetryAfter
			f(false)
			return
		}
		c.readEnds(ids, f)
	})
}

// refreshed brings the mirror up to all that was written before this call.
func (c *Core) refreshed(f func(ok bool)) {
	if !c.loaded || c.loading {
		f(false)
		return
	}
	c.callState(StateCall{Op: OpWatch, Key: wire.LivePrefix, Revision: c.mirrorRevision}, func(r StateReply) {
		if r.Status == 200 {
			c.applyEvents(&r.Events)
			c.mirrorChanged()
		}
		f(r.Status == 200 && !c.loading)
	})
}

// judgeWaiting completes a look that has found a job waiting, by a mirror that is as fresh as the
// look itself: who was told that a job before it is cancelled hears the same of this one.
func (c *Core) judgeWaiting(id string, at jobLookup, fresh bool, f func(jobLookup)) {
	if !fresh {
		f(jobLookup{})
		return
	}
	if !c.waitsForOthers(id) {
		c.lookUpJob(id, f) // it has moved on meanwhile
		return
	}
	switch v := c.chain.Judge(id, c.accepted); v.Outcome {
	case dependency.Cancelled:
		f(jobLookup{final: &wire.Final{Status: wire.JobAborted, By: v.By}, ok: true})
	case dependency.Unknown:
		c.readEnds(v.LookUp, func(ok bool) { c.judgeWaiting(id, at, ok, f) })
	default:
		f(at)
	}
}

// acceptDependent takes a job that names others: each has to have been accepted once, by whoever.
func (c *Core) acceptDependent(req uint64, job wire.Job, known func(otherwise func())) {
	refuse := func(status int, why string) {
		known(func() { c.answer(req, status, wire.Problem{Error: why}) })
	}
	if !c.featureEnabled(rollout.Chains) {
		refuse(503, "awaits: not before all controllers understand it")
		return
	}
	if slices.Contains(job.Predecessors, job.ID) {
		refuse(422, "awaits: "+job.ID+" is the job itself")
		return
	}
	done, by := true, ""
	var next func(left []string)
	next = func(left []string) {
		if len(left) == 0 {
			c.writeDependent(req, job, done, by, known)
			return
		}
		id := left[0]
		judge := func(at jobLookup) {
			switch {
			case !at.ok:
				refuse(503, "awaits: "+id+" cannot be looked up now")
				return
			case at.job == nil && at.final == nil:
				refuse(422, "awaits: "+id+" was never accepted")
				return
			case at.final == nil && at.job.Shape == wire.ShapeService:
				refuse(422, "awaits: "+id+" is a service, which is never done")
				return
			case at.final == nil:
				done = false
			case at.final.Status != wire.JobDone && by == "":
				if by = at.final.By; by == "" {
					by = id
				}
			}
			next(left[1:])
		}
		// That the mirror knows a job is enough: it was accepted, whatever has become of it.
		if e := c.jobs[id]; e != nil {
			judge(jobLookup{job: &e.record, ok: true})
		} else if e := c.waitingAt[id]; e != nil {
			judge(jobLookup{job: &e.record, ok: true})
		} else {
			c.lookUpJob(id, judge)
		}
	}
	next(job.Predecessors)
}

// writeDependent accepts a job whose predecessors are known: to be live at once if they all are
// done, to be over at once if one is cancelled, and to wait otherwise.
func (c *Core) writeDependent(req uint64, job wire.Job, done bool, by string, known func(otherwise func())) {
	id := job.ID
	status := wire.JobStatus{ID: id, Status: wire.JobQueued}
	switch {
	case by != "":
		f := wire.Final{Status: wire.JobAborted, By: by}
		c.acceptJob(req, &job, wire.Change{Put: finalKey(id), Value: f}, finalStatus(id, f), known)
	case done:
		job.ReadyMS, job.Number = c.wall.UnixMilli(), c.newestRevision
		c.acceptJob(req, &job, wire.Change{Put: jobKey(id), Value: job}, status, known)
	default:
		c.acceptJob(req, &job, wire.Change{Put: waitingKey(id), Value: job}, status, known)
	}
}
