package logic

import (
	"encoding/json"
	"slices"
	"testing"
)

// replace lets another sender go on with what this one knows, by way of a text as between two processes. Only chance,
// the number of the step and the timer that is out stay as they were: they differ between senders.
func (w *world) replace() {
	text, err := json.Marshal(w.s.Save())
	if err != nil {
		w.t.Fatal(err)
	}
	var saved Saved
	if err := json.Unmarshal(text, &saved); err != nil {
		w.t.Fatal(err)
	}
	next, err := Resume(w.set, 1, saved)
	if err != nil {
		w.t.Fatal(err)
	}
	next.rng, next.step, next.timer = w.s.rng, w.s.step, w.s.timer
	w.s = next
}

// A sender that goes on for another keeps the rules and does what that one would have done.
func TestResumeGoesOn(t *testing.T) {
	for name, set := range variants() {
		t.Run(name, func(t *testing.T) {
			one, many := newWorld(t, set, 4), newWorld(t, set, 4)
			many.swap = Second / 2
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
func TestSettleSendsNothing(t *testing.T) {
	r := newRig(t, base())
	c := r.call(0)
	out := only[CallOut](r.step(1, list(1), c))
	if len(out) != 1 {
		t.Fatalf("%d sends", len(out))
	}
	acts := r.s.Settle(sec(1.1), []Event{answer(c.ID, 1, 0, Full), r.call(0)})
	if n := len(only[CallOut](acts)); n != 0 {
		t.Errorf("%d sends", n)
	}
	if n := len(r.s.flying); n != 0 {
		t.Errorf("%d calls out after the outcome", n)
	}
	if n := len(only[CallOut](r.step(3))); n == 0 {
		t.Error("nothing sent afterwards")
	}
}

// A handover soon after a start takes along that the list is still the saved one, and what the start found untried.
func TestResumeKeepsWhatAStartFound(t *testing.T) {
	set, eps := limited(200)
	r := newRig(t, set)
	short, long := r.kept(0, 0.4), r.kept(0, 9)
	if n := len(only[CallOut](r.step(100, eps, short, long))); n != 0 {
		t.Fatalf("%d sends on a saved list", n)
	}
	next, err := Resume(set, 1, r.s.Save())
	if err != nil {
		t.Fatal(err)
	}
	r.s = next
	if n := len(only[CallOut](r.step(100.1, r.call(0)))); n != 0 {
		t.Errorf("%d sends on a saved list after the handover", n)
	}
	if out := only[CallOut](r.step(100.21, Due{})); len(out) != 1 || out[0].ID != short.ID {
		t.Errorf("sent %v, want what has half of its time left", out)
	}
	if m := r.s.msgs[long.ID]; !m.untried || m.chance <= sec(100) {
		t.Errorf("found by the start: %+v", m)
	}
}
