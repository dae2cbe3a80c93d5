package core

import (
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/startlog"
	"github.com/barrowbridge/barrowbridge/wire"
)

// staleHolder is a controller "a" that holds shard 0 as far as it knows, beside a scripted state service in
// which controller "b" has taken the shard over and started tasks. The test decides which of the
// controller's calls are answered and in which order. Its watch, its reads of the shard's record and all
// other reads of changes stay unanswered until the end.
type staleHolder struct {
	t       *testing.T
	core    *Core
	records map[string]wire.Item // what is stored now
	changes []wire.Event         // all changes after revision staleRevision
	calls   []StateCall          // the controller's calls that are not answered yet
	serial  uint64               // number of the last report
	request uint64               // number of the last request
	started []string             // tasks that the controller has sent start commands for, with their machines
}

const (
	blockRevision = 21 // the revision of the holder's blocks, and so the token of their machines
	staleRevision = 50 // the revision that the stale holder's mirror has reached
	grantRevision = 60 // the revision at which the shard was granted to the successor
)

// newStaleHolder returns a holder whose machines n-1 and n-2, in the blocks x and y, have reported. n-2 is
// recorded as never used if fresh is set.
func newStaleHolder(t *testing.T, fresh bool) *staleHolder {
	t.Helper()
	h := &staleHolder{t: t, records: map[string]wire.Item{}}
	h.core = New(Params{
		Node: "a", Zone: "n", NodeZones: map[string]string{"a": "n", "b": "n"},
		Teams:       map[string]Team{"red": {CPUs: 80, CPUsMax: 80}},
		WorkerLease: 10 * sec, CancelTimeout: 40 * sec, ReportInterval: 2 * sec, MaxTxnOps: 8, MaxValueBytes: 8192,
	})
	h.core.Step(0, time.UnixMilli(1e12), Tick{})
	h.core.born(7)
	h.core.loaded, h.core.mirrorRevision = true, 10
	h.known(wire.PrefixType+"std", wire.MachineType{Name: "std", CPUs: 4, MemoryGB: 16, FetchGBps: 1, Zones: []string{"n"}}, 20)
	h.known(shardKey(0), wire.Shard{Holder: "a", Boot: 7, Teams: []string{"red"}, Known: true, Settled: true}, 5)
	h.known(shardKey(1), wire.Shard{Holder: "b", Boot: 8, Known: true, Settled: true}, 6)
	h.known(blockKey("x"), wire.Block{Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: "n-1"}}}, blockRevision)
	h.known(blockKey("y"), wire.Block{Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: "n-2", Fresh: fresh}}}, blockRevision)
	h.core.mirrorRevision = staleRevision
	h.step(Tick{})
	h.report()
	return h
}

// known stores a record that the controller's mirror contains.
func (h *staleHolder) known(key string, value any, version uint64) {
	h.core.applyPut(key, h.store(key, value, version), version)
}

// successor stores a record that the other controller writes, which the mirror does not contain.
func (h *staleHolder) successor(key string, value any, version uint64) {
	h.changes = append(h.changes, wire.Event{Put: key, Value: h.store(key, value, version), Version: version})
}

func (h *staleHolder) store(key string, value any, version uint64) wire.Raw {
	raw, err := wire.Marshal(value)
	if err != nil {
		h.t.Fatal(err)
	}
	h.records[key] = wire.Item{Key: key, Value: raw, Version: version}
	return raw
}

// grantToSuccessor stores that the other controller holds the shard and has started the given number of
// tasks of a job.
func (h *staleHolder) grantToSuccessor(job string, started int) {
	h.successor(shardKey(0), wire.Shard{Holder: "b", Boot: 8, Teams: []string{"red"}, Known: true, Past: []wire.Incarnation{{Node: "a", Boot: 7}}}, grantRevision)
	h.successor(startlog.Key(0, 0), wire.Starts{Entries: map[string]wire.Start{job: {N: 2, Started: started}, machineEntryPrefix + "n-2": {N: 1}}}, grantRevision+2)
}

