package node

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/internal/socket"
	"crossdeal/logic"
)

// journaledIDs returns the ids of the messages that a stopped sender has left in its journal.
func journaledIDs(t *testing.T, dir string) (ids []string) {
	t.Helper()
	for _, e := range openJournal(t, dir, 3e6).Entries() {
		ids = append(ids, e.ID)
	}
	return ids
}

// stopWithEmptyJournal shuts a sender down and checks that its journal has no message left.
func stopWithEmptyJournal(t *testing.T, n *testNode) {
	t.Helper()
	n.stop()
	if err := await(t, n.done, "end of the sender"); err != nil {
		t.Fatal(err)
	}
	if ids := journaledIDs(t, n.cfg.StateDir); ids != nil {
		t.Errorf("messages left in the journal: %v", ids)
	}
}

func TestMessageIsDeliveredUnchanged(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	if got := c.do("PING"); got != "+PONG" {
		t.Fatalf("PING: %q", got)
	}
	c.put("a", "keyed", "+OK")
	in := await(t, e[0].calls, "call")
	if in.body != "body of a" || in.id() != "a" || in.request.Header.Get("Idempotency-Key") != "key-a" {
		t.Errorf("message was sent with changes: header %v, body %q", in.request.Header, in.body)
	}
	in.reply(200)
	stopWithEmptyJournal(t, n)
}

// A client may submit a message again when its connection was closed. The same id is one message, whether the sender
// still holds it or has delivered it.
func TestSameIDTwiceIsOneMessage(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	c.send("MSG.PUT", "0", "a", "c=safe,d=9000,dest=1", "x")
	c2 := dialClient(t, n.addr)
	c2.put("a", "safe", "+OK")
	if got := c.readLine(); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	in := await(t, e[0].calls, "call")
	c.put("a", "safe", "+OK")
	in.reply(200)
	c.put("a", "safe", "+OK")
	c.put("b", "safe", "+OK")
	if in := await(t, e[0].calls, "call"); in.id() != "b" {
		t.Fatalf("call with message %s, want b", in.id())
	} else {
		in.reply(200)
	}
	stopWithEmptyJournal(t, n)
}

// A message that the decision logic refuses in its first step is answered with -BUSY and a retry delay. It was not
// accepted, so no notice follows.
func TestMessageRefusedAtOnceGetsBusyAndNoNotice(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 1)
	c.putWithTime("late", "safe", 1, "-BUSY 2000")
	c.put("b", "safe", "+OK")
	await(t, e[0].calls, "call").reply(200)
	stopWithEmptyJournal(t, n)
	if len(p.notices) != 0 {
		t.Errorf("notice for a message that was not accepted: %v", <-p.notices)
	}
}

