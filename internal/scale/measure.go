package scale

import (
	"runtime"
	"syscall"
	"time"
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

// Heap is what lives on the heap after a garbage collection, in bytes.
func Heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers and pools held goes with the second
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
