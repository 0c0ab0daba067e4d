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
	binaries = flag.String("scale.bin", "", "programs to run, as after=PATH,before=PATH; empty builds them")
	before   = flag.String("scale.before", "3ba56aa", "commit of the earlier version that runs beside this one; empty for none")
)

const (
	patience   = 20 * time.Second // for what must come
	settleTime = 4 * time.Second  // from the list at all until what follows
	diskLimit  = 64               // MB of its folder
)

// program is a version of the sender.
type program struct {
	name string // after or before
	path string
}

// named are the programs that the flag names.
func named(t *testing.T) (list []program) {
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

// thisVersion is the program of this version.
func thisVersion(t *testing.T) program {
	t.Helper()
	for _, p := range named(t) {
		if p.name == "after" {
			return p
		}
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	return program{"after", build(t, root, filepath.Join(t.TempDir(), "after"))}
}

// programs are those that the flags name: this version, and an earlier one out of the history.
func programs(t *testing.T) (list []program) {
	t.Helper()
	if list = named(t); len(list) > 0 {
		return list
	}
	list = append(list, thisVersion(t))
	if *before == "" {
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
	archive := exec.Command("git", "-C", root, "archive", *before)
	var out, says bytes.Buffer
	archive.Stdout, archive.Stderr = &out, &says
	if err := archive.Run(); err != nil {
		t.Errorf("the earlier version is not run: git archive %s: %v, %s", *before, err, says.String())
		return list
	}
	tar := exec.Command("tar", "-x", "-C", source)
	tar.Stdin = &out
	if text, err := tar.CombinedOutput(); err != nil {
		t.Fatalf("tar: %v, %s", err, text)
	}
	return append(list, program{"before", build(t, source, filepath.Join(dir, "before"))})
}

func build(t *testing.T, root, path string) string {
	t.Helper()
	cmd := exec.Command("go", "build", "-o", path, "./cmd/cometrack")
	cmd.Dir = root
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build in %s: %v\n%s", root, err, text)
	}
	return path
}

// realFleet is some real processes and what they talk with, on 127.0.0.0/8.
type realFleet struct {
	t         *testing.T
	program   program
	disc      *standin.Discovery
	endpoints [2]string // the list names the first, what is moved goes to the second
	senders   []*realSender

	mu  sync.Mutex
	got map[string]int // message to the number of its endpoint
}

// realSender is one of them.
type realSender struct {
	f       *realFleet
	name    string
	state   string // its folder
	env     []string
	cmd     *exec.Cmd
	done    chan error // gets the end of the process
	started time.Time

	mu    sync.Mutex
	addr  string
	ready time.Duration // from its start
	gen   int64         // of the newest list that its log names
	at    time.Time     // and when it did
	tail  []string      // of the log
}

func newRealFleet(t *testing.T, p program, senders, entries, memory int) *realFleet {
	t.Helper()
	f := &realFleet{t: t, program: p, got: map[string]int{}}
	for i := range f.endpoints {
		ln := f.listen(fmt.Sprintf("127.0.0.%d:0", i+2))
		f.endpoints[i] = ln.Addr().String()
		go standin.ServeEndpoint(ln, func(x standin.Delivery) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.got[x.ID] = i + 1
		})
	}
	rows := listRows(entries)
	for i := range rows { // each has an address of its own; those that messages go to are the first endpoint
		rows[i].HostPort = fmt.Sprintf("127.%d.%d.%d:6379", 64+i>>16&63, i>>8&255, i&255)
	}
	for _, i := range []int{1, 2, 3, entries / 2, entries/2 + 1, entries/2 + 2} {
		rows[i].HostPort = f.endpoints[0]
	}
	f.disc = standin.New(standin.Config{Rows: rows, Generation: 1000})
	f.disc.Size() // the text is there when the first calls come
	dir := t.TempDir()
	for i := range senders {
		name := fmt.Sprintf("n%d", i)
		ln := f.listen("127.0.0.1:0")
		go f.disc.Serve(ln, name)
		state, config := filepath.Join(dir, name), filepath.Join(dir, name+".json")
		if err := os.Mkdir(state, 0o700); err != nil {
			t.Fatal(err)
		}
		text := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":%d,"sockets":1024,"disk_mb":%d},"settings":%s}`,
			name, ln.Addr(), i+1, memory, diskLimit, listSettings(senders))
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		f.senders = append(f.senders, &realSender{f: f, name: name, state: state, env: append(os.Environ(), "BALANCER_NAME="+name, "BALANCER_LISTEN=127.0.0.1:0",
			"BALANCER_DISCOVERY="+ln.Addr().String(), "BALANCER_STATE="+state, "BALANCER_CONFIG="+config)})
	}
	t.Cleanup(func() {
		for _, s := range f.senders {
			s.kill()
		}
		f.disc.Close()
	})
	return f
}