// A message is rejected above the limit of open messages, and when the journal has no room for it.
func TestPutIsRejectedWhenNodeOrJournalIsFull(t *testing.T) {
	p := newTestPlatform(t)
	cfg, err := ParseConfig(configText(p, discovery.List{}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	n, err := New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer n.journal.Close()
	answer := make(chan string, 1)
	put := putEvent{Message{ID: "a", Class: "safe", Destination: 1, Body: make([]byte, 100)}, answer}
	n.openMessages = cfg.Deployment.Settings.MaxOpen
	if n.handlePut(put); await(t, answer, "answer") != "-BUSY\r\n" {
		t.Error("message accepted above max_open")
	}
	n.openMessages = 0
	n.journal.limit = 500
	if n.handlePut(put); await(t, answer, "answer") != "-BUSY\r\n" {
		t.Error("message accepted without room in the journal")
	}
}

// A message that cannot be journaled is not accepted, since it would be lost with the process. Nothing of it is sent,
// and the decision logic gets the outcome of its attempt, or it would lose a slot for good.
func TestMessageIsNotAcceptedWhenJournalFails(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "later")
	n, c, _, e := startNodeWithEndpoints(t, 1, func(n *Node) {
		readOnly, err := os.Open(n.journal.file.Name()) // opened read-only, so writes fail
		if err != nil {
			t.Fatal(err)
		}
		n.journal.file.Close()
		n.journal.file, n.journal.dir, n.cfg.StateDir = readOnly, dir, dir // a rewrite fails too until dir exists
	})
	for i := range 10 { // more than the number of slots
		c.put(fmt.Sprint("x", i), "safe", "-BUSY")
	}
	e[0].expectNoCall(t)
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	c.put("a", "safe", "+OK")
	in := await(t, e[0].calls, "call")
	if in.id() != "a" {
		t.Fatalf("call with message %s, want a", in.id())
	}
	in.reply(200)
	stopWithEmptyJournal(t, n)
}

// After a retry-after the sender sends no message to the destination until the wait is over.
func TestNothingIsSentDuringRetryAfter(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	c.put("a", "safe", "+OK")
	in := await(t, e[0].calls, "call")
	const wait = 400 * time.Millisecond
	repliedAt := time.Now()
	in.reply(429, "X-Come-Back-Ms: 400")
	c.put("b", "safe", "+OK")
	for range 2 {
		in := await(t, e[0].calls, "call")
		if in.receivedAt.Sub(repliedAt) < wait {
			// b may have been sent before the response was read; this is allowed for 100 ms.
			if in.receivedAt.Sub(repliedAt) > 100*time.Millisecond {
				t.Errorf("%s was sent %v after the endpoint asked for a wait of %v", in.id(), in.receivedAt.Sub(repliedAt), wait)
			}
		}
		in.reply(200)
	}
	stopWithEmptyJournal(t, n)
}

// A rejection proves that the message did not run, so even an unsafe message is sent again. It is returned once its
// attempts are used up.
func TestUnsafeMessageIsRetriedAfterRefusals(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 1)
	c.put("full", "unsafe", "+OK")
	await(t, e[0].calls, "call").reply(503)
	await(t, e[0].calls, "second call").reply(200)
	for _, answer := range [][]string{{"503", "X-Line-Busy: 1"}, {"504"}} {
		c.put("moot"+answer[0], "unsafe", "+OK")
		status := 503
		if answer[0] == "504" {
			status = 504
		}
		for range 3 { // max_attempts
			await(t, e[0].calls, "call").reply(status, answer[1:]...)
		}
		if x := await(t, p.notices, "notice"); x.ID != "moot"+answer[0] || x.State != "returned" || x.AfterMS != 2000 {
			t.Errorf("notice %+v", x)
		}
	}
	stopWithEmptyJournal(t, n)
	e[0].expectNoCall(t)
}

// A 410 means that the message has ended elsewhere: the sender drops it without a notice.
func TestGoneStatusEndsMessageWithoutNotice(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 1)
	c.put("a", "unsafe", "+OK")
	await(t, e[0].calls, "call").reply(410)
	stopWithEmptyJournal(t, n)
	e[0].expectNoCall(t)
	if len(p.notices) != 0 {
		t.Errorf("notice %+v", <-p.notices)
	}
}

// After an error or a reset a message may have run: an unsafe message fails, others are sent again.
func TestUnsafeMessageFailsAndOthersAreRetriedAfterErrorOrReset(t *testing.T) {
	for _, how := range []string{"500", "reset"} {
		t.Run(how, func(t *testing.T) {
			n, c, p, e := startNodeWithEndpoints(t, 1)
			end := func(in *receivedCall) {
				if how == "500" {
					in.reply(500)
				} else {
					in.reset()
				}
			}
			c.put("u", "unsafe", "+OK")
			end(await(t, e[0].calls, "call"))
			if x := await(t, p.notices, "notice"); x != (Notice{ID: "u", State: "failed"}) {
				t.Errorf("notice %+v", x)
			}
			c.put("k", "keyed", "+OK")
			end(await(t, e[0].calls, "call"))
			in := await(t, e[0].calls, "second call")
			if in.id() != "k" || in.request.Header.Get("Idempotency-Key") != "key-k" {
				t.Errorf("call with %v", in.request.Header)
			}
			in.reply(200)
			stopWithEmptyJournal(t, n)
			e[0].expectNoCall(t)
		})
	}
}

// An unsafe message on an endpoint that does not respond fails at its deadline, and its call is ended.
func TestUnsafeMessageFailsAtDeadlineOnUnresponsiveEndpoint(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 1)
	c.putWithTime("u", "unsafe", 300, "+OK")
	in := await(t, e[0].calls, "call")
	if x := await(t, p.notices, "notice"); x != (Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", x)
	}
	in.awaitClose(t)
	stopWithEmptyJournal(t, n)
}

