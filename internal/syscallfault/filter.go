package syscallfault

import (
	"fmt"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Offsets into struct seccomp_data, in bytes.
const (
	numberOffset       = 0
	architectureOffset = 4
	firstArgOffset     = 16
)

// auditArchitectures holds the kernel's number of each supported architecture, by its name in package runtime.
var auditArchitectures = map[string]uint32{
	"amd64": unix.AUDIT_ARCH_X86_64,
	"arm64": unix.AUDIT_ARCH_AARCH64,
}

// installFilter installs a filter on the calling thread that reports the given calls, and returns its notification
// descriptor.
func installFilter(calls []int) (listener int, err error) {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("no_new_privs: %w", err)
	}
	filter := buildFilter(calls)
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	// With WAIT_KILLABLE_RECV a signal does not interrupt a reported call: an interrupted one would be reported twice.
	flags := uintptr(unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV)
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return 0, fmt.Errorf("seccomp: %w", errno)
	}
	return int(fd), nil
}

// buildFilter returns a filter that reports the given calls and allows all others.
func buildFilter(calls []int) []unix.SockFilter {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	skipUnlessEqual := func(value uint32, count uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: count, K: value}
	}
	result := func(value uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: value}
	}
	filter := []unix.SockFilter{
		load(architectureOffset),
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 1, K: auditArchitectures[runtime.GOARCH]},
		result(unix.SECCOMP_RET_ALLOW),
		load(numberOffset),
	}
	for _, number := range calls {
		if number == unix.SYS_CLOCK_GETTIME {
			filter = append(filter, skipUnlessEqual(uint32(number), 4), load(firstArgOffset),
				skipUnlessEqual(unix.CLOCK_REALTIME, 1), result(unix.SECCOMP_RET_USER_NOTIF), result(unix.SECCOMP_RET_ALLOW))
			continue
		}
		filter = append(filter, skipUnlessEqual(uint32(number), 1), result(unix.SECCOMP_RET_USER_NOTIF))
	}
	return append(filter, result(unix.SECCOMP_RET_ALLOW))
}
