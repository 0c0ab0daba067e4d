package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// serveClientsOnly serves clients without a loop; PING shows whether a client is answered.
func serveClientsOnly(t *testing.T) (*clients, net.Listener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	table := newClients(&Config{}, slog.New(slog.DiscardHandler), nil)
	go table.serve(ln)
	return table, ln
}

// deadlineContext is a context that reports a deadline and is not cancelled at it.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

func (c deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

// A client that keeps sending requests is answered and does not delay the shutdown. At its end no request is left that
// was read and not answered.
func TestShutdownEndsDespiteClientThatKeepsSending(t *testing.T) {
	table, ln := serveClientsOnly(t)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const request, answer = "*1\r\n$4\r\nPING\r\n", "+PONG\r\n"
	go func() { // always ahead of what the sender reads
		for {
			if _, err := io.WriteString(conn, strings.Repeat(request, 100)); err != nil {
				return
			}
		}
	}()
	one := make([]byte, len(answer))
	if _, err := io.ReadFull(conn, one); err != nil || string(one) != answer {
		t.Fatalf("%q, %v", one, err)
	}
	ended := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			_, err = io.ReadFull(conn, one)
			if err == nil && string(one) != answer {
				err = fmt.Errorf("got %q", one)
			}
		}
		ended <- err
	}()
	done := make(chan bool, 1)
	go func() {
		table.shutdown(deadlineContext{t.Context(), time.Now().Add(3 * lastRequestTimeout)})
		done <- true
	}()
	await(t, done, "end of the shutdown while the client sends on")
	await(t, ended, "end of the connection")
}

// A client that has just connected when the sender stops has firstRequestGrace for its first request, which would fail
// if the connection were closed. A client that sends nothing does not delay the shutdown.
func TestShutdownAnswersFirstRequestOfNewClient(t *testing.T) {
	table, ln := serveClientsOnly(t)
	c, silent := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	for stop := time.Now().Add(testTimeout); ; {
		table.mu.Lock()
		n := len(table.conns)
		table.mu.Unlock()
		if n == 2 {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("timed out waiting for two connections")
		}
	}
	table.mu.Lock()
	for conn, cc := range table.conns { // one has just connected, the grace of the other is over
		cc.idleSince = time.Now().Add(-firstRequestGrace)
		if conn.RemoteAddr().String() == c.conn.LocalAddr().String() {
			cc.idleSince = time.Now().Add(testTimeout)
		}
	}
	table.mu.Unlock()
	done := make(chan bool, 1)
	go func() { table.shutdown(t.Context()); done <- true }()
	for !table.isClosing() {
	}
	if got := silent.readLine(); got != "" {
		t.Errorf("silent client got %q", got)
	}
	if got := c.do("PING"); got != "+PONG" {
		t.Errorf("first request: %q", got)
	}
	if got := c.readLine(); got != "" {
		t.Errorf("connection is not closed: got %q", got)
	}
	await(t, done, "end of the shutdown")
}
