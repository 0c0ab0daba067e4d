package node

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

const (
	// Memory limit of the sender under pressure, in MB: the least that the terms name.
	pressureMemoryMB = 32
	// Connections that a crowd of clients opens at once.
	pressureCrowd = 300
)

// startProcessWithMemory starts a sender process with one endpoint and the least memory, on a given address for clients.
func startProcessWithMemory(t *testing.T, p *testPlatform, dir string, known discovery.List, listen string) *process {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	text := bytes.Replace(configText(p, known), []byte(`"memory_mb":192`), fmt.Appendf(nil, `"memory_mb":%d`, pressureMemoryMB), 1)
	text = bytes.Replace(text, []byte(`"max_open":8`), []byte(`"max_open":1000`), 1)
	return startProcessWithConfig(t, p, dir, text, listen, exec.Command(path))
}

// memoryAndFiles returns the anonymous memory of a process and the size of the files in its folder, in bytes.
func memoryAndFiles(proc *process, dir string) (total int64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", proc.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "Anonymous:") {
			kb, _ := strconv.ParseInt(strings.Fields(line)[1], 10, 64)
			total += kb << 10
		}
	}
	_ = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}

// slowRequests are the beginnings of requests that never come to their end.
func slowRequests() []string {
	return []string{
		"*5\r\n$7\r\nMSG.PUT\r\n$4\r\n0000\r\n$3\r\nbig\r\n$24\r\nc=safe,t=acme,d=9,dest=1\r\n$65536\r\n" + strings.Repeat("x", 40_000),
		"*16\r\n" + strings.Repeat("$1\r\nx\r\n", 15),
		"*5\r\n$7\r\nMSG.PUT\r\n$4\r\n0000\r\n$3\r\nopt\r\n$60000\r\n" + strings.Repeat("a=1,", 10_000),
		"*5\r\n$7\r\n",
	}
}