// A safe message is cancelled at an endpoint that does not respond and is sent to another one. The first call must have
// ended for the endpoint before the second begins, or both may run at the same time.
func TestSafeMessageMovesFromUnresponsiveEndpoint(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 2)
	c.put("s", "safe", "+OK")
	var first, second *receivedCall
	next := e[1]
	select {
	case first = <-e[0].calls:
	case first = <-e[1].calls:
		next = e[0]
	case <-time.After(testTimeout):
		t.Fatal("no call")
	}
	second = await(t, next.calls, "call at the other endpoint")
	first.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := first.reader.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("first call is still open: %v", err)
	}
	second.reply(200)
	stopWithEmptyJournal(t, n)
}

// awaitListRequestFrom waits until the sender has the list of a generation, which shows in its next request.
func awaitListRequestFrom(t *testing.T, p *testPlatform, generation int) {
	t.Helper()
	for !strings.HasPrefix(await(t, p.listRequests, "list request"), fmt.Sprintf("from=%d&", generation)) {
	}
}

// A draining endpoint gets no new calls. An endpoint may change its address and keep its name.
func TestDrainingEndpointGetsNothingAndAddressMayChange(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 2)
	list := instancesOf(e...)
	list[0].Lifecycle = "draining"
	p.update(func() { p.list = discovery.List{Generation: 2, Instances: list[:1]} })
	awaitListRequestFrom(t, p, 2)
	for i := range 4 {
		c.put(fmt.Sprint("m", i), "safe", "+OK")
		await(t, e[1].calls, "call").reply(200)
	}
	e[0].expectNoCall(t)
	moved := newTestEndpoint(t)
	list[1].HostPort = moved.addr()
	p.update(func() { p.list = discovery.List{Generation: 3, Instances: list[1:]} })
	awaitListRequestFrom(t, p, 3)
	c.put("m", "safe", "+OK")
	await(t, moved.calls, "call").reply(200)
	stopWithEmptyJournal(t, n)
	e[1].expectNoCall(t)
}

// With a pushed list the decision logic does not request it, and the sender still applies changes.
func TestPushedListChangesAreApplied(t *testing.T) {
	p := newTestPlatform(t)
	e := []*testEndpoint{newTestEndpoint(t), newTestEndpoint(t)}
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e...)}
	p.list = known
	text := strings.Replace(string(configText(p, known)), `"on_request"`, `"push"`, 1)
	cfg, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Deployment.Settings.ListOnRequest {
		t.Fatal("configuration does not have a pushed list")
	}
	n := startNodeWithConfig(t, cfg, t.TempDir())
	awaitListRequestFrom(t, p, 1)
	list := instancesOf(e...)
	list[0].Lifecycle = "draining"
	p.update(func() { p.list = discovery.List{Generation: 2, Instances: list[:1]} })
	awaitListRequestFrom(t, p, 2)
	c := dialClient(t, n.addr)
	for i := range 4 {
		c.put(fmt.Sprint("m", i), "safe", "+OK")
		await(t, e[1].calls, "call").reply(200)
	}
	e[0].expectNoCall(t)
	stopWithEmptyJournal(t, n)
}

// While discovery is down the sender uses the last list and repeats its request until it gets a response.
func TestLastListServesWhileDiscoveryIsDown(t *testing.T) {
	p := newTestPlatform(t)
	p.down = true
	e := newTestEndpoint(t)
	n := startNode(t, p, t.TempDir(), discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)})
	c := dialClient(t, n.addr)
	c.put("a", "safe", "+OK")
	await(t, e.calls, "call").reply(200)
	awaitListRequestFrom(t, p, 1)
	awaitListRequestFrom(t, p, 1)
	moved := newTestEndpoint(t)
	p.update(func() {
		p.down, p.list = false, discovery.List{Generation: 2, Reset: true, Instances: instancesOf(moved)}
	})
	awaitListRequestFrom(t, p, 2)
	c.put("b", "safe", "+OK")
	await(t, moved.calls, "call").reply(200)
	stopWithEmptyJournal(t, n)
}

