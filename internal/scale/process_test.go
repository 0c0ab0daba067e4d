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
	waitLimit   = 20 * time.Second // for what must come
	settleTime  = 4 * time.Second  // from the list at all until what follows
	diskLimitMB = 64               // MB of its folder
)

// program is a version of the sender.
type program struct {
	name string // after or before
	path string
}

// programsFromFlag are the programs that the flag names.
func programsFromFlag(t *testing.T) (list []program) {
	t.Helper()
	for x := range strings.SplitSeq(*binaries, ",") {
		if name, path, ok := strings.Cut(x, "="); ok {
			path, err := filepath.Abs(path)
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, program{name, path})
		}
	}
	return list
}

// currentProgram is the program of this version.
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

// programsToRun are those that the flags name: this version, and an earlier one out of the history.
func programsToRun(t *testing.T) (list []program) {
	t.Helper()
	if list = programsFromFlag(t); len(list) > 0 {
		return list
	}
	list = append(list, currentProgram(t))
	if *beforeCommit == "" {
		return list
	}
	dir := t.TempDir()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	// A copy of that commit's files; the repository itself stays as it is.
	source := filepath.Join(dir, "source")
	if err := os.Mkdir(source, 0o700); err != nil {
		t.Fatal(err)
	}
	archive := exec.Command("git", "-C", root, "archive", *beforeCommit)
	var out, says bytes.Buffer
	archive.Stdout, archive.Stderr = &out, &says
	if err := archive.Run(); err != nil {
		t.Errorf("the earlier version is not run: git archive %s: %v, %s", *beforeCommit, err, says.String())
		return list
	}
	tar := exec.Command("tar", "-x", "-C", source)
	tar.Stdin = &out
	if text, err := tar.CombinedOutput(); err != nil {
		t.Fatalf("tar: %v, %s", err, text)
	}
	return append(list, program{"before", buildProgram(t, source, filepath.Join(dir, "before"))})
}

func buildProgram(t *testing.T, root, path string) string {
	t.Helper()
	cmd := exec.Command("go", "build", "-o", path, "./cmd/cometrack")
	cmd.Dir = root
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build in %s: %v\n%s", root, err, text)
	}
	return path
}

// processFleet is some real processes and what they talk with, on 127.0.0.0/8.
type processFleet struct {
	t         *testing.T
	program   program
	discovery *standin.Discovery
	endpoints [2]string // the list names the first, what is moved goes to the second
	senders   []*senderProcess

	mu          sync.Mutex
	deliveredTo map[string]int // message to the number of its endpoint
}

// senderProcess is one of them.
type senderProcess struct {
	fleet     *processFleet
	name      string
	stateDir  string // its folder
	env       []string
	cmd       *exec.Cmd
	done      chan error // gets the end of the process
	startedAt time.Time

	mu           sync.Mutex
	addr         string
	readyAfter   time.Duration // from its start
	generation   int64         // of the newest list that its log names
	generationAt time.Time     // and when it did
	logTail      []string      // of the log
}

