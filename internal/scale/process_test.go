package scale

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crossdeal/internal/scale/standin"
)

var (
	binaries     = flag.String("scale.bin", "", "programs to run, as after=PATH,before=PATH; empty builds them")
	beforeCommit = flag.String("scale.before", "3ba56aa", "commit of the earlier version that runs beside this one; empty for none")
)

const (
	waitLimit   = 20 * time.Second // the longest wait for an expected event
	settleTime  = 4 * time.Second  // from when all have the list until the next change
	diskLimitMB = 64               // disk limit in the settings of a process
)

// program is the binary of one version of the sender.
type program struct {
	name string // "after" for this version, "before" for the earlier one
	path string
}

// programsFromFlag returns the programs that the flag scale.bin names.
func programsFromFlag(t *testing.T) (programs []program) {
	t.Helper()
	for entry := range strings.SplitSeq(*binaries, ",") {
		if name, path, ok := strings.Cut(entry, "="); ok {
			path, err := filepath.Abs(path)
			if err != nil {
				t.Fatal(err)
			}
			programs = append(programs, program{name, path})
		}
	}
	return programs
}

// currentProgram returns the program of this version and builds it if no flag names it.
func currentProgram(t *testing.T) program {
	t.Helper()
	for _, p := range programsFromFlag(t) {
		if p.name == "after" {
			return p
		}
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return program{"after", buildProgram(t, root, filepath.Join(t.TempDir(), "after"))}
}

// programsToRun returns the programs that the flag scale.bin names, or else builds this version and the earlier commit
// that the flag scale.before names.
func programsToRun(t *testing.T) (programs []program) {
	t.Helper()
	if programs = programsFromFlag(t); len(programs) > 0 {
		return programs
	}
	programs = append(programs, currentProgram(t))
	if *beforeCommit == "" {
		return programs
	}
	dir := t.TempDir()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	// Build from a copy of that commit's files, to leave the repository as it is.
	source := filepath.Join(dir, "source")
	if err := os.Mkdir(source, 0o700); err != nil {
		t.Fatal(err)
	}
	archive := exec.Command("git", "-C", root, "archive", *beforeCommit)
	var stdout, stderr bytes.Buffer
	archive.Stdout, archive.Stderr = &stdout, &stderr
	if err := archive.Run(); err != nil {
		t.Errorf("can't run the earlier version: git archive %s: %v, %s", *beforeCommit, err, stderr.String())
		return programs
	}
	tar := exec.Command("tar", "-x", "-C", source)
	tar.Stdin = &stdout
	if output, err := tar.CombinedOutput(); err != nil {
		t.Fatalf("tar: %v, %s", err, output)
	}
	return append(programs, program{"before", buildProgram(t, source, filepath.Join(dir, "before"))})
}

func buildProgram(t *testing.T, root, path string) string {
	t.Helper()
	cmd := exec.Command("go", "build", "-o", path, "./cmd/cometrack")
	cmd.Dir = root
	if output, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build in %s: %v\n%s", root, err, output)
	}
	return path
}

// processFleet is a fleet of real processes with their simulated peers, on 127.0.0.0/8.
type processFleet struct {
	t         *testing.T
	program   program
	discovery *standin.Discovery
	endpoints [2]string // the list names the first; changes move destinations to the second
	senders   []*senderProcess

	mu          sync.Mutex
	deliveredTo map[string]int // message ID to the number of the endpoint, 1 or 2
}

// senderProcess is one process of a processFleet.
type senderProcess struct {
	fleet     *processFleet
	name      string
	stateDir  string
	env       []string
	cmd       *exec.Cmd
	done      chan error // receives the result when the process ends
	startedAt time.Time

	mu           sync.Mutex
	addr         string
	readyAfter   time.Duration // time from its start until it was ready; 0 if it is not
	generation   int64         // of the newest list in its log
	generationAt time.Time     // when the log named that list
	logTail      []string      // last lines of the log
}