// A truncated list is ignored: the sender keeps using the last complete list and repeats its request.
func TestTruncatedListIsIgnored(t *testing.T) {
	p := newTestPlatform(t)
	e, moved := newTestEndpoint(t), newTestEndpoint(t)
	p.truncateLists, p.list = true, discovery.List{Generation: 2, Reset: true, Instances: instancesOf(moved, moved)}
	n := startNode(t, p, t.TempDir(), discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)})
	c := dialClient(t, n.addr)
	await(t, p.listRequests, "list request")
	await(t, p.listRequests, "second list request")
	c.put("a", "safe", "+OK")
	await(t, e.calls, "call").reply(200)
	p.update(func() { p.truncateLists = false })
	awaitListRequestFrom(t, p, 2)
	c.put("b", "safe", "+OK")
	await(t, moved.calls, "call").reply(200)
	stopWithEmptyJournal(t, n)
}

// An invalid or missing value of the configuration, or a torn journal, is logged, and the sender serves all the same.
// Without a valid seed each start generates one, since senders must not act in lockstep.
func TestInvalidConfigurationIsLoggedAndNodeServes(t *testing.T) {
	p := newTestPlatform(t)
	e := newTestEndpoint(t)
	p.list = discovery.List{Generation: 2, Reset: true, Instances: instancesOf(e)}
	whole := string(configText(p, discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)}))
	seeds := map[uint64]bool{}
	for _, x := range []struct{ old, with, line string }{
		{`"balancers":1`, `"balancers":0`, "Senders of 0"}, {`"balancers":1`, `"balancers":"eighty"`, "balancers"},
		{`"balancers":1`, `"balancers":1000000000`, "Senders of 1000000000"}, {`"balancers":1,`, ``, "Senders of 0"},
		{`"call_slots":6`, `"call_slots":-1`, "Slots of -1"}, {`"max_open":8`, `"max_open":-8`, "MaxOpen of -8"},
		{`"connect_timeout_s":1.5`, `"connect_timeout_s":1e300`, "connect timeout"},
		{`"conn_idle_s":10`, `"conn_idle_s":-1e300`, "ConnIdle of"}, {`"known":{`, `"known":7,"was":{`, "known list"},
		{`"instances":[`, `"instances":["x",`, "known list"}, {`"generation":1`, `"generation":"one"`, "known list"},
		{`"zone":0`, `"zone":7`, "Zone of 7"}, {`"zones":["a","b"]`, `"zones":"a"`, "zones"}, {`"zones":["a","b"],`, ``, ""},
		{`"weights":"nominal"`, `"weights":"heavy"`, "weights"}, {`"deadline_s":16`, `"deadline_s":-16`, "Deadline of"},
		{`"idempotency":"retryable"`, `"idempotency":"maybe"`, "idempotency"}, {`"worth":1`, `"worth":-1`, "Worth of -1"},
		{`"seed":"1f"`, `"seed":"no number"`, "seed"}, {`"seed":"1f",`, ``, "seed"}, {"", "", "journal was not whole"},
	} {
		text := strings.Replace(whole, x.old, x.with, 1)
		if text == whole && x.old != "" {
			t.Fatalf("configuration does not contain %s", x.old)
		}
		cfg, err := ParseConfig([]byte(text))
		if err != nil {
			t.Errorf("%s: %v", x.with, err)
			continue
		}
		if x.line == "seed" {
			if seeds[cfg.Seed] || cfg.Seed == 0 {
				t.Errorf("%s: seed %x is 0 or was used before", x.with, cfg.Seed)
			}
			seeds[cfg.Seed] = true
		}
		dir, log := t.TempDir(), new(bytes.Buffer)
		if err := os.WriteFile(filepath.Join(dir, journalFileName), []byte("no records"), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg.StateDir = dir
		n, err := New(cfg, slog.New(slog.NewTextHandler(log, nil)))
		if err != nil {
			t.Errorf("%s: %v", x.with, err)
			continue
		}
		n.journal.Close()
		if !strings.Contains(log.String(), x.line) {
			t.Errorf("%s: no log line contains %q:\n%s", x.with, x.line, log)
		}
		sender := startNodeWithConfig(t, cfg, t.TempDir())
		dialClient(t, sender.addr).put("a", "safe", "+OK")
		await(t, e.calls, "call").reply(200)
		stopWithEmptyJournal(t, sender)
	}
}

