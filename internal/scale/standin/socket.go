package standin

import (
	"net"
	"syscall"
)

// tcpCloseWait is the state of a socket whose peer has ended its sending and has reset nothing (TCP_CLOSE_WAIT).
const tcpCloseWait = 8

// PeerReadAll says of a TCP connection whose end has been read, and whose peer has closed it by now, whether the peer had
// read all that was written to it: what lies unread at a close, or comes after it, brings a reset.
func PeerReadAll(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	state := 0
	controlErr := raw.Control(func(fd uintptr) {
		state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	})
	return controlErr == nil && err == nil && state&0xff == tcpCloseWait // the state is the first byte of the structure
}