func (f *realFleet) listen(addr string) net.Listener {
	f.t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { ln.Close() })
	return ln
}

func (s *realSender) start() {
	s.f.t.Helper()
	s.cmd = exec.Command(s.f.program.path)
	s.cmd.Env = s.env
	logs, err := s.cmd.StderrPipe()
	if err != nil {
		s.f.t.Fatal(err)
	}
	s.mu.Lock()
	s.addr, s.ready, s.gen, s.at, s.tail = "", 0, 0, time.Time{}, nil
	s.mu.Unlock()
	s.started = time.Now()
	if err := s.cmd.Start(); err != nil {
		s.f.t.Fatal(err)
	}
	done, cmd, started := make(chan error, 1), s.cmd, s.started
	s.done = done
	go func() {
		lines := bufio.NewScanner(logs)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			s.hear(lines.Text(), started)
		}
		done <- cmd.Wait()
	}()
}

// hear reads a line of the log.
func (s *realSender) hear(line string, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tail = append(s.tail, line); len(s.tail) > 5 {
		s.tail = s.tail[1:]
	}
	switch {
	case strings.Contains(line, "msg=ready "):
		s.addr, s.ready = field(line, "addr"), time.Since(started)
	case strings.Contains(line, "msg=list "):
		if gen, err := strconv.ParseInt(field(line, "generation"), 10, 64); err == nil && gen > s.gen {
			s.gen, s.at = gen, time.Now()
		}
	}
}

func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// kill ends the process at once and waits for its end. What is in its folder stays.
func (s *realSender) kill() {
	if s.cmd == nil {
		return
	}
	s.cmd.Process.Kill()
	<-s.done
	s.cmd = nil
}

// usage is the most memory that the process has had at once, in bytes, and its processor time so far.
func (s *realSender) usage() (peak float64, cpu time.Duration) {
	s.f.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		s.f.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		s.f.t.Fatal(err)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
	if err != nil {
		s.f.t.Fatal(err)
	}
	_, rest, _ = strings.Cut(string(stat), ") ")
	for _, ticks := range strings.Fields(rest)[11:13] { // utime and stime, in hundredths of a second
		n, err := strconv.ParseInt(ticks, 10, 64)
		if err != nil {
			s.f.t.Fatal(err)
		}
		cpu += time.Duration(n) * 10 * time.Millisecond
	}
	return kb * 1024, cpu
}

// folder is the size of what the sender keeps, in bytes, each file in whole 512 of them.
func (s *realSender) folder() (size float64) {
	s.f.t.Helper()
	files, err := os.ReadDir(s.state)
	if err != nil {
		s.f.t.Fatal(err)
	}
	for _, x := range files {
		if info, err := x.Info(); err == nil { // one that is gone meanwhile counts for nothing
			size += float64((info.Size() + 511) / 512 * 512)
		}
	}
	return size
}

