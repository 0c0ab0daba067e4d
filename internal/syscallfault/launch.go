// Package syscallfault runs a program under a seccomp filter with user notification and lets chosen system calls of it
// fail, end short or come late. It needs Linux on amd64 or arm64 and no special rights.
//
// The supervising process starts itself again as a launcher, which installs the filter, passes the notification
// descriptor to the supervisor over a socket and then executes the program. The filter lives in that process alone.
package syscallfault

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	programVariable = "SYSCALLFAULT_PROGRAM" // path of the program that the launcher executes
	callsVariable   = "SYSCALLFAULT_CALLS"   // numbers of the system calls that the filter reports, separated by commas
	launcherSocket  = 3                      // descriptor of the socket to the supervisor, in the launcher
	startTimeout    = 5 * time.Second        // for the launcher to pass the notification descriptor
)

// errNotSupported means that this machine cannot run a program under a filter.
var errNotSupported = errors.New("system call faults need Linux on amd64 or arm64")

// LaunchIfRequested executes the program that Start has asked for, and does not return then. Every program that calls
// Start must call it first.
func LaunchIfRequested() {
	program := os.Getenv(programVariable)
	if program == "" {
		return
	}
	err := launch(program, os.Getenv(callsVariable))
	fmt.Fprintln(os.Stderr, "syscallfault:", err)
	os.Exit(1)
}

func launch(program, calls string) error {
	runtime.LockOSThread() // the filter applies to this thread, which executes the program
	var numbers []int
	for _, text := range strings.Split(calls, ",") {
		number, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%s: %w", callsVariable, err)
		}
		numbers = append(numbers, number)
	}
	listener, err := installFilter(numbers)
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(launcherSocket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("passing the descriptor: %w", err)
	}
	unix.Close(listener)
	unix.Close(launcherSocket)
	os.Unsetenv(programVariable)
	os.Unsetenv(callsVariable)
	return syscall.Exec(program, os.Args, os.Environ())
}

// Start starts a command whose calls with the given numbers, see package syscall, are reported to handler. The handler
// is called for one call at a time. A call of clock_gettime is reported for CLOCK_REALTIME only, and only if the program
// was started with the preload library of UseSystemCallClock.
func Start(cmd *exec.Cmd, calls []int, handler Handler) (*Supervisor, error) {
	if _, supported := auditArchitectures[runtime.GOARCH]; !supported {
		return nil, errNotSupported
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket to the launcher: %w", err)
	}
	defer unix.Close(pair[0])
	remote := os.NewFile(uintptr(pair[1]), "launcher")
	defer remote.Close()
	var numbers []string
	for _, number := range calls {
		numbers = append(numbers, strconv.Itoa(number))
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, programVariable+"="+cmd.Path, callsVariable+"="+strings.Join(numbers, ","))
	if cmd.Path, err = os.Executable(); err != nil {
		return nil, err
	}
	cmd.ExtraFiles = []*os.File{remote}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	remote.Close() // or the end of the launcher would not show on the socket
	listener, err := receiveDescriptor(pair[0])
	if err != nil {
		cmd.Process.Kill()
		return nil, fmt.Errorf("launcher: %w", err)
	}
	s := &Supervisor{listener: listener, handler: handler, ended: make(chan error, 1)}
	go s.run()
	return s, nil
}

// receiveDescriptor receives one descriptor from a socket.
func receiveDescriptor(socket int) (int, error) {
	timeout := unix.NsecToTimeval(startTimeout.Nanoseconds())
	if err := unix.SetsockoptTimeval(socket, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return 0, err
	}
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	n, controlLen, _, _, err := unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
	for errors.Is(err, unix.EINTR) {
		n, controlLen, _, _, err = unix.Recvmsg(socket, data, control, unix.MSG_CMSG_CLOEXEC)
	}
	if err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, errors.New("ended before it executed the program")
	}
	messages, err := unix.ParseSocketControlMessage(control[:controlLen])
	if err != nil {
		return 0, err
	}
	if len(messages) != 1 {
		return 0, errors.New("no descriptor received")
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return descriptors[0], nil
}
