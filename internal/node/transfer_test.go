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

// previousFormatDir is the folder of a process of the version before the tables went row by row, and what it said to a successor:
// 14 messages delivered at s-0, s-1 taken out by an operator, the call of "out" under way at s-0, "w" told to come again
// in 60 s at s-w, s-u draining. Addresses are placeholders. Its times are moved to the present here.
const previousFormatDir = "testdata/form1"

// recordedState is what that process said, its endpoints at other addresses.
func recordedState(t *testing.T, addrs ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(previousFormatDir, "transfer.json"))
	if err != nil {
		t.Fatal(err)
	}
	var made struct{ At int64 }
	if err := json.Unmarshal(text, &made); err != nil {
		t.Fatal(err)
	}
	later := time.Now().UnixMicro() - made.At
	text = regexp.MustCompile(`17961823\d{8}`).ReplaceAllFunc(text, func(b []byte) []byte {
		at, err := strconv.ParseInt(string(b), 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return strconv.AppendInt(nil, at+later, 10)
	})
	for i, addr := range addrs {
		text = bytes.ReplaceAll(text, []byte("ADDR-"+string("ABW"[i])), []byte(addr))
	}
	return text
}

// copyRecordedDir is a copy of the folder.
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

// serveRecordedState stands for that process: it knows one form, and hands over once it is asked in that. What it was asked
// and told comes out.
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
	heard := make(chan string, 16)
	go func() {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			heard <- strings.TrimSpace(line)
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
			heard <- strings.TrimSpace(line)
			conn.Close()
			lock.Close()
			return
		}
	}()
	return heard
}

// A process of the version before hands over in its form, and its folder goes on: the call that is out, the told wait,
// what an operator took out, the client's connection and what was learned.
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
	under := await(t, a.calls, "call under way")
	idle, err := net.Dial("tcp", w.addr())
	if err != nil {
		t.Fatal(err)
	}
	c := dialClient(t, ln.Addr().String())
	client, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	heard := serveRecordedState(t, dir, recordedState(t, a.addr(), b.addr(), w.addr()), ln.(*net.TCPListener), out.(*net.TCPConn),
		idle.(*net.TCPConn), client.(*net.TCPConn))
	known := discovery.List{Generation: 7, Reset: true, Instances: []discovery.Instance{
		{ID: "s-0", HostPort: a.addr(), Zone: "a", Kind: "std", Destination: 1, Lifecycle: "up", Weight: 100},
		{ID: "s-1", HostPort: b.addr(), Zone: "b", Kind: "std", Destination: 1, Lifecycle: "up", Weight: 100},
		{ID: "s-w", HostPort: w.addr(), Zone: "a", Kind: "std", Destination: 2, Lifecycle: "up", Weight: 100}}}
	p.list = known
	n := startNodeWithAdmin(t, p, dir, known)
	for _, want := range []string{handoverRequestRows + " -", "take 1 -", "taken"} {
		got := await(t, heard, "word")
		if got, _, _ = strings.Cut(got, "127"); strings.TrimSpace(strings.TrimSuffix(got, "-")) != strings.TrimSuffix(want, " -") {
			t.Errorf("the new process said %q, want %q", got, want)
		}
	}
	out.Close()
	idle.Close()
	client.Close()
	if n.addr != ln.Addr().String() {
		t.Errorf("listens at %s, not at %s", n.addr, ln.Addr())
	}
	under.reply(200)
	c.put("out", "unsafe", "+OK") // known
	c.put("new", "unsafe", "+OK")
	next := await(t, a.calls, "call on the connection that came along")
	if next.id() != "new" || next.conn != under.conn {
		t.Errorf("call with %s", next.id())
	}
	next.reply(200)
	if got := c.do("MSG.PUT", "0", "w2", "c=unsafe,d=600,dest=2", "x"); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	if x := await(t, p.notices, "notice"); x.ID != "w2" || x.State != "returned" {
		t.Errorf("notice %+v, want that w2 is returned: the told wait still holds", x)
	}
	w.expectNoCall(t)
	b.expectNoCall(t)
	expectOperatorAnswer(t, n.admin.address().String(), "enable-server s-1", "ok")
}

