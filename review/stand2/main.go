package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// verdict is the outcome of a case, as an exit code.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// options are what every case gets.
type options struct {
	program, record string
	trouble         bool
}

// cases holds the cases by name; each file of cases adds its own.
var cases = map[string]func(options) (verdict, string){}

func main() {
	var o options
	name := flag.String("case", "", "name of the case")
	flag.StringVar(&o.program, "program", "target/barrowbridge", "the controllers' program")
	flag.StringVar(&o.record, "record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "stand2: no such case:", *name)
		os.Exit(int(notRun))
	}
	time.AfterFunc(118*time.Second, func() { // the controllers end with this process
		fmt.Println("not run: out of time")
		os.Exit(int(notRun))
	})
	v, why := run(o)
	fmt.Println([]string{"held", "broken", "not run"}[v]+":", why)
	os.Exit(int(v))
}
