package node

import (
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// clientSide is a connection whose other end is a sender's client table.
type clientSide struct {
	*client
	served net.Conn // the table's end
}

// connect makes a connection to a table without its listener, so that a test decides when it is served.
func connect(t *testing.T) clientSide {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := dial(t, ln.Addr().String())
	served, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return clientSide{c, served}
}

// answeringClients is a table whose messages are all accepted.
func answeringClients(t *testing.T) *clients {
	t.Helper()
	events := make(chan any, 8)
	cfg, err := ParseConfig([]byte(settingsOnly))
	if err != nil {
		t.Fatal(err)
	}
	c := newClients(cfg, slog.New(slog.DiscardHandler), events)
	go func() {
		for ev := range events {
			ev.(putEvent).answer <- answerOK
		}
	}()
	t.Cleanup(func() { c.wg.Wait(); close(events) })
	return c
}

const settingsOnly = `{"name":"n","settings":` + settings + `}`

// putWords is a whole request with an id.
func putWords(id string) []string { return []string{"MSG.PUT", "0", id, "c=safe,d=5000,dest=1", "x"} }

// serveSide begins to serve a connection as the listener does.
func serveSide(c *clients, conn net.Conn, first time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := newClientConn(c, conn, time.Now())
	c.conns[conn] = x
	c.start(x, first)
}

// A client makes room in the moment in which the last byte of its first request has come: the request has been read, so
// it is refused before the connection is closed.
func TestMakingRoomAnswersWhatHasCome(t *testing.T) {
	c, x := answeringClients(t), connect(t)
	serveSide(c, x.served, time.Now().Add(requestTime))
	whole := respText(putWords("a")...)
	x.conn.Write([]byte(whole[:len(whole)-3]))
	time.Sleep(stallTime + 100*time.Millisecond) // it stands still with its first request
	c.mu.Lock()
	x.conn.Write([]byte(whole[len(whole)-3:]))
	time.Sleep(50 * time.Millisecond) // its reader has the rest, and has not said so
	evicted := c.makeRoom(rankNew)
	c.mu.Unlock()
	if got := x.line(); !evicted || !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("evicted %v, answered %q, want a refusal", evicted, got)
	}
	if got := x.line(); got != "" {
		t.Errorf("then %q, want the end", got)
	}
}

// A shutdown is so far on that nothing is read any more: requests that have come along with the last one are refused.
func TestEndOfShutdownAnswersWhatHasCome(t *testing.T) {
	for _, before := range []time.Duration{time.Second, lastRequest / 2} {
		c, x := answeringClients(t), connect(t)
		x.send(putWords("a")...)
		x.send(putWords("b")...)
		c.closing, c.until = true, time.Now().Add(-before)
		serveSide(c, x.served, time.Now().Add(requestTime))
		for range 2 {
			if got := x.line(); got == "" {
				t.Errorf("%v past the last reading: a request that had come has no answer", before)
			}
		}
	}
}

// The time for a request is over in the moment in which it comes: a whole one has its answer.
func TestRequestAtItsDeadline(t *testing.T) {
	c, x := answeringClients(t), connect(t)
	x.send(putWords("a")...)
	time.Sleep(20 * time.Millisecond)
	serveSide(c, x.served, time.Now().Add(-time.Second))
	if got := x.line(); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answered %q", got)
	}
}

// A close over bytes that nobody reads resets the connection, and an answer that is still on its way would go with it.
func TestErrorLineOutlivesUnreadBytes(t *testing.T) {
	for range 20 {
		c, x := answeringClients(t), connect(t)
		x.conn.Write([]byte("nonsense\r\n" + strings.Repeat("more of it ", 2000)))
		serveSide(c, x.served, time.Now().Add(requestTime))
		if got := x.line(); !strings.HasPrefix(got, "-ERR") {
			t.Fatalf("answered %q, want an error line", got)
		}
	}
}
