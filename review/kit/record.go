// Package kit has the stand-ins that the cases of the review share: a client, the agent of discovery and the platform,
// and the sender's process. They speak the protocol as PROTOCOL-crossdeal.md gives it.
package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates the file.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes a line with the time since the start in seconds.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }
