package discovery

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"crossdeal/logic"
)

func mustReadAnswer(t testing.TB, d *Directory, in io.Reader) *answer {
	t.Helper()
	a, err := d.readAnswer(in, 0)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// describeRows returns the name and lifecycle of each row.
func describeRows(rows []Instance) string {
	var out []string
	for _, in := range rows {
		out = append(out, in.ID+" "+in.Lifecycle)
	}
	return strings.Join(out, ", ")
}

const threeInstances = `{"generation":1,"reset":true,"instances":[
{"instanceId":"a","hostPort":"h:1","zone":"z","machineType":"m","cell":1,"lifecycle":"up","weight":2},
{"instanceId":"b","hostPort":"h:2","zone":"z","machineType":"m","cell":1,"lifecycle":"up","weight":2},
{"instanceId":"c","hostPort":"h:3","zone":"z","machineType":"m","cell":2,"lifecycle":"up","weight":2}]}`

// A whole list is reduced to what it changes: rows that differ in any field, and endpoints that it does not name.
func TestWholeListIsReducedToChanges(t *testing.T) {
	d := NewDirectory([]string{"z"}, nil)
	first := mustReadAnswer(t, d, strings.NewReader(threeInstances))
	if got := describeRows(first.Rows); got != "a up, b up, c up" || !first.Whole || first.rowCount != 3 {
		t.Fatalf("first list: %s, %+v", got, first)
	}
	d.Apply(&first.Update, time.Now())
	if same := mustReadAnswer(t, d, strings.NewReader(threeInstances)); len(same.Rows) != 0 || !same.Whole ||
		same.rowCount != 3 {
		t.Errorf("the same list again: %+v", same)
	}
	b := `{"instanceId":"b","hostPort":"h:2","zone":"z","machineType":"m","cell":1,"lifecycle":"up","weight":2}`
	for _, x := range [][2]string{{`"h:2"`, `"h:4"`}, {`"cell":1`, `"cell":3`}, {`"up"`, `"draining"`}, {`"weight":2`, `"weight":3`},
		{`"z"`, `"y"`}, {`"m"`, `"n"`}} {
		a := mustReadAnswer(t, d, strings.NewReader(strings.Replace(threeInstances, b, strings.Replace(b, x[0], x[1], 1), 1)))
		if len(a.Rows) != 1 || a.Rows[0].ID != "b" {
			t.Errorf("%s for %s: changes %s", x[1], x[0], describeRows(a.Rows))
		}
	}
	withoutB := mustReadAnswer(t, d, strings.NewReader(strings.Replace(threeInstances, b+",\n", "", 1)))
	if got := describeRows(withoutB.Rows); got != "b removed" {
		t.Errorf("without b: changes %s", got)
	}
	rows := d.Apply(&withoutB.Update, time.Now())
	if len(rows) != 1 || rows[0].State != logic.Removed || d.Len() != 2 {
		t.Errorf("without b: entries %+v, %d are listed", rows, d.Len())
	}
}

// Generation and reset may come after the rows, the text may be indented and arrive in pieces, and unknown fields are
// skipped.
func TestFieldsInAnyOrder(t *testing.T) {
	d := NewDirectory(nil, nil)
	applyList(d, List{Reset: true, Instances: []Instance{{ID: "a", HostPort: "h:1", Lifecycle: "up"},
		{ID: "x", HostPort: "h:9", Lifecycle: "up"}}})
	text := `{"more":[{"instances":[1,{"a":null}]},"}"],"instances":[{"lifecycle":"up","hostPort":"h:1","instanceId":"a","startedAtMs":0},
	{"hostPort":"h:2","instanceId":"b","tags":{"x":[1,2]},"lifecycle":"up"}],"reset":true,"generation":7}`
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatal(err)
	}
	indented, _ := json.MarshalIndent(value, "", "\t\t")
	for _, text := range []string{text, string(indented)} {
		a := mustReadAnswer(t, d, iotest.OneByteReader(strings.NewReader(text)))
		if got := describeRows(a.Rows); got != "x removed, b up" || a.Generation != 7 || !a.Whole || a.UnusableRows != 0 {
			t.Errorf("changes %s, %+v", got, a)
		}
	}
}

