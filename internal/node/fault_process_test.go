package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/internal/syscallfault"
	"golang.org/x/sys/unix"
)

const (
	endLimit         = 350 * time.Millisecond // after a message's time, for its end to arrive
	restartEndLimit  = 1550 * time.Millisecond
	clientAnswerTime = 400 * time.Millisecond // a client waits this long for an answer
	maxHoldUp        = 150 * time.Millisecond // a process may be held up this long between its clock and a write
	// restartedSendLimit is the time after a start within which the messages of its journal have been sent.
	restartedSendLimit = 8 * time.Second
	timeSlack          = 50 * time.Millisecond // by which each time limit is longer on sockets
)

// faultRig is one sender whose processes run under faults of system calls.
type faultRig struct {
	t           *testing.T
	platform    *testPlatform
	endpoint    *testEndpoint
	known       discovery.List
	dir         string
	folder      *syscallfault.Folder
	clockOffset time.Duration // of the wall clock of the next process
	failingCall atomic.Int32  // number of a call that fails with ENFILE; 0 for none
	writeDelay  atomic.Int64  // of each write to a file, in nanoseconds
}

func newFaultRig(t *testing.T) *faultRig {
	t.Helper()
	if _, err := buildProgram(); err != nil { // now, and not during a fault that ends by the clock
		t.Fatal(err)
	}
	r := &faultRig{t: t, platform: newTestPlatform(t), endpoint: newTestEndpoint(t), dir: t.TempDir()}
	r.known = discovery.List{Generation: 1, Reset: true, Instances: instancesOf(r.endpoint)}
	r.platform.list = r.known
	r.folder = syscallfault.NewFolder(r.dir)
	return r
}

// start starts a process and waits until it is ready.
func (r *faultRig) start() *process {
	r.t.Helper()
	path, err := buildProgram()
	if err != nil {
		r.t.Fatal(err)
	}
	cmd := exec.Command(path)
	if err := syscallfault.UseSystemCallClock(cmd, r.t.TempDir()); err != nil {
		r.t.Fatal(err)
	}
	offset := r.clockOffset
	return startProcessBy(r.t, r.platform, r.dir, configText(r.platform, r.known), "127.0.0.1:0", cmd, func(cmd *exec.Cmd) error {
		calls := append(syscallfault.FolderCalls(), unix.SYS_CLOCK_GETTIME, unix.SYS_ACCEPT4, unix.SYS_SOCKET)
		_, err := syscallfault.Start(cmd, calls, func(call syscallfault.Call) syscallfault.Decision {
			switch call.Number {
			case unix.SYS_CLOCK_GETTIME:
				return call.AnswerClock(offset)
			case int(r.failingCall.Load()):
				return syscallfault.Decision{Errno: unix.ENFILE}
			}
			decision := r.folder.Decide(call)
			if call.Number == unix.SYS_PWRITE64 {
				decision.Delay = time.Duration(r.writeDelay.Load())
			}
			return decision
		})
		return err
	})
}

// callsUntil returns the calls that the endpoint receives until a time.
func (r *faultRig) callsUntil(end time.Time) (calls []*receivedCall) {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	for {
		select {
		case call := <-r.endpoint.calls:
			calls = append(calls, call)
		case <-timer.C:
			return calls
		}
	}
}