func TestNodeServesWhileDiscoveryIsUnresponsive(t *testing.T) {
	p := newTestPlatform(t)
	p.unresponsive = true
	e := newTestEndpoint(t)
	n := startNode(t, p, t.TempDir(), discovery.List{Generation: 1, Reset: true, Instances: instancesOf(e)})
	await(t, p.listRequests, "list request")
	dialClient(t, n.addr).put("a", "safe", "+OK")
	await(t, e.calls, "call").reply(200)
	stopWithEmptyJournal(t, n)
}

// A notice is sent again until the platform has confirmed it.
func TestNoticeIsSentUntilConfirmed(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 1)
	p.update(func() { p.rejectNotices = true })
	c.put("u", "unsafe", "+OK")
	await(t, e[0].calls, "call").reply(500)
	await(t, p.rejectedNotices, "notice")
	await(t, p.rejectedNotices, "second notice")
	p.update(func() { p.rejectNotices = false })
	if x := await(t, p.notices, "notice"); x.ID != "u" || x.State != "failed" {
		t.Errorf("notice %+v", x)
	}
	stopWithEmptyJournal(t, n)
}

// A malformed request gets an error line, and other clients are not affected.
func TestMalformedRequests(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	const good = "c=safe,t=acme,d=9000,dest=1"
	for _, args := range [][]string{
		{"NONSENSE"}, {""}, {"MSG.PUT"}, {"MSG.PUT", "0", "a", good}, {"MSG.PUT", "0", "", good, "x"},
		{"MSG.PUT", "0", "a b", good, "x"}, {"MSG.PUT", "0", "a\r\nX: y", good, "x"},
		{"MSG.PUT", "0", strings.Repeat("a", 1000), good, "x"}, {"MSG.PUT", "0", "a", "", "x"},
		{"MSG.PUT", "0", "a", "c=safe,d=9000", "x"}, {"MSG.PUT", "0", "a", "c=safe,dest=1", "x"},
		{"MSG.PUT", "0", "a", "c=none,d=9000,dest=1", "x"}, {"MSG.PUT", "0", "a", "d=9000,dest=1", "x"},
		{"MSG.PUT", "0", "a", "c=safe,t=none,d=9000,dest=1", "x"}, {"MSG.PUT", "0", "a", "c=safe,d=-1,dest=1", "x"},
		{"MSG.PUT", "0", "a", "c=safe,d=1e3,dest=1", "x"}, {"MSG.PUT", "0", "a", "c=safe,d=9223372036854775807,dest=1", "x"},
		{"MSG.PUT", "0", "a", "c=safe,d=9000,dest=x", "x"}, {"MSG.PUT", "0", "a", "c=safe,d=9000,dest=-1", "x"},
		{"MSG.PUT", "0", "a", good + ",k=a\nb", "x"}, {"MSG.PUT", "9b1f03aa5c7e2d41", "a", good, "x"},
	} {
		if got := c.do(args...); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%q: got %q", args, got)
		}
	}
	if got := c.do("PING"); got != "+PONG" {
		t.Errorf("PING after malformed requests: %q", got)
	}
	for _, raw := range []string{"*1\r\n$9223372036854775807\r\n", "*1000000000\r\n", "GET / HTTP/1.1\r\n\r\n", "*1\r\n$65537\r\n"} {
		bad := dialClient(t, n.addr)
		bad.conn.Write([]byte(raw))
		if got := bad.readLine(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%q: got %q", raw, got)
		}
		if got := bad.readLine(); got != "" {
			t.Errorf("%q: connection is not closed: got %q", raw, got)
		}
	}
	half := dialClient(t, n.addr)
	half.conn.Write([]byte("*5\r\n$7\r\nMSG"))
	half.conn.Close()
	body := strings.Repeat("\x00\r\n", 1<<14) // a body may contain any bytes
	if got := c.do("MSG.PUT", "0", "a", good, body); got != "+OK" {
		t.Errorf("got %q", got)
	}
	in := await(t, e[0].calls, "call")
	if in.body != body {
		t.Errorf("body was sent with changes: %d bytes, want %d", len(in.body), len(body))
	}
	in.reply(200)
	stopWithEmptyJournal(t, n)
}

