package core

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/assignment"
	"github.com/barrowbridge/barrowbridge/internal/calendar"
	"github.com/barrowbridge/barrowbridge/internal/demand"
	"github.com/barrowbridge/barrowbridge/internal/forecast"
	"github.com/barrowbridge/barrowbridge/internal/limits"
	"github.com/barrowbridge/barrowbridge/internal/standin/state"
	"github.com/barrowbridge/barrowbridge/internal/startlog"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tiers"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/internal/weights"
	"github.com/barrowbridge/barrowbridge/wire"
)

// writer writes records to a state service with low limits and records the largest size of each kind.
type writer struct {
	t       *testing.T
	store   *state.Store
	id      uint64
	bytes   map[string]int // size of the largest record, by kind
	records map[string]int
}

func newWriter(t *testing.T, l state.Limits) *writer {
	return &writer{t: t, store: state.New(l, rand.New(rand.NewPCG(1, 1))), bytes: map[string]int{}, records: map[string]int{}}
}

// put writes a value under the key and reports an error if the state service refuses it.
func (w *writer) put(key string, value any) {
	w.t.Helper()
	raw, err := wire.Marshal(value)
	if err != nil {
		w.t.Fatal(err)
	}
	w.id++
	for _, a := range w.store.Do(0, w.id, state.Call{Op: state.Commit, Txn: state.Txn{Then: []state.Change{{Put: key, Value: raw}}}}) {
		if p, bad := a.Body.(wire.Problem); bad {
			w.t.Errorf("%s: %d %s", key, a.Status, p.Error)
		}
	}
	n, err := wire.JSONSize(raw)
	if err != nil {
		w.t.Fatal(err)
	}
	kind := limits.KindOf(key)
	w.bytes[kind] = max(w.bytes[kind], n)
	w.records[kind]++
}

// A state service with a value limit of 2 KiB must accept the largest record of every kind. The table in
// docs/design.md has the figures that -v prints.
func TestLargestRecords(t *testing.T) {
	t.Parallel()
	const bytes = 2048
	long := func(k int) string { return fmt.Sprintf("machine-of-a-long-name-%06d", k) }
	for _, machines := range []int{700, 3400} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			w := newWriter(t, state.Limits{ValueBytes: bytes, TxnOps: 4})

			// One shard has a third of the machines.
			starts, each := startlog.New(startlog.Limits{Entries: tuning.MaxStartRecordEntries, Bytes: bytes * 7 / 8}), machines/3
			var entries []startlog.Entry
			for k := range each {
				entries = append(entries, startlog.Entry{Name: machineEntryPrefix + long(k)})
			}
			for k := range each { // services, and arrays of 400 tasks
				e := startlog.Entry{Name: fmt.Sprintf("job-%06d", k), Start: wire.Start{Started: 400, Bad: true}}
				if k%2 == 0 {
					e.Start = wire.Start{Started: 4, On: []string{long(k), long(k + 1), long(k + 2), long(k + 3)}}
				}
				entries = append(entries, e)
			}
			for ver := uint64(1); len(entries) > 0; ver++ {
				x := starts.Plan(0, entries, func(string) bool { return true })
				w.put(x.Key, x.Record)
				if _, err := starts.Put(x.Key, ver, x.Record); err != nil {
					t.Fatal(err)
				}
				entries = entries[x.Included:]
			}

			var infos []wire.MachineInfo
			var images []weights.MachineImages
			for k := range machines {
				infos = append(infos, wire.MachineInfo{Name: long(k), Type: "type-of-a-long-name-" + fmt.Sprint(k%3), Zone: "zone-of-a-long-name"})
				has := weights.MachineImages{Machine: long(k)}
				for i := range 12 {
					has.Images = append(has.Images, fmt.Sprintf("registry/image-of-a-long-name-%02d", (k+i)%40))
				}
				images = append(images, has)
			}
			for _, b := range supply.FormBlocks(infos, supply.BlockSizes{Min: tuning.MinBlockMachines, Max: tuning.MaxBlockMachines, BlocksPerBatch: tuning.BlocksPerBatch}, true, true) {
				b.Idle, b.Spot = true, true
				for k := range b.Machines {
					b.Machines[k].Drop, b.Machines[k].Empty = true, true
				}
				w.put(blockKey(b.Machines[0].Name), b)
			}
			for k, x := range weights.PackImages(images[:each], bytes-256) {
				w.put(fmt.Sprintf("%s0.%d", wire.PrefixCache, k), x)
			}

			plans := newWeights(weights.Switches{PeerTransfer: true}, weights.NewCacheIndex(0))
			for k := range each {
				m := weights.Machine{Name: long(k), Addr: long(k), Zone: fmt.Sprint("zone-of-a-long-name-", k)}
				plans.PlanFetch(0, m, fmt.Sprintf("registry/image-of-a-long-name-%02d", k%5), 6, machines)
			}
			if rec, due := plans.NextPlan(0, bytes-256); !due || len(rec.Images) == 0 {
				t.Errorf("%d bytes: no plan, %v", bytes, due)
			} else {
				w.put(wire.PrefixWeights+"0", rec)
			}

			want := wire.Demand{Seen: 1 << 40}
			for k := range tuning.MaxDemandNeeds {
				want.Needs = append(want.Needs, wire.Need{Types: []string{"type-of-a-long-name-0", "type-of-a-long-name-1"}, Zone: "zone-of-a-long-name", Spot: true, CPUs: 1.5, MemGB: 3.25, Tasks: machines + k, Starved: true, Tier: 7})
			}
			fit := limits.Fit(want, bytes, demand.DropLastNeed)
			if len(fit.Needs) < 8 {
				t.Errorf("%d needs are left of %d", len(fit.Needs), len(want.Needs))
			}
			w.put(demandKey(0), fit)

			tr := trail.New(trail.Limits{Events: tuning.MaxTrailEvents, Bytes: min(tuning.MaxStoredTrailBytes, bytes/2)})
			for k := range machines {
				tr.Add(time.Duration(k)*sec, time.UnixMilli(1e12), wire.TrailEvent{Kind: trail.LeaseExpired, Machine: long(k), Count: 4, Node: "controller-of-a-long-name"})
			}
			rec, _ := tr.NextRecord(time.Hour, 1<<40)
			if len(rec.Events) < 4 {
				t.Errorf("%d events in the trail record, want at least 4", len(rec.Events))
			}
			w.put(wire.PrefixTrail+"c0", rec)
			w.others(bytes, machines, long)
			for _, kind := range sortedKeys(w.bytes) {
				t.Logf("%-8s %5d bytes at most, %4d records", kind, w.bytes[kind], w.records[kind])
			}
		})
	}
}