// An answer that is truncated at any byte is rejected and leaves the directory unchanged.
func TestTruncatedAnswersAreRejected(t *testing.T) {
	d := NewDirectory(nil, nil)
	for i := range threeInstances {
		if _, err := d.readAnswer(strings.NewReader(threeInstances[:i]), 0); err == nil {
			t.Errorf("%q is accepted", threeInstances[:i])
		}
	}
	if d.Len() != 0 || d.lastID != 0 {
		t.Errorf("%d listed, last number %d", d.Len(), d.lastID)
	}
}

// Malformed rows are counted and leave the endpoints that they name unchanged, also in a whole list. Of several rows
// with the same id the last one counts. A whole list with only malformed rows is rejected.
func TestMalformedRowsInAnswer(t *testing.T) {
	row := func(id, rest string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"h:7","lifecycle":"up",%s}`, id, rest)
	}
	for _, x := range []struct {
		rows, want           string
		unusable, duplicates int
	}{
		{row("a", `"cell":-1`) + "," + row("n", `"cell":-9`), "b removed, c removed, ok up", 2, 0},
		{row("a", `"cell":99999999999999999999`), "b removed, c removed, ok up", 1, 0},
		{row("a", `"cell":1.5`) + `,7,null,"x",[]`, "b removed, c removed, ok up", 5, 0},
		{row("a", `"cell":1,"weight":1e999`), "b removed, c removed, ok up", 1, 0},
		{row("", `"cell":1`) + `,{"hostPort":"h:1","lifecycle":"up"}`, "a removed, b removed, c removed, ok up", 2, 0},
		{row("a", `"cell":5`) + "," + row("a", `"cell":6`), "b removed, c removed, a up, ok up", 0, 1},
		{row("n", `"cell":5`) + "," + row("n", `"cell":6`) + "," + row("n", `"cell":7`), "a removed, b removed, c removed, n up, ok up", 0, 2},
	} {
		d := NewDirectory([]string{"z"}, nil)
		first := mustReadAnswer(t, d, strings.NewReader(threeInstances))
		d.Apply(&first.Update, time.Now())
		a := mustReadAnswer(t, d, strings.NewReader(`{"generation":2,"reset":true,"instances":[`+
			x.rows+","+row("ok", `"cell":1`)+`]}`))
		if got := describeRows(a.Rows); got != x.want || a.UnusableRows != x.unusable || a.DuplicateRows != x.duplicates {
			t.Errorf("%s: changes %s, %d unusable, %d duplicates", x.rows, got, a.UnusableRows, a.DuplicateRows)
		}
		if i := slices.IndexFunc(a.Rows, func(in Instance) bool { return in.ID == "a" && in.Lifecycle == "up" }); i >= 0 &&
			a.Rows[i].Destination != 6 {
			t.Errorf("%s: a is %+v, want the last row", x.rows, a.Rows[i])
		}
		if a, err := d.readAnswer(strings.NewReader(
			`{"generation":2,"reset":true,"instances":[7,{"hostPort":"h:1"}]}`), 0); err == nil {
			t.Errorf("a list with only malformed rows is accepted: %+v", a)
		}
	}
}

// An answer with a value that never ends is abandoned before much of the value is kept in memory.
func TestEndlessValueIsRejected(t *testing.T) {
	for _, begin := range []string{`{"instances":[{"instanceId":"`, `{"`, `{"more":"`, `{"generation":`, `{"instances":[{"x":[`} {
		text := &countingReader{input: io.MultiReader(strings.NewReader(begin), endlessReader("1,"[:1]))}
		if _, err := NewDirectory(nil, nil).readAnswer(text, 0); err == nil || text.bytesRead > 4*maxValueBytes {
			t.Errorf("%s: %d bytes read, %v", begin, text.bytesRead, err)
		}
	}
}

type endlessReader string

func (e endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = e[i%len(e)]
	}
	return len(b), nil
}

type countingReader struct {
	input     io.Reader
	bytesRead int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.input.Read(b)
	c.bytesRead += n
	return n, err
}

// For any sequence of lists, the decision logic reaches the same state with the reduced lists as with the full ones.
func TestReducedListsGiveSameState(t *testing.T) {
	type endpointView struct {
		zone, kind  int
		destination int64
		state       logic.EndpointState
		weight      float64
		address     string
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		d := NewDirectory([]string{"z0", "z1"}, []logic.Kind{{Name: "m0"}, {Name: "m1"}})
		want, got := map[string]endpointView{}, map[string]endpointView{}
		for range 40 {
			l := List{Generation: 1, Reset: rng.IntN(3) == 0}
			for range rng.IntN(12) {
				l.Instances = append(l.Instances, Instance{ID: fmt.Sprint("i", rng.IntN(10)), HostPort: fmt.Sprint("h:", 1+rng.IntN(2)),
					Zone: fmt.Sprint("z", rng.IntN(3)), Kind: fmt.Sprint("m", rng.IntN(3)), Destination: rng.Int64N(2),
					Lifecycle: []string{"up", "up", "draining", "removed"}[rng.IntN(4)], Weight: float64(rng.IntN(2))})
			}
			if l.Reset && len(l.Instances) == 0 {
				l.Instances = []Instance{}
			}
			if l.Reset {
				clear(want)
			}
			for _, in := range l.Instances {
				zone, kind := slices.Index([]string{"z0", "z1"}, in.Zone), slices.Index([]string{"m0", "m1"}, in.Kind)
				if in.Lifecycle == "removed" {
					delete(want, in.ID)
				} else if in.Lifecycle == "up" {
					want[in.ID] = endpointView{zone, kind, in.Destination, logic.Ready, in.Weight, in.HostPort}
				} else {
					want[in.ID] = endpointView{zone, kind, in.Destination, logic.Draining, in.Weight, in.HostPort}
				}
			}
			text, _ := json.Marshal(l)
			a := mustReadAnswer(t, d, strings.NewReader(string(text)))
			names := map[logic.EndpointID]string{}
			rows := d.Apply(&a.Update, time.Now())
			for name, id := range d.Names() {
				names[id] = name
			}
			for _, row := range rows {
				target, _ := d.Target(row.Endpoint)
				if row.State == logic.Removed {
					delete(got, names[row.Endpoint])
				} else {
					got[names[row.Endpoint]] = endpointView{row.Zone, row.Kind, row.Destination, row.State, row.Nominal, target.Address}
				}
			}
			if !maps.Equal(got, want) || d.Len() != len(want) {
				t.Fatalf("seed %d: the decision logic has %v, want %v", seed, got, want)
			}
			if again := mustReadAnswer(t, d, strings.NewReader(string(text))); l.Reset && again.DuplicateRows == 0 &&
				len(again.Rows) != 0 {
				t.Fatalf("seed %d: the same list again changes %s", seed, describeRows(again.Rows))
			}
		}
		copied := NewDirectory([]string{"z0", "z1"}, []logic.Kind{{Name: "m0"}, {Name: "m1"}})
		u := copied.Diff(List{Reset: true, Instances: slices.Collect(d.Listed())})
		if copied.Apply(&u, time.Now()); copied.Len() != len(want) || len(u.Rows) != len(want) {
			t.Fatalf("seed %d: a copy has %d of %d", seed, copied.Len(), len(want))
		}
	}
}

// writeWholeList writes a whole list as discovery would, with two entries per destination.
func writeWholeList(w io.Writer, generation int64, entries int) {
	fmt.Fprintf(w, `{"generation":%d,"reset":true,"instances":[`, generation)
	for i := range entries {
		if i > 0 {
			io.WriteString(w, ",\n")
		}
		fmt.Fprintf(w, `{"instanceId":"s-%08x","hostPort":"10.%d.%d.%d:6379","zone":"zone-%d","machineType":"m2","cell":%d,"lifecycle":"up","weight":1.0,"startedAtMs":0}`,
			i, i>>16&255, i>>8&255, i&255, i%6, i/2)
	}
	io.WriteString(w, "]}")
}

// An answer is read as a stream: the memory that a known whole list takes, beyond the directory, does not grow with its
// size. The test allows 64 allocated bytes for each entry.
func TestKnownListIsReadInBoundedMemory(t *testing.T) {
	d := NewDirectory(nil, nil)
	var text strings.Builder
	const entries = 20000
	writeWholeList(&text, 1, entries)
	first := mustReadAnswer(t, d, strings.NewReader(text.String()))
	if len(first.Rows) != entries || len(d.Apply(&first.Update, time.Now())) != entries {
		t.Fatalf("%d rows", len(first.Rows))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	again := mustReadAnswer(t, d, strings.NewReader(text.String()))
	runtime.ReadMemStats(&after)
	if each := float64(after.TotalAlloc-before.TotalAlloc) / entries; len(again.Rows) != 0 || each > 64 {
		t.Errorf("%d rows, %.0f bytes allocated for each entry", len(again.Rows), each)
	}
}

// The cost of one change does not depend on the size of the list.
func TestCostOfOneChangeIsIndependentOfListSize(t *testing.T) {
	cost := func(entries int) float64 {
		d := NewDirectory(nil, nil)
		pr, pw := io.Pipe()
		go func() { writeWholeList(pw, 1, entries); pw.Close() }()
		first := mustReadAnswer(t, d, pr)
		d.Apply(&first.Update, time.Now())
		i := 0
		return testing.AllocsPerRun(100, func() {
			i++
			u := d.Diff(List{Instances: []Instance{{ID: "s-00000001", HostPort: "h:1", Destination: int64(i), Lifecycle: "up"}}})
			if rows := d.Apply(&u, time.Now()); len(rows) != 1 {
				t.Fatalf("%d rows", len(rows))
			}
		})
	}
	if small, large := cost(100), cost(20000); large > small+1 {
		t.Errorf("%.0f allocations among 100, %.0f among 20000", small, large)
	}
}

// BenchmarkReadWholeList reads a whole list of 200,000 entries, all new or all known.
func BenchmarkReadWholeList(b *testing.B) {
	var text strings.Builder
	writeWholeList(&text, 1, 200000)
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprintf("known=%v", known), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(text.Len()))
			d := NewDirectory(nil, nil)
			if known {
				a := mustReadAnswer(b, d, strings.NewReader(text.String()))
				d.Apply(&a.Update, time.Now())
			}
			peak := peakHeap(b)
			for b.Loop() {
				a := mustReadAnswer(b, d, strings.NewReader(text.String()))
				if !known {
					d = NewDirectory(nil, nil)
					d.Apply(&a.Update, time.Now())
				}
			}
			b.ReportMetric(peak()/1e6, "peak-MB")
		})
	}
}

// peakHeap samples the heap until the returned function is called, which returns its largest growth in bytes.
func peakHeap(b *testing.B) func() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	base, peak := m.HeapAlloc, uint64(0)
	stop, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
		}
	}()
	return func() float64 {
		close(stop)
		<-done
		return float64(max(peak, base) - base)
	}
}

// BenchmarkOneChange applies one change to directories of several sizes.
func BenchmarkOneChange(b *testing.B) {
	for _, entries := range []int{200, 2000, 20000, 200000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var text strings.Builder
			writeWholeList(&text, 1, entries)
			d := NewDirectory(nil, nil)
			a := mustReadAnswer(b, d, strings.NewReader(text.String()))
			d.Apply(&a.Update, time.Now())
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a := mustReadAnswer(b, d, strings.NewReader(fmt.Sprintf(
					`{"generation":2,"reset":false,"instances":[{"instanceId":"s-%08x","hostPort":"h:1","cell":%d,"lifecycle":"up"}]}`, i%entries, i)))
				if rows := d.Apply(&a.Update, time.Now()); len(rows) != 1 {
					b.Fatalf("%d rows", len(rows))
				}
			}
		})
	}
}