// Clients that send nothing, or only a part of a request, are closed and do not keep other clients out.
func TestSilentClientsDoNotKeepOthersOut(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1, func(n *Node) { n.clients.maxConns = 4 })
	c.put("a", "safe", "+OK")
	await(t, e[0].calls, "call").reply(200)
	silent, half := dialClient(t, n.addr), dialClient(t, n.addr)
	half.conn.Write([]byte("*5\r\n$7\r\nMSG"))
	if got := c.do("PING"); got != "+PONG" { // both are in the table by now, or get there before the next client
		t.Fatalf("got %q", got)
	}
	for i := range 8 {
		dialClient(t, n.addr)
		x := dialClient(t, n.addr)
		x.put(fmt.Sprint("m", i), "safe", "+OK")
		await(t, e[0].calls, "call").reply(200)
		x.conn.Close()
	}
	if got := silent.readLine(); got != "" {
		t.Errorf("silent client got %q", got)
	}
	if got := half.readLine(); got != "" && !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("client with a partial request got %q", got)
	}
	stopWithEmptyJournal(t, n)
}

// A request that arrives just before the sender closes its connections is answered, since its client expects an answer.
func TestRequestBeforeCloseIsAnsweredAtShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := dialClient(t, ln.Addr().String())
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c.send("PING")
	for stop := time.Now().Add(testTimeout); ; {
		if _, data := socket.Peek(conn); data {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("timed out waiting for the request")
		}
	}
	table := newClients(&Config{}, slog.New(slog.DiscardHandler), nil)
	cc := newClientConn(table, conn, time.Time{})
	table.closing, table.conns[conn] = true, cc
	conn.SetReadDeadline(time.Now())
	cc.serve(time.Now().Add(requestReadTimeout))
	if got := c.readLine(); got != "+PONG" {
		t.Errorf("got %q", got)
	}
	if got := c.readLine(); got != "" {
		t.Errorf("connection is not closed: got %q", got)
	}
}

// A request that was partially received when the sender began to stop is read completely and answered.
func TestPartialRequestIsReadAndAnsweredAtShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := newClients(&Config{}, slog.New(slog.DiscardHandler), nil)
	go table.serve(ln)
	c := dialClient(t, ln.Addr().String())
	io.WriteString(c.conn, "*1\r\n$4\r\n")
	for stop := time.Now().Add(testTimeout); ; {
		table.mu.Lock()
		started := false
		for _, cc := range table.conns {
			started = started || cc.state == connReading
		}
		table.mu.Unlock()
		if started {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("timed out waiting for the begin of the request")
		}
	}
	ln.Close()
	done := make(chan bool, 1)
	go func() { table.shutdown(t.Context()); done <- true }()
	for !table.isClosing() {
	}
	io.WriteString(c.conn, "PING\r\n")
	if got := c.readLine(); got != "+PONG" {
		t.Errorf("got %q", got)
	}
	if got := c.readLine(); got != "" {
		t.Errorf("connection is not closed: got %q", got)
	}
	await(t, done, "end of the shutdown")
}

// A probe is a GET request for /alive.
func TestProbeRequestsAlivePath(t *testing.T) {
	n, _, _, e := startNodeWithEndpoints(t, 1)
	n.probe(t.Context(), 1)
	in := await(t, e[0].calls, "probe")
	if in.request.URL.Path != "/alive" || in.request.Method != "GET" {
		t.Errorf("probe %s %s", in.request.Method, in.request.URL)
	}
	in.reply(200)
	stopWithEmptyJournal(t, n)
}

