package main

import (
	"fmt"
	"testing"
)

func TestOutliers(t *testing.T) {
	var runs []run
	for i := range 9 {
		runs = append(runs, run{Task: fmt.Sprint("t", i), Site: "s", Day: "d", Worth: 0.7 + float64(i)/100})
	}
	runs = append(runs,
		run{Task: "low", Site: "s", Day: "d", Worth: 0.42},
		run{Task: "rule", Site: "s", Day: "d", Worth: 0.74, Rules: map[string]int{"ran_twice": 1}},
		run{Task: "other day", Site: "s", Day: "e", Worth: 0.42})
	got := outliers(runs, 0.15)
	if len(got) != 2 || got[0].Task != "low" || got[1].Task != "rule" {
		t.Fatalf("outliers %+v", got)
	}
}

func TestParseEntry(t *testing.T) {
	b := []byte(`{"site":"x","days":[{"G":0.5,"name":"rough","rules":{"quota":2},"fault":null,"aims":[["wait a 10 s: 0.9 (aim 0.85)",0.74]],"wall_s":5}]}`)
	runs, err := parseEntry("n", b)
	if err != nil || len(runs) != 1 || runs[0].Aims["wait a 10 s"] != 0.74 || !runs[0].broken() || runs[0].Site != "x" {
		t.Fatalf("%+v %v", runs, err)
	}
	if _, err := parseEntry("n", []byte(`{"days":[]}`)); err == nil {
		t.Fatal("an entry without a day was accepted")
	}
}
