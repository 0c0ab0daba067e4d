package discovery

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"iter"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crossdeal/internal/wal"
)

const plenty = 64 << 20

var quiet = slog.New(slog.DiscardHandler)

// sample is an entry as discovery tells it of the destinations of a fleet.
func sample(i int) Instance {
	h := uint32(i) * 0x9e3779b1 // addresses are in no order
	return Instance{ID: fmt.Sprintf("s-%06d", i), HostPort: fmt.Sprintf("10.%d.%d.%d:%d", h>>24, h>>16&255, h>>8&255, 6379+h&7),
		Zone: fmt.Sprintf("zone-%d", i*7%6), Kind: []string{"small", "large"}[i*13%2], Dest: int64(i / 2), Lifecycle: "up",
		Weight: 1 + float64(i*31%4)/4}
}

func samples(from, to int) []Instance {
	var all []Instance
	for i := from; i < to; i++ {
		all = append(all, sample(i))
	}
	return all
}

func removed(in Instance) Instance {
	in.Lifecycle = "removed"
	return in
}

// table is a list by name.
type table map[string]Instance

func (l table) apply(rows []Instance) {
	for _, in := range rows {
		if in.Lifecycle == "removed" {
			delete(l, in.ID)
		} else {
			l[in.ID] = in
		}
	}
}

func tableOf(rows ...[]Instance) table {
	l := table{}
	for _, r := range rows {
		l.apply(r)
	}
	return l
}

// load reads a folder as the next process does.
func load(dir string) (Saved, table, error) {
	l := table{}
	n := 0
	saved, err := OpenStore(dir, plenty, quiet).Load(func(rows []Instance) error {
		n += len(rows)
		l.apply(rows)
		return nil
	})
	if err == nil && n != saved.Count {
		err = fmt.Errorf("%d rows handed out, but the count is %d", n, saved.Count)
	}
	return saved, l, err
}

func mustHold(t *testing.T, dir, origin string, generation int64, want table) {
	t.Helper()
	saved, got, err := load(dir)
	if err != nil {
		t.Fatal(err)
	}
	if saved.Origin != origin || saved.Generation != generation || !maps.Equal(got, want) {
		t.Fatalf("%+v with %d entries, want %s at %d with %d", saved, len(got), origin, generation, len(want))
	}
}

func mustReplace(t *testing.T, s *Store, generation int64, rows []Instance) {
	t.Helper()
	if err := s.Replace("o:1", generation, slices.Values(rows)); err != nil {
		t.Fatal(err)
	}
}

func mustUpdate(t *testing.T, s *Store, generation int64, rows ...Instance) {
	t.Helper()
	if err := s.Append(generation, rows); err != nil {
		t.Fatal(err)
	}
}

// reopen is the store of a process that has loaded what is there.
func reopen(t *testing.T, dir string) *Store {
	t.Helper()
	s := OpenStore(dir, plenty, quiet)
	if _, err := s.Load(func([]Instance) error { return nil }); err != nil {
		t.Fatal(err)
	}
	return s
}

// use counts the store's files as the platform does.
func use(t *testing.T, dir string) (sum int64) {
	t.Helper()
	for _, name := range []string{storeName, storeName + storeNewExt} {
		info, err := os.Stat(filepath.Join(dir, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		} else if err != nil {
			t.Fatal(err)
		}
		sum += (info.Size() + 511) / 512 * 512
	}
	return sum
}

// watched hands rows out and looks at the disk before each of them.
func watched(t *testing.T, dir string, budget int64, rows []Instance) iter.Seq[Instance] {
	return func(yield func(Instance) bool) {
		for i, in := range rows {
			if i%32 == 0 { // a chunk has more rows
				if sum := use(t, dir); sum > budget {
					t.Fatalf("%d bytes on disk, budget %d", sum, budget)
				}
			}
			if !yield(in) {
				return
			}
		}
	}
}

func readList(t *testing.T, dir string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, storeName))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// folder is a folder whose list has those bytes.
func folder(t *testing.T, text []byte) string {
	t.Helper()
	dir := t.TempDir()
	put(t, dir, text)
	return dir
}

func put(t testing.TB, dir string, text []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, storeName), text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// noNew fails if a rewrite has left its file.
func noNew(t *testing.T, dir string) {
	t.Helper()
	if _, err := os.Stat(filepath.Join(dir, storeName+storeNewExt)); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("the second file is left: %v", err)
	}
}

