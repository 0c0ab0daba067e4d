package discovery

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// A connection that this host cannot open says nothing about discovery; one that the peer refuses, or that never comes
// up, does.
func TestErrorsOfThisHostAreNoSilence(t *testing.T) {
	for errno, local := range map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENOBUFS: true, syscall.EADDRNOTAVAIL: true,
		syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false} {
		err := fmt.Errorf("list: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)})
		if isNotSent(err) != local || isUnresponsive(err) == local {
			t.Errorf("%v: not sent %v, unresponsive %v", errno, isNotSent(err), isUnresponsive(err))
		}
	}
}