// What this version says to a process of the version before is what that one would have said itself, field by field.
func TestStateInPreviousFormatIsUnchanged(t *testing.T) {
	text := recordedState(t)
	var want, got map[string]any
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	var l takeover
	if err := json.Unmarshal(text, &l.stateTransfer); err != nil {
		t.Fatal(err)
	}
	n, err := New(newLargeConfig(t), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if n.sender, err = logic.Resume(n.cfg.Deployment.Settings, 1, l.Module); err != nil {
		t.Fatal(err)
	}
	for name, id := range l.IDs {
		x := l.Targets[id]
		n.directory.Adopt(name, id, discovery.Target{Address: x.Addr, ZoneIndex: x.Zone, Destination: x.Dest, KindIndex: x.Kind})
	}
	p, _, _ := n.packState(false)
	p.At, p.Clock, p.Generation, p.Discovery = l.At, l.Clock, l.Generation, l.Discovery
	p.Recent, p.Held, p.Calls, p.Idle, p.Clients = l.Recent, l.Held, l.Calls, l.Idle, l.Clients // not of the module
	again, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(again, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("said\n%s\nwant\n%s", again, text)
	}
}

// The folder alone, after that process's death: its journal is read, and what is owed is told.
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
	if got["out"] != "failed" || got["w"] != "returned" { // their time was up long ago; out may have run
		t.Errorf("notices %v", got)
	}
	expectOperatorAnswer(t, n.admin.address().String(), "enable-server s-1", "ok")
}

// Both forms carry the same, and a name with all of its fields.
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
	for _, word := range []string{handoverRequestText, handoverRequestRows} {
		n, _, _ := transferState(t, owner, word)
		got, err := json.Marshal(n.sender.Save())
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: the module's state differs", word)
		}
		count := 0
		for name, id := range owner.directory.Names() {
			count++
			a, _ := owner.directory.Target(id)
			if b, _ := n.directory.Target(id); a != b && a.Address != "" {
				t.Errorf("%s: %s is at %+v, want %+v", word, name, b, a)
			}
			if got, ok := n.directory.LookupID(name); !ok || got != id {
				t.Errorf("%s: %s has number %d, want %d", word, name, got, id)
			}
		}
		if got := n.nameCount(); got != count {
			t.Errorf("%s: %d names, want %d", word, got, count)
		}
	}
}

// A successor that stops to read does not keep the owner from its work for long, nor does one that breaks off in a row.
func TestUpgradeSuccessorStalls(t *testing.T) {
	p, e := newTestPlatform(t), newTestEndpoint(t)
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	for i := range 6000 { // more than a socket holds
		known.Instances = append(known.Instances, discovery.Instance{ID: fmt.Sprintf("%0200d", i), HostPort: "127.0.0.1:9", Zone: "a",
			Kind: "std", Destination: int64(i + 2), Lifecycle: "up", Weight: 100})
	}
	p.list = known
	n := startNode(t, p, t.TempDir(), known)
	c := dialClient(t, n.addr)
	for _, read := range []int{8, 400_000} {
		conn, at := requestStateInFormat(t, n.cfg.StateDir, handoverRequestRows), time.Now()
		for {
			_, err := io.ReadFull(conn, make([]byte, read))
			if err == nil {
				break
			}
			if time.Since(at) > 2*handoverFailureDelay { // after one that failed the owner rests
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
		at = time.Now()
		c.put(id, "safe", "+OK")
		in := await(t, e.calls, "call")
		if took := time.Since(at); took > 2*handoverStallTimeout {
			t.Errorf("served after %v", took)
		}
		in.reply(200)
		conn.Close()
	}
}

// A process of the version before, which takes all in one text, is told no before anything is frozen where that text
// would be too long: the new one would refuse it, and ask again at once.
func TestHandoverRefusedWhenStateTooLargeForOneText(t *testing.T) {
	n, c, _, eps := startNodeWithEndpoints(t, 1)
	for i := range maxStateTextBytes/minTextBytesPerName + 1 {
		n.directory.Adopt(fmt.Sprintf("instance-%06d", i), logic.EndpointID(i+10), discovery.Target{Address: "h:1"})
	}
	conn := requestStateInFormat(t, n.cfg.StateDir, handoverRequestText)
	if _, err := io.ReadFull(conn, make([]byte, 8)); err != io.EOF {
		t.Errorf("got %v, want the end of the connection", err)
	}
	c.put("a", "safe", "+OK")
	await(t, eps[0].calls, "call").reply(200)
}

// An owner of the version before whose text is too long for one is asked for it once: it stands still meanwhile.
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
	asked := make(chan string, 64)
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
			asked <- line[:len(handoverRequestText)]
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
	texts := 0
	for range 6 {
		if await(t, asked, "word") == handoverRequestText {
			texts++
		}
	}
	if texts != 1 {
		t.Errorf("asked for the text %d times", texts)
	}
	lock.Close()
	if err := await(t, done, "owner after the other's end"); err != nil || n.journal == nil {
		t.Errorf("after the owner's end: %v", err)
	}
}