func TestStoreRoundTrip(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := load(dir); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("an empty folder: %v", err)
	}
	s := OpenStore(dir, plenty, quiet)
	if err := s.Append(1, samples(0, 1)); !errors.Is(err, errLacks) {
		t.Fatalf("an update of nothing: %v", err)
	}
	odd := Instance{ID: "ü \"quoted\" \x00 \u2028", HostPort: "[::1]:1", Dest: -1 << 62, Lifecycle: "odd", Weight: 1e-300}
	whole := append(samples(0, 1500), odd)
	mustReplace(t, s, -7, whole)
	want := tableOf(whole)
	mustHold(t, dir, "o:1", -7, want)
	// Updates of several sizes, one of them of nothing, one of a record that is compressed.
	for generation, update := range [][]Instance{{removed(sample(0))}, {}, {sample(2000), removed(sample(1)), odd}, samples(3000, 3700)} {
		mustUpdate(t, s, int64(generation), update...)
		want.apply(update)
		mustHold(t, dir, "o:1", int64(generation), want)
	}
	// The next process goes on where this one was.
	s = OpenStore(dir, plenty, quiet)
	if saved, err := s.Peek(); err != nil || saved != (Saved{"o:1", 3, 1501 + 1 + 3 + 700}) {
		t.Fatalf("%+v, %v", saved, err)
	}
	if err := s.Append(9, samples(7, 8)); !errors.Is(err, errLacks) {
		t.Fatalf("an update of what was not loaded: %v", err)
	}
	s = reopen(t, dir)
	mustUpdate(t, s, 9, sample(7))
	want.apply(samples(7, 8))
	mustHold(t, dir, "o:1", 9, want)
	// A whole list from elsewhere, with no entry at all.
	if err := s.Replace("o:2", 2, slices.Values([]Instance(nil))); err != nil {
		t.Fatal(err)
	}
	mustHold(t, dir, "o:2", 2, table{})
	mustUpdate(t, s, 3, sample(5))
	mustHold(t, dir, "o:2", 3, tableOf(samples(5, 6)))
	noNew(t, dir)
}

func TestStoreRefusesGenerationThatDoesNotRise(t *testing.T) {
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	mustReplace(t, s, 5, samples(0, 3))
	for _, generation := range []int64{5, 4, -1} {
		if err := s.Append(generation, nil); !errors.Is(err, errNotNewer) {
			t.Fatalf("generation %d: %v", generation, err)
		}
	}
	mustUpdate(t, s, 6, sample(3)) // nothing was lost with those
	// Rows that were refused are lacking: what comes later must not make it look as if they had not been told.
	if err := s.Append(6, samples(4, 5)); !errors.Is(err, errNotNewer) {
		t.Fatal(err)
	}
	if err := s.Append(7, samples(5, 6)); !errors.Is(err, errLacks) || !s.Stale() {
		t.Fatalf("behind a gap: %v, stale %v", err, s.Stale())
	}
	mustHold(t, dir, "o:1", 6, tableOf(samples(0, 4)))
	// Nor does it help to read the list again: whoever tells of updates is further on.
	if _, err := s.Load(func([]Instance) error { return nil }); err != nil {
		t.Fatal(err)
	}
	if err := s.Append(8, samples(6, 7)); !errors.Is(err, errLacks) {
		t.Fatalf("behind a gap: %v", err)
	}
	mustReplace(t, s, 7, samples(0, 6))
	mustUpdate(t, s, 8, sample(6))
	mustHold(t, dir, "o:1", 8, tableOf(samples(0, 7)))
}

// small is a small list with two updates: its bytes, where the snapshot and each update end, and what the list is there.
func small(t *testing.T) (text []byte, ends []int, lists []table) {
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	mustReplace(t, s, 10, samples(0, 3))
	note := func(l table) {
		ends = append(ends, len(readList(t, dir)))
		lists = append(lists, l)
	}
	note(tableOf(samples(0, 3)))
	mustUpdate(t, s, 11, removed(sample(1)), sample(8))
	note(tableOf(samples(0, 3), []Instance{removed(sample(1)), sample(8)}))
	more := samples(20, 60) // compressed
	mustUpdate(t, s, 12, more...)
	note(tableOf(samples(0, 3), []Instance{removed(sample(1)), sample(8)}, more))
	return readList(t, dir), ends, lists
}

// A process can die within a write, and a file can be cut: what is left is refused or a list that was one.
func TestStoreCutAtEveryByte(t *testing.T) {
	text, ends, lists := small(t)
	dir := t.TempDir()
	for at := range len(text) + 1 {
		put(t, dir, text[:at])
		saved, got, err := load(dir)
		if at < ends[0] {
			if err == nil || errors.Is(err, fs.ErrNotExist) || len(got) > 0 {
				t.Fatalf("cut at %d, within the snapshot: %v, %d entries", at, err, len(got))
			}
			continue
		}
		n := 0
		for n+1 < len(ends) && ends[n+1] <= at {
			n++
		}
		if err != nil || saved.Generation != int64(10+n) || !maps.Equal(got, lists[n]) {
			t.Fatalf("cut at %d: %+v, %d entries, %v", at, saved, len(got), err)
		}
		// What is appended then follows the last whole update.
		mustUpdate(t, reopen(t, dir), 50, sample(9))
		want := maps.Clone(lists[n])
		want.apply(samples(9, 10))
		mustHold(t, dir, "o:1", 50, want)
	}
}