// others writes the kinds of records whose size depends little on the number of machines.
func (w *writer) others(bytes, machines int, long func(int) string) {
	t := w.t
	shard := wire.Shard{Holder: "controller-of-a-long-name-0", Boot: 1 << 40, Home: "controller-of-a-long-name-0", Known: true}
	for k := range 24 {
		shard.Teams = append(shard.Teams, fmt.Sprintf("team-of-a-long-name-%02d", k))
	}
	for k := range 20 {
		shard = assignment.WithNewHolder(shard, fmt.Sprintf("controller-of-a-long-name-%d", k%3), 1<<40+uint64(k), tuning.MaxPastIncarnations, bytes)
		w.put(shardKey(0), shard)
	}

	reach := wire.ReachReport{Boot: 1 << 40, NoWorkers: true, NoCloud: true, CloudAnswers: true}
	for k := range 12 { // controllers and shards
		reach.UnreachableNodes = append(reach.UnreachableNodes, fmt.Sprintf("controller-of-a-long-name-%d", k))
		reach.SilentShards, reach.DegradedShards = append(reach.SilentShards, k), append(reach.DegradedShards, k)
		reach.SampledShards = append(reach.SampledShards, wire.ShardReach{Shard: k, Called: machines, Answered: machines})
	}
	w.put(wire.PrefixReach+"c0", reach)
	w.put(wire.PrefixNode+"c0", wire.Node{Boot: 1 << 60, Zone: "zone-of-a-long-name"})
	w.put(wire.KeyLeader, wire.Leader{Node: "controller-of-a-long-name", Boot: 1 << 60})
	w.put(wire.KeySettings, defaultSettings())
	w.put(wire.PrefixCordon+long(0), wire.Cordon{Drain: true})
	w.put(finalKey("job-000001"), wire.Final{Status: wire.JobAborted, Done: 400})

	typ := wire.MachineType{Name: long(0), CPUs: 64.5, GPUs: 8.5, MemoryGB: 1024.5, CacheGB: 1024.5, FetchGBps: 1.25, Price: 12.125, SpotPrice: 3.125, BootS: 25.5}
	for k := range 13 {
		typ.Zones = append(typ.Zones, fmt.Sprintf("zone-of-a-long-name-%d", k))
	}
	w.put(wire.PrefixType+typ.Name, typ)

	bias := wire.Bias{Classes: map[string][3]float64{}}
	for k := range 60 {
		bias.Classes[fmt.Sprintf("class-of-a-long-name-%02d", k)] = [3]float64{float64(k + 20), 1.0 / 3, 2.0 / 3}
	}
	bias = limits.Fit(bias, bytes, forecast.DropLeastKnownClass)
	if len(bias.Classes) < 20 || bias.Classes["class-of-a-long-name-59"][0] == 0 {
		t.Errorf("%d classes are left, or the best-known class is not among them", len(bias.Classes))
	}
	w.put(biasKey(0), bias)

	w.operators(bytes, machines)
	w.progress(bytes)
}