// A notice must not be followed by a call: while the record of an end cannot be written, a kill would bring the message
// back.
func TestMessageIsNotSentAfterItsNoticeIfTheFolderFails(t *testing.T) {
	const slowAnswer = 600 * time.Millisecond
	r := newFaultRig(t)
	x := r.start()
	c := dialClient(t, x.addr)
	for i := range 10 { // slow answers make the sender end a message without an attempt well before its time
		c.put(fmt.Sprint("slow-", i), "safe", "+OK")
		call := await(t, r.endpoint.calls, "call")
		time.Sleep(slowAnswer)
		call.reply(200)
	}
	draining := instancesOf(r.endpoint)
	draining[0].Lifecycle = "draining"
	r.platform.update(func() { r.platform.list = discovery.List{Generation: 2, Reset: true, Instances: draining} })
	await(t, r.platform.listRequests, "request for the list")
	time.Sleep(200 * time.Millisecond)
	const timeLimit = 1500 * time.Millisecond
	sentAt := time.Now()
	c.putWithTime("a", "safe", int(timeLimit.Milliseconds()), "+OK")
	r.folder.Set(syscallfault.FolderFault{Errno: syscall.ENOSPC, Partial: 0.9, Create: true})
	noticed := false
	select {
	case notice := <-r.platform.notices:
		t.Logf("notice %+v %v before the message's time", notice, time.Until(sentAt.Add(timeLimit)))
		noticed = true
	case <-time.After(time.Until(sentAt.Add(timeLimit - slowAnswer/2))):
	}
	x.kill()
	r.folder.Set(syscallfault.FolderFault{})
	r.platform.update(func() {
		r.platform.list = discovery.List{Generation: 3, Reset: true, Instances: instancesOf(r.endpoint)}
	})
	x = r.start()
	for _, call := range r.callsUntil(sentAt.Add(timeLimit + endLimit)) {
		if noticed && call.id() == "a" {
			t.Errorf("message a was sent %v after it was accepted, and after its notice", call.receivedAt.Sub(sentAt))
		}
	}
	if r.folder.Failed() == 0 {
		t.Error("no write failed: the test shows nothing")
	}
	x.kill()
}

// A client that was told -BUSY hands its message in again elsewhere: a kill must not bring back what a failed write left
// in the journal. Each client gets its answer in time, also while nothing can be cut off.
func TestRefusedMessageDoesNotReturnAfterAPartialWrite(t *testing.T) {
	for name, truncate := range map[string]bool{"truncation works": false, "truncation fails": true} {
		refused := 0
		for round := range 4 {
			r := newFaultRig(t)
			x := r.start()
			var clients []*testClient
			for range 6 {
				clients = append(clients, dialClient(t, x.addr))
			}
			clients[0].put(fmt.Sprint("first-", round), "unsafe", "+OK") // the next messages share a tick, and so a write
			r.folder.Set(syscallfault.FolderFault{Errno: syscall.ENOSPC, Partial: 0.9, Create: true, Truncate: truncate})
			answers := map[string]string{}
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i, c := range clients {
				id := fmt.Sprintf("r%d-%d", round, i)
				c.conn.SetReadDeadline(time.Now().Add(clientAnswerTime))
				wg.Go(func() {
					io.WriteString(c.conn, encodeRequest("MSG.PUT", "0000", id, "c=safe,t=acme,d=10000,k=key,dest=1", "body"))
					line, _ := c.reader.ReadString('\n')
					mu.Lock()
					defer mu.Unlock()
					answers[id] = line
				})
			}
			wg.Wait()
			x.kill()
			r.folder.Set(syscallfault.FolderFault{})
			x = r.start()
			sent := map[string]bool{}
			allSent := func() bool {
				for id, answer := range answers {
					if strings.HasPrefix(answer, "+OK") && !sent[id] {
						return false
					}
				}
				return true
			}
			for begun := time.Now(); time.Since(begun) < 500*time.Millisecond || !allSent() && time.Since(begun) < restartedSendLimit; {
				for _, call := range r.callsUntil(time.Now().Add(50 * time.Millisecond)) {
					if strings.HasPrefix(answers[call.id()], "-BUSY") {
						t.Errorf("%s: message %s was sent after -BUSY", name, call.id())
					}
					sent[call.id()] = true
					call.reply(200)
				}
			}
			for id, answer := range answers {
				switch {
				case strings.HasPrefix(answer, "-BUSY"):
					refused++
				case answer == "":
					t.Errorf("%s: the client of message %s got no answer", name, id)
				case strings.HasPrefix(answer, "+OK") && !truncate:
					t.Errorf("%s: +OK while no record could be written", name)
				case strings.HasPrefix(answer, "+OK") && !sent[id]:
					t.Errorf("%s: message %s was accepted and is lost", name, id)
				}
			}
			x.kill()
		}
		if refused == 0 {
			t.Errorf("%s: no message was refused: the test shows nothing", name)
		}
	}
}

