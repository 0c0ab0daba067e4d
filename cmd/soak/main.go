// Command soak plays random faults against real senders on loopback and judges what was seen by the rules of the
// protocol. It exits with 1 if any rule was broken.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"crossdeal/internal/soak"
)

func main() {
	program := flag.String("program", "bin/cometrack", "path of the sender")
	seed := flag.Uint64("seed", 1, "the first seed")
	count := flag.Int("seeds", 1, "how many seeds, one after the other")
	senders := flag.Int("senders", 12, "real processes, 1 to 40")
	named := flag.Int("named", 0, "senders that the settings name; 0 for as many as there are")
	span := flag.Duration("span", 15*time.Second, "for which faults begin")
	onRequest := flag.Bool("on-request", false, "the list comes only on request")
	dir := flag.String("dir", "logs/soak", "for folders and logs")
	verbose := flag.Bool("v", false, "print each fault")
	flag.Parse()
	violations := 0
	for number := *seed; number < *seed+uint64(*count); number++ {
		log := func(string, ...any) {}
		if *verbose {
			log = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
		}
		report, err := soak.Run(context.Background(), soak.Config{Seed: number, Program: *program, Senders: min(max(*senders, 1), 40),
			ConfiguredSenders: *named, FaultPeriod: *span, Pushed: !*onRequest, Dir: filepath.Join(*dir, fmt.Sprint(number)), Log: log})
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
