package scale

import (
	"runtime"
	"syscall"
	"time"
	"unsafe"
)

// CPUTime returns the processor time that this process has used so far, user and system, in all threads, those of the
// garbage collector included.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// PeakMemory returns the peak resident memory of this process so far, in bytes.
func PeakMemory() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return usage.Maxrss << 10
}

// LiveHeap returns the size of the live heap after a garbage collection, in bytes.
func LiveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the second one frees what finalizers and pools held
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// ThreadCPUTime returns the processor time of the calling thread so far, user and system. It is meaningful only for a
// goroutine that is locked to its thread. It does not include garbage collection on other threads.
func ThreadCPUTime() time.Duration {
	const threadClock = 3 // CLOCK_THREAD_CPUTIME_ID
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, threadClock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0
	}
	return time.Duration(t.Nano())
}
