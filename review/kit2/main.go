// Command review-2 plays the cases of the second review: a real sender between stand-ins, on loopback addresses and the real
// clock. It ends with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// play plays a case, with the disruption if trouble is set. It returns the breaks of the rule.
type play func(rec *record, root, dir string, trouble bool) (broken []string, err error)

var plays = map[string]play{"slow-discovery": playSlowDiscovery, "upgrade-kill": playUpgradeKill, "restart-slots": playRestartSlots,
	"fleet-return":   playFleetReturn,
	"upgrade-memory": playUpgradeMemory}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	endOnSignal()
	os.Exit(run(*name, *root, *recordPath))
}

func run(name, root, recordPath string) int {
	p := plays[name]
	if p == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	broken, err := p(rec, root, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, line := range broken {
		rec.add("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