// A wait or a list update withholds the calls that are connecting to an affected endpoint, and no others.
func TestWaitOrDrainWithholdsOnlyConnectingCalls(t *testing.T) {
	for _, x := range []struct {
		name           string
		separateRoutes bool
		apply          func(n *Node)
		withheld       [4]bool // connecting to endpoints 1 and 2 of destination 1, to 3 of destination 2; written to 1
	}{
		{"wait, one limit", false, func(n *Node) { n.withholdCallsForWait(1) }, [4]bool{true, true, false, false}},
		{"wait, separate routes", true, func(n *Node) { n.withholdCallsForWait(1) }, [4]bool{true, false, false, false}},
		{"drain", false, func(n *Node) {
			applyList(n, discovery.List{Instances: []discovery.Instance{{ID: "b", Destination: 1, Lifecycle: "draining"}}})
		}, [4]bool{false, true, false, false}},
		{"whole list", false, func(n *Node) {
			applyList(n, discovery.List{Reset: true, Instances: []discovery.Instance{{ID: "a", Destination: 1, Lifecycle: "up"}}})
		}, [4]bool{false, true, true, false}},
		{"another address", false, func(n *Node) {
			applyList(n, discovery.List{Instances: []discovery.Instance{{ID: "b", HostPort: "h:9", Destination: 1, Lifecycle: "up"}}})
		}, [4]bool{false, true, false, false}},
		{"another destination", false, func(n *Node) {
			applyList(n, discovery.List{Instances: []discovery.Instance{{ID: "c", HostPort: "h:3", Destination: 1, Lifecycle: "up"}}})
		}, [4]bool{false, false, true, false}},
		{"as before", false, func(n *Node) {
			applyList(n, discovery.List{Instances: []discovery.Instance{{ID: "c", HostPort: "h:3", Destination: 2, Lifecycle: "up"}}})
		}, [4]bool{false, false, false, false}},
	} {
		cfg, err := ParseConfig(configText(newTestPlatform(t), discovery.List{}))
		if err != nil {
			t.Fatal(err)
		}
		cfg.StateDir = t.TempDir()
		cfg.Deployment.Settings.Kinds[0].SeparateRoutes = x.separateRoutes
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		defer n.journal.Close()
		applyList(n, discovery.List{Instances: []discovery.Instance{{ID: "a", HostPort: "h:1", Kind: "std", Destination: 1},
			{ID: "b", HostPort: "h:2", Kind: "std", Destination: 1}, {ID: "c", HostPort: "h:3", Kind: "std", Destination: 2}}})
		var calls []*call
		for i, ep := range []logic.EndpointID{1, 2, 3, 1} {
			to := n.target(ep)
			calls = append(calls, &call{endpoint: ep, addr: to.Address, destination: to.Destination, state: new(atomic.Int32)})
			n.held[fmt.Sprint("m", i)] = &heldMessage{call: calls[i], cancelCall: func(error) {}}
		}
		calls[3].state.Store(callWritten)
		x.apply(n)
		for i, c := range calls {
			if got := c.state.Load() == callWithheld; got != x.withheld[i] {
				t.Errorf("%s: call %d withheld: %v", x.name, i, got)
			}
		}
	}
}

// After a restart an unsafe message is sent again only if no attempt may have run, so each outcome must be classified
// correctly.
func TestMayHaveRunByOutcome(t *testing.T) {
	for o, want := range map[logic.Outcome]bool{logic.Completed: true, logic.Errored: true, logic.TimedOut: true,
		logic.ConnBroken: true, logic.Cancelled: true, logic.Rejected: false, logic.ConnRefused: false, logic.NotSent: false} {
		if mayHaveRun(o) != want {
			t.Errorf("outcome %d: mayHaveRun is %v", o, !want)
		}
	}
}

// The decision logic gets the load that a response reports, each field at its index. Invalid fields are skipped.
func TestLoadReportIsParsedFromAnswer(t *testing.T) {
	p := newTestPlatform(t)
	text := strings.Replace(string(configText(p, discovery.List{})), `{"how":"off","names":[]}`, `{"how":"answers","names":["x0","x1"]}`, 1)
	cfg, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.journal.Close()
	for _, x := range []struct {
		report string
		want   []float64
	}{
		{"x0=0.4,x1=25", []float64{0.4, 25}}, {"x1=25, x0=0.4", []float64{0.4, 25}}, {"x1=7", []float64{0, 7}},
		{"", nil}, {"x1=NaN,x0=-1,y=3,x2", nil},
	} {
		h := &heldMessage{message: &Message{ID: "a"}}
		n.held["a"], n.nextEvents = h, nil
		n.handleReply(replyEvent{call: &call{id: "a", endpoint: 1}, result: callResult{outcome: logic.Errored, loadReport: x.report}})
		if got := n.nextEvents[0].(logic.AttemptResult).Load; !slices.Equal(got, x.want) {
			t.Errorf("%q: load %v, want %v", x.report, got, x.want)
		}
	}
	// The report is also read from a response.
	e := newTestEndpoint(t)
	got := doInBackground(t.Context(), newTestTransport(), newTestCall(t, e.addr(), "x", testTimeout))
	await(t, e.calls, "call").reply(503, "Endpoint-Load-Metrics: x0=0,x1=3")
	if r := await(t, got, "result"); r.loadReport != "x0=0,x1=3" {
		t.Errorf("report %q", r.loadReport)
	}
}