func newProcessFleet(t *testing.T, program program, senders, entries, memoryMB int) *processFleet {
	t.Helper()
	f := &processFleet{t: t, program: program, deliveredTo: map[string]int{}}
	for i := range f.endpoints {
		ln := f.listen(fmt.Sprintf("127.0.0.%d:0", i+2))
		f.endpoints[i] = ln.Addr().String()
		go standin.ServeEndpoint(ln, func(delivery standin.Delivery) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.deliveredTo[delivery.ID] = i + 1
		})
	}
	rows := listRows(entries)
	for i := range rows { // an address for each; the destinations of the test's messages get the first endpoint below
		rows[i].HostPort = fmt.Sprintf("127.%d.%d.%d:6379", 64+i>>16&63, i>>8&255, i&255)
	}
	for _, i := range []int{1, 2, 3, entries / 2, entries/2 + 1, entries/2 + 2} {
		rows[i].HostPort = f.endpoints[0]
	}
	f.discovery = standin.New(standin.Config{Rows: rows, Generation: 1000})
	f.discovery.ListSize() // encodes the list before the first requests arrive
	dir := t.TempDir()
	for i := range senders {
		name := fmt.Sprintf("n%d", i)
		ln := f.listen("127.0.0.1:0")
		go f.discovery.Serve(ln, name)
		stateDir, configPath := filepath.Join(dir, name), filepath.Join(dir, name+".json")
		if err := os.Mkdir(stateDir, 0o700); err != nil {
			t.Fatal(err)
		}
		config := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":%d,"sockets":1024,"disk_mb":%d},"settings":%s}`,
			name, ln.Addr(), i+1, memoryMB, diskLimitMB, settingsJSON(senders))
		if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
			t.Fatal(err)
		}
		f.senders = append(f.senders, &senderProcess{fleet: f, name: name, stateDir: stateDir, env: append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_LISTEN=127.0.0.1:0",
			"BALANCER_DISCOVERY="+ln.Addr().String(), "BALANCER_STATE="+stateDir, "BALANCER_CONFIG="+configPath)})
	}
	t.Cleanup(func() {
		for _, s := range f.senders {
			s.kill()
		}
		f.discovery.Close()
	})
	return f
}

func (f *processFleet) listen(addr string) net.Listener {
	f.t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { ln.Close() })
	return ln
}

func (s *senderProcess) start() {
	s.fleet.t.Helper()
	s.cmd = exec.Command(s.fleet.program.path)
	s.cmd.Env = s.env
	logs, err := s.cmd.StderrPipe()
	if err != nil {
		s.fleet.t.Fatal(err)
	}
	s.mu.Lock()
	s.addr, s.readyAfter, s.generation, s.generationAt, s.logTail = "", 0, 0, time.Time{}, nil
	s.mu.Unlock()
	s.startedAt = time.Now()
	if err := s.cmd.Start(); err != nil {
		s.fleet.t.Fatal(err)
	}
	done, cmd, started := make(chan error, 1), s.cmd, s.startedAt
	s.done = done
	go func() {
		lines := bufio.NewScanner(logs)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			s.readLogLine(lines.Text(), started)
		}
		done <- cmd.Wait()
	}()
}

// readLogLine reads the state of the process from a line of its log.
func (s *senderProcess) readLogLine(line string, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logTail = append(s.logTail, line); len(s.logTail) > 5 {
		s.logTail = s.logTail[1:]
	}
	switch {
	case strings.Contains(line, "msg=ready "):
		s.addr, s.readyAfter = logField(line, "addr"), time.Since(started)
	case strings.Contains(line, "msg=list "):
		if generation, err := strconv.ParseInt(logField(line, "generation"), 10, 64); err == nil && generation > s.generation {
			s.generation, s.generationAt = generation, time.Now()
		}
	}
}

// logField returns the value of a field of a log line.
func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// kill kills the process and waits for its end. Its state directory stays.
func (s *senderProcess) kill() {
	if s.cmd == nil {
		return
	}
	s.cmd.Process.Kill()
	<-s.done
	s.cmd = nil
}

