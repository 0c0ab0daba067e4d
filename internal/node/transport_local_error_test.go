package node

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

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
