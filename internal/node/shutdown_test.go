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

// serveClientsOnly serves clients without a loop behind them: PING is enough to see who is answered.
func serveClientsOnly(t *testing.T) (*clients, net.Listener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	served := newClients(&Config{}, slog.New(slog.DiscardHandler), nil)
	go served.serve(ln)
	return served, ln
}

// deadlineContext is a context that tells a deadline and does not end by it.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

func (u deadlineContext) Deadline() (time.Time, bool) { return u.deadline, true }

// A client that sends on an open connection for as long as it is open is answered, and does not outlast the shutdown:
// at the process's end no request is left that was read and has no answer.
func TestShutdownEndsDespiteClientThatKeepsSending(t *testing.T) {
	served, ln := serveClientsOnly(t)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const request, answer = "*1\r\n$4\r\nPING\r\n", "+PONG\r\n"
	go func() { // always further ahead than the sender reads
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
		served.shutdown(deadlineContext{t.Context(), time.Now().Add(3 * lastRequestTimeout)})
		done <- true
	}()
	await(t, done, "end of the shutdown while the client sends on")
	await(t, ended, "end of the connection")
}

// A client that has only just connected when the sender stops is given a moment for its first request, which would
// fail with the connection; one that sends nothing does not hold the shutdown up.
func TestShutdownAnswersFirstRequestOfNewClient(t *testing.T) {
	served, ln := serveClientsOnly(t)
	c, silent := dialClient(t, ln.Addr().String()), dialClient(t, ln.Addr().String())
	for stop := time.Now().Add(testTimeout); ; {
		served.mu.Lock()
		n := len(served.conns)
		served.mu.Unlock()
		if n == 2 {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("not accepted")
		}
	}
	served.mu.Lock()
	for conn, x := range served.conns { // one has only just come, the other's moment is over
		x.idleSince = time.Now().Add(-firstRequestGrace)
		if conn.RemoteAddr().String() == c.conn.LocalAddr().String() {
			x.idleSince = time.Now().Add(testTimeout)
		}
	}
	served.mu.Unlock()
	done := make(chan bool, 1)
	go func() { served.shutdown(t.Context()); done <- true }()
	for !served.isClosing() {
	}
	if got := silent.readLine(); got != "" {
		t.Errorf("a silent client got %q", got)
	}
	if got := c.do("PING"); got != "+PONG" {
		t.Errorf("first request: %q", got)
	}
	if got := c.readLine(); got != "" {
		t.Errorf("the connection goes on with %q", got)
	}
	await(t, done, "end of the shutdown")
}
