package config

import (
	"fmt"
	"strings"
	"testing"
)

const good = `
node_name = "host-0"
zone = "north"
client_listen = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
later_field = { x = 1 }
[[siblings]]
node_name = "host-1"
zone = "south"
peer_addr = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
nodes = 2
[[params.teams]]
name = "crew"
cpus = 8.0
cpus_max = 16.0
[params.workers]
report_s = 2.0
lease_s = 10.0
cancel_s = 40.0
[params.state]
rps = 80.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 16
[params.cloud]
rps = 4.0
list_lag_s = 6.0
`

func TestParse(t *testing.T) {
	c, err := Parse([]byte(good))
	if err != nil {
		t.Fatalf("good settings with an unknown field refused: %v", err)
	}
	if c.Peers[0].Addr != "10.0.0.2:8081" || c.Params.Teams[0].CPUsMax != 16 {
		t.Fatalf("misread: %+v", c)
	}
	for _, bad := range []struct{ from, to, field string }{
		{`node_name = "host-0"`, ``, "node_name"},
		{`client_listen = "10.0.0.1:8080"`, `client_listen = "somewhere"`, "client_listen"},
		{`state = "10.2.0.1:2379"`, `state = "10.2.0.1:99999"`, "outside.state"},
		{`lease_s = 10.0`, `lease_s = nan`, "params.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = "ten"`, "lease_s"},
		{`cancel_s = 40.0`, `cancel_s = 12.0`, "params.workers.cancel_s"}, // leases could not expire within it
		{`cancel_s = 40.0`, `cancel_s = 9.0`, "params.workers.cancel_s"},
		{`cpus_max = 16.0`, `cpus_max = 4.0`, "params.teams[0].cpus_max"},
		{`txn_ops = 16`, `txn_ops = 0`, "params.state.txn_ops"},
		{`node_name = "host-1"`, `node_name = "host-0"`, "siblings[0].node_name"},
	} {
		_, err := Parse([]byte(strings.Replace(good, bad.from, bad.to, 1)))
		if err == nil || !strings.Contains(err.Error(), bad.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: want one line naming %s, got %v", bad.to, bad.field, err)
		}
	}
}

// A guest team has 0 for all its settings, which means no guarantee and no limit.
func TestNoLimit(t *testing.T) {
	for _, x := range []struct{ team, cpus, gpus string }{
		{"cpus = 0.0\ncpus_max = 0.0", "+Inf", "+Inf"},
		{"cpus = 8.0\ncpus_max = 16.0", "16", "0"},
		{"cpus = 8.0\ncpus_max = 0.0\ngpus_max = 2.0", "+Inf", "2"},
	} {
		c, err := Parse([]byte(strings.Replace(good, "cpus = 8.0\ncpus_max = 16.0", x.team, 1)))
		if err != nil {
			t.Fatalf("%q: %v", x.team, err)
		}
		if cpus, gpus := c.Params.Teams[0].MaxUsage(); fmt.Sprint(cpus) != x.cpus || fmt.Sprint(gpus) != x.gpus {
			t.Errorf("%q: at most %v cpus, %v gpus", x.team, cpus, gpus)
		}
	}
}

// Limits that the state service will have later apply from the start.
func TestNextLimits(t *testing.T) {
	next := func(lines string) string {
		return strings.Replace(good, "[params.cloud]", "[params.state.next]\n"+lines+"\n[params.cloud]", 1)
	}
	c, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if l := c.Params.State.Strictest(); l != c.Params.State {
		t.Fatalf("without next limits: %+v", l)
	}
	c, err = Parse([]byte(next("write_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5\nlater = 1")))
	if err != nil {
		t.Fatal(err)
	}
	if l := c.Params.State.Strictest(); l.RPS != 80 || l.WriteRPS != 15 || l.ValueKB != 2 || l.TxnOps != 5 {
		t.Fatalf("least: %+v", l)
	}
	c, err = Parse([]byte(next("write_rps = 30.0\ntxn_ops = 4")))
	if err != nil {
		t.Fatal(err)
	}
	if l := c.Params.State.Strictest(); l.WriteRPS != 20 || l.ValueKB != 16 || l.TxnOps != 4 {
		t.Fatalf("one larger, one absent: %+v", l)
	}
	for _, bad := range []struct{ lines, field string }{
		{"value_kb = 0.0", "params.state.next.value_kb"},
		{"write_rps = nan", "params.state.next.write_rps"},
		{"rps = -1.0", "params.state.next.rps"},
		{"txn_ops = 1", "params.state.next.txn_ops"},
		{`value_kb = "2"`, "value_kb"},
	} {
		if _, err := Parse([]byte(next(bad.lines))); err == nil || !strings.Contains(err.Error(), bad.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", bad.lines, err)
		}
	}
}
