package node

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"testing"
	"time"
)

// memoryFiles is a file system in memory that fails, and that dies, at chosen operations.
type memoryFiles struct {
	content     map[string]*memoryContent
	operations  int // that change something, so far
	failFrom    int // first operation that fails ...
	failUntil   int // ... and the first one after it that does not
	onlyWrites  bool
	failReads   bool
	writtenPart float64 // of a write that fails
	dieAt       int     // operation at which the process dies, after writtenPart of a write
}

// memoryContent is a file. Descriptors of it stay valid after a rename.
type memoryContent struct{ data []byte }

var (
	errMemoryFault = errors.New("fault of the file system")
	errDied        = errors.New("the process dies")
)

// next counts an operation and reports whether it fails. It panics with errDied if the process dies; part is written
// before either.
func (m *memoryFiles) next(isWrite bool, writePart func()) (fails bool) {
	m.operations++
	if m.operations == m.dieAt {
		writePart()
		panic(errDied)
	}
	if m.operations < m.failFrom || m.operations >= m.failUntil || m.onlyWrites && !isWrite {
		return false
	}
	writePart()
	return true
}

func (m *memoryFiles) Open(path string, flag int) (journalFile, error) {
	if m.next(false, func() {}) {
		return nil, errMemoryFault
	}
	c := m.content[path]
	if c == nil {
		c = &memoryContent{}
		m.content[path] = c
	}
	if flag&os.O_TRUNC != 0 {
		c.data = nil
	}
	return &memoryFile{files: m, content: c, path: path}, nil
}

func (m *memoryFiles) Rename(from, to string) error {
	if m.next(false, func() {}) {
		return errMemoryFault
	}
	m.content[to] = m.content[from]
	delete(m.content, from)
	return nil
}

func (m *memoryFiles) Remove(path string) error {
	if m.next(false, func() {}) {
		return errMemoryFault
	}
	if m.content[path] == nil {
		return fs.ErrNotExist
	}
	delete(m.content, path)
	return nil
}

// memoryFile is a descriptor.
type memoryFile struct {
	files   *memoryFiles
	content *memoryContent
	path    string
	readAt  int
}

func (f *memoryFile) Read(b []byte) (int, error) {
	if f.readAt >= len(f.content.data) {
		return 0, io.EOF
	}
	n := copy(b, f.content.data[f.readAt:])
	f.readAt += n
	return n, nil
}

