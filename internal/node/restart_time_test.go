package node

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

// 90% of restarted processes have to be ready within 10 s. On a machine that restarts, a process may get a quarter of a
// core, which bounds the processor time of a start.
const (
	maxReadyTime    = 10 * time.Second
	maxReadyCPUTime = maxReadyTime / 4
)

// readyTime is the time of a start until PING is answered.
type readyTime struct{ wall, cpu time.Duration }

// startUntilReady starts the program as the platform does and waits until PING is answered.
func startUntilReady(t *testing.T, p *testPlatform, dir string, known discovery.List) (*process, readyTime) {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(configText(p, known)), `"disk_mb":3`, `"disk_mb":128`, 1)
	startedAt := time.Now()
	x := startProcessWithConfig(t, p, dir, []byte(text), "127.0.0.1:0", exec.Command(path))
	if got := dialClient(t, x.addr).do("PING"); got != "+PONG" {
		t.Fatalf("got %q", got)
	}
	return x, readyTime{time.Since(startedAt), cpuTime(t, x.cmd.Process.Pid)}
}

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	var ticks int
	for _, f := range strings.Fields(rest)[11:13] { // user and system time
		n, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}

// fillJournal writes waiting messages to a journal until it has about that many bytes, and returns their number.
func fillJournal(t *testing.T, dir string, bytes int64, destinations int) (count int) {
	t.Helper()
	j, err := OpenJournal(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	body, deadline := make([]byte, 256), time.Now().Add(time.Hour).UnixMicro()
	for j.size < bytes-1<<10 {
		m := Message{ID: fmt.Sprintf("%016x", count), Class: "safe", Destination: int64(count % destinations), Deadline: deadline, Body: body}
		if err := j.Append([]record{{Op: opAccept, Entry: &Entry{Message: m}}}); err != nil {
			t.Fatal(err)
		}
		count++
	}
	return count
}

// manyInstances returns a list of n endpoints, at a port without a listener. No message goes to them.
func manyInstances(n int) []discovery.Instance {
	list := make([]discovery.Instance, n)
	for i := range list {
		list[i] = discovery.Instance{ID: fmt.Sprintf("s-%08x", i), HostPort: "127.0.0.1:1", Zone: "a", Kind: "std", Destination: int64(1e6 + i), Lifecycle: "up", Weight: 100}
	}
	return list
}

// Logs the time to ready after SIGKILL for several sizes of the journal and the configured list. The processor time is
// bounded at moderate sizes; the wall time also depends on the load of this machine.
func TestTimeToReadyAfterRestart(t *testing.T) {
	t.Log("journal  messages  list entries  ready      processor")
	row := func(journal int64, count, entries int, r readyTime) {
		t.Logf("%3d MiB  %8d  %12d  %-9v  %v", journal>>20, count, entries, r.wall.Round(time.Millisecond), r.cpu)
	}
	for _, x := range []struct {
		journal int64
		entries int
		bound   bool
	}{{0, 0, true}, {1 << 20, 1000, true}, {4 << 20, 1000, true}, {0, 20_000, true}, {maxJournalFileBytes, 0, false}, {0, 200_000, false}} {
		p, dir := newTestPlatform(t), t.TempDir()
		p.unresponsive = true
		known := discovery.List{Generation: 7, Reset: true, Instances: manyInstances(x.entries)}
		count := 0
		if x.journal > 0 {
			count = fillJournal(t, dir, x.journal, 100)
		}
		first, _ := startUntilReady(t, p, dir, known)
		first.kill()
		again, r := startUntilReady(t, p, dir, known)
		row(x.journal, count, x.entries, r)
		if x.bound && r.cpu > maxReadyCPUTime {
			t.Errorf("%v of processor time, want at most %v", r.cpu, maxReadyCPUTime)
		}
		again.kill()
	}
}