// A folder that fails while a process starts must not end it, nor cost what the journal holds.
func TestStartWaitsForAFolderThatFails(t *testing.T) {
	const faultTime = 2400 * time.Millisecond
	r := newFaultRig(t)
	x := r.start()
	dialClient(t, x.addr).put("a", "safe", "+OK")
	await(t, r.endpoint.calls, "call")
	x.kill()
	r.folder.Set(syscallfault.FolderFault{Errno: syscall.EIO, Create: true, Truncate: true})
	faultEnd := time.AfterFunc(faultTime, func() { r.folder.Set(syscallfault.FolderFault{}) })
	defer faultEnd.Stop()
	begun := time.Now()
	x = r.start()
	if took := time.Since(begun); took > faultTime+time.Second {
		t.Errorf("ready %v after the start, with a folder that fails for %v", took, faultTime)
	}
	if call := await(t, r.endpoint.calls, "message of the journal"); call.id() != "a" {
		t.Errorf("call of message %s, want a", call.id())
	}
	x.kill()
}

// A call whose record is written late must not be written after the message's time.
func TestCallIsNotWrittenAfterItsDeadlineIfTheJournalIsSlow(t *testing.T) {
	const timeLimit = 50 * time.Millisecond
	r := newFaultRig(t)
	x := r.start()
	c := dialClient(t, x.addr)
	c.put("first", "safe", "+OK") // its connection is kept for the next call
	await(t, r.endpoint.calls, "call").reply(200)
	time.Sleep(100 * time.Millisecond)
	r.writeDelay.Store(int64(maxHoldUp))
	sentAt := time.Now()
	c.putWithTime("late", "safe", int(timeLimit.Milliseconds()), "+OK")
	for _, call := range r.callsUntil(time.Now().Add(500 * time.Millisecond)) {
		if late := call.receivedAt.Sub(sentAt) - timeLimit; late > timeSlack {
			t.Errorf("message %s was sent %v after its time", call.id(), late)
		}
	}
	x.kill()
}

// Sockets that cannot be opened for a while when a process starts must not end it.
func TestStartWaitsForSocketsThatFail(t *testing.T) {
	const faultTime = time.Second
	r := newFaultRig(t)
	r.failingCall.Store(unix.SYS_SOCKET)
	faultEnd := time.AfterFunc(faultTime, func() { r.failingCall.Store(0) })
	defer faultEnd.Stop()
	begun := time.Now()
	x := r.start()
	if took := time.Since(begun); took > faultTime+time.Second {
		t.Errorf("ready %v after the start, with sockets that fail for %v", took, faultTime)
	}
	dialClient(t, x.addr).put("a", "safe", "+OK")
	x.kill()
}

// A connection that cannot be accepted must not end the handover socket: a new version would never become ready.
func TestUpgradeAfterAcceptHasFailed(t *testing.T) {
	r := newFaultRig(t)
	first := r.start()
	r.failingCall.Store(unix.SYS_ACCEPT4)
	path, closeFolder := handoverPath(t, r.dir)
	defer closeFolder()
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	conn.Close()
	r.failingCall.Store(0)
	second := r.start() // it has another address; the handover is what matters
	second.kill()
	first.kill()
}

// handoverPath returns the path of the handover socket, which is valid until the returned function is called.
func handoverPath(t *testing.T, dir string) (path string, closeFolder func()) {
	t.Helper()
	path, folder, err := handoverSocketPath(dir)
	if err != nil {
		t.Fatal(err)
	}
	return path, func() { folder.Close() }
}

// A message's time goes on by the real time between a kill and the next start, whatever the wall clock says.
func TestMessageKeepsItsTimeIfTheWallClockIsSteppedBetweenKillAndStart(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -2 * time.Second, 2 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			const timeLimit = 4 * time.Second
			r := newFaultRig(t)
			x := r.start()
			sentAt := time.Now()
			dialClient(t, x.addr).putWithTime("a", "safe", int(timeLimit.Milliseconds()), "+OK")
			await(t, r.endpoint.calls, "call")
			x.kill()
			time.Sleep(500 * time.Millisecond)
			r.clockOffset = step
			x = r.start()
			readyAt := time.Now()
			call := await(t, r.endpoint.calls, "call after the restart")
			milliseconds, err := strconv.Atoi(call.request.Header.Get("X-Expires-In-Ms"))
			if err != nil {
				t.Fatal(err)
			}
			if timeLeft := timeLimit - call.receivedAt.Sub(sentAt); time.Duration(milliseconds)*time.Millisecond > timeLeft+maxHoldUp+timeSlack {
				t.Errorf("call that the sender waits %d ms for, and the message has %v left", milliseconds, timeLeft)
			}
			limit := sentAt.Add(timeLimit + endLimit)
			if byRestart := readyAt.Add(restartEndLimit); byRestart.After(limit) {
				limit = byRestart
			}
			select {
			case notice := <-r.platform.notices:
				if early := time.Until(sentAt.Add(timeLimit)); early > timeLimit/2 {
					t.Errorf("notice %+v %v before the message's time", notice, early)
				}
			case <-time.After(time.Until(limit)):
				t.Errorf("no notice %v after the message's time", time.Since(sentAt)-timeLimit)
			}
			x.kill()
		})
	}
}

