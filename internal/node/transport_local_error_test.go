package node

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

// failingConn is a connection whose reads or writes fail.
type failingConn struct {
	*net.TCPConn
	readErr, writeErr error
}

func (c *failingConn) Read(b []byte) (int, error) {
	if c.readErr != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.readErr)}
	}
	return c.TCPConn.Read(b)
}

func (c *failingConn) Write(b []byte) (int, error) {
	if c.writeErr != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", c.writeErr)}
	}
	return c.TCPConn.Write(b)
}

// An error of a read is a broken connection, and one of a write a call that did not run, whatever the error says of a
// timeout: only the call's own deadline gives it up.
func TestSocketErrorIsNotTakenForTheDeadlineOfACall(t *testing.T) {
	e, tr := newTestEndpoint(t), newTestTransport()
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE,
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO} {
		for want, conn := range map[logic.Outcome]*failingConn{
			logic.ConnBroken:  {readErr: errno},
			logic.ConnRefused: {writeErr: errno},
		} {
			dialed, err := net.Dial("tcp", e.addr())
			if err != nil {
				t.Fatal(err)
			}
			conn.TCPConn = dialed.(*net.TCPConn)
			outgoing := newTestCall(t, e.addr(), "hello", testTimeout)
			outgoing.reusedConn = httpconn.NewConn(conn, e.addr())
			if r := tr.do(t.Context(), outgoing); r.outcome != want {
				t.Errorf("%v: outcome %d, want %d", errno, r.outcome, want)
			}
			if want == logic.ConnBroken {
				await(t, e.calls, "call").reset()
			}
		}
	}
}

// A transient connection error of this host is retried with a delay and not counted against the endpoint. The message
// is sent once connections can be opened again.
func TestLocalConnectErrorsAreRetriedAndNotCountedAgainstEndpoint(t *testing.T) {
	for _, failure := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH} {
		t.Run(failure.Error(), func(t *testing.T) {
			t.Parallel()
			var tries atomic.Int32
			var recovered atomic.Bool
			_, c, _, eps := startNodeWithEndpoints(t, 1, func(n *Node) {
				n.transport.dialer.Control = func(string, string, syscall.RawConn) error {
					tries.Add(1)
					if recovered.Load() {
						return nil
					}
					return failure
				}
			})
			c.put("a", "unsafe", "+OK")
			time.Sleep(time.Second)
			if n := tries.Load(); n < 2 || n > 35 {
				t.Errorf("%d connection attempts in a second, want 2 to 35: package net tries an address up to three times by itself", n)
			}
			recovered.Store(true)
			recoveredAt := time.Now()
			await(t, eps[0].calls, "call").reply(200)
			if delay := time.Since(recoveredAt); delay > 2*retryDelay {
				t.Errorf("sent %v after the error was gone", delay)
			}
		})
	}
}
