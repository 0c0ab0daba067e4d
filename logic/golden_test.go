package logic

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
)

var record = flag.Bool("record", false, "write the hashes of the actions anew; only where decisions are meant to change")

const goldenFile = "testdata/actions.json"

// golden is a seeded stream of events over many destinations with long silences, and the hash of what a Sender does
// with it.
type golden struct {
	t       *testing.T
	set     Settings
	rnd     *rand.Rand
	s       *Sender
	now     Micros
	rows    []Entry
	pending []goldenEvent // by time
	owed    map[string]*goldenMessage
	ids     int
	down    map[int64]Micros // until when a destination is down
	how     map[int64]Outcome
	sum     hash.Hash
	actions int
	swaps   int
}

type goldenEvent struct {
	at Micros
	ev Event
}

type goldenMessage struct{ tries int }

func newGolden(t *testing.T, set Settings, seed uint64) *golden {
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &golden{t: t, set: set, rnd: rand.New(rand.NewPCG(seed, 2)), s: s, owed: map[string]*goldenMessage{},
		down: map[int64]Micros{}, how: map[int64]Outcome{}, sum: sha256.New()}
}

func (g *golden) step(evs ...Event) {
	for _, a := range g.s.Step(g.now, evs) {
		g.actions++
		fmt.Fprintf(g.sum, "%d %#v\n", g.now, a)
		switch a := a.(type) {
		case CallOut:
			g.call(a)
		case Cancel:
			for i, p := range g.pending {
				if r, ok := p.ev.(Reply); ok && r.ID == a.ID && r.Attempt == a.Attempt {
					r.Outcome, r.Wait, r.NoMore = Recalled, 0, false
					g.pending = slices.Delete(g.pending, i, i+1)
					g.push(g.now+g.set.Tick, r)
					break
				}
			}
		case Refuse:
			delete(g.owed, a.ID)
		case Fail:
			delete(g.owed, a.ID)
		case SetTimer:
			g.push(g.now+a.Wait, Due{a.Token})
		}
	}
}

func (g *golden) push(at Micros, ev Event) {
	i := len(g.pending)
	for i > 0 && g.pending[i-1].at > at {
		i--
	}
	g.pending = slices.Insert(g.pending, i, goldenEvent{at, ev})
}

func (g *golden) call(a CallOut) {
	m := g.owed[a.ID]
	r := Reply{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.tries, Outcome: Completed, NoMore: true}
	m.tries++
	var dest int64
	for _, row := range g.rows {
		if row.Endpoint == a.Endpoint {
			dest = row.Dest
		}
	}
	took := Micros(20_000+10_000*(dest%7)) + Micros(g.rnd.ExpFloat64()*30_000)
	if g.rnd.IntN(30) == 0 {
		took *= 40
	}
	switch x := g.rnd.IntN(200); {
	case g.now < g.down[dest]:
		r.Outcome, r.NoMore = g.how[dest], false
	case x < 3:
		r.Outcome, r.NoMore = Errored, false
	case x < 5:
		r.Outcome, r.NoMore = Severed, false
	case x < 12:
		r.Outcome, r.NoMore = Full, false
	}
	if r.Outcome == Full && g.rnd.IntN(2) == 0 {
		r.Wait = Micros(g.rnd.IntN(4_000_000))
	}
	if r.Outcome == Overdue || took >= a.GiveUp {
		r.Outcome, r.NoMore, took = Overdue, false, a.GiveUp
	}
	r.Took = took
	if g.set.ReportLimit >= 0 && r.Outcome != Overdue {
		r.Load = []float64{g.rnd.Float64(), 20 + 20*g.rnd.Float64()}
	}
	g.push(g.now+took, r)
}

func (g *golden) message(dest int64) Event {
	g.ids++
	c := g.rnd.IntN(len(g.set.Classes))
	ev := Call{ID: fmt.Sprint("g", g.ids), Left: g.set.Classes[c].Deadline, Dest: dest, Tenant: -1, Class: c}
	if g.rnd.IntN(50) == 0 {
		ev.Past = Past{Kept: true, Tries: g.rnd.IntN(2)}
	}
	g.owed[ev.ID] = &goldenMessage{tries: ev.Past.Tries}
	return ev
}

// change is news of the list.
func (g *golden) change() Event {
	i := g.rnd.IntN(len(g.rows))
	row := &g.rows[i]
	switch g.rnd.IntN(8) {
	case 0:
		row.State = Draining
	case 1:
		row.State = Gone
	case 2: // a whole list without some
		ev := Endpoints{Form: ListFull}
		for j, row := range g.rows {
			if row.State != Gone && j%17 != i%17 {
				ev.Entries = append(ev.Entries, row)
			}
		}
		return ev
	case 3:
		ev := Endpoints{Form: ListFull}
		for j := range g.rows {
			g.rows[j].State = Ready
			ev.Entries = append(ev.Entries, g.rows[j])
		}
		return ev
	case 4: // moves to another destination
		row.Dest, row.State = g.rows[g.rnd.IntN(len(g.rows))].Dest, Ready
	case 5: // a new one
		g.rows = append(g.rows, Entry{Endpoint: EndpointID(1000 + len(g.rows)), Dest: row.Dest, Kind: row.Kind, Zone: row.Zone,
			Nominal: row.Nominal})
		row = &g.rows[len(g.rows)-1]
	default:
		row.State = Ready
	}
	return Endpoints{Form: ListDelta, Entries: []Entry{*row, {Endpoint: 77_777, State: Gone}}}
}