func TestStoreFlippedAtEveryByte(t *testing.T) {
	text, ends, lists := small(t)
	dir := t.TempDir()
	for at := range text {
		for _, flip := range []byte{1, 0x20, 0x80, 0xff} {
			bad := bytes.Clone(text)
			bad[at] ^= flip
			put(t, dir, bad)
			saved, got, err := load(dir)
			if at < ends[0] {
				if err == nil || len(got) > 0 {
					t.Fatalf("flipped at %d, within the snapshot: %v, %d entries", at, err, len(got))
				}
				continue
			}
			n := 0
			for ends[n+1] <= at {
				n++
			}
			if err != nil || saved.Generation != int64(10+n) || !maps.Equal(got, lists[n]) {
				t.Fatalf("flipped at %d: %+v, %d entries, %v", at, saved, len(got), err)
			}
		}
	}
}

// What is whole by its sums and yet no list is refused, and the error says why.
func TestStoreRefuses(t *testing.T) {
	record := func(kind byte, rest string) string { return string(wal.Append(nil, append([]byte{kind}, rest...))) }
	chunk := func(n uint32, rows []Instance) string {
		var e encoder
		for _, in := range rows {
			if err := e.add(in); err != nil {
				t.Fatal(err)
			}
		}
		body, err := e.chunk()
		if err != nil {
			t.Fatal(err)
		}
		binary.LittleEndian.PutUint32(body[1:], n)
		return string(wal.Append(nil, body))
	}
	head := record(kindHeader, `{"form":1,"origin":"o:1","generation":4}`)
	three := chunk(3, samples(0, 3))
	last := record(kindEnd, `{"count":3,"generation":4}`)
	if saved, _, err := load(folder(t, []byte(head+three+last))); err != nil || saved != (Saved{"o:1", 4, 3}) {
		t.Fatalf("the good one: %+v, %v", saved, err)
	}
	for _, test := range []struct {
		how, text string
		want      error
	}{
		{"empty", "", errNoEnd},
		{"no header", three + last, errNoHeader},
		{"form", record(kindHeader, `{"form":2,"origin":"o:1","generation":4}`) + three + last, errForm},
		{"no end", head + three, errNoEnd},
		{"two headers", head + head + three + last, errBad},
		{"fewer rows", head + last, errCount},
		{"more rows", head + three + three + last, errCount},
		{"another generation", head + three + record(kindEnd, `{"count":3,"generation":5}`), errCount},
		{"end that is none", head + three + record(kindEnd, `3`), errBad},
		{"update before the end", head + three + record(kindUpdate, "\x05\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00[]") + last, errBad},
		{"kind", head + three + record(99, "") + last, errBad},
		{"short chunk", head + record(kindChunk, "abc") + last, errBad},
		{"chunk of fewer rows", head + chunk(3, samples(0, 2)) + last, errCount},
		{"chunk that is not compressed", head + record(kindChunk, "\x03\x00\x00\x00[]") + last, errBad},
		{"another file", "a text that someone has put here, for whatever reason", errBad},
	} {
		dir := folder(t, []byte(test.text))
		_, got, err := load(dir)
		if !errors.Is(err, test.want) || len(got) > 0 {
			t.Errorf("%s: %v, %d entries", test.how, err, len(got))
		}
		s := OpenStore(dir, plenty, quiet)
		if _, err := s.Load(func([]Instance) error { return nil }); err == nil {
			t.Errorf("%s: no error", test.how)
		}
		if err := s.Append(9, nil); !errors.Is(err, errLacks) || !s.Stale() {
			t.Errorf("%s: an update got %v, stale %v", test.how, err, s.Stale())
		}
		mustReplace(t, s, 5, samples(0, 1))
		mustHold(t, dir, "o:1", 5, tableOf(samples(0, 1)))
	}

	// Bad updates are cut off, whole ones stand.
	five := record(kindUpdate, "\x05\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00[]")
	for how, tail := range map[string]string{
		"generation":     five,
		"kind":           record(kindChunk, "12345678901234"),
		"short":          record(kindUpdate, "\x06"),
		"rows":           record(kindUpdate, "\x06\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00{}"),
		"count":          record(kindUpdate, "\x06\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\x00[]"),
		"not compressed": record(kindPacked, "\x06\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00[]"),
	} {
		later := record(kindUpdate, "\x09\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00[]")
		dir := folder(t, []byte(head+three+last+five+tail+later))
		var log bytes.Buffer
		s := OpenStore(dir, plenty, slog.New(slog.NewTextHandler(&log, nil)))
		saved, err := s.Load(func([]Instance) error { return nil })
		if err != nil || saved != (Saved{"o:1", 5, 3}) || strings.Count(log.String(), "\n") != 1 {
			t.Errorf("%s: %+v, %v, log:\n%s", how, saved, err, log.String())
		}
		if got := string(readList(t, dir)); got != head+three+last+five {
			t.Errorf("%s: the file is %q", how, got)
		}
		mustUpdate(t, s, 7, sample(3))
		mustHold(t, dir, "o:1", 7, tableOf(samples(0, 4)))
	}
}

