package scale

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Flags of the package's tests, set by `.ci/scale`. Without them only the quick tests run and no report is written.
var (
	sizeFlag    = flag.String("scale", "quick", "tests to run: quick or large")
	outDirFlag  = flag.String("scale.out", "", "folder to write the JSON report to; empty for none")
	commitFlag  = flag.String("scale.commit", "", "short commit that is measured, for the report")
	commandFlag = flag.String("scale.command", "go test ./internal/scale", "command line, for the report")
)

// report is the report of the run. Every test adds to it, and TestMain prints and writes it after the last test.
var report *Report

// isLarge reports whether the large tests run. Each of them begins with skipUnlessLarge.
func isLarge() bool { return *sizeFlag == "large" }

// skipUnlessLarge skips a test that only `.ci/scale` runs, as it takes too many minutes or gigabytes for an ordinary
// test run.
func skipUnlessLarge(t *testing.T) {
	t.Helper()
	if !isLarge() {
		t.Skip("runs only in .ci/scale")
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	report = NewReport(*commitFlag, *commandFlag)
	exitCode := m.Run()
	report.Failed = exitCode != 0
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
			exitCode = 1
		} else {
			fmt.Println("written:", path)
		}
	}
	os.Exit(exitCode)
}