// resourceUsage returns the peak resident memory of the process in bytes and its processor time so far.
func (s *senderProcess) resourceUsage() (peak float64, cpu time.Duration) {
	s.fleet.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		s.fleet.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		s.fleet.t.Fatal(err)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
	if err != nil {
		s.fleet.t.Fatal(err)
	}
	_, rest, _ = strings.Cut(string(stat), ") ")
	for _, ticks := range strings.Fields(rest)[11:13] { // utime and stime, in hundredths of a second
		n, err := strconv.ParseInt(ticks, 10, 64)
		if err != nil {
			s.fleet.t.Fatal(err)
		}
		cpu += time.Duration(n) * 10 * time.Millisecond
	}
	return kb * 1024, cpu
}

// stateDirBytes returns the size of the state directory in bytes, with each file rounded up to 512 bytes.
func (s *senderProcess) stateDirBytes() (size float64) {
	s.fleet.t.Helper()
	files, err := os.ReadDir(s.stateDir)
	if err != nil {
		s.fleet.t.Fatal(err)
	}
	for _, file := range files {
		if info, err := file.Info(); err == nil { // a file that has been removed meanwhile is not counted
			size += float64((info.Size() + 511) / 512 * 512)
		}
	}
	return size
}

// putMessage sends a message to the process and returns its answer.
func (s *senderProcess) putMessage(id string, destination int) (string, error) {
	s.mu.Lock()
	addr := s.addr
	s.mu.Unlock()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	var request strings.Builder
	args := []string{"MSG.PUT", "0000", id, fmt.Sprintf("c=safe,t=acme,d=8000,dest=%d", destination), "body"}
	fmt.Fprintf(&request, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&request, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := io.WriteString(conn, request.String()); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer), err
}

// waitFor waits until all senders meet a condition, but at most for the limit, and returns how many do not meet it.
func (f *processFleet) waitFor(limit time.Duration, condition func(s *senderProcess) bool) (left int) {
	for deadline := time.Now().Add(limit); ; time.Sleep(2 * time.Millisecond) {
		left = 0
		for _, s := range f.senders {
			s.mu.Lock()
			if !condition(s) {
				left++
			}
			s.mu.Unlock()
		}
		if left == 0 || time.Now().After(deadline) {
			return left
		}
	}
}

func (f *processFleet) waitReady() {
	f.t.Helper()
	if left := f.waitFor(waitLimit, func(s *senderProcess) bool { return s.addr != "" }); left > 0 {
		f.t.Fatalf("%s: %d processes are not ready; last log lines: %v", f.program.name, left, f.logTails())
	}
}

// waitForList waits until the generation is in force at all senders. It returns the longest time from since until then,
// and false if some sender does not get the generation within the limit.
func (f *processFleet) waitForList(generation int64, since func(s *senderProcess) time.Time, limit time.Duration) (slowest time.Duration, ok bool) {
	left := f.waitFor(limit, func(s *senderProcess) bool { return s.generation >= generation })
	for _, s := range f.senders {
		s.mu.Lock()
		slowest = max(slowest, s.generationAt.Sub(since(s)))
		s.mu.Unlock()
	}
	return slowest, left == 0
}

func (f *processFleet) logTails() (tails []string) {
	for _, s := range f.senders {
		s.mu.Lock()
		tails = append(tails, s.name+": "+strings.Join(s.logTail, " | "))
		s.mu.Unlock()
	}
	return tails[:min(len(tails), 3)]
}

// sendToAll sends one message for a destination to each sender and returns how many were delivered to the endpoint
// within the limit. The error holds the failures to send and the answers other than +OK.
func (f *processFleet) sendToAll(idPrefix string, destination, endpoint int, limit time.Duration) (delivered int, err error) {
	var failures error
	for _, s := range f.senders {
		answer, err := s.putMessage(fmt.Sprintf("%s-%s", idPrefix, s.name), destination)
		if err != nil || answer != "+OK" {
			failures = errors.Join(failures, fmt.Errorf("%s: answer %q, %w", s.name, answer, err))
		}
	}
	for deadline := time.Now().Add(limit); ; time.Sleep(2 * time.Millisecond) {
		delivered = 0
		f.mu.Lock()
		for _, s := range f.senders {
			if f.deliveredTo[fmt.Sprintf("%s-%s", idPrefix, s.name)] == endpoint {
				delivered++
			}
		}
		f.mu.Unlock()
		if delivered == len(f.senders) || time.Now().After(deadline) {
			return delivered, failures
		}
	}
}