// connectCrowd connects clients that stop in the middle of a request, and closes their connections at the end.
func connectCrowd(t *testing.T, addr string) {
	t.Helper()
	requests := slowRequests()
	for i := range pressureCrowd {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		go func() {
			for rest := requests[i%len(requests)]; len(rest) > 0; { // slowly
				n := min(len(rest), 4000)
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}

// Guards against a process that is over its memory limit, with its files, while hundreds of clients write slowly or stop
// in the middle of a request.
func TestCrowdOfSlowClientsStaysWithinTheMemory(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list = known
	proc := startProcessWithMemory(t, p, dir, known, "127.0.0.1:0")
	most := int64(0)
	for range 3 {
		connectCrowd(t, proc.addr)
		for range 100 {
			most = max(most, memoryAndFiles(proc, dir))
			time.Sleep(10 * time.Millisecond)
		}
	}
	t.Logf("most memory and files: %.1f MiB of %d", float64(most)/(1<<20), pressureMemoryMB)
	if most == 0 || most > pressureMemoryMB<<20 {
		t.Errorf("got %d bytes of memory and files, want at most %d MiB", most, pressureMemoryMB)
	}
	dialClient(t, proc.addr).put("after", "safe", "+OK")
}

// floodUntil sends small and unsound requests under ever new names on one connection after the other, as fast as it
// can, until stop is closed.
func floodUntil(addr string, stop <-chan struct{}) {
	for n := 0; ; {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		go io.Copy(io.Discard, conn)
		for {
			var b strings.Builder
			for range 200 {
				n++
				b.WriteString(encodeRequest("MSG.PUT", "0000", fmt.Sprintf("flood%d", n), fmt.Sprintf("c=none%d,t=t%d,d=9,dest=%d", n, n, n), ""))
				b.WriteString(encodeRequest(fmt.Sprintf("NAME%d", n)))
			}
			select {
			case <-stop:
				conn.Close()
				return
			default:
			}
			if _, err := io.WriteString(conn, b.String()); err != nil {
				break
			}
		}
		conn.Close()
	}
}

// Guards against a client's flood of small and unsound requests that holds up the answers to other clients and the
// notices of their messages, or fills the memory.
func TestFloodOfUnsoundRequestsLeavesOthersTheirAnswers(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list = known
	proc := startProcessWithMemory(t, p, dir, known, "127.0.0.1:0")
	stop := make(chan struct{})
	var flood sync.WaitGroup
	flood.Go(func() { floodUntil(proc.addr, stop) })
	const messages, timeLeft = 40, 1000 * time.Millisecond // the endpoint answers none, so each ends by a notice
	client := dialClient(t, proc.addr)
	slowestAnswer, most := time.Duration(0), int64(0)
	sent, due := map[string]time.Time{}, time.Now()
	noticedAt, noticed := map[string]time.Time{}, make(chan struct{})
	go func() {
		defer close(noticed)
		for len(noticedAt) < messages {
			select {
			case notice := <-p.notices:
				noticedAt[notice.ID] = time.Now()
			case <-time.After(testTimeout):
				return
			}
		}
	}()
	accepted := 0
	for i := range messages {
		id := fmt.Sprintf("m%d", i)
		begin := time.Now()
		answer := client.do("MSG.PUT", "0000", id, fmt.Sprintf("c=safe,t=acme,d=%d,dest=1", timeLeft.Milliseconds()), "body")
		slowestAnswer = max(slowestAnswer, time.Since(begin))
		if answer == "+OK" {
			sent[id] = begin
			accepted++
		}
		most = max(most, memoryAndFiles(proc, dir))
		due = due.Add(50 * time.Millisecond)
		time.Sleep(time.Until(due))
	}
	<-noticed
	slowestNotice := time.Duration(0)
	for id, begin := range sent {
		if noticedAt[id].IsZero() {
			t.Errorf("%s has no notice", id)
			continue
		}
		slowestNotice = max(slowestNotice, noticedAt[id].Sub(begin)-timeLeft)
	}
	close(stop)
	flood.Wait()
	t.Logf("%d of %d accepted; slowest answer %v, slowest notice %v after the message's time, most memory and files %.1f MiB",
		accepted, messages, slowestAnswer, slowestNotice, float64(most)/(1<<20))
	if slowestAnswer > clientAnswerTime {
		t.Errorf("an answer took %v, want at most %v", slowestAnswer, clientAnswerTime)
	}
	if slowestNotice > 500*time.Millisecond {
		t.Errorf("a notice came %v after its message's time, want at most 0.5 s", slowestNotice)
	}
	if most > pressureMemoryMB<<20 {
		t.Errorf("got %d bytes of memory and files, want at most %d MiB", most, pressureMemoryMB)
	}
}

// Guards against a second run of a message whose client closed its connection over unread answers and handed the same
// id in again, at the same process and at the one that an upgrade starts.
func TestMessageOfAClientThatLeftRunsOnce(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	p.list = known
	runs := map[string]int{}
	var mu sync.Mutex
	go func() {
		for call := range e.calls {
			mu.Lock()
			runs[call.id()]++
			mu.Unlock()
			call.reply(200)
		}
	}()
	proc := startProcessWithMemory(t, p, dir, known, "127.0.0.1:0")
	const messages = 60
	var batch strings.Builder
	for i := range messages {
		id := fmt.Sprintf("id%d", i)
		batch.WriteString(encodeRequest("MSG.PUT", "0000", id, fmt.Sprintf("c=unsafe,t=acme,d=10000,k=%s,dest=1", id), "body"))
	}
	leave := func(addr string, after time.Duration) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, batch.String())
		time.Sleep(after)
		conn.(*net.TCPConn).SetLinger(0) // a reset, over whatever is unread on both sides
		conn.Close()
	}
	for _, after := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 0} {
		leave(proc.addr, after)
	}
	next := startProcessWithMemory(t, p, dir, known, proc.addr)
	leave(next.addr, 500*time.Millisecond)
	leave(next.addr, 0)
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	t.Logf("%d of %d ids ran, %d more than once", len(runs), messages, twice)
	if twice > 0 {
		t.Errorf("%d of %d ids ran more than once: %v", twice, len(runs), runs)
	}
}
