package node

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"crossdeal/internal/wal"
)

func openJournal(t *testing.T, dir string, bytes int64) *Journal {
	t.Helper()
	j, err := OpenJournal(dir, bytes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	return j
}

func acceptRecord(id string, body int) record {
	return record{Op: opAccept, Entry: &Entry{Message: Message{ID: id, Class: "safe", Destination: 1, Deadline: 1,
		Body: bytes.Repeat([]byte("b"), body)}}}
}

func mustAppend(t *testing.T, j *Journal, recs ...record) {
	t.Helper()
	if err := j.Append(recs); err != nil {
		t.Fatal(err)
	}
}

// After a crash the replayed journal decides whether a message is sent again, so its entries must be right, also after
// a rewrite.
func TestJournalReplay(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("sent", 3), acceptRecord("done", 3), acceptRecord("never", 3), acceptRecord("may", 3), acceptRecord("ended", 3), acceptRecord("heard", 3))
	for _, id := range []string{"sent", "done", "never", "may"} {
		mustAppend(t, j, record{Op: opSend, ID: id, SentAt: 100, Zone: 1})
	}
	mustAppend(t, j, record{Op: opDone, ID: "done"}, record{Op: opOutcome, ID: "never"},
		record{Op: opOutcome, ID: "may", MayHaveRun: true}, record{Op: opSend, ID: "may", SentAt: 200, Zone: 0},
		record{Op: opEndWithNotice, ID: "ended", Notice: &Notice{ID: "ended", State: "failed"}},
		record{Op: opEndWithNotice, ID: "heard", Notice: &Notice{ID: "heard", State: "failed"}}, record{Op: opNoticeConfirmed, ID: "heard"})
	check := func(how string) {
		t.Helper()
		j := openJournal(t, dir, 3e6)
		var ids []string
		for _, e := range j.Entries() {
			ids = append(ids, e.ID)
		}
		if got := fmt.Sprint(ids); got != "[sent never may ended]" {
			t.Fatalf("%s: entries %v", how, got)
		}
		if e := j.Entry("sent"); e.Attempts != 1 || !e.MaybeWritten || e.MayHaveRun || e.FirstMayHaveRunAt != 100 || e.FirstZone != 1 || string(e.Body) != "bbb" {
			t.Errorf("%s: sent: %+v", how, e)
		}
		if e := j.Entry("never"); e.Attempts != 1 || e.MaybeWritten || e.MayHaveRun {
			t.Errorf("%s: never: %+v", how, e)
		}
		// The window of a keyed message counts from the first send that may have run, not from the last.
		if e := j.Entry("may"); e.Attempts != 2 || !e.MaybeWritten || !e.MayHaveRun || e.FirstMayHaveRunAt != 100 || e.FirstZone != 1 {
			t.Errorf("%s: may: %+v", how, e)
		}
		if e := j.Entry("ended"); e.EndNotice == nil || e.EndNotice.State != "failed" {
			t.Errorf("%s: ended: %+v", how, e)
		}
	}
	check("appended")
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	check("compacted")
}

// A process can die during a write. Whatever the last bytes of the file are, all complete records before them are kept,
// and records that are appended later can be read.
func TestJournalDropsTornTail(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("a", 10))
	first := j.size
	mustAppend(t, j, acceptRecord("b", 10))
	whole, err := os.ReadFile(filepath.Join(dir, journalFileName))
	if err != nil {
		t.Fatal(err)
	}
	tails := [][]byte{}
	for i := int(first); i < len(whole); i++ {
		tails = append(tails, whole[:i])
	}
	flipped := bytes.Clone(whole)
	flipped[len(flipped)-1] ^= 1
	huge := append(bytes.Clone(whole[:first]), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0)
	tails = append(tails, flipped, huge, append(bytes.Clone(whole[:first]), make([]byte, 64)...))
	for i, text := range tails {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, journalFileName), text, 0o600); err != nil {
			t.Fatal(err)
		}
		j := openJournal(t, dir, 3e6)
		if j.Entry("a") == nil || j.Entry("b") != nil {
			t.Fatalf("tail %d: a %v, b %v", i, j.Entry("a"), j.Entry("b"))
		}
		if j.truncatedBytes != int64(len(text))-first {
			t.Errorf("tail %d of %d bytes: truncatedBytes is %d", i, int64(len(text))-first, j.truncatedBytes)
		}
		mustAppend(t, j, acceptRecord("c", 10))
		if j := openJournal(t, dir, 3e6); j.Entry("a") == nil || j.Entry("c") == nil {
			t.Fatalf("tail %d: a record appended later is lost", i)
		}
	}
}