// processResult holds the measurements of the processes, and those of simulated senders in the same scenario.
type processResult struct {
	program                            string
	senders, entries                   int
	servesList                         bool            // all processes got the list at the first start
	readyAfterStart, readyAfterRestart time.Duration   // of the slowest process, after either start
	listAfterStart, listAfterRestart   time.Duration   // until the list is in force, after either start
	slowestChange                      time.Duration   // until a change is in force at all, the slowest of all changes
	startTraffic                       standin.Traffic // all senders together, from the first start through three changes
	restartTraffic                     standin.Traffic // all senders together, from the restart through one change
	stateDirBytes                      float64         // largest state directory after the first run, in bytes
	peakBytes, peakBytesAfterRestart   float64         // of the process with the most, in bytes
	cpuTime, cpuTimeAfterRestart       time.Duration   // of the process with the most
	simulatedStartTraffic              standin.Traffic
	simulatedRestartTraffic            standin.Traffic
	simulatedSlowestChange             time.Duration
}

// runProcesses starts real processes, makes three changes, kills the processes, restarts them and makes one more
// change.
func runProcesses(t *testing.T, program program, senders, entries int) *processResult {
	t.Helper()
	r := &processResult{program: program.name, senders: senders, entries: entries}
	f := newProcessFleet(t, program, senders, entries, memoryLimitMB(entries))
	startedAt := func(s *senderProcess) time.Time { return s.startedAt }
	slowestReady := func() (slowest time.Duration) {
		for _, s := range f.senders {
			s.mu.Lock()
			slowest = max(slowest, s.readyAfter)
			s.mu.Unlock()
		}
		return slowest
	}
	maxUsage := func() (peak float64, cpu time.Duration) {
		for _, s := range f.senders {
			peakBytes, cpuTime := s.resourceUsage()
			peak, cpu = max(peak, peakBytes), max(cpu, cpuTime)
		}
		return peak, cpu
	}
	measureChange := func(destination int) time.Duration {
		row := f.discovery.Row(destination)
		row.HostPort = f.endpoints[1]
		at := time.Now()
		generation := f.discovery.Set(row)
		took, ok := f.waitForList(generation, func(*senderProcess) time.Time { return at }, waitLimit)
		if !ok {
			t.Errorf("%s, %d entries: a change is not in force at all processes after %v; last log lines: %v", program.name, entries, waitLimit, f.logTails())
		}
		idPrefix := fmt.Sprintf("m%d", destination)
		if delivered, err := f.sendToAll(idPrefix, destination, 2, 5*time.Second); delivered < senders || err != nil {
			t.Errorf("%s, %d entries: %d of %d messages were delivered to the endpoint of the changed list, %v", program.name, entries, delivered, senders, err)
		}
		return took
	}

	for _, s := range f.senders {
		s.start()
	}
	f.waitReady()
	r.readyAfterStart = slowestReady()
	limit := waitLimit
	if program.name == "before" && entries > 20_000 {
		limit = settleTime // this version is known not to get a list of this size
	}
	if r.listAfterStart, r.servesList = f.waitForList(f.discovery.Generation(), startedAt, limit); !r.servesList {
		r.startTraffic = f.discovery.Stats().Total
		r.peakBytes, r.cpuTime = maxUsage()
		delivered, err := f.sendToAll("none", 1, 1, time.Second)
		t.Logf("%s, %d entries: no list after %v; %d of %d messages were delivered, %v; last log lines: %v", program.name, entries, limit, delivered, senders, err, f.logTails())
		return r
	}
	if delivered, err := f.sendToAll("first", 1, 1, 5*time.Second); delivered < senders || err != nil {
		t.Errorf("%s, %d entries: %d of %d messages were delivered, %v", program.name, entries, delivered, senders, err)
	}
	time.Sleep(settleTime - time.Second)
	for i := range 3 {
		r.slowestChange = max(r.slowestChange, measureChange(entries/2+i))
	}
	r.startTraffic = f.discovery.Stats().Total
	r.peakBytes, r.cpuTime = maxUsage()

	for _, s := range f.senders {
		s.kill()
	}
	for _, s := range f.senders {
		r.stateDirBytes = max(r.stateDirBytes, s.stateDirBytes())
	}
	time.Sleep(600 * time.Millisecond)
	f.discovery.ResetStats()
	row := f.discovery.Row(2)
	row.HostPort = f.endpoints[1]
	generation := f.discovery.Set(row) // while no process runs
	for _, s := range f.senders {
		s.start()
	}
	f.waitReady()
	r.readyAfterRestart = slowestReady()
	var ok bool
	if r.listAfterRestart, ok = f.waitForList(generation, startedAt, waitLimit); !ok {
		t.Errorf("%s, %d entries: no list after the restart; last log lines: %v", program.name, entries, f.logTails())
	}
	if delivered, err := f.sendToAll("again", 2, 2, 5*time.Second); delivered < senders || err != nil {
		t.Errorf("%s, %d entries: after the restart %d of %d messages were delivered to the endpoint of the list, %v", program.name, entries, delivered, senders, err)
	}
	r.slowestChange = max(r.slowestChange, measureChange(3))
	r.restartTraffic = f.discovery.Stats().Total
	r.peakBytesAfterRestart, r.cpuTimeAfterRestart = maxUsage()
	return r
}

