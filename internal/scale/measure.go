package scale

import (
	"runtime"
	"syscall"
	"time"
	"unsafe"
)

// CPUTime is the processor time that this process has used so far, user and system, all threads (the garbage
// collector's with them).
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// PeakMemory is the most memory that this process has had resident so far, in bytes.
func PeakMemory() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return u.Maxrss << 10
}

// LiveHeap is what lives on the heap after a garbage collection, in bytes.
func LiveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers and pools held goes with the second
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// ThreadCPUTime is the processor time of the calling thread so far, user and system. It says something only about a
// goroutine that is locked to its thread. What the garbage collector does on other threads is not in it.
func ThreadCPUTime() time.Duration {
	const threadClock = 3 // CLOCK_THREAD_CPUTIME_ID
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, threadClock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0
	}
	return time.Duration(t.Nano())
}
