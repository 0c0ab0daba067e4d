package syscallfault

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Request codes of the notification descriptor, from linux/seccomp.h.
const (
	ioctlReceive = 0xc0502100
	ioctlSend    = 0xc0182101
	flagContinue = 1 // SECCOMP_USER_NOTIF_FLAG_CONTINUE: the kernel carries the call out
)

const (
	pollIntervalMillis = 100
	maxPathBytes       = 4096
)

// notification is struct seccomp_notif.
type notification struct {
	id           uint64
	pid          uint32
	flags        uint32
	number       int32
	architecture uint32
	instruction  uint64
	args         [6]uint64
}

// response is struct seccomp_notif_resp.
type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// Call is a system call that waits for its decision.
type Call struct {
	Number int
	Args   [6]uint64
	pid    int
}

// Decision says what becomes of a call. The zero value lets the kernel carry it out.
type Decision struct {
	Errno  syscall.Errno // the call fails with it
	Bytes  int           // of a pwrite64, the number of bytes that are written before it ends short; 0 for all
	Delay  time.Duration // before anything else
	result *int64        // result of a call that the handler has carried out
}

// Handler decides what becomes of a call.
type Handler func(Call) Decision

// Supervisor decides on the reported calls of one process until it has ended.
type Supervisor struct {
	listener int
	handler  Handler
	ended    chan error // gets why the supervisor has ended
}

// Ended returns a channel that gets why the supervisor has ended: nil at the end of the process. A process that goes on
// without its supervisor gets ENOSYS from each reported call.
func (s *Supervisor) Ended() <-chan error { return s.ended }

func (s *Supervisor) run() {
	defer unix.Close(s.listener)
	s.ended <- s.supervise()
}

func (s *Supervisor) supervise() error {
	for {
		poll := []unix.PollFd{{Fd: int32(s.listener), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, pollIntervalMillis)
		if err != nil && err != unix.EINTR {
			return fmt.Errorf("poll: %w", err)
		}
		if n <= 0 {
			continue
		}
		callWaits, ended, err := listenerState(poll[0].Revents)
		if ended || err != nil {
			return err
		}
		if !callWaits {
			continue
		}
		var received notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), ioctlReceive, uintptr(unsafe.Pointer(&received))); errno != 0 {
			continue // the call was interrupted before it was received
		}
		call := Call{Number: int(received.number), Args: received.args, pid: int(received.pid)}
		decision := s.handler(call)
		if decision.Delay <= 0 {
			s.respond(received.id, call, decision)
			continue
		}
		go func() {
			time.Sleep(decision.Delay)
			s.respond(received.id, call, decision)
		}()
	}
}

// listenerState says what the events of a poll mean. POLLERR alone is no end: the kernel gives it when a signal, such as
// one of the Go runtime, interrupts the poll while it waits for the lock of the listener.
func listenerState(events int16) (callWaits, ended bool, err error) {
	if events&unix.POLLNVAL != 0 {
		return false, false, errors.New("the listener is closed")
	}
	callWaits = events&unix.POLLIN != 0
	return callWaits, !callWaits && events&unix.POLLHUP != 0, nil
}

func (s *Supervisor) respond(id uint64, call Call, decision Decision) {
	r := response{id: id}
	switch {
	case decision.Errno != 0:
		r.errno = -int32(decision.Errno)
	case decision.result != nil:
		r.value = *decision.result
	case decision.Bytes > 0 && call.Number == unix.SYS_PWRITE64:
		n, err := call.writeFirst(decision.Bytes)
		if err != nil {
			r.errno = -int32(unix.EIO)
			break
		}
		r.value = int64(n)
	default:
		r.flags = flagContinue
	}
	unix.Syscall(unix.SYS_IOCTL, uintptr(s.listener), ioctlSend, uintptr(unsafe.Pointer(&r))) // fails if the process has ended
}

// writeFirst carries out the first n bytes of a pwrite64.
func (c Call) writeFirst(n int) (int, error) {
	data, err := c.read(c.Args[1], min(n, int(c.Args[2])))
	if err != nil {
		return 0, err
	}
	f, err := os.OpenFile(c.descriptorPath(), os.O_WRONLY, 0)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	return f.WriteAt(data, int64(c.Args[3]))
}

func (c Call) descriptorPath() string { return fmt.Sprintf("/proc/%d/fd/%d", c.pid, int32(c.Args[0])) }

// Path returns the path of the file that the call names, or whose descriptor is its first argument; empty if there is
// none.
func (c Call) Path() string {
	switch c.Number {
	case unix.SYS_OPENAT, unix.SYS_RENAMEAT, unix.SYS_UNLINKAT:
		text, _ := c.read(c.Args[1], maxPathBytes)
		for i, b := range text {
			if b == 0 {
				return string(text[:i])
			}
		}
		return ""
	}
	path, _ := os.Readlink(c.descriptorPath())
	return path
}

// Creates reports whether the call is an openat that may create a file.
func (c Call) Creates() bool { return c.Number == unix.SYS_OPENAT && c.Args[2]&unix.O_CREAT != 0 }

// read reads up to n bytes of the process's memory, fewer if the pages behind cannot be read.
func (c Call) read(address uint64, n int) ([]byte, error) {
	b := make([]byte, n)
	local := []unix.Iovec{{Base: &b[0], Len: uint64(n)}}
	remote := []unix.RemoteIovec{{Base: uintptr(address), Len: n}}
	const pageBytes = 4096
	if untilPageEnd := pageBytes - int(address%pageBytes); untilPageEnd < n {
		remote = []unix.RemoteIovec{{Base: uintptr(address), Len: untilPageEnd}, {Base: uintptr(address) + uintptr(untilPageEnd), Len: n - untilPageEnd}}
	}
	got, err := unix.ProcessVMReadv(c.pid, local, remote, 0)
	if err != nil {
		return nil, err
	}
	return b[:got], nil
}
