// Command soak runs real senders on loopback under random faults and checks what clients, endpoints and discovery recorded
// against the rules of the protocol. It exits with status 1 if a rule was broken or a run failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"crossdeal/internal/soak"
	"crossdeal/internal/syscallfault"
)

func main() {
	syscallfault.LaunchIfRequested()
	program := flag.String("program", "bin/cometrack", "path of the sender's binary")
	seed := flag.Uint64("seed", 1, "the first seed")
	count := flag.Int("seeds", 1, "number of seeds, run one after the other")
	senders := flag.Int("senders", 12, "senders that run as real processes, 1 to 40")
	named := flag.Int("named", 0, "number of senders in the settings; 0 for the number of real ones")
	span := flag.Duration("span", 15*time.Second, "time within which faults begin")
	onRequest := flag.Bool("on-request", false, "senders get the list only on request")
	systemCalls := flag.Bool("system-calls", true, "let system calls of the senders fail; needs a C compiler")
	extraBytes := flag.Bool("extra-bytes", true, "endpoints, agents and the platform send more than some good answers")
	slowAgents := flag.Bool("slow-agents", false, "agents answer late at times, beside their other faults")
	dir := flag.String("dir", "logs/soak", "directory for state and logs")
	verbose := flag.Bool("v", false, "print each fault")
	flag.Parse()
	violations := 0
	for number := *seed; number < *seed+uint64(*count); number++ {
		log := func(string, ...any) {}
		if *verbose {
			log = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
		}
		report, err := soak.Run(context.Background(), soak.Config{Seed: number, Program: *program, Senders: min(max(*senders, 1), 40),
			ConfiguredSenders: *named, FaultPeriod: *span, SystemCallFaults: *systemCalls, ExtraBytes: *extraBytes, SlowAgents: *slowAgents, Pushed: !*onRequest, Dir: filepath.Join(*dir, fmt.Sprint(number)), Log: log})
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		fmt.Println(report)
		for _, v := range report.Violations {
			fmt.Println("  ", v)
		}
		violations += len(report.Violations)
	}
	if violations > 0 {
		os.Exit(1)
	}
}
