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

// Operations of the journal records of a message, from when it is accepted until it is delivered. The types of the
// records are private to the journal; their JSON is the format of the file and is stable.
const (
	opAccept = iota + 1
	opSend
	opOutcome
	opDone
)

// journalAppender returns a function that appends records, given as JSON, to the journal.
func journalAppender(t testing.TB, journal *node.Journal) func(records ...string) {
	method := reflect.ValueOf(journal).MethodByName("Append")
	if !method.IsValid() || method.Type().NumIn() != 1 || method.Type().In(0).Kind() != reflect.Slice {
		t.Fatal("node.Journal has no method Append that takes a slice of records")
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

// messageBody is a body of 256 bytes as JSON encodes it, in base64.
var messageBody = func() string {
	text, err := json.Marshal([]byte(strings.Repeat("x", 256)))
	if err != nil {
		panic(err)
	}
	return string(text)
}()

// acceptRecord returns the record of an accepted message as JSON.
func acceptRecord(id string) string {
	return fmt.Sprintf(`{"op":%d,"entry":{"id":%q,"key":"k-%s","class":"keyed","dest":12345,"deadline":1900000000000000,"body":%s}}`,
		opAccept, id, id, messageBody)
}

func openJournal(t testing.TB, dir string) *node.Journal {
	journal, err := node.OpenJournal(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	return journal
}

// fillJournal writes the records of n accepted messages.
func fillJournal(t testing.TB, dir string, n int) {
	journal := openJournal(t, dir)
	appendRecords := journalAppender(t, journal)
	var records []string
	for i := range n {
		if records = append(records, acceptRecord(fmt.Sprintf("message-%08d", i))); len(records) == 500 || i == n-1 {
			appendRecords(records...)
			records = nil
		}
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestScaleJournal measures replay and append by the number of entries held.
func TestScaleJournal(t *testing.T) {
	skipUnlessLarge(t)
	fixed := map[string]float64{"body_B": 256}
	replay := Series{Name: "journal: replay", XUnit: "entries", YUnit: "ms", TargetX: SenderBacklog, Limit: 10_000, Fixed: fixed,
		Note: "target: a backlog of 17.2 million at one sender; the limit is the time to ready of nine in ten restarts"}
	held := Series{Name: "journal: heap", XUnit: "entries", YUnit: "B", TargetX: SenderBacklog, Fixed: fixed}
	file := Series{Name: "journal: file", XUnit: "entries", YUnit: "B", TargetX: SenderBacklog, Fixed: fixed}
	appends := Series{Name: "journal: the four records of a message, ten messages an append", XUnit: "entries", YUnit: "us", TargetX: 30_000,
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
		appends.Points = append(appends.Points, Point{float64(n), messageRecordsCost(t, dir)})
	}
	report.AddSeries(replay)
	report.AddSeries(held)
	report.AddSeries(file)
	report.AddSeries(appends)
	messageCost := appends.Points[len(appends.Points)-1].Y
	report.AddFact(Fact{Name: "journal: share of a core at 2,037 messages a second, 30,000 held", Unit: "cores", Value: messageCost * SenderRate / 1e6,
		Limit: 1, Note: "the same goroutine decides and writes"})
}

// messageRecordsCost returns the processor time in microseconds to append the records of one message to the journal of
// dir.
func messageRecordsCost(t testing.TB, dir string) float64 {
	journal := openJournal(t, dir)
	defer journal.Close()
	method := reflect.ValueOf(journal).MethodByName("Append")
	messagesMade := 0
	newRound := func() (appends [][]reflect.Value) {
		var records [4][]string
		for range 10 {
			messagesMade++
			id := fmt.Sprintf("new-%08d", messagesMade)
			records[0] = append(records[0], acceptRecord(id))
			for i, text := range []string{`{"op":%d,"id":%q,"at":1900000000000000,"zone":3}`, `{"op":%d,"id":%q}`, `{"op":%d,"id":%q}`} {
				records[i+1] = append(records[i+1], fmt.Sprintf(text, opSend+i, id))
			}
		}
		for _, p := range records {
			v := reflect.New(method.Type().In(0))
			if err := json.Unmarshal([]byte("["+strings.Join(p, ",")+"]"), v.Interface()); err != nil {
				t.Fatal(err)
			}
			appends = append(appends, []reflect.Value{v.Elem()})
		}
		return appends
	}
	const rounds = 400 // 4,000 messages for each measurement, some 2.5 MB, so that rewrites of the file are included
	var pending [][]reflect.Value
	for range costRepeats * rounds {
		pending = append(pending, newRound()...)
	}
	return cpuMicros(rounds, func() {
		for range 4 {
			if err, _ := method.Call(pending[0])[0].Interface().(error); err != nil {
				t.Fatal(err)
			}
			pending = pending[1:]
		}
	}) / 10
}