// put hands a message in and returns the answer.
func (s *realSender) put(id string, dest int) (string, error) {
	s.mu.Lock()
	addr := s.addr
	s.mu.Unlock()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
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

// await waits until all senders meet a condition, for so long at most, and returns how many do not.
func (f *realFleet) await(limit time.Duration, met func(s *realSender) bool) (left int) {
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

func (f *realFleet) awaitReady() {
	f.t.Helper()
	if left := f.await(patience, func(s *realSender) bool { return s.addr != "" }); left > 0 {
		f.t.Fatalf("%s: %d processes are not ready: %v", f.program.name, left, f.tails())
	}
}

// awaitList waits until all have the version in force and returns how long that took at the slowest since a time; false
// if some do not get it.
func (f *realFleet) awaitList(gen int64, since func(s *realSender) time.Time, limit time.Duration) (slowest time.Duration, ok bool) {
	left := f.await(limit, func(s *realSender) bool { return s.gen >= gen })
	for _, s := range f.senders {
		s.mu.Lock()
		slowest = max(slowest, s.at.Sub(since(s)))
		s.mu.Unlock()
	}
	return slowest, left == 0
}

func (f *realFleet) tails() (out []string) {
	for _, s := range f.senders {
		s.mu.Lock()
		out = append(out, s.name+": "+strings.Join(s.tail, " | "))
		s.mu.Unlock()
	}
	return out[:min(len(out), 3)]
}

// deliver hands one message for a destination to each sender and says how many came to an endpoint within the limit.
func (f *realFleet) deliver(what string, dest, endpoint int, limit time.Duration) (came int, err error) {
	var wrong error
	for _, s := range f.senders {
		answer, err := s.put(fmt.Sprintf("%s-%s", what, s.name), dest)
		if err != nil || answer != "+OK" {
			wrong = errors.Join(wrong, fmt.Errorf("%s: answer %q, %w", s.name, answer, err))
		}
	}
	for over := time.Now().Add(limit); ; time.Sleep(2 * time.Millisecond) {
		came = 0
		f.mu.Lock()
		for _, s := range f.senders {
			if f.got[fmt.Sprintf("%s-%s", what, s.name)] == endpoint {
				came++
			}
		}
		f.mu.Unlock()
		if came == len(f.senders) || time.Now().After(over) {
			return came, wrong
		}
	}
}

// realResult is what the processes showed, and what hollow senders did on the same course.
type realResult struct {
	program          string
	senders, entries int
	serves           bool          // all have got the list, and messages come where it says
	ready, again     time.Duration // at the slowest: ready after a first start, and after a restart
	whole, back      time.Duration // the list in force after a first start, and after a restart
	change           time.Duration // a change in force at the slowest, of three
	start            standin.Count // of all senders: from the first start through three changes ...
	restart          standin.Count // ... and from the restart through one change
	folder           float64       // what the first life left on disk, in bytes
	peak, peakAgain  float64       // memory of the process with the most, in bytes, in both lives
	cpu, cpuAgain    time.Duration // processor time of the process with the most, in both lives
	hollowStart      standin.Count
	hollowRestart    standin.Count
	hollowChange     time.Duration
}

// course has real processes start, take three changes, be killed, start again and take one more.
func course(t *testing.T, p program, senders, entries int) *realResult {
	t.Helper()
	r := &realResult{program: p.name, senders: senders, entries: entries}
	f := newRealFleet(t, p, senders, entries, memoryOf(entries))
	begun := func(s *realSender) time.Time { return s.started }
	ready := func() (most time.Duration) {
		for _, s := range f.senders {
			s.mu.Lock()
			most = max(most, s.ready)
			s.mu.Unlock()
		}
		return most
	}
	usage := func() (peak float64, cpu time.Duration) {
		for _, s := range f.senders {
			m, c := s.usage()
			peak, cpu = max(peak, m), max(cpu, c)
		}
		return peak, cpu
	}
	change := func(dest int) time.Duration {
		row := f.disc.Row(dest)
		row.HostPort = f.endpoints[1]
		at := time.Now()
		gen := f.disc.Set(row)
		took, ok := f.awaitList(gen, func(*realSender) time.Time { return at }, patience)
		if !ok {
			t.Errorf("%s, %d entries: a change is not in force at all after %v: %v", p.name, entries, patience, f.tails())
		}
		what := fmt.Sprintf("m%d", dest)
		if came, err := f.deliver(what, dest, 2, 5*time.Second); came < senders || err != nil {
			t.Errorf("%s, %d entries: %d of %d messages came where the changed list says, %v", p.name, entries, came, senders, err)
		}
		return took
	}

	for _, s := range f.senders {
		s.start()
	}
	f.awaitReady()
	r.ready = ready()
	limit := patience
	if p.name == "before" && entries > 20_000 {
		limit = settleTime // it is known to get none
	}
	if r.whole, r.serves = f.awaitList(f.disc.Generation(), begun, limit); !r.serves {
		r.start = f.disc.Seen().Fleet
		r.peak, r.cpu = usage()
		came, err := f.deliver("none", 1, 1, time.Second)
		t.Logf("%s, %d entries: no list after %v; %d of %d messages are delivered, %v; %v", p.name, entries, limit, came, senders, err, f.tails())
		return r
	}
	if came, err := f.deliver("first", 1, 1, 5*time.Second); came < senders || err != nil {
		t.Errorf("%s, %d entries: %d of %d messages came, %v", p.name, entries, came, senders, err)
	}
	time.Sleep(settleTime - time.Second)
	for i := range 3 {
		r.change = max(r.change, change(entries/2+i))
	}
	r.start = f.disc.Seen().Fleet
	r.peak, r.cpu = usage()

	for _, s := range f.senders {
		s.kill()
	}
	for _, s := range f.senders {
		r.folder = max(r.folder, s.folder())
	}
	time.Sleep(600 * time.Millisecond)
	f.disc.ResetCounts()
	row := f.disc.Row(2)
	row.HostPort = f.endpoints[1]
	gen := f.disc.Set(row) // while they are away
	for _, s := range f.senders {
		s.start()
	}
	f.awaitReady()
	r.again = ready()
	var ok bool
	if r.back, ok = f.awaitList(gen, begun, patience); !ok {
		t.Errorf("%s, %d entries: no list after the restart: %v", p.name, entries, f.tails())
	}
	if came, err := f.deliver("again", 2, 2, 5*time.Second); came < senders || err != nil {
		t.Errorf("%s, %d entries: after the restart %d of %d messages came where the list says, %v", p.name, entries, came, senders, err)
	}
	r.change = max(r.change, change(3))
	r.restart = f.disc.Seen().Fleet
	r.peakAgain, r.cpuAgain = usage()
	return r
}

// hollowCourse is the same with hollow senders; they say nothing of memory and take no time to read.
func (r *realResult) hollowCourse(t *testing.T) {
	t.Helper()
	listScenario(t, r.senders, r.entries, func(f *listFleet, _ *listResult) {
		wait := func(c *listChange) { f.until(func() bool { return len(c.left) == 0 }) }
		for _, s := range f.senders {
			s.start(-1, false)
		}
		f.until(func() bool {
			return !slices.ContainsFunc(f.senders, func(s *listSender) bool { return s.gen == 0 })
		})
		time.Sleep(settleTime - time.Second)
		for i := range 3 {
			wait(f.change(f.disc, r.entries/2+i))
		}
		r.hollowStart = f.disc.Seen().Fleet
		for _, s := range f.senders {
			s.kill()
		}
		time.Sleep(600 * time.Millisecond)
		f.disc.ResetCounts()
		c := f.change(f.disc, 2)
		for _, s := range f.senders {
			s.start(s.gen, true)
		}
		wait(c)
		wait(f.change(f.disc, 3))
		r.hollowRestart = f.disc.Seen().Fleet
		r.hollowChange = f.slowest("hollow")
	})
}

// Real processes, this version and an earlier one, beside hollow senders.
func TestScaleProcesses(t *testing.T) {
	needLarge(t)
	plan := map[string][][2]int{ // senders and entries
		"after":  {{40, 1000}, {20, 5000}, {20, 20_000}, {8, 40_000}, {4, 100_000}, {2, 200_000}},
		"before": {{8, 1000}, {8, 5000}, {8, 20_000}, {4, 40_000}, {2, 100_000}},
	}
	if testing.Short() {
		plan = map[string][][2]int{"after": {{8, 1000}, {4, 20_000}}, "before": {{4, 1000}, {2, 40_000}}}
	}
	for _, p := range programs(t) {
		var results []*realResult
		for _, x := range plan[p.name] {
			r := course(t, p, x[0], x[1])
			if p.name == "after" {
				r.hollowCourse(t)
			}
			results = append(results, r)
			t.Logf("%s, %d processes, %d entries: serves %v; ready %v and %v, list in force %v and %v, a change %v; first life %+v, second %+v; "+
				"peak %.4g and %.4g MB, folder %.4g MB, processor %v and %v; hollow: change %v, first life %+v, second %+v", r.program, r.senders, r.entries, r.serves,
				r.ready, r.again, r.whole, r.back, r.change, r.start, r.restart, r.peak/1e6, r.peakAgain/1e6, r.folder/1e6, r.cpu, r.cpuAgain,
				r.hollowChange, r.hollowStart, r.hollowRestart)
			r.check(t)
		}
		reportProcesses(p.name, results)
	}
}

// A list that the memory has no room for: the process says so, asks again with growing pauses, and holds no more for it.
func TestScaleProcessRefusesList(t *testing.T) {
	needLarge(t)
	const (
		span   = 10 * time.Second
		memory = 96 // MB
	)
	f := newRealFleet(t, thisVersion(t), 1, TargetEntries, memory)
	s := f.senders[0]
	s.start()
	f.awaitReady()
	time.Sleep(span)
	seen := f.disc.Seen()
	peak, cpu := s.usage()
	tails := strings.Join(f.tails(), " ")
	if most := int64(span.Minutes()*60 + 5); seen.Fleet.Calls > most || !strings.Contains(tails, "too large") || peak > 64e6 {
		t.Errorf("%d calls in %v, at most %d; peak %.4g MB; log %s", seen.Fleet.Calls, span, most, peak/1e6, tails)
	}
	report.Note(Fact{Name: fmt.Sprintf("process of %d MB, a list of %d entries that it has no room for: calls a minute", memory, TargetEntries),
		Unit: "calls", Value: float64(seen.Fleet.Calls) / span.Minutes(), Limit: 60,
		Note: fmt.Sprintf("%.3g MB sent to it, peak %.4g MB, processor time %v", float64(seen.Fleet.Out)/1e6, peak/1e6, cpu)})
}

// check holds this version's processes to the target, and to what hollow senders say.
func (r *realResult) check(t *testing.T) {
	t.Helper()
	if r.program != "after" {
		return
	}
	what := fmt.Sprintf("%d processes, %d entries", r.senders, r.entries)
	if !r.serves {
		t.Errorf("%s: no list", what)
		return
	}
	if r.change > inForce || r.hollowChange > inForce {
		t.Errorf("%s: a change in force after %v, hollow %v", what, r.change, r.hollowChange)
	}
	if most := 10 * time.Second; r.ready > most || r.again > most {
		t.Errorf("%s: ready after %v and %v", what, r.ready, r.again)
	}
	if r.entries <= TargetDestinations && max(r.peak, r.peakAgain) > ControlBytes {
		t.Errorf("%s: %.4g MB and %.4g MB at the most", what, r.peak/1e6, r.peakAgain/1e6)
	}
	if r.start.Whole != int64(r.senders) || r.restart.Whole != 0 {
		t.Errorf("%s: %d whole lists at the first start, %d at the restart", what, r.start.Whole, r.restart.Whole)
	}
	// Headers differ a little, and so does how many watches a second of real time has room for.
	for _, x := range []struct {
		life         string
		real, hollow standin.Count
	}{{"first", r.start, r.hollowStart}, {"second", r.restart, r.hollowRestart}} {
		if lo, hi := 0.8*float64(x.hollow.Bytes())-3000, 1.25*float64(x.hollow.Bytes())+float64(r.senders)*3000; float64(x.real.Bytes()) < lo || float64(x.real.Bytes()) > hi {
			t.Errorf("%s, %s life: %d bytes, hollow %d", what, x.life, x.real.Bytes(), x.hollow.Bytes())
		}
	}
}

func reportProcesses(name string, results []*realResult) {
	add := func(what, unit string, target, limit float64, y func(r *realResult) (float64, bool)) {
		s := Series{Name: "processes, " + name + ": " + what, XUnit: "entries", YUnit: unit}
		if name == "after" { // what does not serve the target's list says nothing of it
			s.TargetX, s.Limit = target, limit
		}
		for _, r := range results {
			if v, ok := y(r); ok {
				s.Points = append(s.Points, Point{X: float64(r.entries), Y: v})
			}
		}
		report.Add(s)
	}
	each := func(r *realResult, n int64) float64 { return float64(n) / float64(r.senders) }
	add("peak memory, first life", "MB", TargetDestinations, ControlBytes/1e6, func(r *realResult) (float64, bool) { return r.peak / 1e6, true })
	add("calls of a process, first life", "calls", 0, 0, func(r *realResult) (float64, bool) { return each(r, r.start.Calls), true })
	add("bytes of a process, first life", "MB", 0, 0, func(r *realResult) (float64, bool) { return each(r, r.start.Bytes()) / 1e6, true })
	add("processor time, first life", "s", 0, 0, func(r *realResult) (float64, bool) { return r.cpu.Seconds(), true })
	add("ready after a first start", "s", TargetDestinations, 10, func(r *realResult) (float64, bool) { return r.ready.Seconds(), true })
	add("list in force after a first start", "s", TargetDestinations, 0, func(r *realResult) (float64, bool) { return r.whole.Seconds(), r.serves })
	add("a change in force at all", "s", TargetDestinations, TargetInForce, func(r *realResult) (float64, bool) { return r.change.Seconds(), r.serves })
	add("folder", "MB", TargetDestinations, 0, func(r *realResult) (float64, bool) { return r.folder / 1e6, r.serves })
	add("peak memory, second life", "MB", TargetDestinations, ControlBytes/1e6, func(r *realResult) (float64, bool) { return r.peakAgain / 1e6, r.serves })
	add("bytes of a process, second life", "MB", 0, 0, func(r *realResult) (float64, bool) { return each(r, r.restart.Bytes()) / 1e6, r.serves })
	add("processor time, second life", "s", 0, 0, func(r *realResult) (float64, bool) { return r.cpuAgain.Seconds(), r.serves })
	add("ready after a restart", "s", TargetDestinations, 10, func(r *realResult) (float64, bool) { return r.again.Seconds(), r.serves })
	add("list in force after a restart", "s", TargetDestinations, 0, func(r *realResult) (float64, bool) { return r.back.Seconds(), r.serves })
	if name == "after" {
		add("bytes of a hollow sender, first life", "MB", 0, 0, func(r *realResult) (float64, bool) { return each(r, r.hollowStart.Bytes()) / 1e6, true })
		add("bytes of a hollow sender, second life", "MB", 0, 0, func(r *realResult) (float64, bool) { return each(r, r.hollowRestart.Bytes()) / 1e6, true })
		add("a change in force at all hollow senders", "s", 0, 0, func(r *realResult) (float64, bool) { return r.hollowChange.Seconds(), true })
	}
	for _, r := range results {
		serves := 0.0
		if r.serves {
			serves = 1
		}
		report.Note(Fact{Name: fmt.Sprintf("processes, %s: serves a list of %d entries", name, r.entries), Unit: "1 if so", Value: serves,
			Note: fmt.Sprintf("%d processes; %d calls and %d whole lists begun in the first life", r.senders, r.start.Calls, r.start.Whole)})
	}
}