// A list that is older than one that is known otherwise must not be used, nor gone on with.
func TestStoreLoadSince(t *testing.T) {
	dir := t.TempDir()
	mustReplace(t, OpenStore(dir, plenty, quiet), 4, samples(0, 3))
	s := reopen(t, dir)
	mustUpdate(t, s, 6, sample(3))
	for _, generation := range []int64{-1, 4, 6} {
		if saved, err := s.LoadSince(generation, func([]Instance) error { return nil }); err != nil || saved.Generation != 6 {
			t.Fatalf("asked for %d: %+v, %v", generation, saved, err)
		}
	}
	if _, err := s.LoadSince(7, func([]Instance) error { t.Error("a row was handed out"); return nil }); !errors.Is(err, errOld) {
		t.Fatal(err)
	}
	if err := s.Append(8, samples(9, 10)); !errors.Is(err, errLacks) || !s.Stale() {
		t.Fatalf("%v, stale %v", err, s.Stale())
	}
	mustHold(t, dir, "o:1", 6, tableOf(samples(0, 4)))
}

// Whoever can't take the rows goes on without them; what is appended then would stand behind a gap.
func TestStoreLoadNotTaken(t *testing.T) {
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	mustReplace(t, s, 4, samples(0, 3))
	full := errors.New("table full")
	if _, err := s.Load(func([]Instance) error { return full }); err != full {
		t.Fatal(err)
	}
	if err := s.Append(5, nil); !errors.Is(err, errLacks) {
		t.Fatal(err)
	}
}

