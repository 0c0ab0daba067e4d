package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"crossdeal/internal/node"
)

// The journal's records are its own; their JSON is the format of the file and stays. These are the records of a message
// from when it is taken on until it is delivered.
const (
	opAccept = iota + 1
	opSend
	opOutcome
	opDone
)

// journalAppender returns a function that appends records, given as their JSON, to the journal.
func journalAppender(t testing.TB, j *node.Journal) func(records ...string) {
	method := reflect.ValueOf(j).MethodByName("Append")
	if !method.IsValid() || method.Type().NumIn() != 1 || method.Type().In(0).Kind() != reflect.Slice {
		t.Fatal("node.Journal has no Append of records any more")
	}
	return func(records ...string) {
		v := reflect.New(method.Type().In(0))
		if err := json.Unmarshal([]byte("["+strings.Join(records, ",")+"]"), v.Interface()); err != nil {
			t.Fatal(err)
		}
		if err, _ := method.Call([]reflect.Value{v.Elem()})[0].Interface().(error); err != nil {
			t.Fatal(err)
		}
	}
}

// messageBody is one of 256 bytes, in the base64 of JSON.
var messageBody = func() string {
	text, err := json.Marshal([]byte(strings.Repeat("x", 256)))
	if err != nil {
		panic(err)
	}
	return string(text)
}()

func acceptRecord(id string) string {
	return fmt.Sprintf(`{"op":%d,"entry":{"id":%q,"key":"k-%s","class":"keyed","dest":12345,"deadline":1900000000000000,"body":%s}}`,
		opAccept, id, id, messageBody)
}

func openJournal(t testing.TB, dir string) *node.Journal {
	j, err := node.OpenJournal(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// fillJournal takes on n messages.
func fillJournal(t testing.TB, dir string, n int) {
	j := openJournal(t, dir)
	add := journalAppender(t, j)
	var recs []string
	for i := range n {
		if recs = append(recs, acceptRecord(fmt.Sprintf("message-%08d", i))); len(recs) == 500 || i == n-1 {
			add(recs...)
			recs = nil
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestScaleJournal measures replay and append against the entries held.
func TestScaleJournal(t *testing.T) {
	skipUnlessLarge(t)
	fixed := map[string]float64{"body_B": 256}
	replay := Series{Name: "journal: replay", XUnit: "entries", YUnit: "ms", TargetX: SenderBacklog, Limit: 10_000, Fixed: fixed,
		Note: "target: a backlog of 17.2 million at one sender; the limit is the time to ready of nine in ten restarts"}
	held := Series{Name: "journal: heap", XUnit: "entries", YUnit: "B", TargetX: SenderBacklog, Fixed: fixed}
	file := Series{Name: "journal: file", XUnit: "entries", YUnit: "B", TargetX: SenderBacklog, Fixed: fixed}
	add := Series{Name: "journal: the four records of a message, ten messages an append", XUnit: "entries", YUnit: "us", TargetX: 30_000,
		Fixed: fixed, Note: "with the writing of the file and its rewrites"}
	for _, n := range []int{1000, 5000, 20_000, 30_000} {
		dir := t.TempDir()
		fillJournal(t, dir, n)
		replay.Points = append(replay.Points, Point{float64(n), cpuMicros(1, func() {
			if err := openJournal(t, dir).Close(); err != nil {
				t.Fatal(err)
			}
		}) / 1000})
		held.Points = append(held.Points, Point{float64(n), heapBytes(func() *node.Journal { return openJournal(t, dir) })})
		info, err := os.Stat(filepath.Join(dir, "journal"))
		if err != nil {
			t.Fatal(err)
		}
		file.Points = append(file.Points, Point{float64(n), float64(info.Size())})
		add.Points = append(add.Points, Point{float64(n), messageRecordsCost(t, dir)})
	}
	report.AddSeries(replay)
	report.AddSeries(held)
	report.AddSeries(file)
	report.AddSeries(add)
	cost := add.Points[len(add.Points)-1].Y
	report.AddFact(Fact{Name: "journal: share of a core at 2,037 messages a second, 30,000 held", Unit: "cores", Value: cost * SenderRate / 1e6,
		Limit: 1, Note: "the same goroutine decides and writes"})
}

// messageRecordsCost is what the records of one message cost, in microseconds, in a journal that holds what dir has.
func messageRecordsCost(t testing.TB, dir string) float64 {
	j := openJournal(t, dir)
	defer j.Close()
	method := reflect.ValueOf(j).MethodByName("Append")
	made := 0
	round := func() (steps [][]reflect.Value) {
		var parts [4][]string
		for range 10 {
			made++
			id := fmt.Sprintf("new-%08d", made)
			parts[0] = append(parts[0], acceptRecord(id))
			for i, text := range []string{`{"op":%d,"id":%q,"at":1900000000000000,"zone":3}`, `{"op":%d,"id":%q}`, `{"op":%d,"id":%q}`} {
				parts[i+1] = append(parts[i+1], fmt.Sprintf(text, opSend+i, id))
			}
		}
		for _, p := range parts {
			v := reflect.New(method.Type().In(0))
			if err := json.Unmarshal([]byte("["+strings.Join(p, ",")+"]"), v.Interface()); err != nil {
				t.Fatal(err)
			}
			steps = append(steps, []reflect.Value{v.Elem()})
		}
		return steps
	}
	const rounds = 400 // 4,000 messages each time: some 2.5 MB, so that rewrites have their part
	var work [][]reflect.Value
	for range costRepeats * rounds {
		work = append(work, round()...)
	}
	return cpuMicros(rounds, func() {
		for range 4 {
			if err, _ := method.Call(work[0])[0].Interface().(error); err != nil {
				t.Fatal(err)
			}
			work = work[1:]
		}
	}) / 10
}