// ReadAt fails together with the operations that change something if failReads is set.
func (f *memoryFile) ReadAt(b []byte, offset int64) (int, error) {
	if f.files.failReads && f.files.operations >= f.files.failFrom && f.files.operations < f.files.failUntil {
		return 0, errMemoryFault
	}
	n := 0
	if offset < int64(len(f.content.data)) {
		n = copy(b, f.content.data[offset:])
	}
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt gives a count of 0 after a partial write, as os.File does.
func (f *memoryFile) WriteAt(b []byte, offset int64) (int, error) {
	if f.files.next(true, func() { f.write(b[:int(f.files.writtenPart*float64(len(b)))], offset) }) {
		return 0, errMemoryFault
	}
	f.write(b, offset)
	return len(b), nil
}

func (f *memoryFile) write(b []byte, offset int64) {
	if missing := int(offset) + len(b) - len(f.content.data); missing > 0 {
		f.content.data = append(f.content.data, make([]byte, missing)...)
	}
	copy(f.content.data[offset:], b)
}

func (f *memoryFile) Truncate(size int64) error {
	if f.files.next(false, func() {}) {
		return errMemoryFault
	}
	f.content.data = f.content.data[:size]
	return nil
}

func (f *memoryFile) Stat() (os.FileInfo, error) { return memoryInfo{f.path, len(f.content.data)}, nil }
func (f *memoryFile) Name() string               { return f.path }
func (f *memoryFile) Close() error               { return nil }

type memoryInfo struct {
	name string
	size int
}

func (i memoryInfo) Name() string       { return i.name }
func (i memoryInfo) Size() int64        { return int64(i.size) }
func (i memoryInfo) Mode() fs.FileMode  { return journalFileMode }
func (i memoryInfo) ModTime() time.Time { return time.Time{} }
func (i memoryInfo) IsDir() bool        { return false }
func (i memoryInfo) Sys() any           { return nil }

// recordedRun plays a sender's use of a journal and keeps what it has told and done, which no crash may contradict.
type recordedRun struct {
	journal        *Journal
	accepted       map[string]bool // told +OK
	over           map[string]bool // delivered, or ended by this process
	noticed        map[string]bool // its notice was told
	refused        map[string]bool // told -BUSY
	written        map[string]bool // its call was written and has no outcome
	partlyAccepted int             // messages that were accepted although an append failed behind their records
	waitingRefusal []string
	waitingNotice  []string
}

// append appends records, and tells and does what they allow.
func (r *recordedRun) append(recs ...record) {
	for _, rec := range recs {
		switch rec.Op {
		case opOutcome, opDone:
			delete(r.written, rec.ID) // known from here on, also without the record
		}
		if rec.Op == opDone || rec.Op == opEndWithNotice {
			r.over[rec.ID] = true
		}
	}
	err := r.journal.Append(recs)
	for _, rec := range recs {
		switch rec.Op {
		case opAccept:
			if r.journal.Entry(rec.Entry.ID) != nil {
				r.accepted[rec.Entry.ID] = true
				if err != nil {
					r.partlyAccepted++
				}
			} else {
				r.waitingRefusal = append(r.waitingRefusal, rec.Entry.ID)
			}
		case opSend:
			r.written[rec.ID] = err == nil
		case opEndWithNotice:
			r.waitingNotice = append(r.waitingNotice, rec.ID)
		}
	}
	r.tellWhatIsSafe()
}

func (r *recordedRun) tellWhatIsSafe() {
	if !r.journal.TailUnknown() {
		for _, id := range r.waitingRefusal {
			r.refused[id] = true
		}
		r.waitingRefusal = nil
	}
	if r.journal.Saved() {
		for _, id := range r.waitingNotice {
			r.noticed[id] = true
		}
		r.waitingNotice = nil
	}
}

// play plays messages from acceptance to their ends, with repairs in between. It returns whether the process died.
func (r *recordedRun) play(files *memoryFiles) (died bool) {
	defer func() {
		if p := recover(); p != nil {
			if p != errDied {
				panic(p)
			}
			died = true
		}
	}()
	j, err := openJournalOn(files, "state", 8000)
	if err != nil {
		return false // the process waits for its folder
	}
	r.journal = j
	for round := range 4 {
		name := func(s string) string { return fmt.Sprint(s, round) }
		r.append(acceptRecord(name("a"), 90), acceptRecord(name("b"), 90), acceptRecord(name("c"), 90))
		for _, id := range []string{name("a"), name("b")} {
			if r.accepted[id] {
				r.append(record{Op: opSend, ID: id, SentAt: 1})
			}
		}
		if r.written[name("a")] {
			r.append(record{Op: opDone, ID: name("a")}, acceptRecord(name("d"), 90))
		}
		if r.accepted[name("c")] {
			r.append(record{Op: opEndWithNotice, ID: name("c"), Notice: &Notice{ID: name("c"), State: "returned"}})
		}
		j.Flush()
		r.tellWhatIsSafe()
		if r.noticed[name("c")] {
			r.append(record{Op: opNoticeConfirmed, ID: name("c")})
		}
		if r.written[name("b")] {
			r.append(record{Op: opOutcome, ID: name("b"), MayHaveRun: true})
		}
		j.Flush()
		r.tellWhatIsSafe()
	}
	return false
}

// check replays the journal as the next start does and compares it with what was told and done.
func (r *recordedRun) check(files *memoryFiles) (violations []string) {
	healthy := &memoryFiles{content: files.content}
	for _, how := range []string{"at the start", "after further records"} {
		j, err := openJournalOn(healthy, "state", 8000)
		if err != nil {
			return append(violations, err.Error())
		}
		sendable := func(id string) bool { e := j.Entry(id); return e != nil && e.EndNotice == nil }
		for id := range r.accepted {
			if !r.over[id] && !sendable(id) {
				violations = append(violations, how+": "+id+" was accepted and is lost")
			}
		}
		for id := range r.noticed {
			if sendable(id) {
				violations = append(violations, how+": "+id+" would be sent after its notice")
			}
		}
		for id := range r.refused {
			if j.Entry(id) != nil {
				violations = append(violations, how+": "+id+" would be sent after -BUSY")
			}
		}
		for id, written := range r.written {
			if written && sendable(id) && !j.Entry(id).MaybeWritten {
				violations = append(violations, how+": the call of "+id+" is forgotten")
			}
		}
		if err := j.Append([]record{acceptRecord("z", 90), {Op: opDone, ID: "z"}}); err != nil {
			violations = append(violations, err.Error())
		}
	}
	return violations
}

// Whatever operations on the journal's files fail, and wherever the process dies: the next start has every accepted
// message that has not ended, and none that was refused or whose end was told.
func TestJournalKeepsItsWordWhateverFailsAndWhereverTheProcessDies(t *testing.T) {
	newRun := func() *recordedRun {
		return &recordedRun{accepted: map[string]bool{}, over: map[string]bool{}, noticed: map[string]bool{}, refused: map[string]bool{}, written: map[string]bool{}}
	}
	undisturbed := &memoryFiles{content: map[string]*memoryContent{}}
	if newRun().play(undisturbed); undisturbed.operations < 30 {
		t.Fatalf("only %d operations", undisturbed.operations)
	}
	runs, refused, partlyAccepted, failures := 0, 0, 0, 0
	for failFrom := 1; failFrom <= undisturbed.operations; failFrom++ {
		for _, length := range []int{1, 3, 20} {
			for _, onlyWrites := range []bool{true, false} {
				for _, part := range []float64{0, 0.5, 1} {
					for number := range 2 * (length + 4) {
						dieAt, failReads := failFrom+number/2, number%2 == 1
						files := &memoryFiles{content: map[string]*memoryContent{}, failFrom: failFrom, failUntil: failFrom + length, onlyWrites: onlyWrites,
							failReads: failReads, writtenPart: part, dieAt: dieAt}
						run := newRun()
						run.play(files)
						runs++
						refused += len(run.refused)
						partlyAccepted += run.partlyAccepted
						if violations := run.check(files); len(violations) > 0 && failures < 10 {
							failures++
							t.Errorf("operations %d to %d fail (only writes: %v, reads: %v, %.0f %% written), death at %d: %q", failFrom, failFrom+length-1,
								onlyWrites, failReads, 100*part, dieAt, violations)
						}
					}
				}
			}
		}
	}
	if refused == 0 || partlyAccepted == 0 {
		t.Errorf("%d messages refused, %d accepted by a failed append: the test shows nothing", refused, partlyAccepted)
	}
	t.Logf("%d runs", runs)
}

// Records of the backlog that a failed write left whole in the file must not be written again: the outcome of an attempt
// would end the attempt behind it, and a kill would forget that this one may have run.
func TestBacklogThatAFailedWriteLeftIsNotWrittenAgain(t *testing.T) {
	files := &memoryFiles{content: map[string]*memoryContent{}}
	j, err := openJournalOn(files, "state", 8000)
	if err != nil {
		t.Fatal(err)
	}
	mustAppend(t, j, acceptRecord("a", 10), record{Op: opSend, ID: "a", SentAt: 1})
	files.failUntil = 1 << 30 // all changes fail from now on
	if j.Append([]record{{Op: opOutcome, ID: "a"}}) == nil {
		t.Error("no error though nothing was written")
	}
	files.writtenPart = 1
	if j.Append([]record{{Op: opSend, ID: "a", SentAt: 2}}) == nil || j.Entry("a").Attempts != 2 {
		t.Errorf("no error, or the record that is in the file was not applied: %+v", j.Entry("a"))
	}
	files.failUntil = 0
	mustAppend(t, j, acceptRecord("b", 10))
	if j, err = openJournalOn(files, "state", 8000); err != nil {
		t.Fatal(err)
	}
	if e := j.Entry("a"); e == nil || !e.MaybeWritten || e.Attempts != 2 || j.Entry("b") == nil {
		t.Errorf("after a restart %+v, want the second attempt, which may have run", e)
	}
}

// While the folder fails, an append must not try to write and to repair the file for each record: each attempt may take
// long, and the loop would decide on the ends of messages too late.
func TestFailingFolderIsNotTriedForEachRecord(t *testing.T) {
	files := &memoryFiles{content: map[string]*memoryContent{}}
	j, err := openJournalOn(files, "state", 8000)
	if err != nil {
		t.Fatal(err)
	}
	j.retryDelay = time.Hour
	mustAppend(t, j, acceptRecord("a", 10))
	files.failUntil = 1 << 30 // all changes fail from now on
	for range 3 {
		j.Append([]record{acceptRecord("b", 10), {Op: opSend, ID: "a", SentAt: 1}, {Op: opOutcome, ID: "a"}})
	}
	if operations := files.operations; j.Append([]record{acceptRecord("b", 10)}) == nil || files.operations != operations || j.Entry("b") != nil {
		t.Errorf("%d operations for an append soon after a failed one, want 0 and an error", files.operations-operations)
	}
	files.failUntil = 0
	if err := j.Flush(); err != nil || !j.Saved() {
		t.Errorf("a flush does not try: %v", err)
	}
	mustAppend(t, j, acceptRecord("b", 10))
}