// Until the rename the old list stands, wherever the process dies.
func TestStoreDeathWhileRewriting(t *testing.T) {
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	mustReplace(t, s, 1, samples(0, 30))
	mustUpdate(t, s, 2, sample(30))
	deaths := 0
	died := func() { // a copy of the folder is what the next process finds
		deaths++
		next := t.TempDir()
		if err := os.CopyFS(next, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
		mustHold(t, next, "o:1", 2, tableOf(samples(0, 31)))
		noNew(t, next)
	}
	err := s.Replace("o:1", 3, func(yield func(Instance) bool) {
		for i := range 1200 {
			if i%200 == 0 {
				died()
			}
			if !yield(sample(i)) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	// And with the second file whole, but not renamed.
	other := t.TempDir()
	mustReplace(t, OpenStore(other, plenty, quiet), 3, samples(0, 1200))
	next := folder(t, nil)
	mustReplace(t, OpenStore(next, plenty, quiet), 2, samples(0, 31))
	if err := os.WriteFile(filepath.Join(next, storeName+storeNewExt), readList(t, other), 0o600); err != nil {
		t.Fatal(err)
	}
	mustHold(t, next, "o:1", 2, tableOf(samples(0, 31)))
	noNew(t, next)
	mustHold(t, dir, "o:1", 3, tableOf(samples(0, 1200)))
	if deaths != 6 {
		t.Errorf("looked at %d deaths", deaths)
	}
}

// Every budget up to more than a rewrite needs: the files stay within it, what is there is a list that was one, and an
// error says that there was no room.
func TestStoreBudget(t *testing.T) {
	const n = 1100
	dir := t.TempDir()
	mustReplace(t, OpenStore(dir, plenty, quiet), 1, samples(0, n))
	length := use(t, dir)
	kept, rewritten := 0, 0
	for budget := int64(512); budget < 4*length; budget += 1024 {
		dir := t.TempDir()
		s := OpenStore(dir, budget, quiet)
		lists := map[int64]table{}
		want := table{}
		check := func(what string, err error) {
			t.Helper()
			if err != nil && !errors.Is(err, errNoRoom) && !errors.Is(err, errLacks) {
				t.Fatalf("budget %d, %s: %v", budget, what, err)
			}
			if sum := use(t, dir); sum > budget {
				t.Fatalf("budget %d, %s: %d bytes", budget, what, sum)
			}
			noNew(t, dir)
		}
		want.apply(samples(0, n))
		lists[1] = maps.Clone(want)
		err := s.Replace("o:1", 1, watched(t, dir, budget, samples(0, n)))
		check("first", err)
		if fits := length <= budget; fits != (err == nil) {
			t.Fatalf("budget %d of %d: %v", budget, length, err)
		}
		rewrites := 0
		for generation := int64(2); generation < 70; generation++ {
			update := samples(int(generation)*8, int(generation)*8+8)
			for i := range update {
				update[i].Weight = float64(generation)
			}
			want.apply(update)
			lists[generation] = maps.Clone(want)
			check("update", s.Append(generation, update))
			if s.Stale() {
				err := s.Replace("o:1", generation, watched(t, dir, budget, slices.Collect(maps.Values(want))))
				check("rewrite", err)
				if err == nil {
					rewrites++
				} else if s.Stale() {
					t.Fatalf("budget %d: a rewrite is due again, though it finds no room", budget)
				}
			}
		}
		saved, got, err := load(dir)
		if budget < length {
			if !errors.Is(err, fs.ErrNotExist) {
				t.Fatalf("budget %d: %v", budget, err)
			}
			continue
		}
		kept++
		if err != nil || !maps.Equal(got, lists[saved.Generation]) {
			t.Fatalf("budget %d: %+v, %d entries, %v", budget, saved, len(got), err)
		}
		if rewrites > 0 {
			rewritten++
		}
		if budget > 3*length && (saved.Generation != 69 || rewrites == 0) {
			t.Errorf("budget %d of %d: it stands at %d after %d rewrites", budget, length, saved.Generation, rewrites)
		}
	}
	t.Logf("a list of %d bytes: kept with %d budgets, rewritten with %d", length, kept, rewritten)
}

func TestStoreBudgetOfNothing(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "none")
	s := OpenStore(dir, 0, quiet)
	if _, err := s.Load(nil); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
	if err := s.Replace("o:1", 1, slices.Values(samples(0, 3))); err != nil {
		t.Error(err)
	}
	if err := s.Append(2, samples(0, 3)); err != nil {
		t.Error(err)
	}
	if s.Stale() {
		t.Error("stale")
	}
	if _, err := os.Stat(dir); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
}

// A budget that has become smaller than what is there holds from the first use on.
func TestStoreSmallerBudget(t *testing.T) {
	dir := t.TempDir()
	mustReplace(t, OpenStore(dir, plenty, quiet), 1, samples(0, 600))
	length := use(t, dir)
	s := OpenStore(dir, length, quiet)
	if saved, err := s.Peek(); err != nil || saved.Count != 600 {
		t.Fatalf("%+v, %v", saved, err)
	}
	s = OpenStore(dir, length-512, quiet)
	if _, err := s.Peek(); !errors.Is(err, fs.ErrNotExist) || use(t, dir) != 0 {
		t.Fatalf("%v, %d bytes", err, use(t, dir))
	}
}

// An error of a rewrite, whatever it is, leaves the old list and no second file.
func TestStoreRewriteFails(t *testing.T) {
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	mustReplace(t, s, 1, samples(0, 3))
	path := filepath.Join(dir, storeName+storeNewExt)
	huge := sample(1)
	huge.ID = strings.Repeat("long", mostRows/4)
	if err := s.Replace("o:1", 2, slices.Values([]Instance{sample(0), huge})); !errors.Is(err, errTooLarge) {
		t.Fatal(err)
	}
	noNew(t, dir)
	if err := os.Mkdir(path, 0o700); err != nil { // no file can be there
		t.Fatal(err)
	}
	if err := s.Replace("o:1", 2, slices.Values(samples(0, 5))); err == nil {
		t.Fatal("no error")
	}
	mustHold(t, dir, "o:1", 1, tableOf(samples(0, 3)))
	if err := s.Append(3, samples(5, 6)); !errors.Is(err, errLacks) || !s.Stale() {
		t.Fatalf("%v, stale %v", err, s.Stale())
	}
	mustReplace(t, s, 3, samples(0, 6))
	mustUpdate(t, s, 4, sample(6))
	mustHold(t, dir, "o:1", 4, tableOf(samples(0, 7)))
}

// A rewrite that fails at the generation that is saved costs nothing: the updates go on.
func TestStoreGoesOnWithoutRewrite(t *testing.T) {
	dir := t.TempDir()
	mustReplace(t, OpenStore(dir, plenty, quiet), 1, samples(0, 600))
	s := OpenStore(dir, use(t, dir)+4096, quiet)
	if _, err := s.Load(func([]Instance) error { return nil }); err != nil {
		t.Fatal(err)
	}
	mustUpdate(t, s, 2, sample(600))
	if err := s.Replace("o:1", 2, slices.Values(samples(0, 601))); !errors.Is(err, errNoRoom) || s.Stale() {
		t.Fatalf("%v, stale %v", err, s.Stale())
	}
	mustUpdate(t, s, 3, sample(601))
	mustHold(t, dir, "o:1", 3, tableOf(samples(0, 602)))
}

// Where an origin counts anew, its old generations name other lists: the old copy must not stand, even if the new one
// can't be written.
func TestStoreCountsAnew(t *testing.T) {
	dir := t.TempDir()
	mustReplace(t, OpenStore(dir, plenty, quiet), 100, samples(0, 3))
	s := OpenStore(dir, 4096, quiet)
	if err := s.Replace("o:1", 5, slices.Values(samples(0, 5000))); !errors.Is(err, errNoRoom) {
		t.Fatal(err)
	}
	if _, _, err := load(dir); !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	// One that is written is gone on with.
	mustReplace(t, s, 100, samples(0, 3))
	mustReplace(t, s, 5, samples(0, 4))
	mustUpdate(t, s, 6, sample(4))
	mustHold(t, dir, "o:1", 6, tableOf(samples(0, 5)))
	// That of another origin says so, and stays.
	mustReplace(t, s, 100, samples(0, 3))
	if err := s.Replace("o:2", 5, slices.Values(samples(0, 5000))); !errors.Is(err, errNoRoom) {
		t.Fatal(err)
	}
	mustHold(t, dir, "o:1", 100, tableOf(samples(0, 3)))
	if err := s.Append(101, nil); !errors.Is(err, errLacks) {
		t.Fatal(err)
	}
}

// A file that has changed under the store is not written to.
func TestStoreChangedBeneath(t *testing.T) {
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	mustReplace(t, s, 1, samples(0, 3))
	mustUpdate(t, reopen(t, dir), 2, sample(3))
	if err := s.Append(2, samples(4, 5)); err == nil || !s.Stale() {
		t.Fatalf("%v, stale %v", err, s.Stale())
	}
	mustHold(t, dir, "o:1", 2, tableOf(samples(0, 4)))
}

func TestStoreStaleAndRewrite(t *testing.T) {
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	mustReplace(t, s, 1, samples(0, 3000))
	snapshot := len(readList(t, dir))
	if snapshot/2 <= staleLeast {
		t.Fatalf("the snapshot of %d bytes is too small for this test", snapshot)
	}
	generation := int64(1)
	for ; !s.Stale(); generation++ {
		mustUpdate(t, s, generation+1, sample(int(generation)))
	}
	if updates := len(readList(t, dir)) - snapshot; updates <= snapshot/2 || updates > snapshot/2+512 {
		t.Errorf("stale with %d bytes of updates after %d", updates, snapshot)
	}
	mustReplace(t, s, generation, samples(0, 3000))
	if s.Stale() || len(readList(t, dir)) > snapshot+8 { // the generation has more digits
		t.Errorf("stale %v, %d bytes", s.Stale(), len(readList(t, dir)))
	}
	// A small list is not rewritten for each update.
	mustReplace(t, s, 10_000, samples(0, 1))
	updates := 0
	for ; !s.Stale(); updates++ {
		mustUpdate(t, s, int64(10_001+updates), sample(0))
	}
	if updates < 40 {
		t.Errorf("stale after %d updates", updates)
	}
}

// An update of more rows than a record holds is refused and the whole list is due.
func TestStoreHugeUpdate(t *testing.T) {
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	mustReplace(t, s, 1, samples(0, 3))
	if err := s.Append(2, samples(0, 60_000)); !errors.Is(err, errTooLarge) || !s.Stale() {
		t.Fatalf("%v, stale %v", err, s.Stale())
	}
	mustHold(t, dir, "o:1", 1, tableOf(samples(0, 3)))
}

// Whatever happens in whatever order, what is loaded is what the list was at the generation it names.
func TestStoreAnyOrder(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 30
	}
	loaded, refused := 0, 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 16))
		dir := t.TempDir()
		budget := int64(2000 + rng.IntN(60_000))
		s := OpenStore(dir, budget, quiet)
		history := map[string]map[int64]table{}
		origin, generation, now := "o:1", int64(1), table{}
		note := func() {
			if history[origin] == nil {
				history[origin] = map[int64]table{}
			}
			history[origin][generation] = maps.Clone(now)
		}
		note()
		for step := range 120 {
			where := fmt.Sprintf("seed %d, step %d", seed, step)
			switch action := rng.IntN(20); {
			case action < 11: // an update
				update := make([]Instance, rng.IntN(6))
				for i := range update {
					update[i] = sample(rng.IntN(300))
					update[i].Weight = float64(rng.IntN(1000))
					if rng.IntN(3) == 0 {
						update[i].Lifecycle = "removed"
					}
				}
				now.apply(update)
				generation += 1 + rng.Int64N(3)
				note()
				if err := s.Append(generation, update); err != nil && !errors.Is(err, errLacks) && !errors.Is(err, errNoRoom) {
					t.Fatalf("%s: %v", where, err)
				}
				if !s.Stale() {
					break
				}
				fallthrough
			case action < 13: // a whole list; sometimes of another origin, or counted anew
				if action >= 11 && rng.IntN(3) == 0 {
					origin = fmt.Sprint("o:", rng.IntN(3))
					generation = rng.Int64N(100)
					if known := history[origin]; len(known) > 0 { // it lost its count, and names other lists from now on
						generation = slices.Min(slices.Collect(maps.Keys(known))) - 1
						history[origin] = nil
					}
					for i := range rng.IntN(400) {
						now.apply([]Instance{sample(i)})
					}
					note()
				}
				err := s.Replace(origin, generation, watched(t, dir, budget, slices.Collect(maps.Values(now))))
				if err != nil && !errors.Is(err, errNoRoom) {
					t.Fatalf("%s: %v", where, err)
				}
			case action < 15: // a restart
				s = OpenStore(dir, budget, quiet)
			case action < 17: // a torn end, found by the next process
				if text, err := os.ReadFile(filepath.Join(dir, storeName)); err == nil && len(text) > 0 {
					text = text[:len(text)-rng.IntN(min(len(text), 200))]
					put(t, dir, text)
					s = OpenStore(dir, budget, quiet)
				}
			case action < 18: // a bit that flips
				if text, err := os.ReadFile(filepath.Join(dir, storeName)); err == nil && len(text) > 0 {
					text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
					put(t, dir, text)
					s = OpenStore(dir, budget, quiet)
				}
			default:
				got := table{}
				saved, err := s.Load(func(rows []Instance) error { got.apply(rows); return nil })
				if err != nil {
					refused++
					break
				}
				loaded++
				if want, ok := history[saved.Origin][saved.Generation]; !ok || !maps.Equal(got, want) {
					t.Fatalf("%s: %+v with %d entries; known %v with %d", where, saved, len(got), ok, len(want))
				}
				if saved.Origin == origin && saved.Generation == generation {
					break
				}
				// The process that loads it goes on from there.
				origin, generation, now = saved.Origin, saved.Generation, got
				for g := range history[origin] {
					if g > generation {
						delete(history[origin], g)
					}
				}
			}
			if sum := use(t, dir); sum > budget {
				t.Fatalf("%s: %d bytes, budget %d", where, sum, budget)
			}
		}
	}
	t.Logf("%d lists loaded, %d refused", loaded, refused)
	if loaded < seeds || refused < seeds/10 {
		t.Errorf("%d lists loaded, %d refused: the test says little", loaded, refused)
	}
}