// runSimulated runs the same scenario with simulated senders. They need no time to read a list, and their memory is not
// measured.
func (r *processResult) runSimulated(t *testing.T) {
	t.Helper()
	runListScenario(t, r.senders, r.entries, func(f *listFleet, _ *listResult) {
		waitForChange := func(change *listChange) { f.waitUntil(func() bool { return len(change.pending) == 0 }) }
		for _, s := range f.senders {
			s.start(-1, false)
		}
		f.waitUntil(func() bool {
			return !slices.ContainsFunc(f.senders, func(s *listSender) bool { return s.generation == 0 })
		})
		time.Sleep(settleTime - time.Second)
		for i := range 3 {
			waitForChange(f.changeEntry(f.discovery, r.entries/2+i))
		}
		r.simulatedStartTraffic = f.discovery.Stats().Total
		for _, s := range f.senders {
			s.kill()
		}
		time.Sleep(600 * time.Millisecond)
		f.discovery.ResetStats()
		change := f.changeEntry(f.discovery, 2)
		for _, s := range f.senders {
			s.start(s.generation, true)
		}
		waitForChange(change)
		waitForChange(f.changeEntry(f.discovery, 3))
		r.simulatedRestartTraffic = f.discovery.Stats().Total
		r.simulatedSlowestChange = f.slowestChange("hollow")
	})
}

// TestScaleProcesses measures real processes of this version and an earlier one, and compares this version with
// simulated senders.
func TestScaleProcesses(t *testing.T) {
	skipUnlessLarge(t)
	plan := map[string][][2]int{ // senders and entries
		"after":  {{40, 1000}, {20, 5000}, {20, 20_000}, {8, 40_000}, {4, 100_000}, {2, 200_000}},
		"before": {{8, 1000}, {8, 5000}, {8, 20_000}, {4, 40_000}, {2, 100_000}},
	}
	if testing.Short() {
		plan = map[string][][2]int{"after": {{8, 1000}, {4, 20_000}}, "before": {{4, 1000}, {2, 40_000}}}
	}
	for _, program := range programsToRun(t) {
		var results []*processResult
		for _, sizes := range plan[program.name] {
			r := runProcesses(t, program, sizes[0], sizes[1])
			if program.name == "after" {
				r.runSimulated(t)
			}
			results = append(results, r)
			t.Logf("%s, %d processes, %d entries: list received %v; ready after %v and %v, list in force after %v and %v, a change after %v; first run %+v, second %+v; "+
				"peak %.4g and %.4g MB, folder %.4g MB, processor time %v and %v; simulated: change %v, first run %+v, second %+v", r.program, r.senders, r.entries, r.servesList,
				r.readyAfterStart, r.readyAfterRestart, r.listAfterStart, r.listAfterRestart, r.slowestChange, r.startTraffic, r.restartTraffic, r.peakBytes/1e6, r.peakBytesAfterRestart/1e6, r.stateDirBytes/1e6, r.cpuTime, r.cpuTimeAfterRestart,
				r.simulatedSlowestChange, r.simulatedStartTraffic, r.simulatedRestartTraffic)
			r.check(t)
		}
		reportProcesses(program.name, results)
	}
}

