package scale

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// The flags of the package's tests. `.ci/scale` sets them; without them only the quick part runs and nothing is written.
var (
	sizeFlag    = flag.String("scale", "quick", "how much is measured: quick or large")
	outDirFlag  = flag.String("scale.out", "", "folder for the report as JSON; empty for none")
	commitFlag  = flag.String("scale.commit", "", "short commit that runs, for the report")
	commandFlag = flag.String("scale.command", "go test ./internal/scale", "what was called, for the report")
)

// report is the one report of a run: every test adds to it, and it is printed and written once all are over.
var report *Report

// isLarge says whether the large part runs. Tests of the large part alone begin with needLarge.
func isLarge() bool { return *sizeFlag == "large" }

// skipUnlessLarge skips what only `.ci/scale` runs: minutes and gigabytes that have no place in an ordinary test run.
func skipUnlessLarge(t *testing.T) {
	t.Helper()
	if !isLarge() {
		t.Skip("part of the large run: .ci/scale")
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	report = NewReport(*commitFlag, *commandFlag)
	code := m.Run()
	report.Failed = code != 0
	if isLarge() {
		report.AddFact(Fact{Name: "run: peak memory of the test process", Unit: "B", Value: float64(PeakMemory()), Limit: 12e9})
		report.AddFact(Fact{Name: "run: processor time of the test process", Unit: "s", Value: CPUTime().Seconds()})
		if text, err := os.ReadFile("/proc/loadavg"); err == nil {
			var load float64
			fmt.Sscan(string(text), &load)
			report.AddFact(Fact{Name: "run: load average of the machine at the end", Unit: "processes", Value: load,
				Note: "over the machine's cores, processor times are longer: others use its caches"})
		}
		fmt.Print(report.Tables())
	}
	if *outDirFlag != "" {
		path, err := report.Write(*outDirFlag)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		} else {
			fmt.Println("written:", path)
		}
	}
	os.Exit(code)
}
