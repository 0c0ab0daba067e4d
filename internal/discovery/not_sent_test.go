package discovery

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// A connection that this host cannot open says nothing about discovery; one that the peer refuses, or that does not come
// up in the time of the call, does.
func TestErrorsOfThisHostAreNoSilence(t *testing.T) {
	for errno, local := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENOBUFS: true, syscall.EADDRNOTAVAIL: true,
		syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true, syscall.ECONNREFUSED: false} {
		err := fmt.Errorf("list: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)})
		if isNotSent(err) != local || isUnresponsive(err) == local {
			t.Errorf("%v: not sent %v, unresponsive %v", errno, isNotSent(err), isUnresponsive(err))
		}
	}
	timedOut := &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded} // the time of the call is over
	if isNotSent(timedOut) || !isUnresponsive(timedOut) {
		t.Error("a connection that does not come up in the time of the call is no silence")
	}
}