// Whatever the file holds, it is refused or it is a list, and the next process reads the same one.
func FuzzStoreLoad(f *testing.F) {
	dir := f.TempDir()
	s := OpenStore(dir, plenty, quiet)
	if err := s.Replace("o:1", 10, slices.Values(samples(0, 3))); err != nil {
		f.Fatal(err)
	}
	for generation, update := range [][]Instance{{removed(sample(1)), sample(8)}, samples(20, 60)} {
		if err := s.Append(int64(11+generation), update); err != nil {
			f.Fatal(err)
		}
	}
	text, err := os.ReadFile(filepath.Join(dir, storeName))
	if err != nil {
		f.Fatal(err)
	}
	// The sums are set right, so that what is behind them is reached.
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		for rest := text; len(rest) > wal.HeaderLen; {
			n := int(binary.LittleEndian.Uint32(rest))
			if n == 0 || n > len(rest)-wal.HeaderLen {
				break
			}
			copy(rest, wal.Append(nil, rest[wal.HeaderLen:wal.HeaderLen+n]))
			rest = rest[wal.HeaderLen+n:]
		}
		dir := t.TempDir()
		put(t, dir, text)
		first, one, err := load(dir)
		if err != nil {
			if _, err := os.Stat(filepath.Join(dir, storeName)); err != nil {
				t.Fatal(err)
			}
			return
		}
		again, two, err := load(dir)
		if err != nil || again != first || !maps.EqualFunc(one, two, func(a, b Instance) bool { return fmt.Sprint(a) == fmt.Sprint(b) }) {
			t.Fatalf("first %+v, then %+v, %v", first, again, err)
		}
		if s := reopen(t, dir); first.Generation < math.MaxInt64 {
			mustUpdate(t, s, math.MaxInt64)
		}
	})
}