// Records behind a corrupt one are cut off. Otherwise they would be read again once a record of the same length
// replaces the corrupt one.
func TestJournalCutsBehindBrokenRecord(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("a", 10))
	offset := j.size + wal.HeaderLen
	mustAppend(t, j, acceptRecord("b", 10), acceptRecord("c", 10))
	if _, err := j.file.WriteAt([]byte{0}, offset); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, openJournal(t, dir, 3e6), acceptRecord("d", 10))
	if j := openJournal(t, dir, 3e6); len(j.entries) != 2 || j.Entry("a") == nil || j.Entry("d") == nil {
		t.Errorf("entries %v", j.entries)
	}
}

// diskUse returns the disk usage of a folder in bytes as the platform counts it, in blocks of 512 bytes.
func diskUse(t *testing.T, dir string) int64 {
	t.Helper()
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var sum int64
	for _, x := range list {
		if info, err := x.Info(); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}

// A folder over its disk limit counts as a crash. Ended messages must make room. While no message ends, new messages
// are rejected, with room left for the records of those already accepted.
func TestJournalStaysWithinDiskLimit(t *testing.T) {
	dir := t.TempDir()
	const disk = 100_000
	j := openJournal(t, dir, disk)
	for i := range 2000 {
		id := fmt.Sprint("m", i)
		mustAppend(t, j, acceptRecord(id, 1000), record{Op: opSend, ID: id, SentAt: 1}, record{Op: opDone, ID: id})
		if use := diskUse(t, dir); use > disk/2 {
			t.Fatalf("%d bytes with no entries", use)
		}
	}
	n := 0
	for ; j.HasRoom(1000); n++ {
		mustAppend(t, j, acceptRecord(fmt.Sprint("f", n), 1000))
	}
	if n < 5 {
		t.Fatalf("room for %d messages only", n)
	}
	for i := range 2000 {
		mustAppend(t, j, record{Op: opSend, ID: "f0", SentAt: int64(i)}, record{Op: opOutcome, ID: "f0"})
		if use := diskUse(t, dir); use > disk/2 {
			t.Fatalf("%d bytes with %d entries", use, n)
		}
	}
	if e := openJournal(t, dir, disk).Entry("f0"); e == nil || e.Attempts != 2000 {
		t.Errorf("after many rewrites: %+v", e)
	}
	if err := j.Append([]record{acceptRecord("big", 40_000)}); !errors.Is(err, errJournalFull) {
		t.Errorf("got %v, want errJournalFull", err)
	}
}

// A failed write leaves no partial record and accepts no message or send. Records of what has already happened are kept
// and written with the next rewrite.
func TestFailedJournalWriteChangesNothing(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("a", 10), acceptRecord("b", 10))
	original := j.file
	readOnly, err := os.Open(original.Name()) // opened read-only, so writes fail
	if err != nil {
		t.Fatal(err)
	}
	j.file = readOnly
	err = j.Append([]record{{Op: opDone, ID: "a"}, acceptRecord("c", 10), {Op: opSend, ID: "b", SentAt: 1}})
	if err == nil {
		t.Fatal("no error")
	}
	if j.Entry("c") != nil || j.Entry("b").Attempts != 0 || j.Entry("a") != nil {
		t.Errorf("after the error: a %v, b %+v, c %v", j.Entry("a"), j.Entry("b"), j.Entry("c"))
	}
	time.Sleep(folderRetryDelay)
	mustAppend(t, j, acceptRecord("d", 10)) // into a new file
	original.Close()
	reopened := openJournal(t, dir, 3e6)
	if reopened.Entry("a") != nil || reopened.Entry("b") == nil || reopened.Entry("c") != nil || reopened.Entry("d") == nil {
		t.Errorf("after the rewrite: %v", reopened.entries)
	}
}

// Endpoints that operators have disabled stay disabled after a rewrite and a restart, unless they were enabled again.
func TestJournalKeepsDisabledEndpoints(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, record{Op: opDisableEndpoint, ID: "s-1"}, record{Op: opDisableEndpoint, ID: "s-2"}, record{Op: opEnableEndpoint, ID: "s-1"})
	for _, how := range []string{"appended", "rewritten"} {
		if got := fmt.Sprint(openJournal(t, dir, 3e6).DisabledEndpoints()); got != "[s-2]" {
			t.Errorf("%s: disabled endpoints %v", how, got)
		}
		if err := j.Compact(); err != nil {
			t.Fatal(err)
		}
	}
}