// play runs some minutes, with a sender that goes on for the one before now and then.
func (g *golden) play(dests int, swap bool) string {
	for d := range dests {
		for e := range 1 + d%3 {
			g.rows = append(g.rows, Entry{Endpoint: EndpointID(10*d + e + 1), Dest: int64(d), Kind: d % len(g.set.Kinds),
				Zone: e % max(g.set.Zones, 1), Nominal: float64(5 + d%40)})
		}
	}
	g.step(Endpoints{Form: ListCached, Entries: slices.Clone(g.rows), Old: g.rnd.IntN(2) == 0})
	for i := range 1200 {
		g.now += Micros(g.rnd.IntN(30_000))
		var evs []Event
		switch x := g.rnd.IntN(1000); {
		case x < 20:
			evs = append(evs, g.change())
		case x < 24:
			evs = append(evs, Endpoints{Form: ListWatched})
		case x < 27:
			evs = append(evs, Endpoints{Form: ListFailed})
		case x < 34:
			d := int64(g.rnd.IntN(dests / 2))
			g.down[d] = g.now + Micros(g.rnd.IntN(20))*Second
			g.how[d] = []Outcome{RefusedConn, Errored, Overdue, Full}[g.rnd.IntN(4)]
		case x < 36:
			evs = append(evs, TakeOut{g.rows[g.rnd.IntN(len(g.rows))].Endpoint})
		case x < 40:
			evs = append(evs, PutBack{g.rows[g.rnd.IntN(len(g.rows))].Endpoint})
		case x < 42:
			evs = append(evs, Moved{})
		case x < 44 && g.ids > 0:
			evs = append(evs, ClientGone{fmt.Sprint("g", 1+g.rnd.IntN(g.ids))})
		case x < 60: // a clump
			for range 10 {
				evs = append(evs, g.message(int64(g.rnd.IntN(1+dests/8))))
			}
		case x < 900:
			evs = append(evs, g.message(int64(float64(dests)*g.rnd.Float64()*g.rnd.Float64())))
		}
		if i%600 == 500 { // a silence in which what was learned ages
			for len(g.pending) > 0 && g.pending[0].at < g.now+20*Second {
				g.next(g.pending[0].at)
			}
			g.now += Micros(g.rnd.IntN(200)) * Second
		}
		if len(g.pending) > 0 && g.pending[0].at <= g.now {
			g.next(g.now)
		}
		if len(evs) > 0 {
			g.step(evs...)
		}
		if swap && i%397 == 0 {
			g.replace()
		}
	}
	g.step(Closing{Left: 2 * Second}, g.message(1), g.message(2))
	fmt.Fprintf(g.sum, "%d messages, %d actions\n", g.ids, g.actions)
	if g.actions < 1000 {
		g.t.Errorf("only %d actions", g.actions)
	}
	return fmt.Sprintf("%x", g.sum.Sum(nil)[:12])
}

// next takes what is due at a time in one step.
func (g *golden) next(at Micros) {
	g.now = max(g.now, at)
	var evs []Event
	for len(g.pending) > 0 && g.pending[0].at <= g.now {
		evs = append(evs, g.pending[0].ev)
		if r, ok := g.pending[0].ev.(Reply); ok && r.NoMore {
			delete(g.owed, r.ID)
		}
		g.pending = g.pending[1:]
	}
	g.step(evs...)
}

func (g *golden) replace() {
	g.swaps++
	next := transferred(g.t, g.set, g.s, g.swaps%2 == 0)
	next.rng, next.step, next.timer = g.s.rng, g.s.step, g.s.timer
	g.s = next
}

// goldenVariants are those of the rules, and fleets.
func goldenVariants() map[string]Settings {
	all := variants()
	for name, f := range map[string]func(*Settings){
		"fleet":         func(s *Settings) { s.ConnIdle = 10 * Second },
		"fleet reports": func(s *Settings) { s.ReportLeft, s.ReportLimit, s.Weights = 0, 1, WeightsNominal },
		"fleet apart":   func(s *Settings) { s.Kinds = []Kind{{Name: "k", Apart: true, Batch: 1}, {Name: "l", Batch: 3}} },
		"fleet aged":    func(s *Settings) { s.ListAge, s.OnRequest = 6*Second, true },
	} {
		set := base()
		set.Senders, set.Slots, set.MaxOpen, set.ConnCalls = 60, 40, 300, 1
		f(&set)
		all[name] = set
	}
	return all
}

// TestSameActionsAsRecorded holds every decision on seeded streams against those on record: what only changes how the
// state is kept must change none. A change of decisions records them anew, with -record, and says so.
func TestSameActionsAsRecorded(t *testing.T) {
	got := map[string]string{}
	for name, set := range goldenVariants() {
		for _, swap := range []bool{false, true} {
			got[fmt.Sprintf("%s, many destinations, replaced %v", name, swap)] = newGolden(t, set, 11).play(100, swap)
			if _, rules := variants()[name]; rules {
				w := newWorld(t, set, 6)
				if swap {
					w.swap = Second
				}
				w.play()
				sum := sha256.New()
				for _, line := range w.trace {
					fmt.Fprintln(sum, line)
				}
				got[fmt.Sprintf("%s, rules, replaced %v", name, swap)] = fmt.Sprintf("%x", sum.Sum(nil)[:12])
			}
		}
	}
	if *record {
		text, err := json.MarshalIndent(got, "", "\t")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenFile, append(text, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]string
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if got[name] != want[name] {
			t.Errorf("%s: actions %s, on record %s", name, got[name], want[name])
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d streams, %d on record", len(got), len(want))
	}
}
