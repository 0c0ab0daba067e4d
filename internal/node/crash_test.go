package node

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// copyJournal copies the journal as a crash of the sender at this moment would leave it, and returns the folder.
func copyJournal(t *testing.T, dir string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, journalFileName))
	if err != nil {
		t.Fatal(err)
	}
	copyDir := t.TempDir()
	if err := os.WriteFile(filepath.Join(copyDir, journalFileName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return copyDir
}

// After a crash while a call is connecting, nothing of it was written, so the next start sends the message, even an
// unsafe one. After a crash once the call is written it may have run. The dialer's Control function delays the
// connection.
func TestMessageIsSentAfterCrashWhileConnecting(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		dialing, release := make(chan bool), make(chan bool)
		n, c, p, e := startNodeWithEndpoints(t, 1, func(n *Node) {
			n.transport.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
				dialing <- true
				<-release
				return nil
			}
		})
		c.put("a", class, "+OK")
		await(t, dialing, "call that connects")
		connecting := copyJournal(t, n.cfg.StateDir)
		release <- true
		in := await(t, e[0].calls, "call")
		written := copyJournal(t, n.cfg.StateDir)
		in.reply(200)
		stopWithEmptyJournal(t, n)

		other := newTestEndpoint(t)
		known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(other)}
		p.update(func() { p.list = known })
		next := startNode(t, p, connecting, known)
		in = await(t, other.calls, class+" message that was not written before")
		if in.id() != "a" {
			t.Errorf("%s: call with message %s", class, in.id())
		}
		in.reply(200)
		stopWithEmptyJournal(t, next)

		next = startNode(t, p, written, known)
		if class == "unsafe" {
			if x := await(t, p.notices, "notice"); x != (Notice{ID: "a", State: "failed"}) {
				t.Errorf("notice %+v", x)
			}
		} else {
			await(t, other.calls, class+" message, sent again").reply(200)
		}
		stopWithEmptyJournal(t, next)
		other.expectNoCall(t)
		if len(p.notices) != 0 {
			t.Errorf("%s: notice %+v", class, <-p.notices)
		}
	}
}

// Each attempt counts once, whether it had to connect or not, also after a restart and a rewrite. An attempt that only
// connected has not run.
func TestJournalDistinguishesConnectingFromWritten(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("a", 10), record{Op: opConnect, ID: "a"})
	want := func(attempts int, connecting, maybeWritten, mayHaveRun bool) {
		t.Helper()
		for _, how := range []string{"as it is", "replayed", "rewritten"} {
			e := j.Entry("a")
			if e.Attempts != attempts || e.Connecting != connecting || e.MaybeWritten != maybeWritten || e.MayHaveRun != mayHaveRun {
				t.Errorf("%s: %d attempts, connecting %v, maybe written %v, may have run %v; want %d, %v, %v, %v", how, e.Attempts, e.Connecting,
					e.MaybeWritten, e.MayHaveRun, attempts, connecting, maybeWritten, mayHaveRun)
			}
			if how == "replayed" {
				if err := j.Compact(); err != nil {
					t.Fatal(err)
				}
			}
			j.Close()
			j = openJournal(t, dir, 3e6)
		}
	}
	want(1, true, false, false)
	mustAppend(t, j, record{Op: opSend, ID: "a", SentAt: 7})
	want(1, false, true, false)
	mustAppend(t, j, record{Op: opOutcome, ID: "a"})
	mustAppend(t, j, record{Op: opSend, ID: "a", SentAt: 8}) // on an idle connection
	want(2, false, true, false)
	mustAppend(t, j, record{Op: opOutcome, ID: "a", MayHaveRun: true})
	mustAppend(t, j, record{Op: opConnect, ID: "a"}, record{Op: opOutcome, ID: "a"})
	want(3, false, false, true)
	j.Close()
}

// A call that is cancelled while it waits for the permission to write, or that is denied it, is not written.
func TestCallWithoutWritePermissionIsNotSent(t *testing.T) {
	e, tr := newTestEndpoint(t), newTestTransport()
	ctx, cancel := context.WithCancel(t.Context())
	for _, allow := range []func(context.Context) bool{
		func(context.Context) bool { return false },
		func(ctx context.Context) bool { cancel(); <-ctx.Done(); return false },
	} {
		outgoing := newTestCall(t, e.addr(), "hello", testTimeout)
		outgoing.mayWrite = allow
		if r := tr.do(ctx, outgoing); r.outcome != logic.NotSent {
			t.Errorf("got %+v, want NotSent", r)
		}
	}
	e.expectNoCall(t)
}

// A crash at any byte of a write, also between a message's record and its +OK, leaves the state of the complete
// records. A partial record and a partial rewrite are dropped.
func TestJournalTruncatedAtAnyByteKeepsWholeRecords(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	var ends []int64
	for _, rec := range []record{acceptRecord("a", 10), {Op: opConnect, ID: "a"}, {Op: opSend, ID: "a"}, {Op: opOutcome, ID: "a", MayHaveRun: true},
		{Op: opEndWithNotice, ID: "a", Notice: &Notice{ID: "a", State: "failed"}}, {Op: opNoticeConfirmed, ID: "a"}} {
		mustAppend(t, j, rec)
		ends = append(ends, j.size)
	}
	whole, err := os.ReadFile(filepath.Join(dir, journalFileName))
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
	state := func(e *Entry) string {
		if e == nil {
			return "no entry"
		}
		return fmt.Sprint(e.Attempts, e.Connecting, e.MaybeWritten, e.MayHaveRun, e.EndNotice != nil)
	}
	want := []string{"no entry", "0 false false false false", "1 true false false false", "1 false true false false",
		"1 false false true false", "1 false false true true", "no entry"}
	for cut := range int64(len(whole)) + 1 {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, journalFileName), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		// A partial rewrite.
		if err := os.WriteFile(filepath.Join(dir, journalFileName+".new"), whole[cut/2:], 0o600); err != nil {
			t.Fatal(err)
		}
		records := 0
		for _, end := range ends {
			if end <= cut {
				records++
			}
		}
		j := openJournal(t, dir, 3e6)
		if got := state(j.Entry("a")); got != want[records] {
			t.Fatalf("cut at byte %d: %s, want %s", cut, got, want[records])
		}
		if _, err := os.Stat(filepath.Join(dir, journalFileName+".new")); err == nil {
			t.Fatal("partial rewrite is left")
		}
		j.Close()
	}
}