func newProcessFleet(t *testing.T, p program, senders, entries, memory int) *processFleet {
	t.Helper()
	f := &processFleet{t: t, program: p, deliveredTo: map[string]int{}}
	for i := range f.endpoints {
		ln := f.listen(fmt.Sprintf("127.0.0.%d:0", i+2))
		f.endpoints[i] = ln.Addr().String()
		go standin.ServeEndpoint(ln, func(x standin.Delivery) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.deliveredTo[x.ID] = i + 1
		})
	}
	rows := listRows(entries)
	for i := range rows { // each has an address of its own; those that messages go to are the first endpoint
		rows[i].HostPort = fmt.Sprintf("127.%d.%d.%d:6379", 64+i>>16&63, i>>8&255, i&255)
	}
	for _, i := range []int{1, 2, 3, entries / 2, entries/2 + 1, entries/2 + 2} {
		rows[i].HostPort = f.endpoints[0]
	}
	f.discovery = standin.New(standin.Config{Rows: rows, Generation: 1000})
	f.discovery.ListSize() // the text is there when the first calls come
	dir := t.TempDir()
	for i := range senders {
		name := fmt.Sprintf("n%d", i)
		ln := f.listen("127.0.0.1:0")
		go f.discovery.Serve(ln, name)
		state, config := filepath.Join(dir, name), filepath.Join(dir, name+".json")
		if err := os.Mkdir(state, 0o700); err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":%d,"sockets":1024,"disk_mb":%d},"settings":%s}`,
			name, ln.Addr(), i+1, memory, diskLimitMB, settingsJSON(senders))
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f.senders = append(f.senders, &senderProcess{fleet: f, name: name, stateDir: state, env: append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_LISTEN=127.0.0.1:0",
			"BALANCER_DISCOVERY="+ln.Addr().String(), "BALANCER_STATE="+state, "BALANCER_CONFIG="+config)})
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

// readLogLine reads a line of the log.
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
		if gen, err := strconv.ParseInt(logField(line, "generation"), 10, 64); err == nil && gen > s.generation {
			s.generation, s.generationAt = gen, time.Now()
		}
	}
}

