package node

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// previousFormatDir holds the state folder of a process of the version before the row format, and the state that it
// sent to a successor: 14 messages delivered at s-0, s-1 disabled by an operator, the call of message "out" in flight
// at s-0, message "w" rejected by s-w with a retry-after of 60 s, s-u draining. Addresses are placeholders. The tests
// move its times to the present.
const previousFormatDir = "testdata/form1"

// recordedState returns the recorded state with the times moved to the present and addresses filled in.
func recordedState(t *testing.T, addrs ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(previousFormatDir, "transfer.json"))
	if err != nil {
		t.Fatal(err)
	}
	var recorded struct{ At int64 }
	if err := json.Unmarshal(text, &recorded); err != nil {
		t.Fatal(err)
	}
	age := time.Now().UnixMicro() - recorded.At
	text = regexp.MustCompile(`17961823\d{8}`).ReplaceAllFunc(text, func(b []byte) []byte {
		at, err := strconv.ParseInt(string(b), 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return strconv.AppendInt(nil, at+age, 10)
	})
	for i, addr := range addrs {
		text = bytes.ReplaceAll(text, []byte("ADDR-"+string("ABW"[i])), []byte(addr))
	}
	return text
}

// copyRecordedDir returns a copy of the recorded state folder.
func copyRecordedDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	text, err := os.ReadFile(filepath.Join(previousFormatDir, journalFileName))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, journalFileName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// serveRecordedState stands for the recorded process: it supports the text format only, and hands the state over once
// it is requested in that format. The returned channel gets the lines that it receives.
func serveRecordedState(t *testing.T, dir string, text []byte, conns ...syscall.Conn) <-chan string {
	t.Helper()
	lock, err := lockState(dir)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := listenHandover(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close(); lock.Close() })
	received := make(chan string, 16)
	go func() {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			received <- strings.TrimSpace(line)
			if !strings.HasPrefix(line, "take 1 ") {
				conn.Close()
				continue
			}
			fds := []int{int(lock.Fd())}
			for _, x := range conns {
				raw, _ := x.SyscallConn()
				raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) })
			}
			head := binary.LittleEndian.AppendUint32(nil, uint32(len(fds)))
			conn.Write(binary.LittleEndian.AppendUint32(head, uint32(len(text))))
			conn.WriteMsgUnix([]byte{'f'}, syscall.UnixRights(fds...), nil)
			conn.Write(text)
			line, _ = bufio.NewReader(conn).ReadString('\n')
			received <- strings.TrimSpace(line)
			conn.Close()
			lock.Close()
			return
		}
	}()
	return received
}