// job returns the record of an accepted job of one-CPU tasks.
func (h *staleHolder) job(id string, tasks, started int) wire.Job {
	submitted := spec(id, "red", wire.ShapeBatch, tasks)
	job, err := submitted.Validate()
	if err != nil {
		h.t.Fatal(err)
	}
	job.Started = started
	return job
}

func (h *staleHolder) step(in any) {
	h.core.sure(h.core.now) // its authority to act lasts for a while after it was cut off
	for _, effect := range h.core.Step(h.core.now+10*time.Millisecond, time.UnixMilli(1e12).Add(h.core.now), in) {
		switch effect := effect.(type) {
		case StateCall:
			h.calls = append(h.calls, effect)
		case Answer:
			reply, _ := effect.Body.(wire.ReportReply)
			for _, command := range reply.Commands {
				if command.Verb == wire.VerbRun {
					h.started = append(h.started, command.Task)
				}
			}
		}
	}
}

// report delivers a report of each machine, which lists the given tasks as running on n-1.
func (h *staleHolder) report(running ...string) {
	for _, machine := range []string{"n-1", "n-2"} {
		h.serial++
		h.request++
		report := wire.Report{Machine: machine, Addr: machine, Type: "std", Zone: "n", Session: 1, Seq: h.serial, Token: blockRevision}
		for k := range running {
			if machine == "n-1" {
				report.Attempts = append(report.Attempts, wire.TaskReport{Task: running[k], Attempt: 1, Status: wire.TaskRunning})
			}
		}
		h.step(WorkerReport{Req: h.request, Report: report})
	}
}

// take removes the first unanswered call that matches, and returns false if there is none.
func (h *staleHolder) take(matches func(StateCall) bool) (StateCall, bool) {
	for i, call := range h.calls {
		if matches(call) {
			h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
			return call, true
		}
	}
	return StateCall{}, false
}

// failWrite waits for a write of a key with the given prefix, and answers it with the given status, as a
// conflict with all of its conditions that the successor's writes break.
func (h *staleHolder) failWrite(prefix string, status int) {
	h.t.Helper()
	for range 100 {
		h.step(Tick{})
		call, found := h.take(func(call StateCall) bool {
			return call.Op == OpCommit && len(call.Txn.Then) > 0 && strings.HasPrefix(call.Txn.Then[0].Put, prefix)
		})
		if !found {
			continue
		}
		reply := StateReply{Status: status}
		for _, condition := range call.Txn.If {
			if h.records[condition.Key].Version != condition.Version && status == 409 {
				reply.Txn.Failed = append(reply.Txn.Failed, condition.Key)
			}
		}
		h.step(StateDone{ID: call.ID, Reply: reply})
		return
	}
	h.t.Fatalf("no write of %s*", prefix)
}

// answerReads lets time pass and answers all reads of single keys, but those of shards, with what is stored.
func (h *staleHolder) answerReads() {
	for range 60 {
		for {
			call, found := h.take(func(call StateCall) bool {
				return call.Op == OpGet && !strings.HasPrefix(call.Key, wire.PrefixShard)
			})
			if !found {
				break
			}
			reply := StateReply{Status: 404, List: wire.ItemList{Revision: grantRevision + 10}}
			if item, stored := h.records[call.Key]; stored {
				reply = StateReply{Status: 200, Item: item}
			}
			h.step(StateDone{ID: call.ID, Reply: reply})
		}
		h.step(Tick{})
	}
}

// answerChanges answers the reads of changes that were sent until now with all that was written.
func (h *staleHolder) answerChanges() {
	last := h.core.lastID
	for {
		call, found := h.take(func(call StateCall) bool { return call.Op == OpWatch && call.ID <= last })
		if !found {
			return
		}
		h.step(StateDone{ID: call.ID, Reply: StateReply{Status: 200, Events: wire.Events{Revision: grantRevision + 10, Events: h.changes}}})
	}
}