func logField(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// kill ends the process at once and waits for its end. What is in its folder stays.
func (s *senderProcess) kill() {
	if s.cmd == nil {
		return
	}
	s.cmd.Process.Kill()
	<-s.done
	s.cmd = nil
}

// resourceUsage is the most memory that the process has had at once, in bytes, and its processor time so far.
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

// folderBytes is the size of what the sender keeps, in bytes, each file in whole 512 of them.
func (s *senderProcess) folderBytes() (size float64) {
	s.fleet.t.Helper()
	files, err := os.ReadDir(s.stateDir)
	if err != nil {
		s.fleet.t.Fatal(err)
	}
	for _, x := range files {
		if info, err := x.Info(); err == nil { // one that is gone meanwhile counts for nothing
			size += float64((info.Size() + 511) / 512 * 512)
		}
	}
	return size
}

// putMessage hands a message in and returns the answer.
func (s *senderProcess) putMessage(id string, dest int) (string, error) {
	s.mu.Lock()
	addr := s.addr
	s.mu.Unlock()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	var b strings.Builder
	args := []string{"MSG.PUT", "0000", id, fmt.Sprintf("c=safe,t=acme,d=8000,dest=%d", dest), "body"}
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}

// waitFor waits until all senders meet a condition, for so long at most, and returns how many do not.
func (f *processFleet) waitFor(limit time.Duration, met func(s *senderProcess) bool) (left int) {
	for over := time.Now().Add(limit); ; time.Sleep(2 * time.Millisecond) {
		left = 0
		for _, s := range f.senders {
			s.mu.Lock()
			if !met(s) {
				left++
			}
			s.mu.Unlock()
		}
		if left == 0 || time.Now().After(over) {
			return left
		}
	}
}

func (f *processFleet) waitReady() {
	f.t.Helper()
	if left := f.waitFor(waitLimit, func(s *senderProcess) bool { return s.addr != "" }); left > 0 {
		f.t.Fatalf("%s: %d processes are not ready: %v", f.program.name, left, f.logTails())
	}
}

// waitForList waits until all have the version in force and returns how long that took at the slowest since a time; false
// if some do not get it.
func (f *processFleet) waitForList(gen int64, since func(s *senderProcess) time.Time, limit time.Duration) (slowest time.Duration, ok bool) {
	left := f.waitFor(limit, func(s *senderProcess) bool { return s.generation >= gen })
	for _, s := range f.senders {
		s.mu.Lock()
		slowest = max(slowest, s.generationAt.Sub(since(s)))
		s.mu.Unlock()
	}
	return slowest, left == 0
}

func (f *processFleet) logTails() (out []string) {
	for _, s := range f.senders {
		s.mu.Lock()
		out = append(out, s.name+": "+strings.Join(s.logTail, " | "))
		s.mu.Unlock()
	}
	return out[:min(len(out), 3)]
}

// sendToAll hands one message for a destination to each sender and says how many came to an endpoint within the limit.
func (f *processFleet) sendToAll(what string, dest, endpoint int, limit time.Duration) (came int, err error) {
	var wrong error
	for _, s := range f.senders {
		answer, err := s.putMessage(fmt.Sprintf("%s-%s", what, s.name), dest)
		if err != nil || answer != "+OK" {
			wrong = errors.Join(wrong, fmt.Errorf("%s: answer %q, %w", s.name, answer, err))
		}
	}
	for over := time.Now().Add(limit); ; time.Sleep(2 * time.Millisecond) {
		came = 0
		f.mu.Lock()
		for _, s := range f.senders {
			if f.deliveredTo[fmt.Sprintf("%s-%s", what, s.name)] == endpoint {
				came++
			}
		}
		f.mu.Unlock()
		if came == len(f.senders) || time.Now().After(over) {
			return came, wrong
		}
	}
}

// processResult is what the processes showed, and what hollow senders did on the same course.
type processResult struct {
	program                            string
	senders, entries                   int
	servesList                         bool            // all have got the list, and messages come where it says
	readyAfterStart, readyAfterRestart time.Duration   // at the slowest: ready after a first start, and after a restart
	listAfterStart, listAfterRestart   time.Duration   // the list in force after a first start, and after a restart
	slowestChange                      time.Duration   // a change in force at the slowest, of three
	startTraffic                       standin.Traffic // of all senders: from the first start through three changes ...
	restartTraffic                     standin.Traffic // ... and from the restart through one change
	folderBytes                        float64         // what the first life left on disk, in bytes
	peakBytes, peakBytesAfterRestart   float64         // memory of the process with the most, in bytes, in both lives
	cpuTime, cpuTimeAfterRestart       time.Duration   // processor time of the process with the most, in both lives
	simulatedStartTraffic              standin.Traffic
	simulatedRestartTraffic            standin.Traffic
	simulatedSlowestChange             time.Duration
}

// runProcesses has real processes start, take three changes, be killed, start again and take one more.
func runProcesses(t *testing.T, p program, senders, entries int) *processResult {
	t.Helper()
	r := &processResult{program: p.name, senders: senders, entries: entries}
	f := newProcessFleet(t, p, senders, entries, memoryLimitMB(entries))
	begun := func(s *senderProcess) time.Time { return s.startedAt }
	ready := func() (most time.Duration) {
		for _, s := range f.senders {
			s.mu.Lock()
			most = max(most, s.readyAfter)
			s.mu.Unlock()
		}
		return most
	}
	usage := func() (peak float64, cpu time.Duration) {
		for _, s := range f.senders {
			m, c := s.resourceUsage()
			peak, cpu = max(peak, m), max(cpu, c)
		}
		return peak, cpu
	}
	change := func(dest int) time.Duration {
		row := f.discovery.Row(dest)
		row.HostPort = f.endpoints[1]
		at := time.Now()
		gen := f.discovery.Set(row)
		took, ok := f.waitForList(gen, func(*senderProcess) time.Time { return at }, waitLimit)
		if !ok {
			t.Errorf("%s, %d entries: a change is not in force at all after %v: %v", p.name, entries, waitLimit, f.logTails())
		}
		what := fmt.Sprintf("m%d", dest)
		if came, err := f.sendToAll(what, dest, 2, 5*time.Second); came < senders || err != nil {
			t.Errorf("%s, %d entries: %d of %d messages came where the changed list says, %v", p.name, entries, came, senders, err)
		}
		return took
	}

	for _, s := range f.senders {
		s.start()
	}
	f.waitReady()
	r.readyAfterStart = ready()
	limit := waitLimit
	if p.name == "before" && entries > 20_000 {
		limit = settleTime // it is known to get none
	}
	if r.listAfterStart, r.servesList = f.waitForList(f.discovery.Generation(), begun, limit); !r.servesList {
		r.startTraffic = f.discovery.Stats().Total
		r.peakBytes, r.cpuTime = usage()
		came, err := f.sendToAll("none", 1, 1, time.Second)
		t.Logf("%s, %d entries: no list after %v; %d of %d messages are delivered, %v; %v", p.name, entries, limit, came, senders, err, f.logTails())
		return r
	}
	if came, err := f.sendToAll("first", 1, 1, 5*time.Second); came < senders || err != nil {
		t.Errorf("%s, %d entries: %d of %d messages came, %v", p.name, entries, came, senders, err)
	}
	time.Sleep(settleTime - time.Second)
	for i := range 3 {
		r.slowestChange = max(r.slowestChange, change(entries/2+i))
	}
	r.startTraffic = f.discovery.Stats().Total
	r.peakBytes, r.cpuTime = usage()

	for _, s := range f.senders {
		s.kill()
	}
	for _, s := range f.senders {
		r.folderBytes = max(r.folderBytes, s.folderBytes())
	}
	time.Sleep(600 * time.Millisecond)
	f.discovery.ResetStats()
	row := f.discovery.Row(2)
	row.HostPort = f.endpoints[1]
	gen := f.discovery.Set(row) // while they are away
	for _, s := range f.senders {
		s.start()
	}
	f.waitReady()
	r.readyAfterRestart = ready()
	var ok bool
	if r.listAfterRestart, ok = f.waitForList(gen, begun, waitLimit); !ok {
		t.Errorf("%s, %d entries: no list after the restart: %v", p.name, entries, f.logTails())
	}
	if came, err := f.sendToAll("again", 2, 2, 5*time.Second); came < senders || err != nil {
		t.Errorf("%s, %d entries: after the restart %d of %d messages came where the list says, %v", p.name, entries, came, senders, err)
	}
	r.slowestChange = max(r.slowestChange, change(3))
	r.restartTraffic = f.discovery.Stats().Total
	r.peakBytesAfterRestart, r.cpuTimeAfterRestart = usage()
	return r
}

// runSimulated is the same with hollow senders; they say nothing of memory and take no time to read.
func (r *processResult) runSimulated(t *testing.T) {
	t.Helper()
	runListScenario(t, r.senders, r.entries, func(f *listFleet, _ *listResult) {
		wait := func(c *listChange) { f.waitUntil(func() bool { return len(c.pending) == 0 }) }
		for _, s := range f.senders {
			s.start(-1, false)
		}
		f.waitUntil(func() bool {
			return !slices.ContainsFunc(f.senders, func(s *listSender) bool { return s.generation == 0 })
		})
		time.Sleep(settleTime - time.Second)
		for i := range 3 {
			wait(f.changeEntry(f.discovery, r.entries/2+i))
		}
		r.simulatedStartTraffic = f.discovery.Stats().Total
		for _, s := range f.senders {
			s.kill()
		}
		time.Sleep(600 * time.Millisecond)
		f.discovery.ResetStats()
		c := f.changeEntry(f.discovery, 2)
		for _, s := range f.senders {
			s.start(s.generation, true)
		}
		wait(c)
		wait(f.changeEntry(f.discovery, 3))
		r.simulatedRestartTraffic = f.discovery.Stats().Total
		r.simulatedSlowestChange = f.slowestChange("hollow")
	})
}

// Real processes, this version and an earlier one, beside hollow senders.
func TestScaleProcesses(t *testing.T) {
	skipUnlessLarge(t)
	plan := map[string][][2]int{ // senders and entries
		"after":  {{40, 1000}, {20, 5000}, {20, 20_000}, {8, 40_000}, {4, 100_000}, {2, 200_000}},
		"before": {{8, 1000}, {8, 5000}, {8, 20_000}, {4, 40_000}, {2, 100_000}},
	}
	if testing.Short() {
		plan = map[string][][2]int{"after": {{8, 1000}, {4, 20_000}}, "before": {{4, 1000}, {2, 40_000}}}
	}
	for _, p := range programsToRun(t) {
		var results []*processResult
		for _, x := range plan[p.name] {
			r := runProcesses(t, p, x[0], x[1])
			if p.name == "after" {
				r.runSimulated(t)
			}
			results = append(results, r)
			t.Logf("%s, %d processes, %d entries: serves %v; ready %v and %v, list in force %v and %v, a change %v; first life %+v, second %+v; "+
				"peak %.4g and %.4g MB, folder %.4g MB, processor %v and %v; hollow: change %v, first life %+v, second %+v", r.program, r.senders, r.entries, r.servesList,
				r.readyAfterStart, r.readyAfterRestart, r.listAfterStart, r.listAfterRestart, r.slowestChange, r.startTraffic, r.restartTraffic, r.peakBytes/1e6, r.peakBytesAfterRestart/1e6, r.folderBytes/1e6, r.cpuTime, r.cpuTimeAfterRestart,
				r.simulatedSlowestChange, r.simulatedStartTraffic, r.simulatedRestartTraffic)
			r.check(t)
		}
		reportProcesses(p.name, results)
	}
}

// A list that the memory has no room for: the process says so, asks again with growing pauses, and holds no more for it.
func TestScaleProcessRefusesList(t *testing.T) {
	skipUnlessLarge(t)
	const (
		span   = 10 * time.Second
		memory = 96 // MB
	)
	f := newProcessFleet(t, currentProgram(t), 1, TargetEntries, memory)
	s := f.senders[0]
	s.start()
	f.waitReady()
	time.Sleep(span)
	seen := f.discovery.Stats()
	peak, cpu := s.resourceUsage()
	tails := strings.Join(f.logTails(), " ")
	if most := int64(span.Minutes()*60 + 5); seen.Total.Calls > most || !strings.Contains(tails, "too large") || peak > 64e6 {
		t.Errorf("%d calls in %v, at most %d; peak %.4g MB; log %s", seen.Total.Calls, span, most, peak/1e6, tails)
	}
	report.AddFact(Fact{Name: fmt.Sprintf("process of %d MB, a list of %d entries that it has no room for: calls a minute", memory, TargetEntries),
		Unit: "calls", Value: float64(seen.Total.Calls) / span.Minutes(), Limit: 60,
		Note: fmt.Sprintf("%.3g MB sent to it, peak %.4g MB, processor time %v", float64(seen.Total.BytesOut)/1e6, peak/1e6, cpu)})
}

// check holds this version's processes to the target, and to what hollow senders say.
func (r *processResult) check(t *testing.T) {
	t.Helper()
	if r.program != "after" {
		return
	}
	what := fmt.Sprintf("%d processes, %d entries", r.senders, r.entries)
	if !r.servesList {
		t.Errorf("%s: no list", what)
		return
	}
	if r.slowestChange > inForceLimit || r.simulatedSlowestChange > inForceLimit {
		t.Errorf("%s: a change in force after %v, hollow %v", what, r.slowestChange, r.simulatedSlowestChange)
	}
	if most := 10 * time.Second; r.readyAfterStart > most || r.readyAfterRestart > most {
		t.Errorf("%s: ready after %v and %v", what, r.readyAfterStart, r.readyAfterRestart)
	}
	if r.entries <= TargetDestinations && max(r.peakBytes, r.peakBytesAfterRestart) > ControlMemoryBytes {
		t.Errorf("%s: %.4g MB and %.4g MB at the most", what, r.peakBytes/1e6, r.peakBytesAfterRestart/1e6)
	}
	if r.startTraffic.WholeLists != int64(r.senders) || r.restartTraffic.WholeLists != 0 {
		t.Errorf("%s: %d whole lists at the first start, %d at the restart", what, r.startTraffic.WholeLists, r.restartTraffic.WholeLists)
	}
	// Headers differ a little, and so does how many watches a second of real time has room for.
	for _, x := range []struct {
		life         string
		real, hollow standin.Traffic
	}{{"first", r.startTraffic, r.simulatedStartTraffic}, {"second", r.restartTraffic, r.simulatedRestartTraffic}} {
		if lo, hi := 0.8*float64(x.hollow.Bytes())-3000, 1.25*float64(x.hollow.Bytes())+float64(r.senders)*3000; float64(x.real.Bytes()) < lo || float64(x.real.Bytes()) > hi {
			t.Errorf("%s, %s life: %d bytes, hollow %d", what, x.life, x.real.Bytes(), x.hollow.Bytes())
		}
	}
}

func reportProcesses(name string, results []*processResult) {
	add := func(what, unit string, target, limit float64, y func(r *processResult) (float64, bool)) {
		s := Series{Name: "processes, " + name + ": " + what, XUnit: "entries", YUnit: unit}
		if name == "after" { // what does not serve the target's list says nothing of it
			s.TargetX, s.Limit = target, limit
		}
		for _, r := range results {
			if v, ok := y(r); ok {
				s.Points = append(s.Points, Point{X: float64(r.entries), Y: v})
			}
		}
		report.AddSeries(s)
	}
	each := func(r *processResult, n int64) float64 { return float64(n) / float64(r.senders) }
	add("peak memory, first life", "MB", TargetDestinations, ControlMemoryBytes/1e6, func(r *processResult) (float64, bool) { return r.peakBytes / 1e6, true })
	add("calls of a process, first life", "calls", 0, 0, func(r *processResult) (float64, bool) { return each(r, r.startTraffic.Calls), true })
	add("bytes of a process, first life", "MB", 0, 0, func(r *processResult) (float64, bool) { return each(r, r.startTraffic.Bytes()) / 1e6, true })
	add("processor time, first life", "s", 0, 0, func(r *processResult) (float64, bool) { return r.cpuTime.Seconds(), true })
	add("ready after a first start", "s", TargetDestinations, 10, func(r *processResult) (float64, bool) { return r.readyAfterStart.Seconds(), true })
	add("list in force after a first start", "s", TargetDestinations, 0, func(r *processResult) (float64, bool) { return r.listAfterStart.Seconds(), r.servesList })
	add("a change in force at all", "s", TargetDestinations, TargetInForceSeconds, func(r *processResult) (float64, bool) { return r.slowestChange.Seconds(), r.servesList })
	add("folder", "MB", TargetDestinations, 0, func(r *processResult) (float64, bool) { return r.folderBytes / 1e6, r.servesList })
	add("peak memory, second life", "MB", TargetDestinations, ControlMemoryBytes/1e6, func(r *processResult) (float64, bool) { return r.peakBytesAfterRestart / 1e6, r.servesList })
	add("bytes of a process, second life", "MB", 0, 0, func(r *processResult) (float64, bool) { return each(r, r.restartTraffic.Bytes()) / 1e6, r.servesList })
	add("processor time, second life", "s", 0, 0, func(r *processResult) (float64, bool) { return r.cpuTimeAfterRestart.Seconds(), r.servesList })
	add("ready after a restart", "s", TargetDestinations, 10, func(r *processResult) (float64, bool) { return r.readyAfterRestart.Seconds(), r.servesList })
	add("list in force after a restart", "s", TargetDestinations, 0, func(r *processResult) (float64, bool) { return r.listAfterRestart.Seconds(), r.servesList })
	if name == "after" {
		add("bytes of a hollow sender, first life", "MB", 0, 0, func(r *processResult) (float64, bool) { return each(r, r.simulatedStartTraffic.Bytes()) / 1e6, true })
		add("bytes of a hollow sender, second life", "MB", 0, 0, func(r *processResult) (float64, bool) { return each(r, r.simulatedRestartTraffic.Bytes()) / 1e6, true })
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