// operators writes the records that operators change: crews and the tier order.
func (w *writer) operators(bytes, machines int) {
	crew := wire.Crew{Name: "crew-of-a-long-name", Team: "team-of-a-long-name", Zone: "zone-of-a-long-name", Classes: []string{"class-of-a-long-name-0", "class-of-a-long-name-1"}, Leaves: "2026-12-03T06:30", TimeZone: "Africa/Dakar", Rule: "FREQ=DAILY"}
	for k := range tuning.CrewHistoryEntries {
		crew.Past = append(crew.Past, wire.CrewOutcome{LeavesMS: 1e12 + int64(k), Jobs: 20, Met: 19, LateS: 12.5, Why: "two jobs of 40 tasks will be 80 s late"})
		crew.History = append(crew.History, wire.CrewChange{AtMS: 1e12, Node: "controller-of-a-long-name", What: "changed, was to leave 2026-12-03T06:30 Africa/Dakar FREQ=DAILY"})
	}
	w.put(wire.PrefixCrew+crew.Name, limits.Fit(crew, bytes, calendar.DropOldestHistory))
	for k := range (machines + tuning.MaxRentMachines - 1) / tuning.MaxRentMachines {
		crew.Booked = append(crew.Booked, wire.CrewBooking{LeavesMS: 1e12, Request: calendar.BookingName(&crew, 1<<40, k), Type: "type-of-a-long-name", Zone: "zone-of-a-long-name", Spot: true, Count: tuning.MaxRentMachines, Done: true})
	}
	crew = limits.Fit(crew, bytes, calendar.DropHistoryOrBooking)
	if len(crew.Booked) < 5 || len(crew.Past) != 1 || crew.Past[0].LeavesMS != 1e12+tuning.CrewHistoryEntries-1 {
		w.t.Errorf("%d bookings and %d departures are left", len(crew.Booked), len(crew.Past))
	}
	w.put(wire.PrefixCrew+crew.Name, crew)

	order := wire.TierOrder{}
	for k := range 6 {
		order.Tiers = append(order.Tiers, wire.Tier{Name: fmt.Sprintf("rung-of-a-long-name-%d", k), Classes: []string{"class-of-a-long-name-0", "class-of-a-long-name-1"}, Teams: []string{"*"}, Priorities: []string{"urgent"}})
	}
	for k := range tuning.TierHistoryChanges {
		c := wire.TierOrderChange{Version: uint64(k), AtMS: 1e12, Node: "controller-of-a-long-name"}
		for _, r := range order.Tiers {
			c.Tiers = append(c.Tiers, r.Name)
		}
		order.History = append(order.History, c)
	}
	w.put(wire.KeyTierOrder, limits.Fit(order, bytes, tiers.DropOldestChange))
}

// progress writes the progress record of a job with the longest accepted description.
func (w *writer) progress(bytes int) {
	job := wire.Job{ID: "job-000001", Class: "any", Team: "red", Shape: wire.ShapeBatch, Tasks: 400, Image: strings.Repeat("x", 700), Started: 400}
	if raw, err := wire.Marshal(job); err != nil || !wire.FitsIn(raw, bytes-1024) {
		w.t.Errorf("the description is longer than the accepted maximum (%v)", err)
	}
	for k := 0; k < 400; k += 2 {
		job.Done = append(job.Done, [2]int{k, k + 1})
	}
	c := New(Params{Node: "a", NodeZones: map[string]string{"a": "n"}, Teams: map[string]Team{"red": {CPUsMax: 9}}, WorkerLease: 10 * sec, CancelTimeout: 40 * sec, MaxTxnOps: 4, MaxValueBytes: bytes})
	e := &jobEntry{record: job, run: &jobRun{done: job.Done}}
	b := c.newBatch()
	c.shards[0], c.teamShards["red"] = &shardEntry{}, 0
	b.addProgress(e)
	for _, ch := range b.changes {
		w.put(ch.Put, ch.Value)
	}
}