// outcomeServer receives notices. Its first posts get no answer and are not recorded.
type outcomeServer struct {
	mu       sync.Mutex
	posts    int
	silent   int       // posts that get no answer
	onPost   func(int) // called with the number of each post
	arrivals chan noticeArrival
}

// noticeArrival is the arrival of a notice that is answered.
type noticeArrival struct {
	id string
	at time.Time
}

// serve answers requests of one connection.
func (s *outcomeServer) serve(conn net.Conn, forward string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path != "/v1/outcomes" {
			s.forward(conn, request, forward)
			return
		}
		s.mu.Lock()
		s.posts++
		number := s.posts
		s.mu.Unlock()
		s.onPost(number)
		if number <= s.silent {
			io.Copy(io.Discard, reader) // until the sender gives up
			return
		}
		for decoder := json.NewDecoder(request.Body); decoder.More(); {
			var notice Notice
			if decoder.Decode(&notice) != nil {
				return
			}
			s.arrivals <- noticeArrival{notice.ID, time.Now()}
		}
		io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	}
}

// forward passes a request for the list on to the platform, whose response ends the connection.
func (s *outcomeServer) forward(conn net.Conn, request *http.Request, address string) {
	platform, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer platform.Close()
	request.Close = true
	if request.Write(platform) == nil {
		io.Copy(conn, platform)
	}
}

// A notice arrives in time although posts on its way get no answer and the process is held up: it neither waits behind
// the post of another notice nor long for the answer to its own.
func TestNoticeArrivesInTimeDespiteSilentPostsAndAHoldUp(t *testing.T) {
	p, e := newTestPlatform(t), newTestEndpoint(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list = known
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var x *process
	s := &outcomeServer{silent: 2, arrivals: make(chan noticeArrival, 64)}
	s.onPost = func(number int) {
		if number == 2 {
			x.cmd.Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(maxHoldUp, func() { x.cmd.Process.Signal(syscall.SIGCONT) })
		}
	}
	platformAddress := strings.TrimPrefix(p.server.URL, "http://")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, platformAddress)
		}
	}()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(configText(p, known)), platformAddress, listener.Addr().String())
	x = startProcessBy(t, p, t.TempDir(), []byte(text), "127.0.0.1:0", exec.Command(path), func(cmd *exec.Cmd) error {
		cmd.Env = append(cmd.Env, "BALANCER_DISCOVERY="+listener.Addr().String())
		return cmd.Start()
	})
	deadlines := map[string]time.Time{}
	for i, timeLimit := range []time.Duration{1500 * time.Millisecond, 1600 * time.Millisecond} {
		id := fmt.Sprint("m", i)
		deadlines[id] = time.Now().Add(timeLimit)
		dialClient(t, x.addr).putWithTime(id, "unsafe", int(timeLimit.Milliseconds()), "+OK")
		await(t, e.calls, "call") // it gets no answer
	}
	arrived := map[string]bool{} // a notice may come twice
	for len(arrived) < len(deadlines) {
		arrival := await(t, s.arrivals, "notice")
		if late := arrival.at.Sub(deadlines[arrival.id]); !arrived[arrival.id] && late > endLimit {
			t.Errorf("notice of %s arrived %v after the message's time, want at most %v", arrival.id, late, endLimit)
		}
		arrived[arrival.id] = true
	}
	x.kill()
}