// A process of the previous version hands over in its format, and its state is resumed: the call in flight, the wait,
// the endpoint that an operator disabled, the client's connection and the tables of the decision logic.
func TestUpgradeFromPreviousFormat(t *testing.T) {
	p, dir := newTestPlatform(t), copyRecordedDir(t)
	a, b, w := newTestEndpoint(t), newTestEndpoint(t), newTestEndpoint(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	out, err := net.Dial("tcp", a.addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(out, "POST / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: out\r\nContent-Length: 0\r\n\r\n")
	inFlight := await(t, a.calls, "call in flight")
	idle, err := net.Dial("tcp", w.addr())
	if err != nil {
		t.Fatal(err)
	}
	c := dialClient(t, ln.Addr().String())
	client, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	received := serveRecordedState(t, dir, recordedState(t, a.addr(), b.addr(), w.addr()), ln.(*net.TCPListener), out.(*net.TCPConn),
		idle.(*net.TCPConn), client.(*net.TCPConn))
	known := discovery.List{Generation: 7, Reset: true, Instances: []discovery.Instance{
		{ID: "s-0", HostPort: a.addr(), Zone: "a", Kind: "std", Destination: 1, Lifecycle: "up", Weight: 100},
		{ID: "s-1", HostPort: b.addr(), Zone: "b", Kind: "std", Destination: 1, Lifecycle: "up", Weight: 100},
		{ID: "s-w", HostPort: w.addr(), Zone: "a", Kind: "std", Destination: 2, Lifecycle: "up", Weight: 100}}}
	p.list = known
	n := startNodeWithAdmin(t, p, dir, known)
	for _, want := range []string{handoverRequestRows + " -", "take 1 -", "taken"} {
		got := await(t, received, "line of the new process")
		if got, _, _ = strings.Cut(got, "127"); strings.TrimSpace(strings.TrimSuffix(got, "-")) != strings.TrimSuffix(want, " -") {
			t.Errorf("new process sent %q, want %q", got, want)
		}
	}
	out.Close()
	idle.Close()
	client.Close()
	if n.addr != ln.Addr().String() {
		t.Errorf("new process listens at %s, want %s", n.addr, ln.Addr())
	}
	inFlight.reply(200)
	time.Sleep(reusableAfter)
	c.put("out", "unsafe", "+OK") // a known id
	c.put("new", "unsafe", "+OK")
	next := await(t, a.calls, "call on the connection that was handed over")
	if next.id() != "new" || next.conn != inFlight.conn {
		t.Errorf("call with message %s, want new on the connection of the first call", next.id())
	}
	next.reply(200)
	if got := c.do("MSG.PUT", "0", "w2", "c=unsafe,d=600,dest=2", "x"); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	if x := await(t, p.notices, "notice"); x.ID != "w2" || x.State != "returned" {
		t.Errorf("notice %+v, want that w2 is returned because of the wait", x)
	}
	w.expectNoCall(t)
	b.expectNoCall(t)
	expectOperatorAnswer(t, n.admin.address().String(), "enable-server s-1", "ok")
}

// The state in the text format is the same as the one that the previous version sends, field by field.
func TestStateInPreviousFormatIsUnchanged(t *testing.T) {
	text := recordedState(t)
	var want, got map[string]any
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	var previous takeover
	if err := json.Unmarshal(text, &previous.stateTransfer); err != nil {
		t.Fatal(err)
	}
	n, err := New(newLargeConfig(t), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if n.sender, err = logic.Resume(n.cfg.Deployment.Settings, 1, previous.Module); err != nil {
		t.Fatal(err)
	}
	for name, id := range previous.IDs {
		x := previous.Targets[id]
		n.directory.Adopt(name, id, discovery.Target{Address: x.Addr, ZoneIndex: x.Zone, Destination: x.Dest, KindIndex: x.Kind})
	}
	state, _, _ := n.packState(false)
	state.At, state.Clock, state.Generation, state.Discovery = previous.At, previous.Clock, previous.Generation, previous.Discovery
	// What follows is not part of the decision logic.
	state.Recent, state.Held, state.Calls, state.Idle, state.Clients = previous.Recent, previous.Held, previous.Calls, previous.Idle, previous.Clients
	again, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(again, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("state\n%s\nwant\n%s", again, text)
	}
}

// The state folder alone, after the death of a process of the previous version: its journal is read and its messages
// end with notices.
func TestStateFolderOfPreviousFormat(t *testing.T) {
	p, dir := newTestPlatform(t), copyRecordedDir(t)
	known := discovery.List{Generation: 7, Reset: true, Instances: instancesOf(newTestEndpoint(t))}
	p.list = known
	n := startNodeWithAdmin(t, p, dir, known)
	got := map[string]string{}
	for range 2 {
		x := await(t, p.notices, "notice")
		got[x.ID] = x.State
	}
	if got["out"] != "failed" || got["w"] != "returned" { // both deadlines are over; out may have run
		t.Errorf("notices %v", got)
	}
	expectOperatorAnswer(t, n.admin.address().String(), "enable-server s-1", "ok")
}

// Both formats transfer the same state, and all fields of an endpoint name.
func TestTransferFormatsCarrySameState(t *testing.T) {
	owner := newLargeNode(t, 300)
	for i, name := range []string{"", "far-away", "none"} {
		owner.directory.Adopt(name, logic.EndpointID(100_000+i), discovery.Target{Address: []string{"[::1]:9", "h:1", ""}[i], ZoneIndex: -1,
			KindIndex: -1, Destination: -1 << 62})
	}
	want, err := json.Marshal(owner.sender.Save())
	if err != nil {
		t.Fatal(err)
	}
	for _, format := range []string{handoverRequestText, handoverRequestRows} {
		n, _, _ := transferState(t, owner, format)
		got, err := json.Marshal(n.sender.Save())
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: state of the decision logic differs", format)
		}
		count := 0
		for name, id := range owner.directory.Names() {
			count++
			a, _ := owner.directory.Target(id)
			if b, _ := n.directory.Target(id); a != b && a.Address != "" {
				t.Errorf("%s: %s is at %+v, want %+v", format, name, b, a)
			}
			if got, ok := n.directory.LookupID(name); !ok || got != id {
				t.Errorf("%s: %s has id %d, want %d", format, name, got, id)
			}
		}
		if got := n.nameCount(); got != count {
			t.Errorf("%s: %d names, want %d", format, got, count)
		}
	}
}

// A successor that stops reading, or that disconnects within a row, does not stall the owner for long.
func TestUpgradeSuccessorStalls(t *testing.T) {
	p, e := newTestPlatform(t), newTestEndpoint(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	for i := range 6000 { // more than a socket buffer holds
		known.Instances = append(known.Instances, discovery.Instance{ID: fmt.Sprintf("%0200d", i), HostPort: "127.0.0.1:9", Zone: "a",
			Kind: "std", Destination: int64(i + 2), Lifecycle: "up", Weight: 100})
	}
	p.list = known
	n := startNode(t, p, t.TempDir(), known)
	c := dialClient(t, n.addr)
	for _, read := range []int{8, 400_000} {
		conn, startedAt := requestStateInFormat(t, n.cfg.StateDir, handoverRequestRows), time.Now()
		for {
			_, err := io.ReadFull(conn, make([]byte, read))
			if err == nil {
				break
			}
			if time.Since(startedAt) > 2*handoverFailureDelay { // until then the owner may refuse
				t.Fatal(err)
			}
			conn.Close()
			time.Sleep(handoverRetryDelay)
			conn = requestStateInFormat(t, n.cfg.StateDir, handoverRequestRows)
		}
		if read != 8 {
			conn.Close()
		}
		id := fmt.Sprintf("a-%d", time.Now().UnixNano())
		startedAt = time.Now()
		c.put(id, "safe", "+OK")
		in := await(t, e.calls, "call")
		if took := time.Since(startedAt); took > 2*handoverStallTimeout {
			t.Errorf("message sent after %v", took)
		}
		in.reply(200)
		conn.Close()
	}
}

// A successor of the previous version, which requests the state as one text, is refused before anything is frozen if the
// text would be too large. The successor would reject such a text and request it again at once.
func TestHandoverRefusedWhenStateTooLargeForOneText(t *testing.T) {
	n, _, _, eps := startNodeWithEndpoints(t, 1)
	for i := range maxStateTextBytes/minTextBytesPerName + 1 {
		n.directory.Adopt(fmt.Sprintf("instance-%06d", i), logic.EndpointID(i+10), discovery.Target{Address: "h:1"})
	}
	c := dialClient(t, n.addr) // not before: it sends nothing for as long as the directory fills
	conn := requestStateInFormat(t, n.cfg.StateDir, handoverRequestText)
	if _, err := io.ReadFull(conn, make([]byte, 8)); err != io.EOF {
		t.Errorf("got %v, want the end of the connection", err)
	}
	c.put("a", "safe", "+OK")
	await(t, eps[0].calls, "call").reply(200)
}

// An owner of the previous version whose state text is too large is asked for it only once, since each request stalls
// it.
func TestOversizedStateTextIsRequestedOnce(t *testing.T) {
	dir := copyRecordedDir(t)
	lock, err := lockState(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	ln, err := listenHandover(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	requests := make(chan string, 64)
	go func() {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			if strings.HasPrefix(line, handoverRequestText) {
				head := binary.LittleEndian.AppendUint32(nil, 0)
				conn.Write(binary.LittleEndian.AppendUint32(head, maxStateTextBytes+1))
			}
			requests <- line[:len(handoverRequestText)]
			conn.Close()
		}
	}()
	cfg := newLargeConfig(t)
	cfg.StateDir = dir
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := n.takeOver(t.Context())
		done <- err
	}()
	textRequests := 0
	for range 6 {
		if await(t, requests, "request") == handoverRequestText {
			textRequests++
		}
	}
	if textRequests != 1 {
		t.Errorf("state requested as text %d times, want 1", textRequests)
	}
	lock.Close()
	if err := await(t, done, "takeover after the owner's end"); err != nil || n.journal == nil {
		t.Errorf("after the owner's end: %v", err)
	}
}