// TestScaleProcessRefusesList checks a process with too little memory for the list: it logs that, repeats the request
// with growing delays, and its memory does not grow with the list.
func TestScaleProcessRefusesList(t *testing.T) {
	skipUnlessLarge(t)
	const (
		duration = 10 * time.Second
		memoryMB = 96
	)
	f := newProcessFleet(t, currentProgram(t), 1, TargetEntries, memoryMB)
	s := f.senders[0]
	s.start()
	f.waitReady()
	time.Sleep(duration)
	stats := f.discovery.Stats()
	peak, cpu := s.resourceUsage()
	tails := strings.Join(f.logTails(), " ")
	if limit := int64(duration.Minutes()*60 + 5); stats.Total.Calls > limit || !strings.Contains(tails, "too large") || peak > 64e6 {
		t.Errorf("%d calls in %v, want at most %d; peak memory %.4g MB, want at most 64; log %s, want \"too large\"", stats.Total.Calls, duration, limit, peak/1e6, tails)
	}
	report.AddFact(Fact{Name: fmt.Sprintf("process of %d MB, a list of %d entries that it has no room for: calls a minute", memoryMB, TargetEntries),
		Unit: "calls", Value: float64(stats.Total.Calls) / duration.Minutes(), Limit: 60,
		Note: fmt.Sprintf("%.3g MB sent to it, peak %.4g MB, processor time %v", float64(stats.Total.BytesOut)/1e6, peak/1e6, cpu)})
}

// check compares the processes of this version with the target and with the simulated senders.
func (r *processResult) check(t *testing.T) {
	t.Helper()
	if r.program != "after" {
		return
	}
	label := fmt.Sprintf("%d processes, %d entries", r.senders, r.entries)
	if !r.servesList {
		t.Errorf("%s: the list was not received", label)
		return
	}
	if r.slowestChange > inForceLimit || r.simulatedSlowestChange > inForceLimit {
		t.Errorf("%s: a change in force after %v, simulated %v, want at most 17 s", label, r.slowestChange, r.simulatedSlowestChange)
	}
	if limit := 10 * time.Second; r.readyAfterStart > limit || r.readyAfterRestart > limit {
		t.Errorf("%s: ready after %v and %v, want at most 10 s", label, r.readyAfterStart, r.readyAfterRestart)
	}
	if r.entries <= TargetDestinations && max(r.peakBytes, r.peakBytesAfterRestart) > ControlMemoryBytes {
		t.Errorf("%s: peak memory %.4g MB and %.4g MB, want at most 256 MB", label, r.peakBytes/1e6, r.peakBytesAfterRestart/1e6)
	}
	if r.startTraffic.WholeLists != int64(r.senders) || r.restartTraffic.WholeLists != 0 {
		t.Errorf("%s: %d whole lists at the first start, %d at the restart, want one a process and 0", label, r.startTraffic.WholeLists, r.restartTraffic.WholeLists)
	}
	// Headers differ slightly, as does the number of watches in a second of real time.
	for _, run := range []struct {
		name            string
		real, simulated standin.Traffic
	}{{"first", r.startTraffic, r.simulatedStartTraffic}, {"second", r.restartTraffic, r.simulatedRestartTraffic}} {
		if lo, hi := 0.8*float64(run.simulated.Bytes())-3000, 1.25*float64(run.simulated.Bytes())+float64(r.senders)*3000; float64(run.real.Bytes()) < lo || float64(run.real.Bytes()) > hi {
			t.Errorf("%s, %s run: %d bytes, simulated %d; want 80%% of these less 3,000 to 125%% of these plus 3,000 a process", label, run.name, run.real.Bytes(), run.simulated.Bytes())
		}
	}
}