// The state folder outlives the program: journals of earlier versions can be read, and appended and rewritten records
// have the same format, byte for byte.
func TestJournalFileFormat(t *testing.T) {
	const appended = "N\x00\x00\x00|\xd1pr{\"op\":1,\"entry\":{\"id\":\"a\",\"class\":\"safe\",\"dest\":1,\"deadline\":1,\"body\":\"YmJi\"}}" +
		"'\x00\x00\x00\xd6\xccS\x14{\"op\":2,\"id\":\"a\",\"at\":1234567,\"zone\":1}" +
		"\x13\x00\x00\x00\xde@\x1dK{\"op\":7,\"id\":\"s-1\"}" +
		"N\x00\x00\x00i\xe6\xbb\x17{\"op\":1,\"entry\":{\"id\":\"b\",\"class\":\"safe\",\"dest\":1,\"deadline\":1,\"body\":\"YmI=\"}}" +
		" \x00\x00\x00P\xa2\x1dy{\"op\":3,\"id\":\"a\",\"may_run\":true}" +
		"C\x00\x00\x00!z\xc9\v{\"op\":5,\"id\":\"b\",\"notice\":{\"id\":\"b\",\"state\":\"failed\",\"after_ms\":5}}"
	const rewritten = "\x13\x00\x00\x00\xde@\x1dK{\"op\":7,\"id\":\"s-1\"}" +
		"\x84\x00\x00\x00\x92\xeeS\xe3{\"op\":1,\"entry\":{\"id\":\"a\",\"class\":\"safe\",\"dest\":1,\"deadline\":1,\"body\":\"YmJi\"," +
		"\"tries\":1,\"may_run\":true,\"first_may\":1234567,\"zone\":1}}" +
		"o\x00\x00\x00\xa6\xc9X\xc1{\"op\":1,\"entry\":{\"id\":\"b\",\"class\":\"safe\",\"dest\":1,\"deadline\":1," +
		"\"end\":{\"id\":\"b\",\"state\":\"failed\",\"after_ms\":5}}}"
	dir := t.TempDir()
	checkFile := func(want string) {
		t.Helper()
		if got, err := os.ReadFile(filepath.Join(dir, journalFileName)); err != nil || string(got) != want {
			t.Fatalf("%v, file:\n%q\nwant:\n%q", err, got, want)
		}
	}
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("a", 3), record{Op: opSend, ID: "a", SentAt: 1234567, Zone: 1}, record{Op: opDisableEndpoint, ID: "s-1"}, acceptRecord("b", 2))
	mustAppend(t, j, record{Op: opOutcome, ID: "a", MayHaveRun: true},
		record{Op: opEndWithNotice, ID: "b", Notice: &Notice{ID: "b", State: "failed", AfterMS: 5}})
	checkFile(appended)

	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, journalFileName), []byte(appended+"\x13\x00"), 0o600); err != nil {
		t.Fatal(err)
	}
	j = openJournal(t, dir, 3e6)
	checkFile(appended)
	if a, b := j.Entry("a"), j.Entry("b"); a == nil || b == nil || !a.MayHaveRun || a.FirstMayHaveRunAt != 1234567 || a.FirstZone != 1 ||
		string(a.Body) != "bbb" || b.EndNotice == nil || b.EndNotice.AfterMS != 5 || fmt.Sprint(j.DisabledEndpoints()) != "[s-1]" || j.truncatedBytes != 2 {
		t.Errorf("a %+v, b %+v, disabled endpoints %v, %d bytes truncated", a, b, j.DisabledEndpoints(), j.truncatedBytes)
	}
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	checkFile(rewritten)
}

// A read error is not the end of the journal: nothing is truncated.
func TestUnreadableJournalIsNotTruncated(t *testing.T) {
	dir := t.TempDir()
	mustAppend(t, openJournal(t, dir, 3e6), acceptRecord("a", 10))
	path := filepath.Join(dir, journalFileName)
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := (&Journal{}).replay(f); err == nil {
		t.Error("no error")
	}
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(after, before) {
		t.Errorf("%v, %d bytes left, want %d", err, len(after), len(before))
	}
}

// A call that goes over another connection has its opSend record twice: it is one attempt, and its time is the later one.
func TestSecondSendRecordOfAnAttemptIsNoFurtherAttempt(t *testing.T) {
	j := openJournal(t, t.TempDir(), 0)
	mustAppend(t, j, acceptRecord("a", 10), record{Op: opSend, ID: "a", SentAt: 1}, record{Op: opSend, ID: "a", SentAt: 2, Zone: 1})
	if e := j.Entry("a"); e.Attempts != 1 || !e.MaybeWritten || e.FirstMayHaveRunAt != 2 || e.FirstZone != 1 {
		t.Errorf("entry %+v, want one attempt sent at 2", e)
	}
	mustAppend(t, j, record{Op: opOutcome, ID: "a", MayHaveRun: true}, record{Op: opSend, ID: "a", SentAt: 3})
	if e := j.Entry("a"); e.Attempts != 2 || e.FirstMayHaveRunAt != 2 {
		t.Errorf("entry %+v, want a second attempt", e)
	}
}
