package syscallfault

import (
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// FolderCalls are the calls that change files.
func FolderCalls() []int {
	return []int{unix.SYS_OPENAT, unix.SYS_PWRITE64, unix.SYS_WRITE, unix.SYS_FTRUNCATE, unix.SYS_RENAMEAT, unix.SYS_UNLINKAT}
}

// FolderFault is how changes to the files of a folder fail.
type FolderFault struct {
	Errno    syscall.Errno // of the calls that fail; 0 for a folder without faults
	Partial  float64       // share of a write that is written before the rest fails; 0 for none
	Truncate bool          // truncations fail too
	Create   bool          // creations, renames and removals fail too
}

// Folder plays faults of one folder. It is safe for concurrent use.
type Folder struct {
	dir    string
	mu     sync.Mutex
	fault  FolderFault
	cut    bool // the last write ended short: the next fails
	failed int
}

// NewFolder returns a folder without faults.
func NewFolder(dir string) *Folder { return &Folder{dir: dir + "/"} }

// Set begins a fault, or ends it.
func (f *Folder) Set(fault FolderFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.cut = fault, false
}

// Failed returns the number of calls that have failed so far.
func (f *Folder) Failed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// Decide is a Handler.
func (f *Folder) Decide(call Call) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.Errno == 0 || !strings.HasPrefix(call.Path(), f.dir) {
		return Decision{}
	}
	switch call.Number {
	case unix.SYS_PWRITE64:
		if n := int(f.fault.Partial * float64(call.Args[2])); n > 0 && !f.cut {
			f.cut = true
			return Decision{Bytes: n}
		}
		f.cut = false
	case unix.SYS_WRITE:
	case unix.SYS_FTRUNCATE:
		if !f.fault.Truncate {
			return Decision{}
		}
	case unix.SYS_OPENAT:
		if !f.fault.Create || !call.Creates() {
			return Decision{}
		}
	default:
		if !f.fault.Create {
			return Decision{}
		}
	}
	f.failed++
	return Decision{Errno: f.fault.Errno}
}