// reportProcesses adds the results of one version to the report. Its series call the time from the first start to the
// kill the first life of a process, the time after the restart its second life, and a simulated sender hollow.
func reportProcesses(name string, results []*processResult) {
	add := func(quantity, unit string, target, limit float64, y func(r *processResult) (float64, bool)) {
		s := Series{Name: "processes, " + name + ": " + quantity, XUnit: "entries", YUnit: unit}
		if name == "after" { // the earlier version does not serve the target's list and gets no target
			s.TargetX, s.Limit = target, limit
		}
		for _, r := range results {
			if value, ok := y(r); ok {
				s.Points = append(s.Points, Point{X: float64(r.entries), Y: value})
			}
		}
		report.AddSeries(s)
	}
	perProcess := func(r *processResult, n int64) float64 { return float64(n) / float64(r.senders) }
	add("peak memory, first life", "MB", TargetDestinations, ControlMemoryBytes/1e6, func(r *processResult) (float64, bool) { return r.peakBytes / 1e6, true })
	add("calls of a process, first life", "calls", 0, 0, func(r *processResult) (float64, bool) { return perProcess(r, r.startTraffic.Calls), true })
	add("bytes of a process, first life", "MB", 0, 0, func(r *processResult) (float64, bool) { return perProcess(r, r.startTraffic.Bytes()) / 1e6, true })
	add("processor time, first life", "s", 0, 0, func(r *processResult) (float64, bool) { return r.cpuTime.Seconds(), true })
	add("ready after a first start", "s", TargetDestinations, 10, func(r *processResult) (float64, bool) { return r.readyAfterStart.Seconds(), true })
	add("list in force after a first start", "s", TargetDestinations, 0, func(r *processResult) (float64, bool) { return r.listAfterStart.Seconds(), r.servesList })
	add("a change in force at all", "s", TargetDestinations, TargetInForceSeconds, func(r *processResult) (float64, bool) { return r.slowestChange.Seconds(), r.servesList })
	add("folder", "MB", TargetDestinations, 0, func(r *processResult) (float64, bool) { return r.stateDirBytes / 1e6, r.servesList })
	add("peak memory, second life", "MB", TargetDestinations, ControlMemoryBytes/1e6, func(r *processResult) (float64, bool) { return r.peakBytesAfterRestart / 1e6, r.servesList })
	add("bytes of a process, second life", "MB", 0, 0, func(r *processResult) (float64, bool) {
		return perProcess(r, r.restartTraffic.Bytes()) / 1e6, r.servesList
	})
	add("processor time, second life", "s", 0, 0, func(r *processResult) (float64, bool) { return r.cpuTimeAfterRestart.Seconds(), r.servesList })
	add("ready after a restart", "s", TargetDestinations, 10, func(r *processResult) (float64, bool) { return r.readyAfterRestart.Seconds(), r.servesList })
	add("list in force after a restart", "s", TargetDestinations, 0, func(r *processResult) (float64, bool) { return r.listAfterRestart.Seconds(), r.servesList })
	if name == "after" {
		add("bytes of a hollow sender, first life", "MB", 0, 0, func(r *processResult) (float64, bool) {
			return perProcess(r, r.simulatedStartTraffic.Bytes()) / 1e6, true
		})
		add("bytes of a hollow sender, second life", "MB", 0, 0, func(r *processResult) (float64, bool) {
			return perProcess(r, r.simulatedRestartTraffic.Bytes()) / 1e6, true
		})
		add("a change in force at all hollow senders", "s", 0, 0, func(r *processResult) (float64, bool) { return r.simulatedSlowestChange.Seconds(), true })
	}
	for _, r := range results {
		serves := 0.0
		if r.servesList {
			serves = 1
		}
		report.AddFact(Fact{Name: fmt.Sprintf("processes, %s: serves a list of %d entries", name, r.entries), Unit: "1 if so", Value: serves,
			Note: fmt.Sprintf("%d processes; %d calls and %d whole lists begun in the first life", r.senders, r.startTraffic.Calls, r.startTraffic.WholeLists)})
	}
}
