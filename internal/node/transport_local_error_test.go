package node

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The machine cannot make a connection for a moment: that speaks against no endpoint, nothing spins, and the message goes
// out once it can.
func TestLocalConnectErrorsAreRetriedAndNotCountedAgainstEndpoint(t *testing.T) {
	for _, failure := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH} {
		t.Run(failure.Error(), func(t *testing.T) {
			t.Parallel()
			var tries atomic.Int32
			var well atomic.Bool
			_, c, _, eps := startNodeWithEndpoints(t, 1, func(n *Node) {
				n.transport.dialer.Control = func(string, string, syscall.RawConn) error {
					tries.Add(1)
					if well.Load() {
						return nil
					}
					return failure
				}
			})
			c.put("a", "unsafe", "+OK")
			time.Sleep(time.Second)
			if n := tries.Load(); n < 2 || n > 35 {
				t.Errorf("%d tries in a second, want a few: the library tries an address up to three times by itself", n)
			}
			well.Store(true)
			at := time.Now()
			await(t, eps[0].calls, "call").reply(200)
			if late := time.Since(at); late > 2*retryDelay {
				t.Errorf("sent %v after the machine was well", late)
			}
		})
	}
}
