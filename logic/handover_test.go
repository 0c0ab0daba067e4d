package logic

import (
	"encoding/json"
	"iter"
	"maps"
	"reflect"
	"slices"
	"testing"
)

// transferSender is a sender that goes on with what another one knows, by way of bytes as between two processes: a text, or
// a text and rows.
func transferSender(t *testing.T, set Settings, s *Sender, inRows bool) *Sender {
	saved := s.Save()
	if inRows {
		saved = s.SaveWithoutTables()
	}
	text, err := json.Marshal(saved)
	if err != nil {
		t.Fatal(err)
	}
	saved = Saved{}
	if err := json.Unmarshal(text, &saved); err != nil {
		t.Fatal(err)
	}
	var next *Sender
	if inRows {
		next, err = ResumeFromRows(set, 1, saved, copyRows(s.TableRows()))
	} else {
		next, err = Resume(set, 1, saved)
	}
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// copyRows are rows as another process gets them: each is its reader's until the next, and then gone.
func copyRows(rows iter.Seq[[]byte]) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		for row := range rows {
			mine := slices.Clone(row)
			if !yield(mine, nil) {
				return
			}
			for i := range mine {
				mine[i] = 0xff
			}
		}
	}
}

// handOver lets another sender go on with what this one knows. Only chance, the number of the step and the timer that is
// out stay as they were: they differ between senders.
func (w *ruleChecker) handOver() {
	w.handovers++
	next := transferSender(w.t, w.settings, w.sender, w.handovers%2 == 0)
	next.rng, next.step, next.timerAt = w.sender.rng, w.sender.step, w.sender.timerAt
	w.sender = next
}

// A sender that goes on for another keeps the rules and does what that one would have done.
func TestResumedSenderContinuesAlike(t *testing.T) {
	for name, set := range settingsVariants() {
		t.Run(name, func(t *testing.T) {
			one, many := newRuleChecker(t, set, 4), newRuleChecker(t, set, 4)
			many.handoverInterval = Second / 2
			one.play()
			many.play()
			i := 0
			for i < len(one.trace) && i < len(many.trace) && one.trace[i] == many.trace[i] {
				i++
			}
			if !slices.Equal(one.trace, many.trace) {
				t.Errorf("from action %d of %d on others", i, len(one.trace))
			}
			if len(one.trace) < 100 {
				t.Errorf("only %d actions", len(one.trace))
			}
		})
	}
}

// Settle takes outcomes in and sends nothing, whatever could go.
func TestApplyWithoutSendingSendsNothing(t *testing.T) {
	r := newHarness(t, baseSettings())
	c := r.newMessage(0)
	out := actionsOf[CallOut](r.step(1, fullList(1), c))
	if len(out) != 1 {
		t.Fatalf("%d sends", len(out))
	}
	acts := r.sender.ApplyWithoutSending(fromSeconds(1.1), []Event{resultOf(c.ID, 1, 0, Rejected), r.newMessage(0)})
	if n := len(actionsOf[CallOut](acts)); n != 0 {
		t.Errorf("%d sends", n)
	}
	if n := len(r.sender.attempts); n != 0 {
		t.Errorf("%d calls out after the outcome", n)
	}
	if n := len(actionsOf[CallOut](r.step(3))); n == 0 {
		t.Error("nothing sent afterwards")
	}
}

// A handover soon after a start takes along that the list is still the saved one, and what the start found untried.
func TestResumeKeepsSavedListAndRecoveredMessages(t *testing.T) {
	set, eps := lowLimitDeployment(200)
	r := newHarness(t, set)
	short, long := r.recoveredMessage(0, 0.4), r.recoveredMessage(0, 9)
	if n := len(actionsOf[CallOut](r.step(100, eps, short, long))); n != 0 {
		t.Fatalf("%d sends on a saved list", n)
	}
	next, err := Resume(set, 1, r.sender.Save())
	if err != nil {
		t.Fatal(err)
	}
	r.sender = next
	if n := len(actionsOf[CallOut](r.step(100.1, r.newMessage(0)))); n != 0 {
		t.Errorf("%d sends on a saved list after the handover", n)
	}
	if out := actionsOf[CallOut](r.step(100.21, TimerExpired{})); len(out) != 1 || out[0].ID != short.ID {
		t.Errorf("sent %v, want what has half of its time left", out)
	}
	if m := r.sender.messages[long.ID]; !m.untried || m.lastChanceAt <= fromSeconds(100) {
		t.Errorf("found by the start: %+v", m)
	}
}

// Both forms of the state carry all of it: what comes out of a transfer is what went in, bit by bit.
func TestTransferKeepsAllState(t *testing.T) {
	for name, set := range goldenVariants() {
		g := newGoldenStream(t, set, 5)
		g.play(60, false)
		for _, inRows := range []bool{false, true} {
			next := transferSender(t, set, g.sender, inRows)
			if !reflect.DeepEqual(slices.Sorted(maps.Keys(next.endpoints)), slices.Sorted(maps.Keys(g.sender.endpoints))) {
				t.Errorf("%s, in rows %v: other endpoints after the transfer", name, inRows)
			}
			a, err := json.Marshal(g.sender.Save())
			if err != nil {
				t.Fatal(err)
			}
			b, err := json.Marshal(next.Save())
			if err != nil {
				t.Fatal(err)
			}
			if string(a) != string(b) {
				t.Errorf("%s, in rows %v: the state differs after the transfer", name, inRows)
			}
			for id, d := range next.destinations {
				if old := g.sender.destinations[id]; old != nil && (old.messageCount != d.messageCount || old.histogram.tau != d.histogram.tau) {
					t.Errorf("%s, in rows %v: destination %d: %+v, before %+v", name, inRows, id, d, old)
				}
			}
		}
	}
}

// Rows that make no sense are refused, whatever they hold; none crashes the reader.
func TestTransferRejectsInvalidRows(t *testing.T) {
	set := baseSettings()
	set.Senders = 60
	g := newGoldenStream(t, set, 5)
	g.play(20, false)
	var rows [][]byte
	for row := range g.sender.TableRows() {
		rows = append(rows, slices.Clone(row))
	}
	rnd, refused := g.rnd, 0
	for range 3000 {
		bad := make([][]byte, len(rows))
		for i, row := range rows {
			bad[i] = slices.Clone(row)
		}
		for range 1 + rnd.IntN(3) {
			row := &bad[rnd.IntN(len(bad))]
			switch rnd.IntN(3) {
			case 0:
				(*row)[rnd.IntN(len(*row))] ^= byte(1 + rnd.IntN(255))
			case 1:
				*row = (*row)[:rnd.IntN(len(*row))]
				if len(*row) == 0 {
					*row = []byte{0}
				}
			case 2:
				*row = append(*row, byte(rnd.IntN(256)), 0xff)
			}
		}
		s, err := ResumeFromRows(set, 1, g.sender.SaveWithoutTables(), func(yield func([]byte, error) bool) {
			for _, row := range bad {
				if !yield(row, nil) {
					return
				}
			}
		})
		if err != nil {
			refused++
			continue
		}
		s.Step(g.now+Second, []Event{NewMessage{ID: "after", TimeLeft: 10 * Second, Destination: int64(rnd.IntN(20)), Tenant: -1}})
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}