// After SIGKILL and after SIGTERM the next start sends all untried messages of the journal, with 16 s or less to their
// deadlines, although discovery does not respond. An endpoint had asked the last process for a wait, which is not kept
// over a restart.
func TestRestartSendsAllUntriedMessages(t *testing.T) {
	for _, x := range []struct {
		name string
		term bool
		ms   int
	}{{"SIGKILL", false, 16000}, {"SIGTERM", true, 16000}} {
		p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
		known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
		p.list = known
		first := startProcess(t, p, dir, known)
		c := dialClient(t, first.addr)
		c.put("told", "safe", "+OK")
		await(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
		for stop := time.Now().Add(testTimeout); ; { // until the loop has handled the response
			if j := openJournal(t, copyJournal(t, dir), 3e6); !j.Entry("told").MaybeWritten && !j.Entry("told").Connecting {
				break
			}
			if time.Now().After(stop) {
				t.Fatal("timed out waiting for the outcome in the journal")
			}
		}
		for i := range 6 {
			c.putWithTime(fmt.Sprint("m", i), []string{"safe", "keyed", "unsafe"}[i%3], x.ms, "+OK")
		}
		e.expectNoCall(t)
		if x.term {
			first.terminate()
			first.awaitExit()
		} else {
			first.kill()
		}
		p.update(func() { p.unresponsive = true })
		next := startProcess(t, p, dir, known)
		got := map[string]bool{}
		for len(got) < 7 {
			in := await(t, e.calls, fmt.Sprintf("%s: call, after %d of 7 messages", x.name, len(got)))
			got[in.id()] = true
			in.reply(200)
		}
		next.terminate()
		next.awaitExit()
		e.expectNoCall(t)
		if len(p.notices) != 0 {
			t.Errorf("%s: notice %+v", x.name, <-p.notices)
		}
	}
}

// A message whose class the settings do not name is ended: it is unknown whether it may be repeated, and it must not be
// treated as one of another class.
func TestRestartEndsMessagesOfUnknownClass(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	for _, id := range []string{"untried", "open"} {
		rec := acceptRecord(id, 10)
		rec.Entry.Class, rec.Entry.Destination, rec.Entry.Deadline = "of old", 1, time.Now().Add(testTimeout).UnixMicro()
		mustAppend(t, j, rec)
	}
	mustAppend(t, j, record{Op: opSend, ID: "open"})
	j.Close()
	p, e := newTestPlatform(t), newTestEndpoint(t)
	p.list = discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	n := startNode(t, p, dir, p.list)
	ends := map[string]string{}
	for range 2 {
		x := await(t, p.notices, "notice")
		ends[x.ID] = x.State
	}
	if ends["untried"] != "returned" || ends["open"] != "failed" {
		t.Errorf("ends %v", ends)
	}
	stopWithEmptyJournal(t, n)
	e.expectNoCall(t)
}

// A sender of a large fleet crashes with untried messages near their deadline, more than its share of the rate limit
// lets through in that time, and discovery does not respond at the next start. Each message is sent all the same.
func TestRestartSendsMessagesNearDeadline(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	p.unresponsive = true
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}
	known.Instances[0].Weight = 2
	text := string(configText(p, known))
	for old, with := range map[string]string{`"balancers":1,`: `"balancers":300,`, `"call_slots":6`: `"call_slots":24`} {
		text = strings.Replace(text, old, with, 1)
	}
	cfg, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	j := openJournal(t, dir, 3e6)
	for i := range 12 {
		rec := acceptRecord(fmt.Sprint("m", i), 10)
		rec.Entry.Class, rec.Entry.Destination = []string{"safe", "unsafe"}[i%2], 1
		rec.Entry.Deadline = time.Now().Add(2 * time.Second).UnixMicro()
		mustAppend(t, j, rec)
	}
	j.Close()
	n := startNodeWithConfig(t, cfg, dir)
	got := map[string]bool{}
	for len(got) < 12 {
		in := await(t, e.calls, fmt.Sprintf("call, after %d of 12 messages", len(got)))
		got[in.id()] = true
		in.reply(200)
	}
	stopWithEmptyJournal(t, n)
	if len(p.notices) != 0 {
		t.Errorf("notice %+v", <-p.notices)
	}
}

// BenchmarkReplay measures the replay of a journal near its limit on a disk of 3 MB, mostly records of ended messages.
func BenchmarkReplay(b *testing.B) {
	dir := b.TempDir()
	j, err := OpenJournal(dir, 3e6)
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; j.size < j.limit*9/10; i++ {
		id := fmt.Sprint("m", i)
		recs := []record{acceptRecord(id, 1000), {Op: opConnect, ID: id}, {Op: opSend, ID: id}}
		if i%10 > 0 {
			recs = append(recs, record{Op: opDone, ID: id})
		}
		if err := j.Append(recs); err != nil {
			b.Fatal(err)
		}
	}
	j.Close()
	for b.Loop() {
		j, err := OpenJournal(dir, 3e6)
		if err != nil {
			b.Fatal(err)
		}
		j.Close()
	}
}