// noStarts checks that the controller starts nothing until it learns that the shard is its successor's.
func (h *staleHolder) noStarts(running ...string) {
	h.t.Helper()
	for range 3 {
		h.answerReads()
		h.report(running...)
	}
	if len(h.started) > 0 {
		h.t.Errorf("started %v, which its successor may have started elsewhere", h.started)
	}
	h.answerChanges()
	if h.core.holdsShard(0) {
		h.t.Error("still holds the shard after it has read all changes")
	}
}

// A controller that was cut off reads its successor's records one by one, and that of its shard last. It
// must start nothing because of them: such a task ran on two machines.
func TestASuccessorsRecordsPermitNoStart(t *testing.T) {
	t.Parallel()
	const id = "job-000001"
	for name, status := range map[string]int{"no answer": 0, "conflict": 409} {
		t.Run("reserved tasks, write of their starts: "+name, func(t *testing.T) {
			t.Parallel()
			h := newStaleHolder(t, false)
			h.known(jobKey(id), h.job(id, 6, 0), 45)
			h.grantToSuccessor(id, 6)
			h.failWrite(wire.PrefixStart, status)
			h.noStarts()
		})
		t.Run("tasks on a machine never used, write of its first use: "+name, func(t *testing.T) {
			t.Parallel()
			h := newStaleHolder(t, true)
			h.core.cordons["n-1"] = wire.Cordon{} // nothing may be placed there
			h.known(startlog.Key(0, 0), wire.Starts{Entries: map[string]wire.Start{id: {N: 1, Started: 6}}}, 44)
			h.known(jobKey(id), h.job(id, 6, 0), 45)
			h.grantToSuccessor(id, 6)
			h.failWrite(wire.PrefixStart, status)
			h.noStarts()
		})
		t.Run("a task on a block that the successor has emptied and given away: "+name, func(t *testing.T) {
			t.Parallel()
			h := newStaleHolder(t, false)
			h.known(startlog.Key(0, 0), wire.Starts{Entries: map[string]wire.Start{id: {N: 1, Started: 6}}}, 44)
			h.known(jobKey(id), h.job(id, 6, 0), 45)
			running := []string{id + "/0", id + "/1", id + "/2", id + "/3", id + "/4", id + "/5"}
			h.report(running...)
			h.started = nil
			h.grantToSuccessor(id, 6)
			h.successor(blockKey("x"), wire.Block{Shard: 1, Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: "n-1"}}}, grantRevision+4)
			h.core.machines["n-1"].returning = true // has the block's record written
			h.core.urgentBlocks["x"] = true
			h.failWrite(wire.PrefixBlock, status)
			h.noStarts(running...)
		})
	}
	t.Run("a job that the successor has started, submitted again here", func(t *testing.T) {
		t.Parallel()
		h := newStaleHolder(t, false)
		h.grantToSuccessor(id, 6)
		h.successor(jobKey(id), h.job(id, 6, 6), grantRevision+3)
		h.request++
		h.step(Submit{Req: h.request, Spec: spec(id, "red", wire.ShapeBatch, 6)})
		h.failWrite(wire.PrefixJob, 409)
		h.noStarts()
	})
}

// answerList answers the first unanswered read of a page of the list with the given records.
func (h *staleHolder) answerList(revision uint64, more bool, keys ...string) {
	h.t.Helper()
	call, found := h.take(func(call StateCall) bool { return call.Op == OpList })
	if !found {
		h.t.Fatal("no page of the list is read")
	}
	page := wire.ItemList{Revision: revision, More: more}
	for _, key := range keys {
		page.Items = append(page.Items, h.records[key])
	}
	h.step(StateDone{ID: call.ID, Reply: StateReply{Status: 200, List: page}})
}

