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
	broken := 0
	for s := *seed; s < *seed+uint64(*count); s++ {
		log := func(string, ...any) {}
		if *verbose {
			log = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
		}
		report, err := soak.Run(context.Background(), soak.Config{Seed: s, Program: *program, Senders: min(max(*senders, 1), 40),
			Named: *named, Span: *span, Pushed: !*onRequest, Dir: filepath.Join(*dir, fmt.Sprint(s)), Log: log})
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		fmt.Println(report)
		for _, v := range report.Violations {
			fmt.Println("  ", v)
		}
		broken += len(report.Violations)
	}
	if broken > 0 {
		os.Exit(1)
	}
}
