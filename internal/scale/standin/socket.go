package standin

import (
	"net"
	"syscall"
)

// tcpCloseWait (TCP_CLOSE_WAIT) is the state of a socket whose peer has closed its sending side without a reset.
const tcpCloseWait = 8

// PeerReadAll reports whether the peer had read everything that was written to a TCP connection. It must be called
// after the end of the connection has been read and the peer has closed it: data that is unread when the peer closes,
// or that arrives after that, causes a reset.
func PeerReadAll(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	state := 0
	controlErr := raw.Control(func(fd uintptr) {
		state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	})
	return controlErr == nil && err == nil && state&0xff == tcpCloseWait // the state is the first byte of struct tcp_info
}