// A holder whose watch is too far behind reads all keys again, page by page. Its shard is granted to another
// controller after the page with the shard's record was read, and before the page with the start log. The
// successor's starts on that page must permit nothing.
func TestAListReadAcrossAGrantPermitsNoStart(t *testing.T) {
	t.Parallel()
	const id = "job-000001"
	h := newStaleHolder(t, false)
	h.known(jobKey(id), h.job(id, 6, 0), 45)
	for range 30 {
		h.step(Tick{}) // reserves the tasks; the write of their starts stays unanswered
	}
	watch, found := h.take(func(call StateCall) bool { return call.Op == OpWatch })
	if !found || h.core.jobs[id].run.nextIndex == 0 {
		t.Fatalf("no watch is open, or no task is reserved (%v)", found)
	}
	h.step(StateDone{ID: watch.ID, Reply: StateReply{Status: 410}})
	h.answerList(staleRevision, true, blockKey("x"), blockKey("y"), jobKey(id), shardKey(0), shardKey(1))
	h.report()
	h.grantToSuccessor(id, 6)
	h.answerList(grantRevision+2, false, startlog.Key(0, 0), wire.PrefixType+"std")
	h.noStarts()
	if h.core.jobs[id] == nil || h.core.jobs[id].record.Started != 6 || h.core.mirrorRevision < grantRevision {
		t.Errorf("the mirror stands at %d with %+v", h.core.mirrorRevision, h.core.jobs[id])
	}
}

// A controller that leads gives away a shard that it holds, and the write gets no answer. Before it learns that
// the write was executed it forms a block for that shard. The shard's next holder has the same token for the
// block's machines, so this controller may not answer them until its mirror has reached the block.
func TestABlockFormedForAShardGivenAwayIsNotServed(t *testing.T) {
	t.Parallel()
	h := newStaleHolder(t, false)
	h.known(wire.KeyLeader, wire.Leader{Node: "a", Boot: 7}, 15)
	h.grantToSuccessor("job-000001", 0)
	const formedAt = grantRevision + 5
	block := wire.Block{Type: "std", Zone: "n", Machines: []wire.BlockMachine{{Name: "n-3"}}}
	h.core.commit(LaneUser, []wire.Condition{h.core.leaderCondition(), {Key: blockKey("z")}}, []wire.Change{{Put: blockKey("z"), Value: block}}, func(StateReply) {})
	h.successor(blockKey("z"), block, formedAt)
	call := h.core.effects[len(h.core.effects)-1].(StateCall)
	h.step(StateDone{ID: call.ID, Reply: StateReply{Status: 200, Txn: wire.TxnReply{Revision: formedAt}}})
	if h.core.machines["n-3"] == nil {
		t.Fatal("the machine is not known to the holder that formed its block")
	}
	h.request++
	answered := 0
	for _, effect := range h.core.Step(h.core.now, time.UnixMilli(1e12), WorkerReport{Req: h.request, Report: wire.Report{Machine: "n-3", Addr: "n-3", Type: "std", Zone: "n", Session: 1, Seq: 1}}) {
		if answer, ok := effect.(Answer); ok {
			answered = answer.Status
		}
	}
	if answered != 503 {
		t.Errorf("the report of a machine whose shard has another holder is answered with %d", answered)
	}
	h.answerChanges()
	if h.core.holdsShard(0) {
		t.Error("still holds the shard after it has read all changes")
	}
}

// A controller that reads a job's final state for its user stops the job's tasks at once, although its mirror does
// not contain the end yet: no task may be started once a user was told that the job is cancelled.
func TestAnEndThatIsReadStopsItsJob(t *testing.T) {
	t.Parallel()
	const id = "job-000001"
	h := newStaleHolder(t, false)
	h.known(startlog.Key(0, 0), wire.Starts{Entries: map[string]wire.Start{id: {N: 1, Started: 6}}}, 44)
	h.known(jobKey(id), h.job(id, 6, 0), 45)
	h.store(finalKey(id), wire.Final{Status: wire.JobAborted}, grantRevision)
	delete(h.records, jobKey(id))
	h.request++
	h.step(Submit{Req: h.request, Spec: spec(id, "red", wire.ShapeBatch, 6)})
	h.failWrite(wire.PrefixJob, 409)
	h.answerReads()
	h.report()
	if h.core.jobs[id] != nil || len(h.started) > 0 {
		t.Errorf("after its end was read the job is live (%v), and tasks %v were started", h.core.jobs[id] != nil, h.started)
	}
}