// Updates and rewrites come in order, from two goroutines, while a third reads.
func TestStoreConcurrent(t *testing.T) {
	const most = 100
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	at := func(generation int64) []Instance { return samples(0, 600+int(generation)) } // one more each time
	mustReplace(t, s, 0, at(0))
	var order sync.Mutex
	var last atomic.Int64 // generation that is told
	done := make(chan error, 3)
	go func() {
		defer last.Store(most)
		for generation := int64(1); generation <= most; generation++ {
			order.Lock()
			err := s.Append(generation, at(generation)[599+generation:])
			last.Store(generation)
			order.Unlock()
			if err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	go func() {
		for last.Load() < most {
			order.Lock()
			generation := last.Load()
			err := s.Replace("o:1", generation, slices.Values(at(generation)))
			order.Unlock()
			if err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	go func() {
		for last.Load() < most {
			s.Stale()
			var got table
			saved, err := s.Load(func(rows []Instance) error {
				if got == nil {
					got = table{}
				}
				got.apply(rows)
				return nil
			})
			if want := at(saved.Generation); err != nil || !maps.Equal(got, tableOf(want)) {
				done <- fmt.Errorf("%+v with %d entries, %v", saved, len(got), err)
				return
			}
		}
		done <- nil
	}()
	for range 3 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	mustHold(t, dir, "o:1", most, tableOf(at(most)))
}

// peak is the most heap in use while f runs, beyond what was in use before.
func peak(f func(look func())) uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	before, most := m.HeapInuse, uint64(0)
	f(func() {
		runtime.ReadMemStats(&m)
		if m.HeapInuse > before {
			most = max(most, m.HeapInuse-before)
		}
	})
	return most
}

// The bound of the list: rows come and go in a stream, and heap stays far under what they take as a whole.
func TestStoreAtSize(t *testing.T) {
	const n = 200_000
	all := func(yield func(Instance) bool) {
		for i := range n {
			if !yield(sample(i)) {
				return
			}
		}
	}
	dir := t.TempDir()
	s := OpenStore(dir, plenty, quiet)
	var raw int
	for in := range all {
		text, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		raw += len(text) + 1
	}
	start := time.Now()
	if err := s.Replace("o:1", 9, all); err != nil {
		t.Fatal(err)
	}
	wrote := time.Since(start)
	bytes := use(t, dir)
	start = time.Now()
	s = OpenStore(dir, plenty, quiet)
	if _, err := s.Peek(); err != nil {
		t.Fatal(err)
	}
	checked := time.Since(start)
	next := 0
	if saved, err := s.Load(func(rows []Instance) error {
		for _, in := range rows {
			if in != sample(next) {
				return fmt.Errorf("row %d is %+v", next, in)
			}
			next++
		}
		return nil
	}); err != nil || saved != (Saved{"o:1", 9, n}) || next != n {
		t.Fatalf("%+v, %v, %d rows", saved, err, next)
	}
	read := time.Since(start)
	writing := peak(func(look func()) {
		err := s.Replace("o:1", 10, func(yield func(Instance) bool) {
			i := 0
			for in := range all {
				if i++; i%4096 == 0 {
					look()
				}
				if !yield(in) {
					return
				}
			}
		})
		if err != nil {
			t.Error(err)
		}
	})
	reading := peak(func(look func()) {
		chunks := 0
		if _, err := OpenStore(dir, plenty, quiet).Load(func([]Instance) error {
			if chunks++; chunks%8 == 0 {
				look()
			}
			return nil
		}); err != nil {
			t.Error(err)
		}
	})
	t.Logf("%d rows, %d bytes of JSON: %d bytes on disk (%.1f a row), written in %v, checked in %v, read and compared in %v; "+
		"peak heap beyond the start %.1f MB writing, %.1f MB reading", n, raw, bytes, float64(bytes)/n, wrote, checked, read,
		float64(writing)/1e6, float64(reading)/1e6)
	if most := uint64(16 << 20); writing > most || reading > most {
		t.Errorf("heap over %d bytes", most)
	}
	if bytes > int64(raw)/4 {
		t.Errorf("%d bytes on disk for %d of JSON", bytes, raw)
	}
}

func BenchmarkStoreLoad(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			if err := OpenStore(dir, plenty, quiet).Replace("o:1", 1, slices.Values(samples(0, n))); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := OpenStore(dir, plenty, quiet).Load(func([]Instance) error { return nil }); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkStoreReplace(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := samples(0, n)
			s := OpenStore(b.TempDir(), plenty, quiet)
			b.ReportAllocs()
			for b.Loop() {
				if err := s.Replace("o:1", 1, slices.Values(all)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// An update costs what it holds, not what the list holds.
func BenchmarkStoreAppend(b *testing.B) {
	for _, n := range []int{1000, 200_000} {
		for _, k := range []int{1, 100} {
			b.Run(fmt.Sprint(k, "-to-", n), func(b *testing.B) {
				s := OpenStore(b.TempDir(), 1<<40, quiet)
				if err := s.Replace("o:1", 1, slices.Values(samples(0, n))); err != nil {
					b.Fatal(err)
				}
				update := samples(0, k)
				b.ReportAllocs()
				for generation := int64(2); b.Loop(); generation++ {
					if err := s.Append(generation, update); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
