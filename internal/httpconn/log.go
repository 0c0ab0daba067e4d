package httpconn

import (
	"log/slog"
	"sync"
)

// maxExtraBytesLogs is the number of log lines of an ExtraBytesLog. Further connections are only counted.
const maxExtraBytesLogs = 20

// ExtraBytesLog logs and counts connections that were closed since bytes came behind an answer. Several goroutines may
// use it.
type ExtraBytesLog struct {
	log    *slog.Logger
	mu     sync.Mutex
	total  int
	unread int // those of total that TakeCount has not returned
}

// NewExtraBytesLog returns a log without entries.
func NewExtraBytesLog(log *slog.Logger) *ExtraBytesLog { return &ExtraBytesLog{log: log} }

// Report adds a connection.
func (l *ExtraBytesLog) Report(err *ExtraBytesError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.unread++
	if l.total <= maxExtraBytesLogs {
		l.log.Warn("connection closed: bytes behind an answer", "addr", err.Addr, "after", err.LastRequest, "bytes", err.Bytes)
	}
}

// TakeCount returns the number of connections since its last call.
func (l *ExtraBytesLog) TakeCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.unread
	l.unread = 0
	return count
}
